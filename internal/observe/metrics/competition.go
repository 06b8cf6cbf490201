package metrics

import (
	"github.com/prometheus/client_golang/prometheus"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// competition holds the counters of what keeps requests from upstreams: full upstreams and callers that come back too early.
type competition struct {
	resets, idleResets, holds, earlyReturns *prometheus.CounterVec
}

func newCompetition(registry *prometheus.Registry) competition {
	counter := func(name, help string) *prometheus.CounterVec {
		result := prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, []string{labelService})
		registry.MustRegister(result)
		return result
	}
	return competition{
		resets:       counter("rosemarywick_connection_resets_total", "New connections that upstreams reset because they were full."),
		idleResets:   counter("rosemarywick_idle_connection_resets_total", "Connections that were reset when they were used again."),
		holds:        counter("rosemarywick_server_holds_total", "Times that requests were held back because their server was full."),
		earlyReturns: counter("rosemarywick_early_returns_total", "Callers that came back before the time that they were told."),
	}
}

// deleteSeries deletes the time series that have the labels.
func (c *competition) deleteSeries(labels prometheus.Labels) {
	for _, counter := range []*prometheus.CounterVec{c.resets, c.idleResets, c.holds, c.earlyReturns} {
		counter.DeletePartialMatch(labels)
	}
}

// ObserveReset counts a new connection that an upstream reset because it was full.
func (m *Metrics) ObserveReset(service fleet.ServiceName) { m.count(m.competition.resets, service) }

// ObserveIdleReset counts a connection that was reset when it was used again.
func (m *Metrics) ObserveIdleReset(service fleet.ServiceName) {
	m.count(m.competition.idleResets, service)
}

// ObserveHold counts that requests are held back because their server is full.
func (m *Metrics) ObserveHold(service fleet.ServiceName) { m.count(m.competition.holds, service) }

// ObserveEarlyReturn counts a caller that came back before the time that it was told.
func (m *Metrics) ObserveEarlyReturn(service fleet.ServiceName) {
	m.count(m.competition.earlyReturns, service)
}

// count adds one to the counter of a service.
func (m *Metrics) count(counter *prometheus.CounterVec, service fleet.ServiceName) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	label, _ := m.labels(service, "")
	counter.WithLabelValues(label).Inc()
}
