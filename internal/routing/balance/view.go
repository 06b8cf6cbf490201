package balance

import (
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// Health says what the pool believes about an upstream.
type Health string

const (
	// Healthy means that the upstream answered lately.
	Healthy Health = "healthy"
	// Unhealthy means that the upstream is unreachable, frozen, or rejects most requests.
	Unhealthy Health = "unhealthy"
	// Draining means that the upstream is leaving.
	Draining Health = "draining"
	// Unseen means that no request has shown anything about the upstream lately.
	Unseen Health = "unseen"
)

// seenFor is how long an answer counts as recent.
const seenFor = time.Minute

// View is what the pool knows about one upstream.
type View struct {
	Health Health
	// InFlight counts the requests of this daemon.
	InFlight int
}

// Views returns what the pool knows about each upstream.
func (p *Pool) Views(now time.Time) map[fleet.UpstreamID]View {
	p.mu.Lock()
	defer p.mu.Unlock()
	views := make(map[fleet.UpstreamID]View, len(p.members))
	for _, one := range p.members {
		views[one.ID] = View{Health: one.health(now), InFlight: one.inFlight}
	}
	return views
}

func (m *member) health(now time.Time) Health {
	switch {
	case m.out(now):
		return Draining
	case m.bad(now):
		return Unhealthy
	case m.answered.IsZero() || now.Sub(m.answered) > seenFor:
		return Unseen
	}
	return Healthy
}
