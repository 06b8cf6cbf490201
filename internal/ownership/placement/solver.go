package placement

import (
	"cmp"
	"math"
	"slices"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// none is the index of no server.
const noServer = -1

// slot is one partition while a placement is being computed, with servers as indexes into the board's list.
type partitionState struct {
	partition fleet.PartitionID
	owner     int
	standby   int
	// size is what the partition contributes to the fill of its owner: 1, or its load where loads are known.
	load   float64
	pinned bool
}

// board is a placement being computed.
type solver struct {
	policy     Policy
	servers    []Server
	partitions []partitionState
	// loaded is set when sizes are loads.
	loadsKnown bool
	// room is the cap of each server in the unit of size; fill is the present sum of sizes.
	capacity, serverLoad []float64
	// share is each server's part of the total weight.
	weightShare []float64
	// floor is the least by which a partition that is given to a server adds to its fill.
	minLoad float64
}

func newSolver(state Input, policy Policy) *solver {
	b := &solver{policy: policy, servers: slices.Clone(state.Servers), loadsKnown: len(state.Loads) > 0}
	slices.SortFunc(b.servers, func(x, y Server) int { return cmp.Compare(x.ID, y.ID) })
	b.servers = slices.CompactFunc(b.servers, func(x, y Server) bool { return x.ID == y.ID })
	b.initPartitions(state)
	b.computeCapacities()
	return b
}

// index returns the position of each server by name.
func (b *solver) serverIndexes() map[fleet.UpstreamID]int {
	byID := make(map[fleet.UpstreamID]int, len(b.servers))
	for i, s := range b.servers {
		byID[s.ID] = i
	}
	return byID
}

func (b *solver) initPartitions(state Input) {
	b.partitions = make([]partitionState, state.Partitions, state.Partitions+len(state.Current)/8+1)
	for i := range b.partitions {
		b.partitions[i] = partitionState{partition: fleet.PartitionID(i), owner: noServer, standby: noServer}
	}
	byID := b.serverIndexes()
	lookUp := func(id fleet.UpstreamID) int {
		if i, ok := byID[id]; ok {
			return i
		}
		return noServer
	}
	seen := make([]bool, state.Partitions)
	for _, e := range state.Current {
		s := partitionState{partition: e.Partition, owner: lookUp(e.Owner), standby: lookUp(e.Standby)}
		switch {
		case int(e.Partition) >= state.Partitions:
			b.partitions = append(b.partitions, s)
		case !seen[e.Partition]:
			b.partitions[e.Partition], seen[e.Partition] = s, true
		}
	}
	hot := b.partitions[state.Partitions:]
	slices.SortStableFunc(hot, func(x, y partitionState) int { return cmp.Compare(x.partition, y.partition) })
	hot = slices.CompactFunc(hot, func(x, y partitionState) bool { return x.partition == y.partition })
	b.partitions = b.partitions[:state.Partitions+len(hot)]
	for i := range b.partitions {
		b.setLoad(&b.partitions[i], state, lookUp)
	}
}

// measure sets the size of a slot and applies its pin.
func (b *solver) setLoad(s *partitionState, state Input, lookUp func(fleet.UpstreamID) int) {
	s.load = 1
	if b.loadsKnown {
		s.load = max(state.Loads[s.partition], 0)
	}
	if len(state.Pins) == 0 {
		return
	}
	id, ok := state.Pins[s.partition]
	if !ok {
		return
	}
	if pin := lookUp(id); pin != noServer {
		s.owner, s.pinned = pin, true
	}
}

// setRoom computes the fair share, the cap and the present fill of each server.
func (b *solver) computeCapacities() {
	n := len(b.servers)
	b.capacity, b.serverLoad, b.weightShare = make([]float64, n), make([]float64, n), make([]float64, n)
	var weights, total float64
	for i, s := range b.servers {
		b.weightShare[i] = 1
		if s.Weight > 0 {
			b.weightShare[i] = s.Weight
		}
		weights += b.weightShare[i]
	}
	for _, s := range b.partitions {
		total += s.load
		if s.owner != noServer {
			b.serverLoad[s.owner] += s.load
		}
	}
	for i := range b.servers {
		b.weightShare[i] /= weights
		b.capacity[i] = b.policy.CapacityFactor * total * b.weightShare[i]
		if !b.loadsKnown {
			// The small constant keeps an exact product such as 1.05 * 100 from being rounded up by its error.
			b.capacity[i] = math.Ceil(b.capacity[i] - 1e-9)
		}
	}
}

// orphans returns the slots whose owner is not live.
func (b *solver) unownedPartitions() []int {
	var found []int
	for i, s := range b.partitions {
		if s.owner == noServer {
			found = append(found, i)
		}
	}
	return found
}

// excess takes from each server what exceeds its cap. It prefers the highest partitions, hot keys thus first.
func (b *solver) evictExcess() []int {
	var found []int
	for i := len(b.partitions) - 1; i >= 0; i-- {
		s := &b.partitions[i]
		if s.owner == noServer || s.pinned || b.serverLoad[s.owner] <= b.capacity[s.owner] {
			continue
		}
		b.serverLoad[s.owner] -= s.load
		s.owner = noServer
		found = append(found, i)
	}
	return found
}

// toStandbys gives each slot to its standby if that stays within its cap, and returns the others.
func (b *solver) assignToStandbys(homeless []int) []int {
	var rest []int
	for _, i := range homeless {
		s := &b.partitions[i]
		if s.standby == noServer || b.serverLoad[s.standby]+s.load > b.capacity[s.standby] {
			rest = append(rest, i)
			continue
		}
		b.assign(s, s.standby)
	}
	return rest
}

// toLeastFilled gives each slot to the server with the lowest fill relative to its share, the largest slots first.
func (b *solver) assignToLeastLoaded(homeless []int) {
	slices.SortStableFunc(homeless, func(x, y int) int { return cmp.Compare(b.partitions[y].load, b.partitions[x].load) })
	for _, i := range homeless {
		best := 0
		for j := range b.servers {
			if b.serverLoad[j]/b.weightShare[j] < b.serverLoad[best]/b.weightShare[best] {
				best = j
			}
		}
		b.assign(&b.partitions[i], best)
	}
}

func (b *solver) assign(s *partitionState, server int) {
	s.owner = server
	b.serverLoad[server] += max(s.load, b.minLoad)
}

// idleSize is the part of the mean load of a partition that one without load counts. Without it, all idle partitions
// of a lost server could go to the one server that has the least load.
const idlePartitionLoad = 0.1

func (b *solver) setMinLoad() {
	var total float64
	for _, s := range b.partitions {
		total += s.load
	}
	b.minLoad = idlePartitionLoad * total / float64(len(b.partitions))
}

// entries returns the slots in the form of the caller.
func (b *solver) assignments() []Assignment {
	out := make([]Assignment, len(b.partitions))
	for i, s := range b.partitions {
		out[i] = Assignment{Partition: s.partition}
		if s.owner != noServer {
			out[i].Owner = b.servers[s.owner].ID
		}
		if s.standby != noServer {
			out[i].Standby = b.servers[s.standby].ID
		}
	}
	return out
}
