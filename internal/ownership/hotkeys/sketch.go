// Package hotkeys finds the keys that take a large part of a server's load and decides which of them get an entry of
// their own. It counts in bounded memory, reads no clock, and holds hashes and never keys.
package hotkeys

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

const (
	// DefaultCapacity bounds the error of a count to 1/512 of all requests, which lies well below the share that makes a
	// key hot.
	DefaultCapacity = 512
	// DefaultHalfLife lets the hottest keys of some minutes ago fade within a minute or two.
	DefaultHalfLife = 30 * time.Second
	// maxWeight is where weights are scaled down, far below the limits of a float64.
	maxWeight = 1e100
)

// Count is the estimated rate of one key.
type Count struct {
	Key fleet.KeyHash
	// Rate is in requests a second and is not above the true rate by more than Error.
	Rate  float64
	Error float64
}

// Sketch counts the most frequent keys by the space-saving algorithm (Metwally, Agrawal, El Abbadi: Efficient
// Computation of Frequent and Top-k Elements in Data Streams, 2005) with counts that decay exponentially. It is not safe
// for concurrent use. The exported fields are set before the first Add.
type Sketch struct {
	// Capacity is the number of counters; zero means DefaultCapacity.
	Capacity int
	// HalfLife is the time in which a count falls to half; zero means DefaultHalfLife.
	HalfLife time.Duration

	// start is the time at which one request weighs 1. Later ones weigh more, which is the same as a decay of the earlier.
	start    time.Time
	counters map[fleet.KeyHash]*counter
	order    smallestFirst
}

// counter is one key that is being counted.
type counter struct {
	key    fleet.KeyHash
	weight float64
	// inherited is the weight of the counter that was replaced, by which weight may be too high.
	inherited float64
	index     int
}

// Add counts one request for a key.
func (s *Sketch) Add(now time.Time, key fleet.KeyHash) {
	weight := s.weight(now)
	if found := s.counters[key]; found != nil {
		found.weight += weight
		heap.Fix(&s.order, found.index)
		return
	}
	if len(s.order) < s.capacity() {
		added := &counter{key: key, weight: weight}
		s.counters[key] = added
		heap.Push(&s.order, added)
		return
	}
	replaced := s.order[0]
	delete(s.counters, replaced.key)
	replaced.key, replaced.inherited = key, replaced.weight
	replaced.weight += weight
	s.counters[key] = replaced
	heap.Fix(&s.order, 0)
}

// Top returns the keys with the highest rates, at most limit, the highest first.
func (s *Sketch) Top(now time.Time, limit int) []Count {
	if len(s.order) == 0 {
		return nil
	}
	perSecond := math.Ln2 / s.halfLife().Seconds() / s.weight(now)
	list := make([]Count, 0, len(s.order))
	for _, one := range s.order {
		list = append(list, Count{Key: one.key, Rate: one.weight * perSecond, Error: one.inherited * perSecond})
	}
	slices.SortFunc(list, func(a, b Count) int {
		return cmp.Or(cmp.Compare(b.Rate, a.Rate), cmp.Compare(a.Key, b.Key))
	})
	return list[:min(limit, len(list))]
}

func (s *Sketch) capacity() int {
	if s.Capacity <= 0 {
		return DefaultCapacity
	}
	return s.Capacity
}

func (s *Sketch) halfLife() time.Duration {
	if s.HalfLife <= 0 {
		return DefaultHalfLife
	}
	return s.HalfLife
}

// weight returns what one request weighs at a time, and keeps the weights within the range of a float64.
func (s *Sketch) weight(now time.Time) float64 {
	if s.counters == nil {
		s.counters = make(map[fleet.KeyHash]*counter)
		s.start = now
	}
	weight := math.Exp2(now.Sub(s.start).Seconds() / s.halfLife().Seconds())
	if weight < maxWeight {
		return weight
	}
	for _, one := range s.order {
		one.weight /= weight
		one.inherited /= weight
	}
	s.start = now
	return 1
}

// smallestFirst orders counters for package heap.
type smallestFirst []*counter

// Len is part of heap.Interface.
func (s smallestFirst) Len() int { return len(s) }

// Less is part of heap.Interface.
func (s smallestFirst) Less(i, j int) bool { return s[i].weight < s[j].weight }

// Swap is part of heap.Interface.
func (s smallestFirst) Swap(i, j int) {
	s[i], s[j] = s[j], s[i]
	s[i].index, s[j].index = i, j
}

// Push is part of heap.Interface.
func (s *smallestFirst) Push(x any) {
	added := x.(*counter)
	added.index = len(*s)
	*s = append(*s, added)
}

// Pop is part of heap.Interface.
func (s *smallestFirst) Pop() any {
	last := len(*s) - 1
	removed := (*s)[last]
	*s = (*s)[:last]
	return removed
}
