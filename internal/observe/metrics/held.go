package metrics

import "github.com/prometheus/client_golang/prometheus"

// HeldCounts returns what is held for callers.
type HeldCounts interface {
	// Purposes lists what bytes are held for.
	Purposes() []string
	// HeldFor is the number of bytes held for a purpose.
	HeldFor(purpose string) int64
	// Refusals is the number of connections, bodies and parts of responses so far for which there was no room.
	Refusals() int
	// Closed is the number of connections so far that were closed since room was short.
	Closed() int
}

// ExposeHeld adds gauges of what is held for callers, and counters of what was refused or closed for lack of room.
func (m *Metrics) ExposeHeld(held HeldCounts) {
	for _, purpose := range held.Purposes() {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "rosemarywick_held_bytes", Help: "Bytes held for callers, by purpose.",
			ConstLabels: prometheus.Labels{"purpose": purpose},
		}, func() float64 { return float64(held.HeldFor(purpose)) }))
	}
	counter := func(name, help string, count func() int) {
		m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help},
			func() float64 { return float64(count()) }))
	}
	counter("rosemarywick_room_refusals_total", "Connections, bodies and parts of responses for which there was no room.",
		held.Refusals)
	counter("rosemarywick_room_closed_connections_total", "Connections of callers closed since room was short.", held.Closed)
}
