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
	Keys           uint64
	HotKeys        uint64
	HotKeyInterval time.Duration
	// Exponent is the s of the Zipf distribution.
	ZipfExponent float64
	// Duration is the simulated time; Requests is the number of requests in each simulated second.
	Duration          time.Duration
	RequestsPerSecond int
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
	DivisibleImbalance float64
	// Moves counts the partitions and entries that changed their owner.
	Moves int
}

// step is the interval at which load is reported and the placement decided; decisions are in force from the next step.
const decisionInterval = time.Second

// simulation is one run; the baselines never change their placement.
type loadSimulation struct {
	options       LoadOptions
	scheme        Scheme
	zipf          *rand.Zipf
	servers       []decision.Server
	serverIndex   map[fleet.UpstreamID]int
	assignments   []decision.Assignment
	ownerIndex    map[fleet.PartitionID]int
	dedicated     map[fleet.KeyHash]fleet.PartitionID
	measuredLoad  map[fleet.PartitionID]float64
	sketches      []hotkeys.Sketch
	nextPartition fleet.PartitionID
	elapsed       time.Duration
}

// MeasureLoad simulates one scheme and returns its windows in order, without the first, in which nothing was measured.
func MeasureLoad(scheme Scheme, o LoadOptions) []Window {
	s := newLoadSimulation(scheme, o)
	var out []Window
	for s.elapsed < o.Duration {
		w := s.simulateWindow()
		if s.elapsed > o.Window {
			out = append(out, w)
		}
	}
	return out
}

func newLoadSimulation(scheme Scheme, o LoadOptions) *loadSimulation {
	s := &loadSimulation{
		options: o, scheme: scheme, servers: servers("server-", o.Servers, o.Domains),
		zipf:        rand.NewZipf(rand.New(rand.NewPCG(o.Seed, 2)), o.ZipfExponent, 1, o.Keys-1),
		serverIndex: map[fleet.UpstreamID]int{}, dedicated: map[fleet.KeyHash]fleet.PartitionID{},
		measuredLoad: map[fleet.PartitionID]float64{}, sketches: make([]hotkeys.Sketch, o.Daemons),
		nextPartition: fleet.PartitionID(o.Partitions),
	}
	for i, server := range s.servers {
		s.serverIndex[server.ID] = i
	}
	for i := range s.sketches {
		s.sketches[i].HalfLife = o.HalfLife
	}
	s.setAssignments(scheme.place(o.Partitions, nil, s.servers))
	return s
}

// key maps a rank to a key: each shift gives the hottest ranks to other keys.
func (s *loadSimulation) keyOfRank(rank uint64) fleet.KeyHash {
	n := rank + s.options.Seed<<40
	if rank < s.options.HotKeys {
		n += uint64(s.elapsed/s.options.HotKeyInterval+1) << 33
	}
	return hashNumber(n)
}

