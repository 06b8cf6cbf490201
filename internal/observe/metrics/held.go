package metrics

import (
	"github.com/prometheus/client_golang/prometheus"

	"rosemarywick.example/rosemarywick/internal/caller/budget"
)

// ExposeHeld adds gauges of what is held for callers, and counters of what was refused or closed for lack of room.
func (m *Metrics) ExposeHeld(held *budget.Budget) {
	for _, purpose := range budget.Purposes {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "rosemarywick_held_bytes", Help: "Bytes held for callers, by purpose.",
			ConstLabels: prometheus.Labels{"purpose": string(purpose)},
		}, func() float64 { return float64(held.Held(purpose)) }))
	}
	counter := func(name, help string, count func() int) {
		m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help},
			func() float64 { return float64(count()) }))
	}
	counter("rosemarywick_room_refusals_total", "Connections, bodies and parts of responses for which there was no room.",
		held.Refusals)
	counter("rosemarywick_room_closed_connections_total", "Connections of callers closed since room was short.", held.Closed)
}
