package ranges

import (
	"slices"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

const (
	// A plan joins up to one range for joinsDivisor servers, and minJoins at least. The pieces of a hot range are joined again over
	// some seconds, since requests for a range wait while it moves.
	joinsDivisor = 16
	minJoins     = 4
)

// consolidate gives ranges with few keys to the owner of the next or the previous range, so that the pieces into which a range
// was divided while it was hot do not accumulate. It does so only while there are more than two ranges for each server, and only
// if that owner does not become overloaded.
func (p *Planner) consolidate() bool {
	excess := len(p.table.Assignments) - 2*len(p.Servers)
	if excess <= 0 {
		return false
	}
	var candidates []int
	for i := range p.table.Assignments {
		if len(p.table.Assignments[i].FormerOwners) == 0 && !p.stays(p.table.Assignments[i]) {
			candidates = append(candidates, i)
		}
	}
	slices.SortFunc(candidates, func(a, b int) int {
		return p.table.Assignments[a].Range.Size() - p.table.Assignments[b].Range.Size()
	})
	owned := make(map[fleet.UpstreamID]int)
	for _, assignment := range p.table.Assignments {
		owned[assignment.Owner.ID]++
	}
	moved := 0
	for _, index := range candidates {
		if moved == min(excess, max(minJoins, len(p.Servers)/joinsDivisor)) {
			break
		}
		// A server keeps its last range: it would be given keys at once, because it has none.
		if owner := p.table.Assignments[index].Owner.ID; owned[owner] > 1 && p.joinNeighbour(index) {
			owned[owner]--
			moved++
		}
	}
	return moved > 0
}

// joinNeighbour gives a range to the owner of an adjacent one that does not change hands itself. It returns false if no such
// owner has room for its load.
func (p *Planner) joinNeighbour(index int) bool {
	assignment := &p.table.Assignments[index]
	load := p.Load.RangeSum(assignment.Range)
	for _, next := range []int{index - 1, index + 1} {
		if next < 0 || next >= len(p.table.Assignments) {
			continue
		}
		neighbour := p.table.Assignments[next]
		server := p.findServer(neighbour.Owner.ID)
		if server == nil || len(neighbour.FormerOwners) > 0 || neighbour.Owner.SameProcess(assignment.Owner) ||
			p.serverLoads[server.ID]+load > p.targetLoad(server)*p.fillRatio() {
			continue
		}
		p.noteMove(assignment.Range, assignment.Owner.ID, server, ReasonJoin, false)
		p.serverLoads[assignment.Owner.ID] -= load
		p.serverLoads[server.ID] += load
		assignment.FormerOwners = p.formerOwners(*assignment)
		assignment.Owner, assignment.Fence = neighbour.Owner, p.fence
		return true
	}
	return false
}
