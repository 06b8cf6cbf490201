package metrics

import "github.com/prometheus/client_golang/prometheus"

// NoticeCounts returns the numbers of upstreams that state something about themselves.
type NoticeCounts interface {
	// Limited is the number of upstreams that limit the requests that they take.
	Limited() int
	// Leaving is the number of registered upstreams that have stated that they leave.
	Leaving() int
	// Paused is the number of upstreams that want nothing from this daemon at present.
	Paused() int
	// Cold is the number of registered upstreams that count as cold.
	Cold() int
	// Malformed is the number of statements so far that could not be understood.
	Malformed() int
}

// ExposeNotices adds gauges of the upstreams that state something about themselves.
func (m *Metrics) ExposeNotices(counts NoticeCounts) {
	gauge := func(name, help string, count func() int) {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help},
			func() float64 { return float64(count()) }))
	}
	gauge("rosemarywick_limited_upstreams", "Upstreams that limit the requests that they take from all daemons.", counts.Limited)
	gauge("rosemarywick_leaving_upstreams", "Registered upstreams that have stated that they leave.", counts.Leaving)
	gauge("rosemarywick_paused_upstreams", "Upstreams that have asked this daemon for a pause.", counts.Paused)
	gauge("rosemarywick_cold_upstreams", "Upstreams that have started recently and get a limited number of requests.", counts.Cold)
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "rosemarywick_malformed_notices_total", Help: "Statements of upstreams that could not be understood.",
	}, func() float64 { return float64(counts.Malformed()) }))
}

// ExposeDenials adds a counter of the requests that were not admitted to an upstream, by the reason of its limit.
func (m *Metrics) ExposeDenials(denied map[string]func() int) {
	for reason, count := range denied {
		m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "rosemarywick_denied_reservations_total", Help: "Requests not admitted to an upstream because of its limit.",
			ConstLabels: prometheus.Labels{"reason": reason},
		}, func() float64 { return float64(count()) }))
	}
}
