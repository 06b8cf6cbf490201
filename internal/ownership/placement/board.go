package placement

import (
	"cmp"
	"math"
	"slices"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// none is the index of no server.
const none = -1

// slot is one partition while a placement is being computed, with servers as indexes into the board's list.
type slot struct {
	partition fleet.PartitionID
	owner     int
	standby   int
	// size is what the partition contributes to the fill of its owner: 1, or its load where loads are known.
	size   float64
	pinned bool
}

// board is a placement being computed.
type board struct {
	policy  Policy
	servers []Server
	slots   []slot
	// loaded is set when sizes are loads.
	loaded bool
	// room is the cap of each server in the unit of size; fill is the present sum of sizes.
	room, fill []float64
	// share is each server's part of the total weight.
	share []float64
	// floor is the least by which a partition that is given to a server adds to its fill.
	floor float64
}

func newBoard(state Input, policy Policy) *board {
	b := &board{policy: policy, servers: slices.Clone(state.Servers), loaded: len(state.Loads) > 0}
	slices.SortFunc(b.servers, func(x, y Server) int { return cmp.Compare(x.ID, y.ID) })
	b.servers = slices.CompactFunc(b.servers, func(x, y Server) bool { return x.ID == y.ID })
	b.fillSlots(state)
	b.setRoom()
	return b
}

// index returns the position of each server by name.
func (b *board) index() map[fleet.UpstreamID]int {
	byID := make(map[fleet.UpstreamID]int, len(b.servers))
	for i, s := range b.servers {
		byID[s.ID] = i
	}
	return byID
}

func (b *board) fillSlots(state Input) {
	b.slots = make([]slot, state.Partitions, state.Partitions+len(state.Current)/8+1)
	for i := range b.slots {
		b.slots[i] = slot{partition: fleet.PartitionID(i), owner: none, standby: none}
	}
	byID := b.index()
	lookUp := func(id fleet.UpstreamID) int {
		if i, ok := byID[id]; ok {
			return i
		}
		return none
	}
	seen := make([]bool, state.Partitions)
	for _, e := range state.Current {
		s := slot{partition: e.Partition, owner: lookUp(e.Owner), standby: lookUp(e.Standby)}
		switch {
		case int(e.Partition) >= state.Partitions:
			b.slots = append(b.slots, s)
		case !seen[e.Partition]:
			b.slots[e.Partition], seen[e.Partition] = s, true
		}
	}
	hot := b.slots[state.Partitions:]
	slices.SortStableFunc(hot, func(x, y slot) int { return cmp.Compare(x.partition, y.partition) })
	hot = slices.CompactFunc(hot, func(x, y slot) bool { return x.partition == y.partition })
	b.slots = b.slots[:state.Partitions+len(hot)]
	for i := range b.slots {
		b.measure(&b.slots[i], state, lookUp)
	}
}

// measure sets the size of a slot and applies its pin.
func (b *board) measure(s *slot, state Input, lookUp func(fleet.UpstreamID) int) {
	s.size = 1
	if b.loaded {
		s.size = max(state.Loads[s.partition], 0)
	}
	if len(state.Pins) == 0 {
		return
	}
	id, ok := state.Pins[s.partition]
	if !ok {
		return
	}
	if pin := lookUp(id); pin != none {
		s.owner, s.pinned = pin, true
	}
}

// setRoom computes the fair share, the cap and the present fill of each server.
func (b *board) setRoom() {
	n := len(b.servers)
	b.room, b.fill, b.share = make([]float64, n), make([]float64, n), make([]float64, n)
	var weights, total float64
	for i, s := range b.servers {
		b.share[i] = 1
		if s.Weight > 0 {
			b.share[i] = s.Weight
		}
		weights += b.share[i]
	}
	for _, s := range b.slots {
		total += s.size
		if s.owner != none {
			b.fill[s.owner] += s.size
		}
	}
	for i := range b.servers {
		b.share[i] /= weights
		b.room[i] = b.policy.CapacityFactor * total * b.share[i]
		if !b.loaded {
			// The small constant keeps an exact product such as 1.05 * 100 from being rounded up by its error.
			b.room[i] = math.Ceil(b.room[i] - 1e-9)
		}
	}
}

// orphans returns the slots whose owner is not live.
func (b *board) orphans() []int {
	var found []int
	for i, s := range b.slots {
		if s.owner == none {
			found = append(found, i)
		}
	}
	return found
}

// excess takes from each server what exceeds its cap. It prefers the highest partitions, hot keys thus first.
func (b *board) excess() []int {
	var found []int
	for i := len(b.slots) - 1; i >= 0; i-- {
		s := &b.slots[i]
		if s.owner == none || s.pinned || b.fill[s.owner] <= b.room[s.owner] {
			continue
		}
		b.fill[s.owner] -= s.size
		s.owner = none
		found = append(found, i)
	}
	return found
}

// toStandbys gives each slot to its standby if that stays within its cap, and returns the others.
func (b *board) toStandbys(homeless []int) []int {
	var rest []int
	for _, i := range homeless {
		s := &b.slots[i]
		if s.standby == none || b.fill[s.standby]+s.size > b.room[s.standby] {
			rest = append(rest, i)
			continue
		}
		b.give(s, s.standby)
	}
	return rest
}

// toLeastFilled gives each slot to the server with the lowest fill relative to its share, the largest slots first.
func (b *board) toLeastFilled(homeless []int) {
	slices.SortStableFunc(homeless, func(x, y int) int { return cmp.Compare(b.slots[y].size, b.slots[x].size) })
	for _, i := range homeless {
		best := 0
		for j := range b.servers {
			if b.fill[j]/b.share[j] < b.fill[best]/b.share[best] {
				best = j
			}
		}
		b.give(&b.slots[i], best)
	}
}

func (b *board) give(s *slot, server int) {
	s.owner = server
	b.fill[server] += max(s.size, b.floor)
}

// idleSize is the part of the mean load of a partition that one without load counts. Without it, all idle partitions
// of a lost server could go to the one server that has the least load.
const idleSize = 0.1

func (b *board) setFloor() {
	var total float64
	for _, s := range b.slots {
		total += s.size
	}
	b.floor = idleSize * total / float64(len(b.slots))
}

// entries returns the slots in the form of the caller.
func (b *board) entries() []Assignment {
	out := make([]Assignment, len(b.slots))
	for i, s := range b.slots {
		out[i] = Assignment{Partition: s.partition}
		if s.owner != none {
			out[i].Owner = b.servers[s.owner].ID
		}
		if s.standby != none {
			out[i].Standby = b.servers[s.standby].ID
		}
	}
	return out
}
