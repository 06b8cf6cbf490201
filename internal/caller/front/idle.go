package front

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// acceptor gives each connection the idle time of the configuration in force, which http.Server can only set once.
type acceptor struct {
	net.Listener
	config Configuration
}

// Accept returns the next connection.
func (a *acceptor) Accept() (net.Conn, error) {
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
}

// SetReadDeadline sets the deadline, which for an idle connection is that of the configuration in force.
func (c *callerConn) SetReadDeadline(deadline time.Time) error {
	if c.idle.Load() && c.config != nil {
		if current := c.config.Current(); current != nil && current.Callers.Idle > 0 && !deadline.IsZero() {
			deadline = time.Now().Add(current.Callers.Idle)
		}
	}
	return c.Conn.SetReadDeadline(deadline)
}

// trackIdle notes whether a connection is idle. http.Server calls it before it sets the deadline of the idle time.
func trackIdle(conn net.Conn, state http.ConnState) {
	if caller, ok := conn.(*callerConn); ok {
		caller.idle.Store(state == http.StateIdle)
	}
}
