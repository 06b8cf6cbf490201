package requests

import (
	"strconv"
	"time"

	"rosemarywick.example/rosemarywick/internal/routing/balance"
)

// choose returns the worker that a host chooses by the policy of the simulation.
func (w *world) choose(now time.Time, host int) int {
	switch w.policy {
	case PolicyProduct:
		if id, ok := w.pools[host].Pick(now, balance.Criteria{Idempotent: true}); ok {
			index, _ := strconv.Atoi(string(id))
			return index
		}
	case PolicyRoundRobin:
		w.turn[host]++
		return w.turn[host] % w.Workers
	case PolicyLeast:
		return w.least(host)
	case PolicyThreshold:
		return w.belowAverage()
	case PolicyRandom:
	}
	return w.random.IntN(w.Workers)
}

// least returns the worker with the fewest requests of the host, and one of several at random.
func (w *world) least(host int) int {
	first := w.random.IntN(w.Workers)
	best := first
	for i := range w.Workers {
		if next := (first + i) % w.Workers; w.own[host][next] < w.own[host][best] {
			best = next
		}
	}
	return best
}

func (w *world) belowAverage() int {
	total := 0
	for _, load := range w.reports {
		total += load
	}
	first := w.random.IntN(w.Workers)
	for i := range w.Workers {
		if next := (first + i) % w.Workers; w.reports[next]*w.Workers < total {
			return next
		}
	}
	return first
}
