package balance

import (
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// Health is the pool's estimate of the state of an upstream.
type Health string

const (
	// Healthy means that the upstream responded recently.
	Healthy Health = "healthy"
	// Unhealthy means that the upstream is unreachable, is frozen, or rejects most requests.
	Unhealthy Health = "unhealthy"
	// Draining means that the upstream is shutting down or was drained by an operator.
	Draining Health = "draining"
	// Unseen means that the upstream has not responded recently.
	Unseen Health = "unseen"
)

// recentFor is how long a response counts as recent.
const recentFor = time.Minute

// View is what the pool knows about one upstream.
type View struct {
	Health Health
	// InFlight is the number of this daemon's requests that are in flight.
	InFlight int
}

// Views returns what the pool knows about each upstream.
func (p *Pool) Views(now time.Time) map[fleet.UpstreamID]View {
	p.mu.Lock()
	defer p.mu.Unlock()
	views := make(map[fleet.UpstreamID]View, len(p.upstreams))
	for _, upstream := range p.upstreams {
		views[upstream.ID] = View{Health: upstream.health(now), InFlight: upstream.inFlight}
	}
	return views
}

func (e *upstreamEstimate) health(now time.Time) Health {
	switch {
	case e.isLeaving(now):
		return Draining
	case e.isUnhealthy(now):
		return Unhealthy
	case e.lastResponse.IsZero() || now.Sub(e.lastResponse) > recentFor:
		return Unseen
	}
	return Healthy
}
