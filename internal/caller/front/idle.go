package front

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// acceptor gives each connection the idle time of the configuration in force, which http.Server can only set once.
type idleTimeoutListener struct {
	net.Listener
	config Configuration

	once sync.Once
	// closeErr is set by once.
	closeErr error
}

// Close closes the listener. Both the front and http.Server do so.
func (a *idleTimeoutListener) Close() error {
	a.once.Do(func() { a.closeErr = errors.Wrap(a.Listener.Close(), "front: close listener") })
	return a.closeErr
}

// Accept returns the next connection.
func (a *idleTimeoutListener) Accept() (net.Conn, error) {
	conn, err := a.Listener.Accept()
	if err != nil {
		return nil, errors.Wrap(err, "front: accept")
	}
	return &callerConn{Conn: conn, config: a.config}, nil
}

// callerConn is a connection of a caller.
type callerConn struct {
	net.Conn
	config Configuration
	// idle is set while no request is being served on the connection.
	idle atomic.Bool
	// busy is guarded by the front's mu and set while the connection is new or brings a request.
	inUse bool
}

// SetReadDeadline sets the deadline, which for an idle connection is that of the configuration in force.
func (c *callerConn) SetReadDeadline(deadline time.Time) error {
	if c.idle.Load() && c.config != nil {
		if current := c.config.Current(); current != nil && current.CallerLimits.IdleTimeout > 0 && !deadline.IsZero() {
			deadline = time.Now().Add(current.CallerLimits.IdleTimeout)
		}
	}
	return c.Conn.SetReadDeadline(deadline)
}

// track notes whether a connection is in use. http.Server calls it before it sets the deadline of the idle time.
func (f *Frontend) trackConnState(conn net.Conn, state http.ConnState) {
	caller, ok := conn.(*callerConn)
	if !ok {
		return
	}
	caller.idle.Store(state == http.StateIdle)
	busy := state == http.StateNew || state == http.StateActive
	f.mu.Lock()
	defer f.mu.Unlock()
	if busy != caller.inUse {
		caller.inUse = busy
		if busy {
			f.connsInUse++
		} else {
			f.connsInUse--
		}
	}
	f.checkConnsDoneLocked()
}
