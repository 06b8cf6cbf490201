package assigner

import (
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/ownership/keymap"
)

// ConfirmationRequest is a router's request to an UnguardedAssigner to confirm the router's partition map.
type ConfirmationRequest struct {
	// Number identifies the request; the confirmation repeats it.
	Number uint64
	// Epoch and Counter are the fence of the latest change that the router knows.
	Epoch   fleet.Epoch
	Counter uint64
}

// Confirmation is the reply to a ConfirmationRequest. Once the router has applied Changes, it may use the map for Term,
// counted from before it sent the request.
type Confirmation struct {
	Number   uint64
	Epoch    fleet.Epoch
	Counter  uint64
	Duration time.Duration
	// Changes are the assignments of this epoch that changed after the fence in the request.
	Changes []fleet.Assignment
}

// maxPendingRequests bounds the requests whose confirmations are still accepted; older ones are too late to extend the
// term.
const maxPendingRequests = 8

// ConfirmedMap is a router's partition map for a service whose servers do not check orders. The map may be used only
// while a confirmation of the acting UnguardedAssigner is valid. ConfirmedMap does no I/O, and the caller must serialize
// all calls.
type ConfirmedMap struct {
	// Partitions is the number of hash ranges. It is set before first use.
	Partitions int

	assignments *keymap.Map
	epoch       fleet.Epoch
	counter     uint64
	// confirmedUntil is the end of the latest confirmation.
	confirmedUntil time.Time
	// requestedAt holds the send times of the outstanding requests by their numbers.
	requestedAt map[uint64]time.Time
	lastNumber  uint64
}

// NewRequest returns the next request. It must be called before the request is sent, since the confirmed term counts
// from now.
func (c *ConfirmedMap) NewRequest(now time.Time) ConfirmationRequest {
	if c.requestedAt == nil {
		c.requestedAt = make(map[uint64]time.Time)
	}
	c.lastNumber++
	c.requestedAt[c.lastNumber] = now
	delete(c.requestedAt, c.lastNumber-maxPendingRequests)
	return ConfirmationRequest{Number: c.lastNumber, Epoch: c.epoch, Counter: c.counter}
}

// ApplyConfirmation applies a confirmation. One that belongs to an earlier epoch or to no outstanding request is
// ignored.
func (c *ConfirmedMap) ApplyConfirmation(confirmation Confirmation) {
	sentAt, found := c.requestedAt[confirmation.Number]
	if !found || confirmation.Epoch < c.epoch {
		return
	}
	delete(c.requestedAt, confirmation.Number)
	if confirmation.Epoch > c.epoch {
		c.assignments, c.epoch, c.counter = keymap.New(c.Partitions), confirmation.Epoch, 0
	}
	c.assignments, _ = c.assignments.Merge(confirmation.Changes)
	c.counter = max(c.counter, confirmation.Counter)
	if until := sentAt.Add(confirmation.Duration); until.After(c.confirmedUntil) {
		c.confirmedUntil = until
	}
}

// Locate returns the assignment of a key and the time by which a request forwarded to its owner must have ended. It
// reports false if the map is not confirmed; in a confirmed map a key may still have no owner.
func (c *ConfirmedMap) Locate(now time.Time, key fleet.KeyHash) (fleet.Assignment, time.Time, bool) {
	if !now.Before(c.confirmedUntil) {
		return fleet.Assignment{}, time.Time{}, false
	}
	assignment := c.assignments.Locate(key)
	if assignment.Moving {
		assignment.Owner = ""
	}
	return assignment, c.confirmedUntil, true
}