// window simulates one window.
func (s *loadSimulation) simulateWindow() Window {
	loads := make([]float64, len(s.servers))
	keys := make(map[fleet.KeyHash]float64)
	holder := make(map[fleet.KeyHash]int)
	var w Window
	var total float64
	for end := s.elapsed + s.options.Window; s.elapsed < end; s.elapsed += decisionInterval {
		counts := make(map[fleet.PartitionID]float64, s.options.Partitions)
		for i := range s.options.RequestsPerSecond {
			rank := s.zipf.Uint64()
			key := s.keyOfRank(rank)
			at := s.locate(key)
			server := s.ownerIndex[at]
			counts[at]++
			loads[server]++
			if rank < s.options.HotKeys {
				keys[key]++
				holder[key] = server
			}
			if s.scheme == SchemeMinimumMovement {
				s.sketches[i%len(s.sketches)].Add(time.Unix(0, 0).Add(s.elapsed), key, 1)
			}
		}
		total += float64(s.options.RequestsPerSecond)
		if s.scheme == SchemeMinimumMovement {
			w.Moves += s.rebalance(counts)
		}
	}
	mean := total / float64(len(loads))
	exempt := make(map[int]bool)
	for key, n := range keys {
		if n > mean {
			exempt[holder[key]] = true
		}
	}
	w.Imbalance, w.DivisibleImbalance = imbalance(loads, mean, exempt)
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
func (s *loadSimulation) locate(key fleet.KeyHash) fleet.PartitionID {
	if at, ok := s.dedicated[key]; ok {
		return at
	}
	return key.Partition(s.options.Partitions)
}

// decide updates the measured load, promotes and demotes keys, rebalances, and returns the number of moves.
func (s *loadSimulation) rebalance(counts map[fleet.PartitionID]float64) int {
	decay := math.Exp2(-float64(decisionInterval) / float64(s.options.HalfLife))
	for _, e := range s.assignments {
		s.measuredLoad[e.Partition] = s.measuredLoad[e.Partition]*decay + counts[e.Partition]
	}
	moves := s.applyHotKeys()
	desired := s.options.Policy.Rebalance(decision.Input{
		Partitions: s.options.Partitions, Current: s.assignments, Servers: s.servers, Loads: s.measuredLoad,
	})
	moves += len(decision.PlanMoves(s.assignments, desired, s.servers, len(desired)))
	s.setAssignments(desired)
	return moves
}

// applyHotKeys changes the dedicated entries. A key whose demotion takes it to another server counts as a move.
func (s *loadSimulation) applyHotKeys() int {
	now := time.Unix(0, 0).Add(s.elapsed + decisionInterval)
	reports := make([]hotkeys.Report, len(s.sketches))
	for i := range s.sketches {
		reports[i] = s.sketches[i].Report(now)
	}
	merged := hotkeys.Merge(reports, hotkeys.DefaultCounters)
	var present []fleet.KeyHash
	keyOf := make(map[fleet.PartitionID]fleet.KeyHash, len(s.dedicated))
	for key, at := range s.dedicated {
		keyOf[at] = key
	}
	for _, e := range s.assignments[s.options.Partitions:] {
		present = append(present, keyOf[e.Partition])
	}
	moves := 0
	for _, change := range (hotkeys.Policy{}).Decide(merged, present, len(s.servers)) {
		switch c := change.(type) {
		case hotkeys.Promotion:
			s.promote(c.Key, merged)
		case hotkeys.Demotion:
			moves += s.demote(c.Key)
		}
	}
	return moves
}

func (s *loadSimulation) promote(key fleet.KeyHash, merged hotkeys.Report) {
	base := key.Partition(s.options.Partitions)
	for _, c := range merged.Counts {
		if c.Key == key {
			load := min(c.Weight-c.Error, s.measuredLoad[base])
			s.measuredLoad[s.nextPartition], s.measuredLoad[base] = load, s.measuredLoad[base]-load
		}
	}
	entry := s.assignments[base]
	entry.Partition = s.nextPartition
	s.assignments = append(s.assignments, entry)
	s.ownerIndex[s.nextPartition] = s.ownerIndex[base]
	s.dedicated[key] = s.nextPartition
	s.nextPartition++
}

func (s *loadSimulation) demote(key fleet.KeyHash) int {
	at, base := s.dedicated[key], key.Partition(s.options.Partitions)
	s.measuredLoad[base] += s.measuredLoad[at]
	delete(s.measuredLoad, at)
	delete(s.dedicated, key)
	for i, e := range s.assignments {
		if e.Partition == at {
			s.assignments = append(s.assignments[:i], s.assignments[i+1:]...)
			break
		}
	}
	if s.ownerIndex[at] != s.ownerIndex[base] {
		return 1
	}
	return 0
}

func (s *loadSimulation) setAssignments(entries []decision.Assignment) {
	s.assignments = entries
	s.ownerIndex = make(map[fleet.PartitionID]int, len(entries))
	for _, e := range entries {
		s.ownerIndex[e.Partition] = s.serverIndex[e.Owner]
	}
}
