// Package admission decides how many requests one daemon sends to an upstream concurrently, which requests wait for a slot,
// in which order they are admitted, and which are rejected early. All daemons share the slots of an upstream, but each sees
// only its own requests.
package admission

import "time"

// Feedback is what the result of one request showed about its upstream. It is one of Served, Shed,
// Unconnected and Abandoned.
type Feedback interface {
	feedback()
}

// Served means that the upstream responded.
type Served struct {
	Latency time.Duration
}

// Shed means that the upstream stated that it did not run the request.
type Shed struct{}

// Unconnected means that the upstream accepted no further connection, which says nothing about its queue.
type Unconnected struct{}

// Abandoned means that no response was received. It shows nothing about the capacity of the upstream.
type Abandoned struct{}

func (Served) feedback()      {}
func (Shed) feedback()        {}
func (Unconnected) feedback() {}
func (Abandoned) feedback()   {}

// Limit is the maximum number of requests that this daemon may have in flight at one upstream. It is one of *AdaptiveLimit
// and StaticLimit.
type Limit interface {
	limit()
}

// StaticLimit is a fixed limit: the slots of the upstream divided by the number of daemons, but at least one.
type StaticLimit struct {
	Slots, Hosts int
}

// AdaptiveLimit grows while all of it is used and the upstream responds in time. It shrinks when the upstream sheds
// requests or responds much later than usual.
type AdaptiveLimit struct {
	// Ceiling is the upper bound: the slots of the upstream or the connections to it, whichever are fewer.
	Ceiling float64
	// FairShare is this daemon's equal part of the slots. The limit starts there, or at 1 if that is higher. Late responses
	// alone never lower the limit below that, because the delay may come from this host: a busy host would otherwise stop
	// using idle workers.
	FairShare float64

	// current is the limit, from minLimit to Ceiling. It is zero before the first use.
	current float64
	// baseline and recent are moving averages of the latency. recent follows quickly. baseline follows slowly, but falls
	// quickly when the latency is low again. Both are zero before the first response.
	baseline, recent time.Duration
	// lastDecrease is the time of the last decrease. The limit is decreased at most once in each latency, since the
	// responses that follow a decrease belong to requests sent before it.
	lastDecrease time.Time
	// lastShed is the time at which the upstream last shed a request.
	lastShed time.Time
	// pausedUntil is the time until which nothing is sent while current is below 1.
	pausedUntil time.Time
}

func (StaticLimit) limit()    {}
func (*AdaptiveLimit) limit() {}

const (
	// shedFactor and lateFactor multiply the limit after a shed request and after late responses.
	shedFactor = 0.8
	lateFactor = 0.95
	// growth is the increase of the limit over as many responses as the limit allows in flight. Within slowGrowthPeriod
	// after the upstream shed a request, the increase is only slowGrowth. With 1 for both, workers shed half of the
	// requests at twice their capacity; with a slowGrowth of 0.1 they shed a tenth, at the same goodput.
	growth           = 1.0
	slowGrowth       = 0.1
	slowGrowthPeriod = 10 * time.Second
	// A minLimit below 1 allows the limit to pause the upstream for part of the time, since 11 daemons may share a worker
	// with 2 slots.
	minLimit = 0.25
	// Responses are late if recent exceeds latenessFactor times baseline plus latenessSlack. The slack keeps scheduling
	// delays of a busy host from counting as queueing at the upstream: without it, upstreams that respond within a
	// millisecond were paused for no reason.
	latenessFactor = 2
	latenessSlack  = 5 * time.Millisecond
	// baselineWeight and recentWeight are the divisors of the moving averages of the latency.
	baselineWeight = 128
	recentWeight   = 8
	// minPause is the minimum time for which an upstream is paused.
	minPause = 2 * time.Millisecond
)

// MaxInFlight returns how many requests the limit allows in flight at the given time.
func MaxInFlight(limit Limit, now time.Time) int {
	switch limit := limit.(type) {
	case StaticLimit:
		return max(1, limit.Slots/max(1, limit.Hosts))
	case *AdaptiveLimit:
		if now.Before(limit.pausedUntil) {
			return 0
		}
		limit.initialize()
		return max(1, int(limit.current))
	}
	return 0
}

// UpdateLimit adjusts the limit after a request has ended. inFlight includes that request.
func UpdateLimit(limit Limit, inFlight int, feedback Feedback, now time.Time) {
	adaptive, ok := limit.(*AdaptiveLimit)
	if !ok {
		return
	}
	adaptive.initialize()
	switch feedback := feedback.(type) {
	case Served:
		adaptive.onServed(inFlight, feedback.Latency, now)
	case Shed, Unconnected:
		adaptive.onShed(now)
	case Abandoned:
	}
}

// initialize sets the initial limit on the first use, when FairShare and Ceiling are known.
func (a *AdaptiveLimit) initialize() {
	if a.current == 0 {
		a.current = min(max(1, a.FairShare), a.Ceiling)
	}
}

// onServed decreases the limit if responses are late, and increases it if all of it is in use.
func (a *AdaptiveLimit) onServed(inFlight int, latency time.Duration, now time.Time) {
	if a.baseline == 0 {
		a.baseline, a.recent = latency, latency
	}
	a.recent += (latency - a.recent) / recentWeight
	a.baseline += (latency - a.baseline) / baselineWeight
	if a.recent < a.baseline {
		a.baseline -= (a.baseline - a.recent) / recentWeight
	}
	if a.recent > latenessFactor*a.baseline+latenessSlack {
		a.decrease(lateFactor, max(1, a.FairShare), now)
		return
	}
	if inFlight >= int(a.current) {
		step := growth
		if now.Sub(a.lastShed) < slowGrowthPeriod {
			step = slowGrowth
		}
		a.current = min(a.current+step/max(1, a.current), a.Ceiling)
	}
	a.updatePause(now)
}

func (a *AdaptiveLimit) onShed(now time.Time) {
	a.lastShed = now
	a.decrease(shedFactor, minLimit, now)
	a.updatePause(now)
}

// updatePause pauses the upstream for part of the time if the limit is below one request in flight.
func (a *AdaptiveLimit) updatePause(now time.Time) {
	if a.current < 1 {
		a.pausedUntil = now.Add(max(time.Duration(float64(a.recent)*(1/a.current-1)), minPause))
	}
}

// decrease multiplies the limit by factor but does not lower it below floor. A limit that is below floor already stays as
// it is.
func (a *AdaptiveLimit) decrease(factor, floor float64, now time.Time) {
	if now.Sub(a.lastDecrease) < a.recent {
		return
	}
	a.lastDecrease = now
	a.current = max(min(floor, a.current), a.current*factor)
}
