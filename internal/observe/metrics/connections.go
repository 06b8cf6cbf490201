package metrics

import (
	"github.com/prometheus/client_golang/prometheus"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// connections holds the metrics of connections to upstreams.
type connections struct {
	resets, idleResets *prometheus.CounterVec
}

func newConnections(registry *prometheus.Registry) connections {
	c := connections{
		resets: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "rosemarywick_connection_resets_total", Help: "New connections that upstreams reset because they were full.",
		}, []string{labelService}),
		idleResets: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "rosemarywick_idle_connection_resets_total", Help: "Connections that were reset when they were used again.",
		}, []string{labelService}),
	}
	registry.MustRegister(c.resets, c.idleResets)
	return c
}

// ObserveReset counts a new connection that an upstream reset because it was full.
func (m *Metrics) ObserveReset(service fleet.ServiceName) { m.count(m.resets, service) }

// ObserveIdleReset counts a connection that was reset when it was used again.
func (m *Metrics) ObserveIdleReset(service fleet.ServiceName) {
	m.count(m.idleResets, service)
}

// count adds one to the counter of a service.
func (m *Metrics) count(counter *prometheus.CounterVec, service fleet.ServiceName) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	label, _ := m.labels(service, "")
	counter.WithLabelValues(label).Inc()
}
