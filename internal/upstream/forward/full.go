package forward

import (
	"io"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// minHold and maxHold bound for how long no connection is opened to an upstream that resets new ones. An upstream at its limit
	// closes connections that were idle for 10 s, so that about a sixth of them become free within maxHold.
	minHold = 100 * time.Millisecond
	maxHold = 1600 * time.Millisecond
	// holdJitter is the part of a hold that is random, so that the daemons that were reset together do not come back together.
	holdJitter = 0.5
	// fullResetWindow is how soon after its opening a reset new connection counts as one beyond the upstream's limit. Such a reset
	// takes about one round trip; a later one is more likely a crash of the upstream.
	fullResetWindow = 250 * time.Millisecond
	// fullMemory is how long an upstream that has reset a connection or refused a request as full counts as close to its limit.
	// Each of 87 daemons sends a request to an upstream in 12 s, so that a shorter time would seldom cover the next one.
	fullMemory = time.Minute
	// sharedFullMemory is how long a sign of one upstream counts for the others of its service, which are often full together.
	sharedFullMemory = 10 * time.Second
	// seriesEnd is the time without a reset after which a further one begins a new series.
	seriesEnd = 10 * time.Second
	// minResetWait and maxResetWait bound the wait for a reset before a non-idempotent request is written. The lower bound leaves
	// the upstream's process time to accept and reset the connection, which takes longer than the round trip if it is near; the
	// upper one applies when the opening of the connection was delayed by a lost packet.
	minResetWait = 5 * time.Millisecond
	maxResetWait = 25 * time.Millisecond
)

// errFull means that the upstream has reset new connections.
var errFull = errors.New("forward: upstream accepts no further connection for now")

// Event is a change in how connections are used, for logs and metrics. It is one of UpstreamFull, UpstreamAccepts and
// ReuseShortened.
type Event interface {
	event()
}

// UpstreamFull means that the upstream reset a new connection, and that no other one is opened for the time of Hold. First is set
// for the first reset of a series, which UpstreamAccepts ends.
type UpstreamFull struct {
	Hold  time.Duration
	First bool
}

// UpstreamAccepts means that the upstream, which was full, has responded on a new connection after a time.
type UpstreamAccepts struct{ After time.Duration }

// ReuseShortened means that a connection which had been idle for IdleAge was reset when it was used again, and that connections
// are reused only up to an idle age of Limit for a while. Idempotent reports whether that applies to idempotent requests too.
type ReuseShortened struct {
	IdleAge, Limit time.Duration
	Idempotent     bool
}

func (UpstreamFull) event()    {}
func (UpstreamAccepts) event() {}
func (ReuseShortened) event()  {}

// fullState is what a client knows about the connection limit of its upstream.
type fullState struct {
	mu sync.Mutex
	// hold is guarded by mu: the present hold, or zero while the upstream accepts connections.
	hold time.Duration
	// until is guarded by mu: no connection is opened before. A connection that is opened after it is a trial, and moves it.
	until time.Time
	// since is guarded by mu: when the first connection of the present series was reset. lastReset is the latest one.
	since, lastReset time.Time
	// lastSign is guarded by mu: the latest reset or refusal.
	lastSign time.Time
}

// wait returns how long no connection may be opened. It is zero if one may be opened now.
func (f *fullState) wait(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.hold == 0 {
		return 0
	}
	return max(0, f.until.Sub(now))
}

// tryOpen returns how long no connection may be opened, or zero if one may be opened now. While the upstream counts as full, that
// one is a trial, and the next one has to wait for its outcome.
func (f *fullState) tryOpen(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.hold == 0 {
		return 0
	}
	if left := f.until.Sub(now); left > 0 {
		return left
	}
	f.until = now.Add(f.hold)
	return 0
}

