package router

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"rosemarywick.example/rosemarywick/internal/core/cause"
	"rosemarywick.example/rosemarywick/internal/core/document"
	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/core/timer"
)

// Guards against a server at its connection limit that is taken for lost, and against requests for it that wait until their
// deadline or are answered with an unknown outcome.
func TestServerThatResetsEveryConnection(t *testing.T) {
	is := is.New(t)
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.NoErr(err)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
	}()
	t.Cleanup(func() { _ = listener.Close(); <-ended })
	service := document.Service{
		Name: "s", Timeout: 1200 * time.Millisecond, LatencyTarget: 400 * time.Millisecond, QueueLimit: 9, Slots: 3,
		MaxConnections: 580, Guard: fleet.GuardHold, Key: document.KeyNumericHeader{Name: "k"},
		Upstreams: []document.Upstream{{ID: "a", Address: listener.Addr().(*net.TCPAddr).AddrPort()}},
	}
	owner := fleet.Assignment{Owner: "a", Fence: fleet.Fence{Counter: 1}}
	r := &Router{
		Clock: timer.System{}, OwnershipMap: fixedOwners{owner},
		Config: configuration{&document.Document{Services: []document.Service{service}}},
	}
	defer r.Close()
	request := &Request{
		ID: "r", Service: "s", Method: http.MethodPost, Target: "/", Key: "7", Delivery: document.NonIdempotent, MaxAttempts: 3,
	}
	r.Do(t.Context(), request) // the first one may be unknown, since nothing showed that the server is full
	for range 3 {
		started := time.Now()
		response, ok := r.Do(t.Context(), request).(Rejected)
		is.True(ok)
		is.Equal(response.Outcome, cause.NotRun)
		is.Equal(response.Cause, cause.UpstreamFull)
		is.True(response.RetryAfter > 0)
		is.True(time.Since(started) < 700*time.Millisecond) // half of 400 ms is the longest wait; the rest is for a busy machine
	}
	state := r.currentService("s")
	is.Equal(state.breaker.delay(time.Now(), owner), time.Duration(0))
	is.Equal(state.breaker.servers, map[fleet.UpstreamID]time.Time{})
}
