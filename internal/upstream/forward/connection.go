package forward

import (
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// errSealed is the error of a write to a connection on which its request has been given up.
var errSealed = errors.New("forward: connection is sealed")

// connection counts the bytes handed to the operating system, so that "no byte was sent" can be proved.
type connection struct {
	net.Conn
	// dialed is how long it took to establish the connection.
	dialed time.Duration

	mu sync.Mutex
	// written is guarded by mu and counts the bytes that the operating system accepted.
	written int64
	// sealed is guarded by mu; nothing is written once it is set.
	sealed bool
}

// Write passes p on unless the connection is sealed.
func (c *connection) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return 0, errSealed
	}
	n, err := c.Conn.Write(p)
	c.written += int64(n)
	return n, err
}

// total returns the bytes written so far.
func (c *connection) total() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// seal ends the connection and returns the final count. http.Transport writes in a goroutine that may still run after
// the request has failed; closing first unblocks a write that is under way.
func (c *connection) seal() int64 {
	_ = c.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.written
}

// attempt follows the connections that http.Transport uses for one request.
type attempt struct {
	mu sync.Mutex
	// current is guarded by mu; it is nil until a connection was assigned.
	current *connection
	// before is guarded by mu and holds the count of current when it was assigned.
	before int64
	// reached is guarded by mu; it is set when bytes of the request were written to an earlier connection.
	reached bool
	// closed is guarded by mu; connections that are assigned later are sealed.
	closed bool
}

// assign is called when http.Transport chose a connection. The transport may choose a second one when it repeats a
// request by itself; that is stopped here if a byte of the request was written before.
func (a *attempt) assign(next *connection) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.current != nil && a.current.seal() > a.before {
		a.reached = true
	}
	if a.closed || a.reached {
		next.seal()
	}
	a.current, a.before = next, next.total()
}

// giveUp ends all writing for the request and reports whether a byte of it was written.
func (a *attempt) giveUp() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	if a.current != nil && a.current.seal() > a.before {
		a.reached = true
	}
	return a.reached
}
