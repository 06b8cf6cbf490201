package requests

import (
	"strconv"
	"time"

	"rosemarywick.example/rosemarywick/internal/routing/balance"
)

// chooseWorker returns the index of the worker to which a host sends a request under the simulated policy.
func (sim *simulator) chooseWorker(now time.Time, host int) int {
	switch sim.policy {
	case PolicyTwoChoices:
		if id, ok := sim.pools[host].Pick(now, balance.Criteria{Idempotent: true}); ok {
			index, _ := strconv.Atoi(string(id))
			return index
		}
	case PolicyRoundRobin:
		sim.lastChosen[host]++
		return sim.lastChosen[host] % sim.Workers
	case PolicyLeastInFlight:
		return sim.leastInFlight(host)
	case PolicyThreshold:
		return sim.firstBelowAverage()
	case PolicyRandom:
	}
	return sim.random.IntN(sim.Workers)
}

// leastInFlight returns the worker with the fewest requests in flight from the host. It breaks ties at random.
func (sim *simulator) leastInFlight(host int) int {
	first := sim.random.IntN(sim.Workers)
	best := first
	for i := range sim.Workers {
		if worker := (first + i) % sim.Workers; sim.inFlight[host][worker] < sim.inFlight[host][best] {
			best = worker
		}
	}
	return best
}

// firstBelowAverage returns the first worker, from a random one on, whose reported load is below the average.
func (sim *simulator) firstBelowAverage() int {
	total := 0
	for _, load := range sim.reportedLoads {
		total += load
	}
	first := sim.random.IntN(sim.Workers)
	for i := range sim.Workers {
		if worker := (first + i) % sim.Workers; sim.reportedLoads[worker]*sim.Workers < total {
			return worker
		}
	}
	return first
}
