// Package metrics exposes what a daemon measures to Prometheus: durations and outcomes of requests, and the three
// measures by which the users judge the fleet, which are load imbalance across owners, churn of key ownership and
// unavailable time. The number of label values is bounded by the configuration and by a constant.
package metrics

import (
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"rosemarywick.example/rosemarywick/internal/core/cause"
	"rosemarywick.example/rosemarywick/internal/core/document"
	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/core/timer"
)

// MaxTenants is the number of tenants with label values of their own. Each takes four histograms of about 300 bytes for
// each service, so that 64 tenants of ten services stay below 1 MB.
const MaxTenants = 64

// Other is the label value of services and tenants that are not declared or exceed the limit.
const OtherLabel = "other"

const (
	labelService = "service"
	labelTenant  = "tenant"
)

// bounds are the upper bounds of the histograms in seconds. They include the target of 19 ms for 99 in 100 requests,
// and the added latency targets of 1 ms and 3 ms.
var bounds = []float64{.0005, .001, .003, .005, .01, .019, .05, .1, .25, .5, 1, 2.5, 10}

// Request is what is measured of one request.
type Request struct {
	Service fleet.ServiceName
	Tenant  fleet.TenantName
	// Queue is the time that the request waited for a slot of an upstream.
	QueueTime time.Duration
	// Connect is the time to establish connections. Zero means that no connection was established.
	ConnectTime time.Duration
	// Upstream is the time that upstreams took. Zero means that the request was sent to none.
	UpstreamTime time.Duration
	TotalTime    time.Duration
	Outcome      cause.Outcome
	Cause        cause.Cause
}

// Metrics measures one daemon. New returns one that is ready for use; its methods may be called concurrently.
type Metrics struct {
	registry  *prometheus.Registry
	ownership *ownership
	phases    *prometheus.HistogramVec
	outcomes  *prometheus.CounterVec
	causes    *prometheus.CounterVec
	imbalance *prometheus.GaugeVec
	omitted   prometheus.Counter

	mu sync.RWMutex
	// services and tenants are guarded by mu and replaced as a whole.
	services map[fleet.ServiceName]bool
	tenants  map[fleet.TenantName]bool
}

// New returns metrics in a registry of their own, which also has those of the Go runtime and the process.
func New(clock timer.Clock) *Metrics {
	m := &Metrics{
		registry:  prometheus.NewRegistry(),
		ownership: newOwnership(clock),
		phases: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "rosemarywick_request_seconds", Buckets: bounds,
			Help: "Time that requests took in each phase: queue, connect, upstream and total.",
		}, []string{labelService, labelTenant, "phase"}),
		outcomes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "rosemarywick_requests_total", Help: "Requests by outcome.",
		}, []string{labelService, labelTenant, "outcome"}),
		causes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "rosemarywick_causes_total", Help: "Requests by the cause of their outcome.",
		}, []string{labelService, "cause"}),
		imbalance: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "rosemarywick_load_imbalance_ratio", Help: "Maximum over mean load of the owners of a service.",
		}, []string{labelService}),
	}
	m.omitted = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "rosemarywick_log_lines_omitted_total", Help: "Lines about single requests left out of the log for their number.",
	})
	m.registry.MustRegister(m.ownership, m.phases, m.outcomes, m.causes, m.imbalance, m.omitted)
	return m
}

// Registry returns the registry, to which a daemon may add metrics of its own.
func (m *Metrics) Registry() *prometheus.Registry {
	return m.registry
}

// Handler serves the metrics over HTTP.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Configure sets which services and tenants have label values of their own. The series of those that are no longer
// declared end, so that their number stays bounded however often the configuration changes.
func (m *Metrics) Configure(doc *document.Document) {
	services := make(map[fleet.ServiceName]bool, len(doc.Services))
	for i := range doc.Services {
		services[doc.Services[i].Name] = true
	}
	tenants := make(map[fleet.TenantName]bool, len(doc.Tenants))
	for i := range doc.Tenants[:min(len(doc.Tenants), MaxTenants)] {
		tenants[doc.Tenants[i].Name] = true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for service := range m.services {
		if !services[service] {
			m.end(prometheus.Labels{labelService: string(service)})
		}
	}
	for tenant := range m.tenants {
		if !tenants[tenant] {
			m.end(prometheus.Labels{labelTenant: string(tenant)})
		}
	}
	m.services, m.tenants = services, tenants
	m.ownership.retain(services)
}

func (m *Metrics) end(labels prometheus.Labels) {
	m.phases.DeletePartialMatch(labels)
	m.outcomes.DeletePartialMatch(labels)
	m.causes.DeletePartialMatch(labels)
	m.imbalance.DeletePartialMatch(labels)
}

// labels returns the label values. The caller holds mu until it has used them, so that Configure ends their series.
func (m *Metrics) labels(service fleet.ServiceName, tenant fleet.TenantName) (string, string) {
	serviceLabel, tenantLabel := OtherLabel, OtherLabel
	if m.services[service] {
		serviceLabel = string(service)
	}
	if m.tenants[tenant] {
		tenantLabel = string(tenant)
	}
	return serviceLabel, tenantLabel
}

// Observe measures a request that has ended.
func (m *Metrics) Observe(request *Request) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	service, tenant := m.labels(request.Service, request.Tenant)
	m.phases.WithLabelValues(service, tenant, "queue").Observe(request.QueueTime.Seconds())
	m.phases.WithLabelValues(service, tenant, "total").Observe(request.TotalTime.Seconds())
	if request.ConnectTime > 0 {
		m.phases.WithLabelValues(service, tenant, "connect").Observe(request.ConnectTime.Seconds())
	}
	if request.UpstreamTime > 0 {
		m.phases.WithLabelValues(service, tenant, "upstream").Observe(request.UpstreamTime.Seconds())
	}
	m.outcomes.WithLabelValues(service, tenant, string(request.Outcome)).Inc()
	m.causes.WithLabelValues(service, string(request.Cause)).Inc()
}

// ObserveOmitted counts a line about a request that was left out of the log.
func (m *Metrics) ObserveOmittedLogLine() {
	m.omitted.Inc()
}

// ObserveLoad sets the load imbalance of a service from the load of each of its owners, those without load included.
func (m *Metrics) ObserveLoad(service fleet.ServiceName, loads map[fleet.UpstreamID]float64) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	label, _ := m.labels(service, "")
	m.imbalance.WithLabelValues(label).Set(Imbalance(loads))
}

// Imbalance returns the maximum over the mean of the loads. It is 1 if there is no load.
func Imbalance(loads map[fleet.UpstreamID]float64) float64 {
	var highest, sum float64
	for _, load := range loads {
		highest = max(highest, load)
		sum += load
	}
	if sum <= 0 {
		return 1
	}
	return highest * float64(len(loads)) / sum
}

// ObserveAssignment counts churn and unavailable time from a change of the map. Assignments with a lower fence than the
// last one of the partition are ignored.
func (m *Metrics) ObserveAssignment(service fleet.ServiceName, assignment fleet.Assignment) {
	m.ownership.observe(service, assignment)
}

// ForgetPartition ends the measurement of a partition that no longer exists, such as the entry of a key that is no
// longer hot.
func (m *Metrics) ForgetPartition(service fleet.ServiceName, partition fleet.PartitionID) {
	m.ownership.forget(service, partition)
}
