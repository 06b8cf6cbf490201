package metrics

import (
	"github.com/prometheus/client_golang/prometheus"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// plans holds the metrics of the plans that assign key ranges. Only the acting assigner of a service updates them.
type plans struct {
	utilization *prometheus.GaugeVec
	moves       *prometheus.CounterVec
}

func newPlans() *plans {
	return &plans{
		utilization: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "rosemarywick_server_utilization_ratio",
			Help: "Requests at a server by the number that it runs at a time: that of the busiest server, and the mean.",
		}, []string{labelService, "server"}),
		moves: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "rosemarywick_range_changes_total",
			Help: "Ranges that plans moved or split off, and their keys, by the reason of the plan.",
		}, []string{labelService, "reason", "change"}),
	}
}

// Moves counts ranges that a plan moves for one reason.
type Moves struct {
	// Reason is one of a few constants of the planner.
	Reason              string
	Moves, Splits, Keys int
}

// ObserveUtilization sets the utilization of the servers of a service.
func (m *Metrics) ObserveUtilization(service fleet.ServiceName, highest, mean float64) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	label, _ := m.labels(service, "")
	m.plans.utilization.WithLabelValues(label, "busiest").Set(highest)
	m.plans.utilization.WithLabelValues(label, "mean").Set(mean)
}

// ObserveMoves counts the moves of a plan.
func (m *Metrics) ObserveMoves(service fleet.ServiceName, moves Moves) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	label, _ := m.labels(service, "")
	m.plans.moves.WithLabelValues(label, moves.Reason, "move").Add(float64(moves.Moves))
	m.plans.moves.WithLabelValues(label, moves.Reason, "split").Add(float64(moves.Splits))
	m.plans.moves.WithLabelValues(label, moves.Reason, "key").Add(float64(moves.Keys))
}
