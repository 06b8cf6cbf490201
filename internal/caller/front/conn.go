package front

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"rosemarywick.example/rosemarywick/internal/caller/budget"
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
	// holder counts what is held for the connection.
	holder *budget.Holder
	// readingBody is set from the first read of a request's body until its response is written.
	readingBody atomic.Bool
	// idleLimited is set once the idle timeout was applied to the idle connection. http.Server sets the next deadline when it
	// has seen the first bytes of a request.
	idleLimited atomic.Bool
}

// connKey is the key of the callerConn in the contexts of its requests.
type connKey struct{}

// connOf returns the connection of a request, or nil if it is not one of a callerListener.
func connOf(ctx context.Context) *callerConn {
	conn, _ := ctx.Value(connKey{}).(*callerConn)
	return conn
}

// heldBy returns the holder of a request's connection, or nil if it has none.
func heldBy(ctx context.Context) *budget.Holder {
	if conn := connOf(ctx); conn != nil {
		return conn.holder
	}
	return nil
}

// cutOff ends the connection for lack of room. If a body is being read, its request has not been sent, and the caller is told
// so.
func (c *callerConn) cutOff() {
	if c.readingBody.Load() {
		_ = c.ahead.setDeadline(time.Unix(1, 0)) // an error means that the connection has ended
		return
	}
	_ = c.Close()
}

// Write writes to the caller. A caller that takes nothing for the time for which it may be idle is cut off.
func (c *callerConn) Write(p []byte) (int, error) {
	_ = c.SetWriteDeadline(time.Now().Add(c.idleTimeout())) // an error shows at the write
	c.holder.BeginWrite()
	n, err := c.Conn.Write(p)
	c.holder.EndWrite()
	return n, err //nolint:wrapcheck // http.Server interprets the errors of a connection
}

// idleTimeout returns the time for which a caller may be idle.
func (c *callerConn) idleTimeout() time.Duration {
	if c.config != nil {
		if current := c.config.Current(); current != nil && current.CallerLimits.IdleTimeout > 0 {
			return current.CallerLimits.IdleTimeout
		}
	}
	return defaultIdleTimeout
}

// requestContext returns the context from which those of a connection's requests are derived. http.Server calls it for each
// accepted connection.
func requestContext(ctx context.Context, conn net.Conn) context.Context {
	if caller, ok := conn.(*callerConn); ok {
		ctx, caller.cancelRequests = context.WithCancel(context.WithValue(ctx, connKey{}, caller))
	}
	return ctx
}

// Read reads from the caller. http.Server reads a single byte while it serves a request, to notice the end of the connection.
// If that byte begins a further request, the connection is read ahead until the next Read.
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
	c.holder.Close()
	c.cancelRequests()
	return errors.Wrap(err, "front: close connection")
}

// SetReadDeadline sets the read deadline. http.Server sets one in the future while it waits for a request and while it reads
// the head of one. In place of it, the idle timeout or the header timeout of the current configuration applies.
func (c *callerConn) SetReadDeadline(deadline time.Time) error {
	now := time.Now()
	if deadline.After(now) {
		if c.idle.Load() && c.idleLimited.CompareAndSwap(false, true) {
			deadline = now.Add(c.idleTimeout())
		} else if c.config != nil {
			if current := c.config.Current(); current != nil && current.CallerLimits.HeaderTimeout > 0 {
				deadline = now.Add(current.CallerLimits.HeaderTimeout)
			}
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
	caller.idleLimited.Store(false)
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
