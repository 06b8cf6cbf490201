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

// pipes is a listener in memory.
type pipes struct {
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case conn := <-p.accepted:
		return conn, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p *pipes) Close() error { p.once.Do(func() { close(p.closed) }); return nil }

func (p *pipes) Addr() net.Addr { return &net.TCPAddr{} }

// none has no configuration.
type none struct{}

func (none) Current() *document.Document { return nil }

// refusing has no answer; a stopping front does not ask it.
type refusing struct{}

func (refusing) Do(context.Context, *router.Request) router.Response { return router.Rejected{} }

// Guards against a connection that is closed without an answer because its request arrived late in a graceful stop.
func TestStopAnswersLateRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		listener := &pipes{accepted: make(chan net.Conn), closed: make(chan struct{})}
		front := &front.Frontend{
			Listener: listener, Router: refusing{}, Config: none{}, Clock: timer.System{}, StopTimeout: 3 * time.Second,
		}
		ctx, stop := context.WithCancel(t.Context())
		stopped := make(chan error, 1)
		go func() { stopped <- front.Run(ctx) }()
		caller, served := net.Pipe()
		defer func() { _ = caller.Close() }()
		listener.accepted <- served
		synctest.Wait()
		stop()
		pass(2 * time.Second)
		go func() { _, _ = caller.Write([]byte("GET /x HTTP/1.1\r\nHost: h\r\n\r\n")) }()
		response, err := http.ReadResponse(bufio.NewReader(caller), nil)
		is.NoErr(err)
		is.Equal(response.StatusCode, http.StatusServiceUnavailable)
		is.NoErr(response.Body.Close())
		is.NoErr(<-stopped)
	})
}

// pass lets the time of the test's bubble pass.
func pass(span time.Duration) {
	_ = timer.Wait(context.Background(), timer.System{}, span)
}
