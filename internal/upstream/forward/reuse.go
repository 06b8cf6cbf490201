package forward

import (
	"math"
	"sync"
	"time"
)

const (
	// idleResetWindow is how soon after the request a reset of a reused connection counts as caused by its having been idle. The
	// upstream's host answers with such a reset at once; a later one is more likely a crash of the upstream.
	idleResetWindow = 100 * time.Millisecond
	// minSuspectIdle is the shortest idle age that is taken for the cause of a reset.
	minSuspectIdle = 100 * time.Millisecond
	// idleCut divides the idle age at which a connection was reset. The result is the age up to which connections are reused.
	idleCut = 2
	// reusePeriod is how long reuse stays limited after a reset. It covers three times the 10 s after which upstreams commonly close
	// idle connections.
	reusePeriod = 30 * time.Second
)

// Shared is what the clients of one service on one daemon learn together: up to which idle age connections are reused, and
// whether upstreams are full. While reused connections meet resets, the age is limited: the first reset limits it for
// non-idempotent requests, whose outcome is lost by it, and a further one within reusePeriod also for idempotent requests. The
// zero value has no limit.
type Shared struct {
	mu sync.Mutex
	// nonIdempotent and idempotent are guarded by mu.
	nonIdempotent, idempotent ageLimit
	// lastFull is guarded by mu: when an upstream last reset a new connection.
	lastFull time.Time
}

// ageLimit is an idle age that applies until a time.
type ageLimit struct {
	age   time.Duration
	until time.Time
}

// current returns the limit in force.
func (a ageLimit) current(now time.Time) time.Duration {
	if !now.Before(a.until) {
		return math.MaxInt64
	}
	return a.age
}

// shorten lowers the limit to an age and extends it.
func (a *ageLimit) shorten(now time.Time, age time.Duration) {
	a.age, a.until = min(a.current(now), age), now.Add(reusePeriod)
}

// maxAge returns the idle age up to which connections are reused.
func (s *Shared) maxAge(now time.Time, nonIdempotent bool) time.Duration {
	if s == nil {
		return math.MaxInt64
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if nonIdempotent {
		return s.nonIdempotent.current(now)
	}
	return s.idempotent.current(now)
}

// noteReset records that a connection which had been idle was reset when it was used again.
func (s *Shared) noteReset(now time.Time, idle time.Duration) ReuseShortened {
	s.mu.Lock()
	defer s.mu.Unlock()
	repeated := now.Before(s.nonIdempotent.until)
	s.nonIdempotent.shorten(now, idle/idleCut)
	if repeated {
		s.idempotent.shorten(now, idle/idleCut)
	}
	return ReuseShortened{IdleAge: idle, Limit: s.nonIdempotent.age, Idempotent: repeated}
}

// noteFull records that an upstream reset a new connection.
func (s *Shared) noteFull(now time.Time) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastFull = now
}

// recentlyFull reports whether an upstream has recently reset a new connection.
func (s *Shared) recentlyFull(now time.Time) bool {
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.lastFull.IsZero() && now.Sub(s.lastFull) < sharedFullMemory
}

// noteIdleReset limits the reuse of connections after a reset of one that had been idle.
func (c *Client) noteIdleReset(now time.Time, idle time.Duration) {
	if c.Shared == nil || idle < minSuspectIdle {
		return
	}
	c.report(c.Shared.noteReset(now, idle))
}

// mayReuse reports whether a request may use an idle connection. A non-idempotent one needs a connection that the upstream is not
// about to close, since its outcome would be unknown.
func (c *Client) mayReuse(now time.Time, conn *connection, nonIdempotent bool) bool {
	expires := conn.expires
	if nonIdempotent {
		expires = conn.expiresSafely
	}
	return now.Before(expires) && now.Sub(conn.idleSince) <= c.Shared.maxAge(now, nonIdempotent)
}

// takeIdle removes and returns the most recently used connection that the request may use, or nil if there is none. The second
// result lists the connections that have expired and are to be closed.
func (c *Client) takeIdle(request *Request) (*connection, []*connection) {
	now := c.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	var expired []*connection
	kept := c.idle[:0]
	for _, conn := range c.idle {
		if now.Before(conn.expires) {
			kept = append(kept, conn)
		} else {
			expired = append(expired, conn)
		}
	}
	clear(c.idle[len(kept):])
	c.idle = kept
	for i := len(c.idle) - 1; i >= 0; i-- {
		conn := c.idle[i]
		tooNew := !request.OpenBefore.IsZero() && !conn.openedAt.Before(request.OpenBefore)
		if tooNew || !c.mayReuse(now, conn, request.NonIdempotent) {
			continue
		}
		c.idle = append(c.idle[:i], c.idle[i+1:]...)
		conn.idleFor = now.Sub(conn.idleSince)
		return conn, expired
	}
	return nil, expired
}

// makeRoom removes the idle connections that exceed the limit together with those in use, the oldest first.
func (c *Client) makeRoom() []*connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	surplus := min(max(0, len(c.idle)+len(c.slots)-cap(c.slots)), len(c.idle))
	removed := c.idle[:surplus:surplus]
	c.idle = c.idle[surplus:]
	return removed
}

func closeAll(connections []*connection) {
	for _, conn := range connections {
		_ = conn.Close()
	}
}
