package balance

import (
	"math"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

const (
	// durationHalfLife is the half-life of the requests by which the duration at an upstream is measured. A host that is slow for
	// some 400 ms at a time is averaged over several of them.
	durationHalfLife = 6 * time.Second
	// inFlightTime is the time constant of the mean number of requests in flight. Daemons that follow it faster turn to the same
	// upstreams together.
	inFlightTime = 5 * time.Second
)

// FleetSum adds up what daemons measure at the upstreams of one service. The zero value holds nothing. It does no locking.
type FleetSum struct {
	upstreams map[fleet.UpstreamID]fleetCount
	updatedAt time.Time
}

// fleetCount holds decayed sums for one upstream.
type fleetCount struct {
	requests, seconds, inFlight float64
}

// Measured is the number of requests that an upstream answered in some time, and the sum of their durations.
type Measured struct {
	Requests int
	Total    time.Duration
}

// Add adds what was measured since the last call. Upstreams that are missing answered nothing.
func (s *FleetSum) Add(now time.Time, measured map[fleet.UpstreamID]Measured) {
	if s.upstreams == nil {
		s.upstreams = make(map[fleet.UpstreamID]fleetCount)
	}
	for id := range measured {
		if _, known := s.upstreams[id]; !known {
			s.upstreams[id] = fleetCount{}
		}
	}
	elapsed := now.Sub(s.updatedAt).Seconds()
	first := s.updatedAt.IsZero()
	s.updatedAt = now
	if first || elapsed <= 0 { // the time in which it was measured is not known
		return
	}
	factor := math.Exp2(-elapsed / durationHalfLife.Seconds())
	weight := 1 - math.Exp(-elapsed/inFlightTime.Seconds())
	for id, count := range s.upstreams {
		latest := measured[id]
		count.requests = count.requests*factor + float64(latest.Requests)
		count.seconds = count.seconds*factor + latest.Total.Seconds()
		count.inFlight += (latest.Total.Seconds()/elapsed - count.inFlight) * weight
		if count.requests < minCountedRequests {
			delete(s.upstreams, id)
			continue
		}
		s.upstreams[id] = count
	}
}

// minCountedRequests is the decayed number of requests below which an upstream is forgotten.
const minCountedRequests = 0.05

// Loads returns the load of each upstream.
func (s *FleetSum) Loads() map[fleet.UpstreamID]FleetLoad {
	result := make(map[fleet.UpstreamID]FleetLoad, len(s.upstreams))
	for id, count := range s.upstreams {
		if count.requests > 0 {
			result[id] = FleetLoad{
				MeanDuration: time.Duration(count.seconds / count.requests * float64(time.Second)), InFlight: count.inFlight,
			}
		}
	}
	return result
}
