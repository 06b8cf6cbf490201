package metrics

import "github.com/prometheus/client_golang/prometheus"

// EvacuationCounts returns the numbers of the operators' orders to evacuate failure domains.
type EvacuationCounts interface {
	// Active is the number of evacuated domains.
	Active() int
	// Unknown is the number of orders without effect, because they name a domain that the deployment does not have.
	Unknown() int
}

// ExposeEvacuations adds gauges of the evacuated failure domains.
func (m *Metrics) ExposeEvacuations(counts EvacuationCounts) {
	m.registry.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "rosemarywick_evacuated_domains", Help: "Failure domains that the operators have evacuated.",
		}, func() float64 { return float64(counts.Active()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "rosemarywick_unknown_evacuations", Help: "Orders to evacuate a failure domain that the settings do not name.",
		}, func() float64 { return float64(counts.Unknown()) }),
	)
}
