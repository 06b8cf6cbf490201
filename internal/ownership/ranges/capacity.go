package ranges

import (
	"maps"
	"math"
	"slices"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

const (
	// paceHalfLife is the half-life of the requests by which the pace of a server is measured. A server that shares its host slows
	// down for some 400 ms at a time; over 12 s that averages out, while its hardware stays the same.
	paceHalfLife = 12 * time.Second
	// pacePrior is the number of requests of mean duration that are added to those of each server, so that a few slow ones do not
	// count as a slow server.
	pacePrior = 8
	// minPace and maxPace bound the effect of the measured pace on the capacity.
	minPace = 0.4
	maxPace = 2
)

// Paces measures how fast each server runs requests relative to the others, apart from the time that requests queue there. The
// zero value knows no server.
type Paces struct {
	servers map[fleet.UpstreamID]pace
}

// pace holds decayed sums for one server: the requests, and the time for which they ran.
type pace struct {
	requests, seconds float64
	updatedAt         time.Time
}

// Measured is what daemons measured at a server since the last collection, Span ago.
type Measured struct {
	Requests    int
	Total, Span time.Duration
}

// Add adds the measurements of a server with a number of slots. The same measurements must not be added twice.
func (p *Paces) Add(now time.Time, id fleet.UpstreamID, slots int, measured Measured) {
	if measured.Requests <= 0 || measured.Total <= 0 || measured.Span <= 0 {
		return
	}
	if p.servers == nil {
		p.servers = make(map[fleet.UpstreamID]pace)
	}
	sum := p.servers[id]
	factor := math.Exp2(-now.Sub(sum.updatedAt).Seconds() / paceHalfLife.Seconds())
	// Of the requests at the server, only as many as it has slots are running.
	running := min(1, float64(max(1, slots))*measured.Span.Seconds()/measured.Total.Seconds())
	sum.requests = sum.requests*factor + float64(measured.Requests)
	sum.seconds = sum.seconds*factor + measured.Total.Seconds()*running
	sum.updatedAt = now
	p.servers[id] = sum
}

// Keep removes the servers for which keep returns false.
func (p *Paces) Keep(keep func(fleet.UpstreamID) bool) {
	for id := range p.servers {
		if !keep(id) {
			delete(p.servers, id)
		}
	}
}

// MeanDuration returns how long a request runs at the servers on average, or zero if it is not known.
func (p *Paces) MeanDuration() time.Duration {
	requests, seconds := 0.0, 0.0
	for _, id := range slices.Sorted(maps.Keys(p.servers)) { // so that rounding does not depend on the order of the map
		sum := p.servers[id]
		requests, seconds = requests+sum.requests, seconds+sum.seconds
	}
	if requests == 0 {
		return 0
	}
	return time.Duration(seconds / requests * float64(time.Second))
}

// Of returns how fast a server is relative to the mean, given MeanDuration. It returns 1 if that is not known.
func (p *Paces) Of(id fleet.UpstreamID, mean time.Duration) float64 {
	sum := p.servers[id]
	if mean <= 0 || sum.requests <= 0 {
		return 1
	}
	duration := (sum.seconds + pacePrior*mean.Seconds()) / (sum.requests + pacePrior)
	return min(max(mean.Seconds()/duration, minPace), maxPace)
}
