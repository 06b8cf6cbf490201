package ranges

import (
	"slices"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

const (
	// Keys move from servers above overloadRatio to others. It is relative to the target load.
	overloadRatio = 1.3
	// Servers take keys up to a fill ratio, relative to their target load: minFillRatio, and more, up to maxFillRatio, as long as
	// their utilization stays below fillUtilization. Requests rarely queue there then, and a hot range is divided into fewer pieces.
	minFillRatio    = 1.1
	maxFillRatio    = 1.5
	fillUtilization = 0.6
	// minSpare is the least spare load, relative to the target, for which a server takes a piece.
	minSpare = 0.2
	// minOverloadUtilization is the utilization below which requests rarely queue at a server, so that moving keys away
	// would gain nothing. It applies to the measured utilization, with its trend, and to that which follows from the load of the
	// keys: a server that is slow for a moment because it shares its host keeps its keys.
	minOverloadUtilization = 0.6
	// minPlannedUtilization is the bound for the utilization by the load of keys that have not just become hot. Moving many keys to
	// even out chance costs more than the queues at that utilization.
	minPlannedUtilization = 0.7
	// minRisingUtilization is the utilization from which on hot keys count as the reason for an overload.
	minRisingUtilization = 0.2
	// minQueueUtilization is the measured utilization from which on requests queue at a server beyond what a slow moment of its host
	// makes at the usual load.
	minQueueUtilization = 1.5
	// maxCountedUtilization bounds what a server with a long queue adds to the mean utilization.
	maxCountedUtilization = 1.5
	// minLimitedUtilization is such a bound for a server with a limit of its own: requests are refused from 1 on.
	minLimitedUtilization = 0.8
	// limitedNoiseFraction is the part of the noise margin that applies to such a server. Waiting for certainty costs refusals.
	limitedNoiseFraction = 0.5
	// minHotKeyRatio is the load of a key, relative to the target of its server, from which on it is moved by itself.
	minHotKeyRatio = 0.5
	// maxHotKeyRatio is the load, relative to that of its server before, that a server may have with a key that exceeds the spare
	// load of all servers.
	maxHotKeyRatio = 0.7
	// minRebalanceMoves is the number of moves from overloaded servers that any plan may make.
	minRebalanceMoves = 8
	// pieceTolerance is by how much, relative to the amount, the load of a piece may differ from the amount without another one
	// being preferred. Of such pieces, the one with the fewest keys is moved.
	pieceTolerance = 0.3
	// innerPieceFraction is the number of keys, relative to that of a piece at the end of a range, at which a piece from within the
	// range is preferred. It divides the range into three, and the table grows by one more assignment.
	innerPieceFraction = 0.6
)

// rebalance moves keys from overloaded servers to those with the most spare capacity. One plan divides a hot range into as many
// pieces as are needed. It skips servers whose load is concentrated on a few keys that cannot be split.
func (p *Planner) rebalance() bool {
	changed, skipped := false, make(map[fleet.UpstreamID]bool)
	fill := p.fillRatio()
	for moves := 0; moves < p.maxMoves() && len(p.table.Assignments) < p.maxAssignments(); {
		from := p.mostLoaded(skipped)
		if from == nil || p.loadRatio(from) < overloadRatio {
			break
		}
		to := p.mostSpare(fill)
		if p.spare(to, fill) < minSpare*p.targetLoad(to) {
			break
		}
		if !p.overloaded(from) {
			skipped[from.ID] = true
			continue
		}
		amount := min(p.serverLoads[from.ID]-p.targetLoad(from), p.spare(to, fill))
		if p.moveLoad(from, to, amount, ReasonOverload) || p.moveHotKey(from, to) {
			changed = true
			moves++
			skipped[to.ID] = true // it takes keys up to the fill ratio and gives none away
		} else {
			skipped[from.ID] = true
		}
	}
	return changed
}

// fillRatio returns the load, relative to the target, up to which a server takes keys from overloaded ones.
func (p *Planner) fillRatio() float64 {
	if p.meanUtilization <= 0 {
		return minFillRatio
	}
	return min(max(fillUtilization/p.meanUtilization, minFillRatio), maxFillRatio)
}

// spare returns the load that a server can take until it has fill times its target load.
func (p *Planner) spare(server *Server, fill float64) float64 {
	return p.targetLoad(server)*fill - p.serverLoads[server.ID]
}

// mostSpare returns the server with the most spare load.
func (p *Planner) mostSpare(fill float64) *Server {
	best := &p.Servers[0]
	for i := range p.Servers {
		if server := &p.Servers[i]; p.spare(server, fill) > p.spare(best, fill) {
			best = server
		}
	}
	return best
}

// maxMoves bounds the moves of one plan from overloaded servers.
func (p *Planner) maxMoves() int { return max(minRebalanceMoves, len(p.Servers)) }

// maxAssignments is the number of assignments from which on no range is divided to balance the load, since a table has to fit
// into one row of the store and each range is renewed by itself.
func (p *Planner) maxAssignments() int { return 3*len(p.Servers) + 256 }

// overloaded reports whether the load of a server is significantly above its target and its utilization is high.
func (p *Planner) overloaded(server *Server) bool {
	target := p.targetLoad(server)
	if server.Limited {
		return server.Utilization > minLimitedUtilization &&
			p.serverLoads[server.ID] > max(target*overloadRatio, target+p.noiseMargin(target)*limitedNoiseFraction)
	}
	rising := p.risingUtilization(server)
	minPlanned := minPlannedUtilization
	if rising >= minRisingUtilization || server.Utilization >= minQueueUtilization {
		minPlanned = minOverloadUtilization
	}
	return server.Utilization+max(0, server.Rise, rising) > minOverloadUtilization &&
		p.loadRatio(server)*p.meanUtilization > minPlanned &&
		p.serverLoads[server.ID] > max(target*overloadRatio, target+p.noiseMargin(target))
}

// risingUtilization returns the utilization that follows from the keys of a server which became hot so recently that its measured
// utilization does not show it: requests are measured when they end.
func (p *Planner) risingUtilization(server *Server) float64 {
	rising := 0.0
	for _, assignment := range p.table.Assignments {
		if assignment.Owner.ID == server.ID {
			rising += p.Load.RisingLoad(assignment.Range)
		}
	}
	return rising / p.targetLoad(server) * p.meanUtilization
}

// piece is a part of the range of an assignment.
type piece struct {
	// index is that of the assignment, or -1 if there is no piece.
	index int
	keys  fleet.KeyRange
}

// moveLoad moves keys from one server to another: a piece of one of its ranges whose load is close to amount. From an overloaded
// server it moves as few keys as possible. Otherwise the piece whose load is closest is moved: where keys are about equally busy,
// the densest piece is the one that was requested often by chance, and would bring much less load than it was counted with. It
// returns false if the load of none is close enough.
func (p *Planner) moveLoad(from, to *Server, amount float64, reason MoveReason) bool {
	outer, inner := piece{index: -1}, piece{index: -1}
	better := p.closer
	if reason == ReasonOverload {
		better = p.better
	}
	for i, assignment := range p.table.Assignments {
		if assignment.Owner.ID != from.ID || len(assignment.FormerOwners) > 0 {
			continue
		}
		if split, ok := p.Load.SplitPoint(assignment.Range, amount); ok {
			keys := fleet.KeyRange{First: assignment.Range.First, Last: split}
			outer = better(outer, piece{index: i, keys: keys}, amount)
		}
		if split, ok := p.Load.SplitPoint(assignment.Range, p.Load.RangeSum(assignment.Range)-amount); ok {
			keys := fleet.KeyRange{First: split + 1, Last: assignment.Range.Last}
			outer = better(outer, piece{index: i, keys: keys}, amount)
		}
		outer = better(outer, piece{index: i, keys: assignment.Range}, amount)
		if keys, ok := p.Load.densestPiece(assignment.Range, amount); ok && reason == ReasonOverload {
			inner = p.better(inner, piece{index: i, keys: keys}, amount)
		}
	}
	best := outer
	if inner.index >= 0 && (outer.index < 0 || p.better(outer, inner, amount) == inner &&
		float64(inner.keys.Size()) <= innerPieceFraction*float64(outer.keys.Size())) {
		best = inner
	}
	if best.index < 0 {
		return false
	}
	p.movePiece(best, from, to, reason)
	return true
}

// moveHotKey moves the key with the most load of an overloaded server if it exceeds the spare load of any other one, but leaves
// both servers with clearly less load than the first one has. Hot keys that share a server are spread by that.
func (p *Planner) moveHotKey(from, to *Server) bool {
	best, most := piece{index: -1}, 0.0
	for i, assignment := range p.table.Assignments {
		if assignment.Owner.ID != from.ID || len(assignment.FormerOwners) > 0 {
			continue
		}
		for key := int(assignment.Range.First); key <= int(assignment.Range.Last); key++ {
			keys := fleet.KeyRange{First: fleet.NumericKey(key), Last: fleet.NumericKey(key)}
			if load := p.Load.RangeSum(keys); load > most {
				best, most = piece{index: i, keys: keys}, load
			}
		}
	}
	if best.index < 0 || most < minHotKeyRatio*p.targetLoad(from) {
		return false
	}
	if p.loadRatio(to)+most/p.targetLoad(to) > maxHotKeyRatio*p.loadRatio(from) {
		return false
	}
	p.movePiece(best, from, to, ReasonOverload)
	return true
}

// movePiece moves a piece and its load.
func (p *Planner) movePiece(moved piece, from, to *Server, reason MoveReason) {
	p.noteMove(moved.keys, from.ID, to, reason, moved.keys != p.table.Assignments[moved.index].Range)
	p.assignPiece(moved, to)
	load := p.Load.RangeSum(moved.keys)
	p.serverLoads[from.ID] -= load
	p.serverLoads[to.ID] += load
}

// better returns the piece that is better to move from an overloaded server: of those whose load is about the amount, the one
// with the fewest keys.
func (p *Planner) better(best, candidate piece, amount float64) piece {
	if best.index >= 0 && p.distance(candidate, amount) <= pieceTolerance && p.distance(best, amount) <= pieceTolerance {
		if candidate.keys.Size() < best.keys.Size() {
			return candidate
		}
		return best
	}
	return p.closer(best, candidate, amount)
}

// closer returns the piece whose load is closer to amount. One whose load differs from amount by half of it would only reverse
// the imbalance and is never returned.
func (p *Planner) closer(best, candidate piece, amount float64) piece {
	distance := p.distance(candidate, amount)
	if distance < 0.5 && (best.index < 0 || distance < p.distance(best, amount)) {
		return candidate
	}
	return best
}

// distance returns by how much the load of a piece differs from amount, relative to amount.
func (p *Planner) distance(candidate piece, amount float64) float64 {
	difference := p.Load.RangeSum(candidate.keys) - amount
	return max(difference, -difference) / amount
}

// assignPiece assigns a piece of a range to a server. The rest of the range keeps its owner.
func (p *Planner) assignPiece(moved piece, to *Server) {
	old := p.table.Assignments[moved.index]
	var pieces []Assignment
	if old.Range.First < moved.keys.First {
		before := old
		before.Range.Last = moved.keys.First - 1
		pieces = append(pieces, before)
	}
	pieces = append(pieces, Assignment{Range: moved.keys, Owner: to.Owner, Fence: p.fence, FormerOwners: p.formerOwners(old)})
	if moved.keys.Last < old.Range.Last {
		after := old
		after.Range.First = moved.keys.Last + 1
		pieces = append(pieces, after)
	}
	p.table.Assignments = slices.Replace(p.table.Assignments, moved.index, moved.index+1, pieces...)
}
