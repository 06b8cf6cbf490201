package admission

import (
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// Waiting returns the number of tickets that wait.
func (g *Controller) QueueLength() int {
	return g.waiting.length
}

// LimitOf returns how many requests the gate allows in flight at an upstream at the time.
func (g *Controller) ConcurrencyLimit(id fleet.UpstreamID, now time.Time) int {
	return MaxInFlight(g.lane(id).limit, now)
}
