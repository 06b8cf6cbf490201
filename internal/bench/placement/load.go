package placement

import (
	"math"
	"math/rand/v2"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/ownership/hotkeys"
	decision "rosemarywick.example/rosemarywick/internal/ownership/placement"
)

// LoadOptions describes one simulation of load.
type LoadOptions struct {
	Partitions, Servers, Domains, Daemons int
	// Keys is the number of keys, of which Hot change at each Shift.
	Keys  uint64
	Hot   uint64
	Shift time.Duration
	// Exponent is the s of the Zipf distribution.
	Exponent float64
	// Duration is the simulated time; Requests is the number of requests in each simulated second.
	Duration time.Duration
	Requests int
	// Window is the time over which the load of a server is counted.
	Window time.Duration
	// HalfLife is the half-life of the measured load.
	HalfLife time.Duration
	Policy   decision.Policy
	Seed     uint64
}

// Window is the load during one window.
type Window struct {
	// Imbalance is the load of the most loaded server over the mean of all.
	Imbalance float64
	// Divisible leaves out the servers on which one key alone exceeds the mean load of a server.
	Divisible float64
	// Moves counts the partitions and entries that changed their owner.
	Moves int
}

// step is the interval at which load is reported and the placement decided; decisions are in force from the next step.
const step = time.Second

// simulation is one run; the baselines never change their placement.
type simulation struct {
	options  LoadOptions
	scheme   Scheme
	zipf     *rand.Zipf
	live     []decision.Server
	index    map[fleet.UpstreamID]int
	current  []decision.Assignment
	owner    map[fleet.PartitionID]int
	entries  map[fleet.KeyHash]fleet.PartitionID
	measured map[fleet.PartitionID]float64
	sketches []hotkeys.Sketch
	next     fleet.PartitionID
	now      time.Duration
}

// MeasureLoad simulates one scheme and returns its windows in order, without the first, in which nothing was measured.
func MeasureLoad(scheme Scheme, o LoadOptions) []Window {
	s := newSimulation(scheme, o)
	var out []Window
	for s.now < o.Duration {
		w := s.window()
		if s.now > o.Window {
			out = append(out, w)
		}
	}
	return out
}

func newSimulation(scheme Scheme, o LoadOptions) *simulation {
	s := &simulation{
		options: o, scheme: scheme, live: servers("server-", o.Servers, o.Domains),
		zipf:  rand.NewZipf(rand.New(rand.NewPCG(o.Seed, 2)), o.Exponent, 1, o.Keys-1),
		index: map[fleet.UpstreamID]int{}, entries: map[fleet.KeyHash]fleet.PartitionID{},
		measured: map[fleet.PartitionID]float64{}, sketches: make([]hotkeys.Sketch, o.Daemons),
		next: fleet.PartitionID(o.Partitions),
	}
	for i, server := range s.live {
		s.index[server.ID] = i
	}
	for i := range s.sketches {
		s.sketches[i].HalfLife = o.HalfLife
	}
	s.adopt(scheme.place(o.Partitions, nil, s.live))
	return s
}

// key maps a rank to a key: each shift gives the hottest ranks to other keys.
func (s *simulation) key(rank uint64) fleet.KeyHash {
	n := rank + s.options.Seed<<40
	if rank < s.options.Hot {
		n += uint64(s.now/s.options.Shift+1) << 33
	}
	return hashNumber(n)
}

// window simulates one window.
func (s *simulation) window() Window {
	loads := make([]float64, len(s.live))
	keys := make(map[fleet.KeyHash]float64)
	holder := make(map[fleet.KeyHash]int)
	var w Window
	var total float64
	for end := s.now + s.options.Window; s.now < end; s.now += step {
		counts := make(map[fleet.PartitionID]float64, s.options.Partitions)
		for i := range s.options.Requests {
			rank := s.zipf.Uint64()
			key := s.key(rank)
			at := s.locate(key)
			server := s.owner[at]
			counts[at]++
			loads[server]++
			if rank < s.options.Hot {
				keys[key]++
				holder[key] = server
			}
			if s.scheme == SchemeDecision {
				s.sketches[i%len(s.sketches)].Add(time.Unix(0, 0).Add(s.now), key, 1)
			}
		}
		total += float64(s.options.Requests)
		if s.scheme == SchemeDecision {
			w.Moves += s.decide(counts)
		}
	}
	mean := total / float64(len(loads))
	exempt := make(map[int]bool)
	for key, n := range keys {
		if n > mean {
			exempt[holder[key]] = true
		}
	}
	w.Imbalance, w.Divisible = imbalance(loads, mean, exempt)
	return w
}

