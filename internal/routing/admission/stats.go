package admission

import (
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// QueueLength returns the number of queued requests.
func (c *Controller) QueueLength() int {
	return c.queue.length
}

// ConcurrencyLimit returns how many requests the controller allows in flight at an upstream at the given time.
func (c *Controller) ConcurrencyLimit(id fleet.UpstreamID, now time.Time) int {
	return MaxInFlight(c.upstream(id).limit, now)
}
