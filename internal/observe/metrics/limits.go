package metrics

import "github.com/prometheus/client_golang/prometheus"

// ExposeLimitedUpstreams adds a gauge of the number of upstreams that limit the requests that they take.
func (m *Metrics) ExposeLimitedUpstreams(count func() int) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "rosemarywick_limited_upstreams", Help: "Upstreams that limit the requests that they take from all daemons.",
	}, func() float64 { return float64(count()) }))
}
