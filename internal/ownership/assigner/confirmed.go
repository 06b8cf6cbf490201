package assigner

import (
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/ownership/keymap"
)

// ConfirmQuestion is a router's question to the assigner of a service whose servers check no orders.
type ConfirmationRequest struct {
	// Number identifies the question; the answer repeats it.
	Number uint64
	// Epoch and Counter say which changes the router knows.
	Epoch   fleet.Epoch
	Counter uint64
}

// Confirmation is the answer. A router that knows the changes may use the map for Term from before it asked.
type Confirmation struct {
	Number  uint64
	Epoch   fleet.Epoch
	Counter uint64
	Term    time.Duration
	// Changes are all assignments of this epoch that changed after those known to the router.
	Changes []fleet.Assignment
}

// maxQuestions bounds the questions whose answers are waited for. Answers that come later are of no use.
const maxQuestions = 8

// Confirmed is what a router knows of a service whose servers check no orders. It is a pure decision under its user's
// lock.
type ConfirmedMap struct {
	// Partitions is the number of hash ranges. It is set before first use.
	Partitions int

	known   *keymap.Map
	epoch   fleet.Epoch
	counter uint64
	// until is the end of the last confirmation.
	until  time.Time
	asked  map[uint64]time.Time
	number uint64
}

// Ask returns the next question to the assigner. It is called before the question is sent.
func (c *ConfirmedMap) NewRequest(now time.Time) ConfirmationRequest {
	if c.asked == nil {
		c.asked = make(map[uint64]time.Time)
	}
	c.number++
	c.asked[c.number] = now
	delete(c.asked, c.number-maxQuestions)
	return ConfirmationRequest{Number: c.number, Epoch: c.epoch, Counter: c.counter}
}

// Answered takes over an answer. An answer of an earlier epoch, or to a question that was not asked, is ignored.
func (c *ConfirmedMap) ApplyConfirmation(answer Confirmation) {
	asked, found := c.asked[answer.Number]
	if !found || answer.Epoch < c.epoch {
		return
	}
	delete(c.asked, answer.Number)
	if answer.Epoch > c.epoch {
		c.known, c.epoch, c.counter = keymap.New(c.Partitions), answer.Epoch, 0
	}
	c.known, _ = c.known.Merge(answer.Changes)
	c.counter = max(c.counter, answer.Counter)
	if until := asked.Add(answer.Term); until.After(c.until) {
		c.until = until
	}
}

// Locate returns the assignment of a key and the time at which a request forwarded to its owner must have ended. It
// reports false when the map is not confirmed; a confirmed map may still have no owner for the key.
func (c *ConfirmedMap) Locate(now time.Time, key fleet.KeyHash) (fleet.Assignment, time.Time, bool) {
	if !now.Before(c.until) {
		return fleet.Assignment{}, time.Time{}, false
	}
	assignment := c.known.Locate(key)
	if assignment.Moving {
		assignment.Owner = ""
	}
	return assignment, c.until, true
}
