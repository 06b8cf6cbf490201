package placement

import "rosemarywick.example/rosemarywick/internal/core/fleet"

// Move is the move of a partition from one server to another.
type Move struct {
	Partition fleet.PartitionID
	// From is the current owner. It may be empty or not live.
	From fleet.UpstreamID
	To   fleet.UpstreamID
	// Planned is set if the current owner is live and must release the partition first.
	Planned bool
}

// PlanMoves returns the moves from the current to the desired placement. Partitions without a live owner come first and
// are not limited. At most limit planned moves are returned, so that a caller with moves in progress passes its bound
// minus their number. The desired placement must be sorted by partition, as Place returns it.
func PlanMoves(current, desired []Assignment, live []Server, limit int) []Move {
	owners := make(map[fleet.PartitionID]fleet.UpstreamID, len(current))
	for _, assignment := range current {
		if _, ok := owners[assignment.Partition]; !ok {
			owners[assignment.Partition] = assignment.Owner
		}
	}
	alive := make(map[fleet.UpstreamID]bool, len(live))
	for _, server := range live {
		alive[server.ID] = true
	}
	var urgent, planned []Move
	for _, assignment := range desired {
		move := Move{Partition: assignment.Partition, From: owners[assignment.Partition], To: assignment.Owner}
		move.Planned = alive[move.From]
		switch {
		case move.From == move.To || move.To == "":
		case !move.Planned:
			urgent = append(urgent, move)
		case len(planned) < limit:
			planned = append(planned, move)
		}
	}
	return append(urgent, planned...)
}