// imbalance returns the highest load over the mean, of all servers and of those that are not exempt.
func imbalance(loads []float64, mean float64, exempt map[int]bool) (all, divisible float64) {
	for i, load := range loads {
		all = max(all, load/mean)
		if !exempt[i] {
			divisible = max(divisible, load/mean)
		}
	}
	return all, divisible
}

// locate returns the dedicated entry of a key or else its hash range.
func (s *simulation) locate(key fleet.KeyHash) fleet.PartitionID {
	if at, ok := s.entries[key]; ok {
		return at
	}
	return key.Partition(s.options.Partitions)
}

// decide updates the measured load, promotes and demotes keys, rebalances, and returns the number of moves.
func (s *simulation) decide(counts map[fleet.PartitionID]float64) int {
	decay := math.Exp2(-float64(step) / float64(s.options.HalfLife))
	for _, e := range s.current {
		s.measured[e.Partition] = s.measured[e.Partition]*decay + counts[e.Partition]
	}
	moves := s.applyHotKeys()
	desired := s.options.Policy.Rebalance(decision.Input{
		Partitions: s.options.Partitions, Current: s.current, Servers: s.live, Loads: s.measured,
	})
	moves += len(decision.PlanMoves(s.current, desired, s.live, len(desired)))
	s.adopt(desired)
	return moves
}

// applyHotKeys changes the dedicated entries. A key whose demotion takes it to another server counts as a move.
func (s *simulation) applyHotKeys() int {
	now := time.Unix(0, 0).Add(s.now + step)
	reports := make([]hotkeys.Report, len(s.sketches))
	for i := range s.sketches {
		reports[i] = s.sketches[i].Report(now)
	}
	merged := hotkeys.Merge(reports, hotkeys.DefaultCounters)
	var present []fleet.KeyHash
	keyOf := make(map[fleet.PartitionID]fleet.KeyHash, len(s.entries))
	for key, at := range s.entries {
		keyOf[at] = key
	}
	for _, e := range s.current[s.options.Partitions:] {
		present = append(present, keyOf[e.Partition])
	}
	moves := 0
	for _, change := range (hotkeys.Policy{}).Decide(merged, present, len(s.live)) {
		switch c := change.(type) {
		case hotkeys.Promotion:
			s.promote(c.Key, merged)
		case hotkeys.Demotion:
			moves += s.demote(c.Key)
		}
	}
	return moves
}

func (s *simulation) promote(key fleet.KeyHash, merged hotkeys.Report) {
	base := key.Partition(s.options.Partitions)
	for _, c := range merged.Counts {
		if c.Key == key {
			load := min(c.Weight-c.Error, s.measured[base])
			s.measured[s.next], s.measured[base] = load, s.measured[base]-load
		}
	}
	entry := s.current[base]
	entry.Partition = s.next
	s.current = append(s.current, entry)
	s.owner[s.next] = s.owner[base]
	s.entries[key] = s.next
	s.next++
}

func (s *simulation) demote(key fleet.KeyHash) int {
	at, base := s.entries[key], key.Partition(s.options.Partitions)
	s.measured[base] += s.measured[at]
	delete(s.measured, at)
	delete(s.entries, key)
	for i, e := range s.current {
		if e.Partition == at {
			s.current = append(s.current[:i], s.current[i+1:]...)
			break
		}
	}
	if s.owner[at] != s.owner[base] {
		return 1
	}
	return 0
}

func (s *simulation) adopt(entries []decision.Assignment) {
	s.current = entries
	s.owner = make(map[fleet.PartitionID]int, len(entries))
	for _, e := range entries {
		s.owner[e.Partition] = s.index[e.Owner]
	}
}
