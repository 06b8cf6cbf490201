// Package hotkeys detects hot keys: keys with so much load that they are assigned to a server individually instead of with their
// hash range. Daemons count keys in a sketch of bounded size, the assigner merges their reports, and a Policy promotes and
// demotes keys with hysteresis. The package reads no clock.
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
	// DefaultCounters is the number of keys that a sketch counts. A key with more than 1/512 of the load is always among them;
	// a key is promoted only at a load far above that.
	DefaultCounters = 512
	// DefaultHalfLife is the half-life of the decay of counts. With 5 s, the load imbalance exceeded its target of 1.25 for a
	// window of 10 s after the hottest keys changed, because requests for the previous ones still counted.
	DefaultHalfLife = 2 * time.Second
)

// Count is the estimated load of one key.
type Count struct {
	Key fleet.KeyHash
	// Weight is the estimated number of requests after decay. It is never below the true number.
	Weight float64
	// Error is an upper bound of the difference between Weight and the true number.
	Error float64
}

// Sketch counts the most frequent keys with the space-saving algorithm and exponential decay. The exported fields are set before
// first use; zero values mean the defaults. A Sketch is not safe for concurrent use.
type Sketch struct {
	// Counters is the maximum number of keys that are counted.
	Counters int
	// HalfLife is the half-life of the decay of counts.
	HalfLife time.Duration

	// scaleOrigin is the time at which a request has weight 1. Later requests weigh more, by the factor scale, which spares
	// decaying the earlier counts.
	scaleOrigin time.Time
	total       float64
	heap        counterHeap
}

// Report contains the most frequent keys of one service, as counted by one daemon or merged from the reports of several.
type Report struct {
	// Total is the decayed number of requests for all keys.
	Total  float64
	Counts []Count
}

// Add counts weight requests for a key.
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

// Report returns the counts, decayed to the given time, in descending order.
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

// counters returns the configured number of counters or the default.
func (s *Sketch) counters() int {
	if s.Counters <= 0 {
		return DefaultCounters
	}
	return s.Counters
}

// maxExponent limits the scale to 2^32, so that adding old and new weights loses no precision.
const maxExponent = 32

// scale returns the weight of a request at the given time, relative to one at scaleOrigin. It moves the origin if the weight
// would exceed the limit.
func (s *Sketch) scale(now time.Time) float64 {
	halfLife := s.HalfLife
	if halfLife <= 0 {
		halfLife = DefaultHalfLife
	}
	if s.scaleOrigin.IsZero() {
		s.scaleOrigin = now
	}
	exponent := float64(now.Sub(s.scaleOrigin)) / float64(halfLife)
	if exponent > maxExponent {
		s.moveOrigin(now, math.Exp2(exponent))
		return 1
	}
	// If the clock goes back, the scale stays 1: a smaller one would inflate the counts, which Report divides by it.
	return math.Exp2(max(exponent, 0))
}

// moveOrigin makes now the origin and divides all weights by the scale that now had.
func (s *Sketch) moveOrigin(now time.Time, scale float64) {
	s.scaleOrigin = now
	s.total /= scale
	for i := range s.heap.counts {
		s.heap.counts[i].Weight /= scale
		s.heap.counts[i].Error /= scale
	}
}

// Merge adds up the reports of several daemons and keeps the given number of counters. A key that is missing from a full report
// may have had as many requests there as the lowest count of that report, so that count is added to both weight and error.
func Merge(reports []Report, counters int) Report {
	if counters <= 0 {
		counters = DefaultCounters
	}
	var merged Report
	var floorSum float64
	sums := make(map[fleet.KeyHash]Count)
	for _, r := range reports {
		floor := 0.0
		if len(r.Counts) >= counters {
			floor = slices.MinFunc(r.Counts, func(x, y Count) int { return cmp.Compare(x.Weight, y.Weight) }).Weight
		}
		merged.Total += r.Total
		floorSum += floor
		for _, c := range r.Counts {
			sum := sums[c.Key]
			sums[c.Key] = Count{Key: c.Key, Weight: sum.Weight + c.Weight - floor, Error: sum.Error + c.Error - floor}
		}
	}
	for _, c := range sums {
		merged.Counts = append(merged.Counts, Count{Key: c.Key, Weight: c.Weight + floorSum, Error: c.Error + floorSum})
	}
	sortCounts(merged.Counts)
	merged.Counts = merged.Counts[:min(counters, len(merged.Counts))]
	return merged
}

// sortCounts sorts by descending weight, then by key.
func sortCounts(counts []Count) {
	slices.SortFunc(counts, func(x, y Count) int {
		return cmp.Or(cmp.Compare(y.Weight, x.Weight), cmp.Compare(x.Key, y.Key))
	})
}
