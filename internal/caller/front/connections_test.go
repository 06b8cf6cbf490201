package front_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"rosemarywick.example/rosemarywick/internal/caller/front"
	"rosemarywick.example/rosemarywick/internal/core/cause"
	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/routing/router"
)

// exhaustedListener is a listener that has no descriptors left for some calls of Accept.
type exhaustedListener struct {
	*memoryListener
	failures atomic.Int32
}

func (l *exhaustedListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.memoryListener.Accept()
}

// heldRouter holds requests for the path /hold until release is closed, and rejects all others at once.
type heldRouter struct{ release chan struct{} }

func (r heldRouter) Do(_ context.Context, request *router.Request) router.Response {
	if request.Target == "/hold" {
		<-r.release
	}
	return router.Rejected{Outcome: cause.NotRun, Cause: cause.NoUpstream}
}

// callers opens connections to a front end in memory.
type callers struct {
	t        *testing.T
	listener *exhaustedListener
}

// open returns a new connection.
func (c *callers) open() net.Conn {
	caller, accepted := net.Pipe()
	c.t.Cleanup(func() { _ = caller.Close() })
	c.listener.incoming <- accepted
	synctest.Wait()
	return caller
}

// request sends a request and returns the status of its response, or zero if the connection was closed.
func (*callers) request(caller net.Conn, path string) int {
	if _, err := fmt.Fprintf(caller, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path); err != nil {
		return 0
	}
	response, err := http.ReadResponse(bufio.NewReader(caller), nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	synctest.Wait()
	return response.StatusCode
}

// runWithLimit runs a scenario with a front end that keeps at most limit connections open.
func runWithLimit(t *testing.T, limit int, scenario func(*is.I, *callers, heldRouter)) {
	synctest.Test(t, func(t *testing.T) {
		listener := &exhaustedListener{memoryListener: &memoryListener{incoming: make(chan net.Conn), closed: make(chan struct{})}}
		held := heldRouter{release: make(chan struct{})}
		frontend := &front.Frontend{
			Listener: listener, Router: held, Config: noConfiguration{}, Clock: timer.System{}, Log: zerolog.Nop(), MaxConnections: limit,
			Dialect: targetDialect{},
		}
		ctx, stop := context.WithCancel(t.Context())
		stopped := make(chan error, 1)
		go func() { stopped <- frontend.Run(ctx) }()
		scenario(is.New(t), &callers{t: t, listener: listener}, held)
		stop()
		is.New(t).NoErr(<-stopped)
	})
}

// targetDialect passes on nothing but the path of a request.
type targetDialect struct{ front.Dialect }

func (targetDialect) SetCommonHeaders(http.Header, *http.Request) {}

func (targetDialect) ReadRequest(_ http.ResponseWriter, r *http.Request) (*router.Request, *router.Rejected) {
	return &router.Request{Target: r.RequestURI}, nil
}

func (targetDialect) WriteRejection(rw http.ResponseWriter, _ router.Rejected) {
	rw.WriteHeader(http.StatusServiceUnavailable)
}

// Guards against a daemon that ends, with all its requests, because it has no descriptor left for a new connection.
func TestLackOfDescriptorsEndsNothing(t *testing.T) {
	runWithLimit(t, 0, func(is *is.I, c *callers, _ heldRouter) {
		idle := c.open()
		is.Equal(c.request(idle, "/x"), http.StatusServiceUnavailable)
		c.listener.failures.Store(3)
		first := c.open() // a call of Accept that waited already takes it
		second := c.open()
		is.Equal(c.request(first, "/x"), http.StatusServiceUnavailable)
		is.Equal(c.request(second, "/x"), http.StatusServiceUnavailable)
		is.Equal(c.request(idle, "/x"), 0) // closed, to have descriptors for others
	})
}

// Guards against idle connections that use up all descriptors, and against a connection that is closed although it carries a request.
func TestConnectionsAreBounded(t *testing.T) {
	runWithLimit(t, 3, func(is *is.I, c *callers, held heldRouter) {
		busy, idleLong, idle := c.open(), c.open(), c.open()
		answered := make(chan int, 1)
		go func() { answered <- c.request(busy, "/hold") }()
		synctest.Wait()
		is.Equal(c.request(idleLong, "/x"), http.StatusServiceUnavailable)
		is.Equal(c.request(idle, "/x"), http.StatusServiceUnavailable)

		fourth := c.open()
		is.Equal(c.request(fourth, "/x"), http.StatusServiceUnavailable)
		is.Equal(c.request(idleLong, "/x"), 0)
		is.Equal(c.request(idle, "/x"), http.StatusServiceUnavailable)
		close(held.release)
		is.Equal(<-answered, http.StatusServiceUnavailable)
	})
}

// Guards against a caller that waits for its turn while all connections are in use: it can ask another daemon.
func TestConnectionBeyondLimitIsClosed(t *testing.T) {
	runWithLimit(t, 1, func(is *is.I, c *callers, held heldRouter) {
		busy := c.open()
		answered := make(chan int, 1)
		go func() { answered <- c.request(busy, "/hold") }()
		synctest.Wait()
		_, err := c.open().Read(make([]byte, 1))
		is.True(errors.Is(err, io.EOF))
		close(held.release)
		is.Equal(<-answered, http.StatusServiceUnavailable)
	})
}
