package front

import (
	"container/list"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"rosemarywick.example/rosemarywick/internal/caller/budget"
	"rosemarywick.example/rosemarywick/internal/core/timer"
)

// acceptRetryDelay is the pause after a temporary error of accept.
const acceptRetryDelay = 50 * time.Millisecond

// refusalLogInterval is the least time between two log lines about refused connections, since a crowd may cause thousands a
// second.
const refusalLogInterval = time.Second

// callerListener accepts the connections of callers and bounds their number. The fields up to limit are set before Accept.
type callerListener struct {
	net.Listener
	config Configuration
	clock  timer.Clock
	log    zerolog.Logger
	// limit is the number of connections that are kept open at a time, or zero if it is not limited.
	limit int
	// budget holds room for each connection. Nil means that there is no limit.
	budget *budget.Budget

	// refused counts the connections that were refused since the last log line, at refusalLogged. Only Accept uses them.
	refused       int
	refusalLogged time.Time

	closeOnce sync.Once
	// closeErr is set by closeOnce.
	closeErr error

	mu sync.Mutex
	// open is guarded by mu and counts the connections.
	open int
	// idle is guarded by mu and holds the idle connections, that which has been idle for longest first.
	idle list.List
}

// Close closes the listener once and returns the same error each time, as both Frontend and http.Server call it.
func (l *callerListener) Close() error {
	l.closeOnce.Do(func() { l.closeErr = errors.Wrap(l.Listener.Close(), "front: close listener") })
	return l.closeErr
}

// Accept waits for the next connection and returns it as a callerConn. A lack of resources ends no server: the connection
// that has been idle for longest is closed, and accepting goes on after a pause. If all connections are in use at the limit,
// a new one is closed.
func (l *callerListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil && !isTemporary(err) {
			return nil, errors.Wrap(err, "front: accept")
		}
		if err != nil {
			l.log.Warn().Err(err).Bool("closed-idle", l.closeLongestIdle()).Msg("connection of a caller not accepted")
			_ = timer.Wait(context.Background(), l.clock, acceptRetryDelay) // the context does not end
			continue
		}
		if caller := l.admit(conn); caller != nil {
			return caller, nil
		}
		l.logRefusal()
		_ = conn.Close()
	}
}

// logRefusal logs refused connections, at most one line in refusalLogInterval. Only Accept calls it.
func (l *callerListener) logRefusal() {
	l.refused++
	now := l.clock.Now()
	if now.Sub(l.refusalLogged) < refusalLogInterval {
		return
	}
	l.log.Warn().Int("refused", l.refused).Msg("connections of callers refused: all connections are in use")
	l.refused, l.refusalLogged = 0, now
}

// admit counts a new connection, and returns nil if the limit does not allow it.
func (l *callerListener) admit(conn net.Conn) *callerConn {
	for l.atLimit() {
		if !l.closeLongestIdle() {
			return nil
		}
	}
	caller := &callerConn{Conn: conn, config: l.config, listener: l, cancelRequests: func() {}}
	holder, ok := l.budget.Open(caller.cutOff)
	for !ok {
		if !l.closeLongestIdle() {
			return nil
		}
		holder, ok = l.budget.Open(caller.cutOff)
	}
	l.mu.Lock()
	l.open++
	l.mu.Unlock()
	caller.holder = holder
	caller.ahead = readAhead{conn: conn, holder: holder, gone: func() { caller.cancelRequests() }}
	if l.budget != nil {
		caller.setReceiveBuffer(budget.ReceiveBuffer)
	}
	return caller
}

func (l *callerListener) atLimit() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limit > 0 && l.open >= l.limit
}

// closeLongestIdle closes the connection that has been idle for longest, and returns false if none is idle.
func (l *callerListener) closeLongestIdle() bool {
	l.mu.Lock()
	first := l.idle.Front()
	if first == nil {
		l.mu.Unlock()
		return false
	}
	conn, _ := l.idle.Remove(first).(*callerConn)
	conn.idlePosition = nil
	l.mu.Unlock()
	_ = conn.Close()
	return true
}

// setIdle records whether a connection is idle.
func (l *callerListener) setIdle(conn *callerConn, idle bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case conn.closed || idle == (conn.idlePosition != nil):
	case idle:
		conn.idlePosition = l.idle.PushBack(conn)
	default:
		l.idle.Remove(conn.idlePosition)
		conn.idlePosition = nil
	}
}

// forget stops counting a connection that was closed.
func (l *callerListener) forget(conn *callerConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if conn.closed {
		return
	}
	conn.closed = true
	l.open--
	if conn.idlePosition != nil {
		l.idle.Remove(conn.idlePosition)
		conn.idlePosition = nil
	}
}

// isTemporary reports whether a later accept may succeed although this one failed.
func isTemporary(err error) bool {
	var number syscall.Errno
	return errors.As(err, &number) && (number.Temporary() || number == syscall.ENOBUFS || number == syscall.ENOMEM)
}
