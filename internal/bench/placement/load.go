package placement

import (
	"math"
	"math/rand/v2"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/ownership/hotkeys"
	placer "rosemarywick.example/rosemarywick/internal/ownership/placement"
)

// LoadOptions are the parameters of one simulation of load.
type LoadOptions struct {
	Partitions, Servers, Domains, Daemons int
	// Keys is the number of keys. The HotKeys most frequent ones are replaced by other keys at each HotKeyInterval.
	Keys           uint64
	HotKeys        uint64
	HotKeyInterval time.Duration
	// ZipfExponent is the exponent s of the Zipf distribution of the keys.
	ZipfExponent float64
	// Duration is the simulated time, RequestsPerSecond the number of requests in each simulated second.
	Duration          time.Duration
	RequestsPerSecond int
	// Window is the time over which the load of each server is summed.
	Window time.Duration
	// HalfLife is the half-life with which the measured load decays.
	HalfLife time.Duration
	Policy   placer.Policy
	Seed     uint64
}

// Window is the load distribution during one window of time.
type Window struct {
	// Imbalance is the load of the most loaded server divided by the mean of all servers.
	Imbalance float64
	// DivisibleImbalance is the same without the servers on which a single key exceeds the mean load, since the load of one key
	// cannot be divided.
	DivisibleImbalance float64
	// Moves counts the hash ranges and dedicated partitions whose owner changed.
	Moves int
}

// decisionInterval is the interval at which load is reported and the placement decided. A decision takes effect in the next
// interval.
const decisionInterval = time.Second

// loadSimulation is one run of a scheme. The baselines never change their placement.
type loadSimulation struct {
	options LoadOptions
	scheme  Scheme
	zipf    *rand.Zipf
	servers []placer.Server
	// serverIndex is the position of each server in servers.
	serverIndex map[fleet.UpstreamID]int
	assignments []placer.Assignment
	// ownerIndex is the position in servers of the owner of each partition.
	ownerIndex map[fleet.PartitionID]int
	// dedicated maps each promoted hot key to a partition of its own. nextPartition is the next unused ID of these.
	dedicated map[fleet.KeyHash]fleet.PartitionID
	// measuredLoad is the decayed number of requests of each partition.
	measuredLoad map[fleet.PartitionID]float64
	// sketches are the hot key sketches of the daemons.
	sketches      []hotkeys.Sketch
	nextPartition fleet.PartitionID
	elapsed       time.Duration
}

// MeasureLoad simulates one scheme and returns its windows in order. It omits the first window, which starts without any measured
// load.
func MeasureLoad(scheme Scheme, o LoadOptions) []Window {
	s := newLoadSimulation(scheme, o)
	var windows []Window
	for s.elapsed < o.Duration {
		w := s.simulateWindow()
		if s.elapsed > o.Window {
			windows = append(windows, w)
		}
	}
	return windows
}

