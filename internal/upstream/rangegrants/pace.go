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

// reportPlan logs the moves of a plan, and reports them and the utilization of the servers to OnPlan.
func (t *term) reportPlan(planner *ranges.Planner) {
	sums := planner.SumMoves()
	highest, mean := planner.Utilization()
	for _, sum := range sums {
		t.Log.Info().Str("service", string(t.Service)).Str("why", string(sum.Reason)).Int("moves", sum.Moves).
			Int("splits", sum.Splits).Int("keys", sum.Keys).Stringer("range", sum.First.Range).
			Str("from", string(sum.First.From)).Str("to", string(sum.First.To)).Float64("load", sum.First.Load).
			Float64("from-load", sum.First.FromLoad).Float64("utilization", sum.First.FromUtilization).
			Float64("highest", highest).Float64("mean", mean).Msg("plan moves keys")
	}
	if t.OnPlan != nil {
		t.OnPlan(sums, highest, mean)
	}
}
