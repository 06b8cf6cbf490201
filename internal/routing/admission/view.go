package admission

import (
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// Waiting returns the number of tickets that wait.
func (g *Gate) Waiting() int {
	return g.waiting.length
}

// LimitOf returns how many requests the gate allows in flight at an upstream at the time.
func (g *Gate) LimitOf(id fleet.UpstreamID, now time.Time) int {
	return Size(g.lane(id).limit, now)
}
