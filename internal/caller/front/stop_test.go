package front_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"rosemarywick.example/rosemarywick/internal/caller/front"
	"rosemarywick.example/rosemarywick/internal/core/document"
	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/routing/router"
)

// memoryListener is a listener for connections in memory.
type memoryListener struct {
	incoming chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.incoming:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memoryListener) Close() error { l.once.Do(func() { close(l.closed) }); return nil }

func (l *memoryListener) Addr() net.Addr { return &net.TCPAddr{} }

// noConfiguration is a Configuration without a document.
type noConfiguration struct{}

func (noConfiguration) Current() *document.Document { return nil }

// unusedRouter is the router of a front end that rejects all requests itself.
type unusedRouter struct{}

func (unusedRouter) Do(context.Context, *router.Request) router.Response { return router.Rejected{} }

// Guards against a connection that is closed without a response because its request arrived during a graceful stop.
func TestStopAnswersLateRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		listener := &memoryListener{incoming: make(chan net.Conn), closed: make(chan struct{})}
		frontend := &front.Frontend{
			Listener: listener, Router: unusedRouter{}, Config: noConfiguration{}, Clock: timer.System{}, StopTimeout: 3 * time.Second,
		}
		ctx, stop := context.WithCancel(t.Context())
		stopped := make(chan error, 1)
		go func() { stopped <- frontend.Run(ctx) }()
		caller, accepted := net.Pipe()
		defer func() { _ = caller.Close() }()
		listener.incoming <- accepted
		synctest.Wait()
		stop()
		sleep(2 * time.Second)
		go func() { _, _ = caller.Write([]byte("GET /x HTTP/1.1\r\nHost: h\r\n\r\n")) }()
		response, err := http.ReadResponse(bufio.NewReader(caller), nil)
		is.NoErr(err)
		is.Equal(response.StatusCode, http.StatusServiceUnavailable)
		is.NoErr(response.Body.Close())
		is.NoErr(<-stopped)
	})
}

// sleep lets fake time pass in the test's synctest bubble.
func sleep(duration time.Duration) {
	_ = timer.Wait(context.Background(), timer.System{}, duration)
}
