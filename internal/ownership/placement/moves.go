package placement

import "rosemarywick.example/rosemarywick/internal/core/fleet"

// Move takes a partition from one server to another.
type Move struct {
	Partition fleet.PartitionID
	// From is the current owner; it may be empty or no longer live.
	From fleet.UpstreamID
	To   fleet.UpstreamID
	// Planned is set when the current owner is live and has to release the partition first.
	Planned bool
}

// Moves returns the steps from the current to the desired placement. Partitions without a live owner come first and are
// not limited; of the planned moves at most limit are returned, so that the caller passes its bound less the number of
// moves that are under way. The desired placement must be ordered by partition as Place returns it.
func PlanMoves(current, desired []Assignment, live []Server, limit int) []Move {
	owners := make(map[fleet.PartitionID]fleet.UpstreamID, len(current))
	for _, e := range current {
		if _, ok := owners[e.Partition]; !ok {
			owners[e.Partition] = e.Owner
		}
	}
	alive := make(map[fleet.UpstreamID]bool, len(live))
	for _, s := range live {
		alive[s.ID] = true
	}
	var urgent, planned []Move
	for _, e := range desired {
		move := Move{Partition: e.Partition, From: owners[e.Partition], To: e.Owner}
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
