// Package hotkeys finds the keys of a service that carry so much load that they need an entry of their own in the map.
// Daemons count keys in a sketch of bounded size, the assigner merges their reports, and a decision with hysteresis
// promotes and demotes keys. Nothing here reads a clock.
package hotkeys

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// Defaults of a Sketch.
const (
	// DefaultCounters is the number of keys that a sketch follows. A key with more than a 512th of the load is always
	// among them, which is far below the share of a server that makes a key hot.
	DefaultCounters = 512
	// DefaultHalfLife is the time after which a request counts half. With 5 s the load was above the target of 1.25 for
	// a window of 10 s after the hottest keys changed, because the old keys still counted.
	DefaultHalfLife = 2 * time.Second
)

// Count is the estimated load of one key.
type Count struct {
	Key fleet.KeyHash
	// Weight is the decayed number of requests. It is never below the true number.
	Weight float64
	// Error bounds by how much Weight may exceed the true number.
	Error float64
}

// Sketch counts the most frequent keys with the space-saving algorithm and exponential decay. The fields must be set
// before the first call and the zero value uses the defaults. A Sketch is not safe for concurrent use.
type Sketch struct {
	// Counters bounds the number of keys that are followed.
	Counters int
	// HalfLife is the time after which a request counts half.
	HalfLife time.Duration

	// New requests count more, by the factor scale, instead of all earlier ones less, so that time costs nothing.
	origin time.Time
	total  float64
	heap   counterHeap
}

// Report is what one daemon tells of the keys of one service at one time.
type Report struct {
	// Total is the decayed number of requests for all keys.
	Total  float64
	Counts []Count
}

// Add counts weight requests for the key at the given time.
func (s *Sketch) Add(now time.Time, key fleet.KeyHash, weight float64) {
	weight *= s.scale(now)
	s.total += weight
	if s.heap.position == nil {
		s.heap.position = make(map[fleet.KeyHash]int)
	}
	if i, ok := s.heap.position[key]; ok {
		s.heap.counts[i].Weight += weight
		heap.Fix(&s.heap, i)
		return
	}
	if len(s.heap.counts) < s.counters() {
		heap.Push(&s.heap, Count{Key: key, Weight: weight})
		return
	}
	s.heap.replaceLowest(key, weight)
}

// Report returns the counts at the given time, the highest first.
func (s *Sketch) Report(now time.Time) Report {
	scale := s.scale(now)
	report := Report{Total: s.total / scale, Counts: slices.Clone(s.heap.counts)}
	for i := range report.Counts {
		report.Counts[i].Weight /= scale
		report.Counts[i].Error /= scale
	}
	sortCounts(report.Counts)
	return report
}

func (s *Sketch) counters() int {
	if s.Counters <= 0 {
		return DefaultCounters
	}
	return s.Counters
}

// maxExponent bounds the scale to 2^32, so that old and new weights are added without a loss of precision.
const maxExponent = 32

// scale returns the factor by which a request at the given time counts more than one at the origin.
func (s *Sketch) scale(now time.Time) float64 {
	half := s.HalfLife
	if half <= 0 {
		half = DefaultHalfLife
	}
	if s.origin.IsZero() {
		s.origin = now
	}
	exponent := float64(now.Sub(s.origin)) / float64(half)
	if exponent > maxExponent {
		s.rebase(now, math.Exp2(exponent))
		return 1
	}
	// A clock that goes back must not make a request count more than a current one or divide by almost nothing.
	return math.Exp2(max(exponent, 0))
}

// rebase makes now the origin.
func (s *Sketch) rebase(now time.Time, scale float64) {
	s.origin = now
	s.total /= scale
	for i := range s.heap.counts {
		s.heap.counts[i].Weight /= scale
		s.heap.counts[i].Error /= scale
	}
}

// Merge adds up the reports of several daemons. A key that a full report does not mention may have had as many requests
// there as the lowest count of that report, so that bound is added to both weight and error.
func Merge(reports []Report, counters int) Report {
	if counters <= 0 {
		counters = DefaultCounters
	}
	var merged Report
	var floors float64
	sums := make(map[fleet.KeyHash]Count)
	for _, r := range reports {
		floor := 0.0
		if len(r.Counts) >= counters {
			floor = slices.MinFunc(r.Counts, func(x, y Count) int { return cmp.Compare(x.Weight, y.Weight) }).Weight
		}
		merged.Total += r.Total
		floors += floor
		for _, c := range r.Counts {
			sum := sums[c.Key]
			sums[c.Key] = Count{Key: c.Key, Weight: sum.Weight + c.Weight - floor, Error: sum.Error + c.Error - floor}
		}
	}
	for _, c := range sums {
		merged.Counts = append(merged.Counts, Count{Key: c.Key, Weight: c.Weight + floors, Error: c.Error + floors})
	}
	sortCounts(merged.Counts)
	merged.Counts = merged.Counts[:min(counters, len(merged.Counts))]
	return merged
}

func sortCounts(counts []Count) {
	slices.SortFunc(counts, func(x, y Count) int {
		return cmp.Or(cmp.Compare(y.Weight, x.Weight), cmp.Compare(x.Key, y.Key))
	})
}
