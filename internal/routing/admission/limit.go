// Package admission decides how many requests one daemon sends to an upstream at the same time, which requests wait for
// that, in which order, and which are rejected early. An upstream's slots are shared by all daemons, and no daemon sees
// more than its own requests.
package admission

import "time"

// Feedback is what one request taught about its upstream. It is one of Served, Shed and Abandoned.
type Feedback interface {
	feedback()
}

// Served means that the upstream answered.
type Served struct {
	Latency time.Duration
}

// Shed means that the upstream stated that it did not run the request.
type Shed struct{}

// Abandoned means that no answer came; it teaches nothing about the upstream's capacity.
type Abandoned struct{}

func (Served) feedback()    {}
func (Shed) feedback()      {}
func (Abandoned) feedback() {}

// Limit bounds the requests of this daemon in flight at one upstream. It is one of *Adaptive and Static.
type Limit interface {
	limit()
}

// Static is a fixed limit: the upstream's slots divided by the number of daemons, and at least one.
type StaticLimit struct {
	Slots, Hosts int
}

// Adaptive is a limit that grows while it binds and the upstream answers, and shrinks when the upstream sheds or answers
// much later than usual.
type AdaptiveLimit struct {
	// Ceiling is the number of slots or of connections of the upstream, whichever is lower.
	Ceiling float64
	// Fair is this daemon's even part of the slots. The limit begins there, or at 1, and late answers alone never lower
	// it further, since they may be due to this host: a busy host otherwise left idle workers alone.
	FairShare float64

	// current lies between leastLimit and Ceiling.
	current float64
	// usual follows the latency slowly, recent follows it quickly; both are zero before the first answer.
	usual, recent time.Duration
	// cut is the time of the last decrease. One decrease for each latency suffices, since the answers that follow it
	// were caused before it.
	cut time.Time
	// shedAt is the time at which the upstream shed last.
	shedAt time.Time
	// paused is the time until which nothing is sent, while current is below 1.
	paused time.Time
}

func (StaticLimit) limit()    {}
func (*AdaptiveLimit) limit() {}

const (
	shedFactor  = 0.8
	queueFactor = 0.95
	// growth is how much the limit grows for as many answers as it allows in flight, and slowGrowth the same within calm
	// after the upstream shed. With 1 for both, workers shed half of the requests at twice their capacity, and with 0.1 a
	// tenth, at the same goodput.
	growth     = 1.0
	slowGrowth = 0.1
	calm       = 10 * time.Second
	// leastLimit below 1 means that the upstream is left alone for a part of the time, since a worker with 2 slots is
	// shared by 11 daemons.
	leastLimit   = 0.25
	lateMultiple = 2
	// lateSlack keeps scheduling delays of a busy host from counting as queueing at the upstream. Without it, upstreams
	// that answer within a millisecond were left alone for no reason.
	lateSlack   = 5 * time.Millisecond
	slowWeight  = 128
	quickWeight = 8
	// shortPause is the least time for which an upstream is left alone.
	shortPause = 2 * time.Millisecond
)

// Size returns how many requests the limit allows in flight at the time.
func MaxInFlight(limit Limit, now time.Time) int {
	switch limit := limit.(type) {
	case StaticLimit:
		return max(1, limit.Slots/max(1, limit.Hosts))
	case *AdaptiveLimit:
		if now.Before(limit.paused) {
			return 0
		}
		limit.start()
		return max(1, int(limit.current))
	}
	return 0
}

// Learn changes the limit by what a request taught. inFlight counts that request too.
func UpdateLimit(limit Limit, inFlight int, feedback Feedback, now time.Time) {
	adaptive, ok := limit.(*AdaptiveLimit)
	if !ok {
		return
	}
	adaptive.start()
	switch feedback := feedback.(type) {
	case Served:
		adaptive.served(inFlight, feedback.Latency, now)
	case Shed:
		adaptive.shed(now)
	case Abandoned:
	}
}

func (a *AdaptiveLimit) start() {
	if a.current == 0 {
		a.current = min(max(1, a.FairShare), a.Ceiling)
	}
}

func (a *AdaptiveLimit) served(inFlight int, latency time.Duration, now time.Time) {
	if a.usual == 0 {
		a.usual, a.recent = latency, latency
	}
	a.recent += (latency - a.recent) / quickWeight
	a.usual += (latency - a.usual) / slowWeight
	if a.recent < a.usual {
		a.usual -= (a.usual - a.recent) / quickWeight
	}
	if a.recent > lateMultiple*a.usual+lateSlack {
		a.decrease(queueFactor, max(1, a.FairShare), now)
		return
	}
	if inFlight >= int(a.current) {
		step := growth
		if now.Sub(a.shedAt) < calm {
			step = slowGrowth
		}
		a.current = min(a.current+step/max(1, a.current), a.Ceiling)
	}
	a.pause(now)
}

func (a *AdaptiveLimit) shed(now time.Time) {
	a.shedAt = now
	a.decrease(shedFactor, leastLimit, now)
	a.pause(now)
}

// pause leaves the upstream alone for a part of the time if less than one request in flight is allowed.
func (a *AdaptiveLimit) pause(now time.Time) {
	if a.current < 1 {
		a.paused = now.Add(max(time.Duration(float64(a.recent)*(1/a.current-1)), shortPause))
	}
}

// decrease lowers the limit, but a limit below least already stays.
func (a *AdaptiveLimit) decrease(factor, least float64, now time.Time) {
	if now.Sub(a.cut) < a.recent {
		return
	}
	a.cut = now
	a.current = max(min(least, a.current), a.current*factor)
}