// noteReset records that the upstream reset a connection that was opened at a time, and returns the hold. Connections that were
// opened before the previous reset do not extend it.
func (f *fullState) noteReset(now, openedAt time.Time) UpstreamFull {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastSign = now
	if f.hold > 0 && openedAt.Before(f.lastReset) {
		return UpstreamFull{Hold: max(0, f.until.Sub(now))}
	}
	first := f.hold == 0
	if first || now.Sub(f.lastReset) > seriesEnd {
		f.hold, f.since = 0, now
	}
	f.lastReset = now
	f.hold = min(max(2*f.hold, minHold), maxHold)
	f.until = now.Add(f.hold + time.Duration(rand.Float64()*holdJitter*float64(f.hold)))
	return UpstreamFull{Hold: f.until.Sub(now), First: first}
}

// noteResponse records a response on a new connection, which ends the hold. It returns the duration of the series of resets that
// it ended, or zero.
func (f *fullState) noteResponse(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.hold == 0 {
		return 0
	}
	f.hold = 0
	return max(now.Sub(f.since), 1)
}

// noteRefusal records that the upstream refused a request.
func (f *fullState) noteRefusal(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastSign = now
}

// recent reports whether the upstream has recently reset a connection or refused a request.
func (f *fullState) recent(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.lastSign.IsZero() && now.Sub(f.lastSign) < fullMemory
}

// isReset reports whether an error of a connection is a reset by the peer.
func isReset(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// HeldFor returns for how long a request cannot be sent because the upstream is full. It is zero if there is a connection that
// the request may use or one may be opened.
func (c *Client) HeldFor(nonIdempotent bool) time.Duration {
	now := c.Clock.Now()
	left := c.full.wait(now)
	if left == 0 || !c.HoldNewConnections {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.idle {
		if c.mayReuse(now, conn, nonIdempotent) {
			return 0
		}
	}
	return left
}

// awaitReset checks a new connection for a reset for about one round trip, if the upstream has recently been full. An error means
// that the connection cannot be used and that nothing was sent on it.
func (e *exchange) awaitReset() error {
	now := e.client.Clock.Now()
	if e.request.Reused || !e.request.NonIdempotent || !e.client.full.recent(now) && !e.client.Shared.recentlyFull(now) {
		return nil
	}
	conn := e.connection
	wait := min(max(conn.connectTime, minResetWait), maxResetWait)
	_ = conn.SetReadDeadline(time.Now().Add(wait)) // an error shows at the next read
	_, err := conn.reader.Peek(1)
	_ = conn.SetReadDeadline(time.Time{})
	var timeout interface{ Timeout() bool }
	switch {
	case err == nil:
		return errIdleUnusable
	case errors.As(err, &timeout) && timeout.Timeout():
		return nil
	}
	if errors.Is(err, io.EOF) { // a new connection that is closed is refused in the same way as one that is reset
		err = errors.Mark(err, syscall.ECONNRESET)
	}
	return errors.Wrap(err, "forward: connection was closed before the request was written")
}

// failed classifies the loss of a connection before a response, and reports whether it shows that the upstream is full.
func (e *exchange) failed(err error) bool {
	now := e.client.Clock.Now()
	if !isReset(err) || e.ctx.Err() != nil || e.connection.received > e.receivedBefore {
		return false
	}
	if e.request.Reused {
		if now.Sub(e.started) <= idleResetWindow {
			e.client.noteIdleReset(now, e.connection.idleFor)
		}
		return false
	}
	if now.Sub(e.connection.openedAt) > fullResetWindow {
		return false
	}
	e.client.noteFull(now, e.connection.openedAt)
	return true
}

// noteFull records that the upstream reset a connection that was opened at a time.
func (c *Client) noteFull(now, openedAt time.Time) {
	c.Shared.noteFull(now)
	c.report(c.full.noteReset(now, openedAt))
}

// responded records that the upstream responded to the request.
func (e *exchange) responded() {
	if e.request.Reused {
		return
	}
	if after := e.client.full.noteResponse(e.client.Clock.Now()); after > 0 {
		e.client.report(UpstreamAccepts{After: after})
	}
}

// report passes an event on.
func (c *Client) report(event Event) {
	if c.OnEvent != nil {
		c.OnEvent(event)
	}
}
