package ranges

import (
	"slices"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// MoveReason is why a plan moves a range to another server.
type MoveReason string

const (
	// ReasonOverload means that the server has more load than it should and requests queue there.
	ReasonOverload MoveReason = "overload"
	// ReasonFill means that the next owner has just joined or has little load.
	ReasonFill MoveReason = "fill"
	// ReasonOrphan means that the previous owner is not available.
	ReasonOrphan MoveReason = "orphan"
	// ReasonJoin means that the range is joined with an adjacent one, to keep the table small.
	ReasonJoin MoveReason = "join"
)

// Move is a range that a plan gives to another server.
type Move struct {
	Range    fleet.KeyRange
	From, To fleet.UpstreamID
	Reason   MoveReason
	// Split is set if the range is a part of the previous owner's.
	Split bool
	// Load is the load of the range, relative to the mean load of a server. FromLoad is that of the previous owner before the move,
	// relative to what it should have, and FromUtilization its expected utilization.
	Load, FromLoad, FromUtilization float64
}

// noteMove adds a move to Moves. It is called before the load of the servers is changed.
func (p *Planner) noteMove(keys fleet.KeyRange, from fleet.UpstreamID, to *Server, reason MoveReason, split bool) {
	move := Move{Range: keys, From: from, To: to.ID, Reason: reason, Split: split}
	if p.totalLoad > 0 {
		move.Load = p.Load.RangeSum(keys) / p.totalLoad * float64(len(p.Servers))
	}
	if server := p.findServer(from); server != nil {
		move.FromLoad, move.FromUtilization = p.loadRatio(server), server.Utilization+max(0, server.Rise, p.risingUtilization(server))
	}
	p.Moves = append(p.Moves, move)
}

// MoveSum summarizes the moves of a plan that have the same reason.
type MoveSum struct {
	Reason              MoveReason
	Moves, Splits, Keys int
	// First is the first of the moves, which takes keys from the server with the most load.
	First Move
}

// SumMoves summarizes the moves of the plan by reason, in the order in which the reasons first occurred.
func (p *Planner) SumMoves() []MoveSum {
	var sums []MoveSum
	for _, move := range p.Moves {
		index := slices.IndexFunc(sums, func(sum MoveSum) bool { return sum.Reason == move.Reason })
		if index < 0 {
			index = len(sums)
			sums = append(sums, MoveSum{Reason: move.Reason, First: move})
		}
		sums[index].Moves++
		sums[index].Keys += move.Range.Size()
		if move.Split {
			sums[index].Splits++
		}
	}
	return sums
}

// Utilization returns the highest and the mean utilization of the servers that were planned with.
func (p *Planner) Utilization() (highest, mean float64) {
	for i := range p.Servers {
		highest = max(highest, p.Servers[i].Utilization)
		mean += p.Servers[i].Utilization / float64(len(p.Servers))
	}
	return highest, mean
}
