package placement

import (
	"cmp"
	"math"
	"slices"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// noServer is the index that stands for no server.
const noServer = -1

// partitionState is one partition during the computation. Its servers are indexes into solver.servers.
type partitionState struct {
	partition fleet.PartitionID
	owner     int
	standby   int
	// load is what the partition adds to the load of its owner: its measured load, or 1 if no loads are known.
	load float64
	// pinned is set if the partition must stay at its owner.
	pinned bool
}

// solver computes one placement.
type solver struct {
	policy     Policy
	servers    []Server
	partitions []partitionState
	// loadsKnown is set if loads were measured. Otherwise the load of a server is its number of partitions.
	loadsKnown bool
	// capacity is the maximum load of each server, and serverLoad is its current load.
	capacity, serverLoad []float64
	// weightShare is the weight of each server as a fraction of the total weight.
	weightShare []float64
	// minLoad is the minimum load that a partition adds when it is assigned to a server.
	minLoad float64
}

func newSolver(input Input, policy Policy) *solver {
	s := &solver{policy: policy, servers: slices.Clone(input.Servers), loadsKnown: len(input.Loads) > 0}
	slices.SortFunc(s.servers, func(x, y Server) int { return cmp.Compare(x.ID, y.ID) })
	s.servers = slices.CompactFunc(s.servers, func(x, y Server) bool { return x.ID == y.ID })
	s.initPartitions(input)
	s.computeCapacities()
	return s
}

// serverIndexes returns the index of each server by its ID.
func (s *solver) serverIndexes() map[fleet.UpstreamID]int {
	byID := make(map[fleet.UpstreamID]int, len(s.servers))
	for i, server := range s.servers {
		byID[server.ID] = i
	}
	return byID
}

// initPartitions fills partitions: all hash ranges in order, followed by the partitions of hot keys, sorted by partition.
func (s *solver) initPartitions(input Input) {
	s.partitions = make([]partitionState, input.Partitions, input.Partitions+len(input.Current)/8+1)
	for i := range s.partitions {
		s.partitions[i] = partitionState{partition: fleet.PartitionID(i), owner: noServer, standby: noServer}
	}
	byID := s.serverIndexes()
	lookUp := func(id fleet.UpstreamID) int {
		if i, ok := byID[id]; ok {
			return i
		}
		return noServer
	}
	seen := make([]bool, input.Partitions)
	for _, assignment := range input.Current {
		p := partitionState{partition: assignment.Partition, owner: lookUp(assignment.Owner), standby: lookUp(assignment.Standby)}
		switch {
		case int(assignment.Partition) >= input.Partitions:
			s.partitions = append(s.partitions, p)
		case !seen[assignment.Partition]:
			s.partitions[assignment.Partition], seen[assignment.Partition] = p, true
		}
	}
	hotKeys := s.partitions[input.Partitions:]
	slices.SortStableFunc(hotKeys, func(x, y partitionState) int { return cmp.Compare(x.partition, y.partition) })
	hotKeys = slices.CompactFunc(hotKeys, func(x, y partitionState) bool { return x.partition == y.partition })
	s.partitions = s.partitions[:input.Partitions+len(hotKeys)]
	for i := range s.partitions {
		s.setLoad(&s.partitions[i], input, lookUp)
	}
}

// setLoad sets the load of a partition and applies its pin.
func (s *solver) setLoad(p *partitionState, input Input, lookUp func(fleet.UpstreamID) int) {
	p.load = 1
	if s.loadsKnown {
		p.load = max(input.Loads[p.partition], 0)
	}
	if len(input.Pins) == 0 {
		return
	}
	id, ok := input.Pins[p.partition]
	if !ok {
		return
	}
	if pin := lookUp(id); pin != noServer {
		p.owner, p.pinned = pin, true
	}
}

// computeCapacities computes the weight share, the capacity and the current load of each server.
func (s *solver) computeCapacities() {
	n := len(s.servers)
	s.capacity, s.serverLoad, s.weightShare = make([]float64, n), make([]float64, n), make([]float64, n)
	var weights, total float64
	for i, server := range s.servers {
		s.weightShare[i] = 1
		if server.Weight > 0 {
			s.weightShare[i] = server.Weight
		}
		weights += s.weightShare[i]
	}
	for _, p := range s.partitions {
		total += p.load
		if p.owner != noServer {
			s.serverLoad[p.owner] += p.load
		}
	}
	for i := range s.servers {
		s.weightShare[i] /= weights
		s.capacity[i] = s.policy.CapacityFactor * total * s.weightShare[i]
		if !s.loadsKnown {
			// The subtraction keeps the rounding error of a product such as 1.05 * 100 from adding one.
			s.capacity[i] = math.Ceil(s.capacity[i] - 1e-9)
		}
	}
}

// unownedPartitions returns the indexes of the partitions that have no live owner.
func (s *solver) unownedPartitions() []int {
	var found []int
	for i, p := range s.partitions {
		if p.owner == noServer {
			found = append(found, i)
		}
	}
	return found
}

// evictExcess takes partitions from servers above their capacity and returns their indexes. It takes the highest
// partitions first, and so hot keys before hash ranges.
func (s *solver) evictExcess() []int {
	var found []int
	for i := len(s.partitions) - 1; i >= 0; i-- {
		p := &s.partitions[i]
		if p.owner == noServer || p.pinned || s.serverLoad[p.owner] <= s.capacity[p.owner] {
			continue
		}
		s.serverLoad[p.owner] -= p.load
		p.owner = noServer
		found = append(found, i)
	}
	return found
}

// assignToStandbys assigns each partition to its standby if the standby stays within its capacity, and returns the
// others.
func (s *solver) assignToStandbys(unowned []int) []int {
	var remaining []int
	for _, i := range unowned {
		p := &s.partitions[i]
		if p.standby == noServer || s.serverLoad[p.standby]+p.load > s.capacity[p.standby] {
			remaining = append(remaining, i)
			continue
		}
		s.assign(p, p.standby)
	}
	return remaining
}

// assignToLeastLoaded assigns each partition, the one with the highest load first, to the server with the lowest load
// relative to its weight share.
func (s *solver) assignToLeastLoaded(unowned []int) {
	slices.SortStableFunc(unowned, func(x, y int) int { return cmp.Compare(s.partitions[y].load, s.partitions[x].load) })
	for _, i := range unowned {
		best := 0
		for j := range s.servers {
			if s.serverLoad[j]/s.weightShare[j] < s.serverLoad[best]/s.weightShare[best] {
				best = j
			}
		}
		s.assign(&s.partitions[i], best)
	}
}

func (s *solver) assign(p *partitionState, server int) {
	p.owner = server
	s.serverLoad[server] += max(p.load, s.minLoad)
}

// idlePartitionLoad is the load that a partition without load counts for when it is assigned, as a fraction of the mean
// load of a partition. Without it, all idle partitions of a lost server could go to the one server with the lowest load.
const idlePartitionLoad = 0.1

// setMinLoad sets minLoad from the mean load of the partitions.
func (s *solver) setMinLoad() {
	var total float64
	for _, p := range s.partitions {
		total += p.load
	}
	s.minLoad = idlePartitionLoad * total / float64(len(s.partitions))
}

// assignments returns the computed placement.
func (s *solver) assignments() []Assignment {
	out := make([]Assignment, len(s.partitions))
	for i, p := range s.partitions {
		out[i] = Assignment{Partition: p.partition}
		if p.owner != noServer {
			out[i].Owner = s.servers[p.owner].ID
		}
		if p.standby != noServer {
			out[i].Standby = s.servers[p.standby].ID
		}
	}
	return out
}
