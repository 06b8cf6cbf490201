package front

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// callerConn is a connection from a caller.
type callerConn struct {
	net.Conn
	config Configuration
	// listener has accepted the connection.
	listener *callerListener
	// idle is set while no request is being served on the connection.
	idle atomic.Bool
	// idlePosition and closed are guarded by the listener's mu. idlePosition is the place among the idle connections, or nil.
	idlePosition *list.Element
	closed       bool
	// inUse is guarded by the Frontend's mu and set while the connection is new or carries a request.
	inUse bool
	// cancelRequests ends the contexts of the requests on the connection. requestContext sets it before the first read.
	cancelRequests context.CancelFunc
	ahead          readAhead
}

// requestContext returns the context from which those of a connection's requests are derived. http.Server calls it for each
// accepted connection.
func requestContext(ctx context.Context, conn net.Conn) context.Context {
	if caller, ok := conn.(*callerConn); ok {
		ctx, caller.cancelRequests = context.WithCancel(ctx)
	}
	return ctx
}

// Read reads from the caller. http.Server reads a single byte while it serves a request, to notice the end of the connection. If
// that byte begins a further request, the connection is read ahead until the next Read.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.ahead.take(p)
	if n == 0 && err == nil {
		n, err = c.Conn.Read(p)
	}
	if n == 1 && len(p) == 1 && err == nil && !c.idle.Load() {
		c.ahead.start()
	}
	return n, err //nolint:wrapcheck // http.Server interprets the errors of a connection
}

// Close closes the connection and ends its requests.
func (c *callerConn) Close() error {
	err := c.Conn.Close()
	c.listener.forget(c)
	c.cancelRequests()
	return errors.Wrap(err, "front: close connection")
}

// SetReadDeadline sets the read deadline. For an idle connection it applies the idle timeout of the current configuration
// instead of the given deadline.
func (c *callerConn) SetReadDeadline(deadline time.Time) error {
	if c.idle.Load() && c.config != nil {
		if current := c.config.Current(); current != nil && current.CallerLimits.IdleTimeout > 0 && !deadline.IsZero() {
			deadline = time.Now().Add(current.CallerLimits.IdleTimeout)
		}
	}
	return c.ahead.setDeadline(deadline)
}

// SetDeadline sets the read and the write deadline.
func (c *callerConn) SetDeadline(deadline time.Time) error {
	return errors.CombineErrors(c.ahead.setDeadline(deadline), c.SetWriteDeadline(deadline))
}

// trackConnState records whether a connection is idle and whether it is in use. http.Server calls it before it sets the read
// deadline of an idle connection.
func (f *Frontend) trackConnState(conn net.Conn, state http.ConnState) {
	caller, ok := conn.(*callerConn)
	if !ok {
		return
	}
	caller.idle.Store(state == http.StateIdle)
	caller.listener.setIdle(caller, state == http.StateIdle)
	inUse := state == http.StateNew || state == http.StateActive
	f.mu.Lock()
	defer f.mu.Unlock()
	if inUse != caller.inUse {
		caller.inUse = inUse
		if inUse {
			f.connsInUse++
		} else {
			f.connsInUse--
		}
	}
	f.checkConnsDoneLocked()
}
