package metrics

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// ExposeTableAges adds gauges of the age of a daemon's tables: how long ago they were last known to be those of the platform's
// store, and the greatest such age since the start.
func (m *Metrics) ExposeTableAges(age, greatest func() time.Duration) {
	m.registry.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "rosemarywick_tables_age_seconds", Help: "Time since all tables were last known to be those of the store.",
		}, func() float64 { return age().Seconds() }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "rosemarywick_tables_greatest_age_seconds", Help: "Greatest age of the tables since the start of the process.",
		}, func() float64 { return greatest().Seconds() }),
	)
}
