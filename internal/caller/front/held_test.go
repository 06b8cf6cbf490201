package front_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"rosemarywick.example/rosemarywick/internal/caller/budget"
	"rosemarywick.example/rosemarywick/internal/caller/front"
	"rosemarywick.example/rosemarywick/internal/core/document"
	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/upstream/standin"
)

// startHeld starts a front end with a budget in front of the workers of a fixture, and returns its address.
func startHeld(t *testing.T, limits document.CallerLimits, held *budget.Budget) string {
	return startHeldBefore(t, limits, held, nil)
}

// startHeldBefore is startHeld with workers that adjust changes, if it is set.
func startHeldBefore(
	t *testing.T, limits document.CallerLimits, held *budget.Budget, adjust func(*standin.Worker),
) string {
	f := newFixture(t, 1, 1, adjust)
	f.doc.CallerLimits = limits
	listening := make(chan netip.AddrPort, 1)
	frontend := &front.Frontend{
		Address: netip.MustParseAddrPort("127.0.0.1:0"), Router: f.routers[0], Config: f, Clock: timer.System{}, Log: zerolog.Nop(),
		BodyLimit: 4 << 20, Budget: held, StopTimeout: 50 * time.Millisecond, Listening: func(a netip.AddrPort) { listening <- a },
	}
	go func() { _ = frontend.Run(t.Context()) }()
	return (<-listening).String()
}

// Guards against a caller whose body stopped halfway and that keeps the room of others, or is cut off without being told that
// its request was not run.
func TestStalledBodyGivesWay(t *testing.T) {
	is := is.New(t)
	held := &budget.Budget{Limits: budget.Limits{Room: 3 << 20, SmallRoom: 1 << 20}, Clock: timer.System{}}
	address := startHeld(t, document.CallerLimits{}, held)
	post := func(length, sent int) net.Conn {
		conn, err := net.Dial("tcp", address)
		is.NoErr(err)
		t.Cleanup(func() { _ = conn.Close() })
		_, err = fmt.Fprintf(conn, "POST /tasks/x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", length, make([]byte, sent))
		is.NoErr(err)
		return conn
	}
	status := func(conn net.Conn) int {
		is.NoErr(conn.SetReadDeadline(time.Now().Add(10 * time.Second)))
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		is.NoErr(err)
		is.NoErr(response.Body.Close())
		return response.StatusCode
	}
	stalled := post(1<<20, 1<<19)
	for held.Held(budget.Body) == 0 {
		_ = timer.Wait(t.Context(), timer.System{}, time.Millisecond)
	}
	is.Equal(status(post(3<<19, 1)), http.StatusServiceUnavailable) // refused before its body is complete
	is.Equal(status(post(1000, 1000)), http.StatusOK)
	_ = timer.Wait(t.Context(), timer.System{}, budget.RetryAfter+200*time.Millisecond)
	is.Equal(status(post(3<<19, 3<<19)), http.StatusOK)
	is.Equal(status(stalled), http.StatusServiceUnavailable)
	is.Equal(held.Closed(), 1)
	for held.Held(budget.Body)+held.Held(budget.Response) != 0 { // the test times out if room is lost
		_ = timer.Wait(t.Context(), timer.System{}, time.Millisecond)
	}
}

// Guards against a connection that is closed for want of room while its upstream is silent within a response: nothing is owed by its
// caller then. A caller that does not take the response gives way as before.
func TestAwaitedResponseKeepsItsConnection(t *testing.T) {
	const size = 200_000
	for name, takes := range map[string]bool{"caller takes": true, "caller takes nothing": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			held := &budget.Budget{Limits: budget.Limits{Room: 4 << 20, SmallRoom: 1 << 20}, Clock: timer.System{}}
			address := startHeldBefore(t, document.CallerLimits{}, held, func(w *standin.Worker) {
				w.InjectFault = func(r *http.Request) standin.Fault {
					if takes && strings.HasPrefix(r.URL.Path, "/download") {
						return standin.FaultStall
					}
					return standin.FaultNone
				}
			})
			conn, err := net.Dial("tcp", address)
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			length := size
			if !takes {
				length = 64 << 20 // more than the kernel takes
				is.NoErr(conn.(*net.TCPConn).SetReadBuffer(4 << 10))
			}
			_, err = fmt.Fprintf(conn, "GET /tasks/download/manual/%d HTTP/1.1\r\nHost: h\r\nRosemarywick-Timeout: 20s\r\n\r\n", length)
			is.NoErr(err)
			_ = timer.Wait(t.Context(), timer.System{}, 500*time.Millisecond)
			stop := make(chan struct{})
			var crowd sync.WaitGroup
			for range 8 { // room is short until the response is there
				crowd.Go(func() { postUntil(address, 2<<20, stop) })
			}
			defer crowd.Wait()
			defer close(stop)
			if !takes {
				for held.Closed() == 0 { // the test times out if it does not give way
					_ = timer.Wait(t.Context(), timer.System{}, 10*time.Millisecond)
				}
				return
			}
			is.NoErr(conn.SetReadDeadline(time.Now().Add(20 * time.Second)))
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			body, err := io.ReadAll(response.Body)
			is.NoErr(err)
			is.NoErr(response.Body.Close())
			is.Equal(len(body), size)
		})
	}
}

// postUntil sends bodies piece by piece, each on a connection of its own, until stop is closed.
func postUntil(address string, length int, stop <-chan struct{}) {
	piece := make([]byte, 64<<10)
	for {
		select {
		case <-stop:
			return
		default:
		}
		conn, err := net.Dial("tcp", address)
		if err != nil {
			continue
		}
		_, _ = fmt.Fprintf(conn, "POST /tasks/x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", length)
		for sent := 0; sent < length; sent += len(piece) {
			if _, err := conn.Write(piece); err != nil { // it was refused
				break
			}
			_ = timer.Wait(context.Background(), timer.System{}, 30*time.Millisecond)
		}
		_ = conn.Close()
	}
}

// Guards against limits of the configuration for the head of a request that are not applied, on a new connection or on a used
// one.
func TestHeadLimits(t *testing.T) {
	limits := document.CallerLimits{MaxHeaderBytes: 1000, HeaderTimeout: 100 * time.Millisecond, IdleTimeout: time.Minute}
	address := startHeld(t, limits, nil)
	for name, first := range map[string]string{"new": "", "used": "GET /tasks/x HTTP/1.1\r\nHost: h\r\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			conn, err := net.Dial("tcp", address)
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			_, err = fmt.Fprint(conn, first)
			is.NoErr(err)
			reader := bufio.NewReader(conn)
			if first != "" {
				response, err := http.ReadResponse(reader, nil)
				is.NoErr(err)
				is.NoErr(response.Body.Close())
			}
			_, err = fmt.Fprint(conn, "GET /tasks/x HT")
			is.NoErr(err)
			is.NoErr(conn.SetReadDeadline(time.Now().Add(5 * time.Second)))
			_, err = io.Copy(io.Discard, reader)
			is.True(!errors.Is(err, os.ErrDeadlineExceeded)) // the daemon closed the connection
		})
	}
	is := is.New(t)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+"/tasks/x", nil)
	is.NoErr(err)
	request.Header.Set("X-Long", fmt.Sprintf("%01000d", 0))
	response, err := http.DefaultClient.Do(request)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
	is.NoErr(response.Body.Close())
}
