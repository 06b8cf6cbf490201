package requests

import (
	"strconv"
	"time"

	"rosemarywick.example/rosemarywick/internal/routing/balance"
)

// choose returns the worker that a host chooses by the policy of the simulation.
func (w *simulator) chooseWorker(now time.Time, host int) int {
	switch w.policy {
	case PolicyTwoChoices:
		if id, ok := w.pools[host].Pick(now, balance.Criteria{Idempotent: true}); ok {
			index, _ := strconv.Atoi(string(id))
			return index
		}
	case PolicyRoundRobin:
		w.lastChosen[host]++
		return w.lastChosen[host] % w.Workers
	case PolicyLeastInFlight:
		return w.leastInFlight(host)
	case PolicyThreshold:
		return w.firstBelowAverage()
	case PolicyRandom:
	}
	return w.random.IntN(w.Workers)
}

// least returns the worker with the fewest requests of the host, and one of several at random.
func (w *simulator) leastInFlight(host int) int {
	first := w.random.IntN(w.Workers)
	best := first
	for i := range w.Workers {
		if next := (first + i) % w.Workers; w.inFlight[host][next] < w.inFlight[host][best] {
			best = next
		}
	}
	return best
}

func (w *simulator) firstBelowAverage() int {
	total := 0
	for _, load := range w.reportedLoads {
		total += load
	}
	first := w.random.IntN(w.Workers)
	for i := range w.Workers {
		if next := (first + i) % w.Workers; w.reportedLoads[next]*w.Workers < total {
			return next
		}
	}
	return first
}
