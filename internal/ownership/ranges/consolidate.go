package ranges

import "slices"

// consolidate gives ranges with little load to the owner of the next or the previous range, so that the pieces into which a range
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
		if p.Load.RangeSum(p.table.Assignments[a].Range) < p.Load.RangeSum(p.table.Assignments[b].Range) {
			return -1
		}
		return 1
	})
	moved := 0
	for _, index := range candidates {
		if moved == min(excess, p.maxMoves()) {
			break
		}
		if p.joinNeighbour(index) {
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
			p.serverLoads[server.ID]+load > p.targetLoad(server) {
			continue
		}
		p.serverLoads[assignment.Owner.ID] -= load
		p.serverLoads[server.ID] += load
		assignment.FormerOwners = p.formerOwners(*assignment)
		assignment.Owner, assignment.Fence = neighbour.Owner, p.fence
		return true
	}
	return false
}