func newLoadSimulation(scheme Scheme, o LoadOptions) *loadSimulation {
	s := &loadSimulation{
		options: o, scheme: scheme, servers: makeServers("server-", o.Servers, o.Domains),
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

// keyOfRank returns the key with a rank by frequency. At each HotKeyInterval, the hottest ranks go to other keys.
func (s *loadSimulation) keyOfRank(rank uint64) fleet.KeyHash {
	n := rank + s.options.Seed<<40
	if rank < s.options.HotKeys {
		n += uint64(s.elapsed/s.options.HotKeyInterval+1) << 33
	}
	return hashNumber(n)
}

// simulateWindow simulates the requests and the placement decisions of one window.
func (s *loadSimulation) simulateWindow() Window {
	loads := make([]float64, len(s.servers))
	hotKeyCounts := make(map[fleet.KeyHash]float64)
	serverOf := make(map[fleet.KeyHash]int)
	var w Window
	var total float64
	for end := s.elapsed + s.options.Window; s.elapsed < end; s.elapsed += decisionInterval {
		counts := make(map[fleet.PartitionID]float64, s.options.Partitions)
		for i := range s.options.RequestsPerSecond {
			rank := s.zipf.Uint64()
			key := s.keyOfRank(rank)
			partition := s.locate(key)
			server := s.ownerIndex[partition]
			counts[partition]++
			loads[server]++
			if rank < s.options.HotKeys {
				hotKeyCounts[key]++
				serverOf[key] = server
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
	for key, n := range hotKeyCounts {
		if n > mean {
			exempt[serverOf[key]] = true
		}
	}
	w.Imbalance, w.DivisibleImbalance = imbalance(loads, mean, exempt)
	return w
}

// imbalance returns the highest load divided by the mean: over all servers, and over those that are not exempt.
func imbalance(loads []float64, mean float64, exempt map[int]bool) (all, divisible float64) {
	for i, load := range loads {
		all = max(all, load/mean)
		if !exempt[i] {
			divisible = max(divisible, load/mean)
		}
	}
	return all, divisible
}

// locate returns the dedicated partition of a key, or its hash range if it has none.
func (s *loadSimulation) locate(key fleet.KeyHash) fleet.PartitionID {
	if partition, ok := s.dedicated[key]; ok {
		return partition
	}
	return key.Partition(s.options.Partitions)
}

// rebalance updates the measured load, promotes and demotes hot keys and rebalances the partitions. It returns the number of
// moves.
func (s *loadSimulation) rebalance(counts map[fleet.PartitionID]float64) int {
	decay := math.Exp2(-float64(decisionInterval) / float64(s.options.HalfLife))
	for _, e := range s.assignments {
		s.measuredLoad[e.Partition] = s.measuredLoad[e.Partition]*decay + counts[e.Partition]
	}
	moves := s.applyHotKeys()
	desired := s.options.Policy.Rebalance(placer.Input{
		Partitions: s.options.Partitions, Current: s.assignments, Servers: s.servers, Loads: s.measuredLoad,
	})
	moves += len(placer.PlanMoves(s.assignments, desired, s.servers, len(desired)))
	s.setAssignments(desired)
	return moves
}

// applyHotKeys adds and removes dedicated partitions of hot keys, and returns the number of keys that a demotion moves to another
// server.
func (s *loadSimulation) applyHotKeys() int {
	now := time.Unix(0, 0).Add(s.elapsed + decisionInterval)
	reports := make([]hotkeys.Report, len(s.sketches))
	for i := range s.sketches {
		reports[i] = s.sketches[i].Report(now)
	}
	merged := hotkeys.Merge(reports, hotkeys.DefaultCounters)
	var promoted []fleet.KeyHash
	keyOf := make(map[fleet.PartitionID]fleet.KeyHash, len(s.dedicated))
	for key, partition := range s.dedicated {
		keyOf[partition] = key
	}
	for _, e := range s.assignments[s.options.Partitions:] {
		promoted = append(promoted, keyOf[e.Partition])
	}
	moves := 0
	for _, change := range (hotkeys.Policy{}).Decide(merged, promoted, len(s.servers)) {
		switch c := change.(type) {
		case hotkeys.Promotion:
			s.promote(c.Key, merged)
		case hotkeys.Demotion:
			moves += s.demote(c.Key)
		}
	}
	return moves
}

// promote gives a key a dedicated partition on its present owner.
func (s *loadSimulation) promote(key fleet.KeyHash, merged hotkeys.Report) {
	base := key.Partition(s.options.Partitions)
	for _, c := range merged.Counts {
		if c.Key == key {
			load := min(c.Weight-c.Error, s.measuredLoad[base])
			s.measuredLoad[s.nextPartition], s.measuredLoad[base] = load, s.measuredLoad[base]-load
		}
	}
	assignment := s.assignments[base]
	assignment.Partition = s.nextPartition
	s.assignments = append(s.assignments, assignment)
	s.ownerIndex[s.nextPartition] = s.ownerIndex[base]
	s.dedicated[key] = s.nextPartition
	s.nextPartition++
}

// demote returns a key to its hash range. It returns 1 if that moves the key to another server, otherwise 0.
func (s *loadSimulation) demote(key fleet.KeyHash) int {
	partition, base := s.dedicated[key], key.Partition(s.options.Partitions)
	s.measuredLoad[base] += s.measuredLoad[partition]
	delete(s.measuredLoad, partition)
	delete(s.dedicated, key)
	for i, e := range s.assignments {
		if e.Partition == partition {
			s.assignments = append(s.assignments[:i], s.assignments[i+1:]...)
			break
		}
	}
	if s.ownerIndex[partition] != s.ownerIndex[base] {
		return 1
	}
	return 0
}

// setAssignments puts assignments into effect.
func (s *loadSimulation) setAssignments(next []placer.Assignment) {
	s.assignments = next
	s.ownerIndex = make(map[fleet.PartitionID]int, len(next))
	for _, e := range next {
		s.ownerIndex[e.Partition] = s.serverIndex[e.Owner]
	}
}
