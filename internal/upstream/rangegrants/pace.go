package rangegrants

import (
	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/ownership/ranges"
)

// minFullUtilization is the utilization that a server has at least if it refused requests because it was full: its queue is
// in use.
const minFullUtilization = 2

// utilization returns the utilization of a server with a number of slots, and its rise since the previous collection.
func utilization(stats ServerStats, slots float64) (used, rise float64) {
	used = stats.Concurrency / slots
	if stats.Rejected > 0 {
		used = max(used, minFullUtilization)
	}
	return used, stats.Rise / slots
}

// measurePaces adds what was measured since the previous collection to the paces of the servers. Only servers of the service
// count: the requests of another one may take longer.
func (t *term) measurePaces(stats map[fleet.UpstreamID]ServerStats) {
	listed := make(map[fleet.UpstreamID]bool)
	for _, server := range t.Registry.Servers(t.Service) {
		listed[server.ID] = true
		t.paces.Add(t.Clock.Now(), server.ID, server.Slots, stats[server.ID].Latest)
	}
	t.paces.Keep(func(id fleet.UpstreamID) bool { return listed[id] })
}

// logMoves logs a plan that moves keys.
func (t *term) logMoves(planner *ranges.Planner) {
	type total struct{ moves, splits, keys int }
	totals := make(map[ranges.MoveReason]total)
	first := make(map[ranges.MoveReason]ranges.Move)
	for _, move := range planner.Moves {
		sum := totals[move.Reason]
		if sum.moves == 0 {
			first[move.Reason] = move
		}
		sum.moves, sum.keys = sum.moves+1, sum.keys+move.Range.Size()
		if move.Split {
			sum.splits++
		}
		totals[move.Reason] = sum
	}
	highest, mean := planner.Utilization()
	for reason, sum := range totals {
		move := first[reason]
		t.Log.Info().Str("service", string(t.Service)).Str("why", string(reason)).Int("moves", sum.moves).Int("splits", sum.splits).
			Int("keys", sum.keys).Stringer("range", move.Range).Str("from", string(move.From)).Str("to", string(move.To)).
			Float64("load", move.Load).Float64("from-load", move.FromLoad).Float64("utilization", move.FromUtilization).
			Float64("highest", highest).Float64("mean", mean).Msg("plan moves keys")
	}
}
