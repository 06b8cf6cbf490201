// Package metrics exposes the metrics of a daemon to Prometheus: durations and outcomes of requests, and the three measures of
// the quality of the fleet, which are load imbalance across owners, churn of key ownership and unavailable time. The number of
// label values is bounded by the configuration and by MaxTenants.
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

// MaxTenants is the largest number of tenants with label values of their own. Each tenant takes four histograms of about 300
// bytes for each service, so that 64 tenants of ten services take less than 1 MB.
const MaxTenants = 64

// OtherLabel is the label value of services and tenants that are not declared, and of tenants beyond MaxTenants.
const OtherLabel = "other"

const (
	labelService = "service"
	labelTenant  = "tenant"
)

// bucketBounds are the upper bounds of the histogram buckets in seconds. They include the latency target of 19 ms for 99 % of
// the requests, and the targets of 1 ms and 3 ms for the latency that a daemon adds.
var bucketBounds = []float64{.0005, .001, .003, .005, .01, .019, .05, .1, .25, .5, 1, 2.5, 10}

// Request holds the measurements of one request.
type Request struct {
	Service fleet.ServiceName
	Tenant  fleet.TenantName
	// QueueTime is the time that the request waited for a slot of an upstream.
	QueueTime time.Duration
	// ConnectTime is the time that it took to establish connections. Zero means that none was established.
	ConnectTime time.Duration
	// UpstreamTime is the time that upstreams took to respond. Zero means that the request was not sent to any.
	UpstreamTime time.Duration
	TotalTime    time.Duration
	Outcome      cause.Outcome
	Cause        cause.Cause
}

// Metrics collects the metrics of one daemon. New creates it. Its methods may be called concurrently.
type Metrics struct {
	registry    *prometheus.Registry
	ownership   *ownership
	durations   *prometheus.HistogramVec
	outcomes    *prometheus.CounterVec
	causes      *prometheus.CounterVec
	imbalance   *prometheus.GaugeVec
	omitted     prometheus.Counter
	plans       *plans
	competition competition

	mu sync.RWMutex
	// services and tenants have label values of their own. They are guarded by mu and replaced as a whole.
	services map[fleet.ServiceName]bool
	tenants  map[fleet.TenantName]bool
}

// New returns metrics in a registry of their own.
func New(clock timer.Clock) *Metrics {
	m := &Metrics{
		registry:  prometheus.NewRegistry(),
		ownership: newOwnership(clock),
		plans:     newPlans(),
		durations: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "rosemarywick_request_seconds", Buckets: bucketBounds,
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
	m.competition = newCompetition(m.registry)
	m.registry.MustRegister(m.ownership, m.durations, m.outcomes, m.causes, m.imbalance, m.omitted)
	m.registry.MustRegister(m.plans.utilization, m.plans.moves)
	return m
}

// Registry returns the registry, to which a daemon may add further metrics.
func (m *Metrics) Registry() *prometheus.Registry {
	return m.registry
}

// Handler serves the metrics over HTTP.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Configure sets which services and tenants have label values of their own. It deletes the time series of those that are no
// longer declared, so that their number stays bounded however often the configuration changes.
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
			m.deleteSeries(prometheus.Labels{labelService: string(service)})
		}
	}
	for tenant := range m.tenants {
		if !tenants[tenant] {
			m.deleteSeries(prometheus.Labels{labelTenant: string(tenant)})
		}
	}
	m.services, m.tenants = services, tenants
	m.ownership.retain(services)
}

// deleteSeries deletes the time series that have the labels.
func (m *Metrics) deleteSeries(labels prometheus.Labels) {
	m.durations.DeletePartialMatch(labels)
	m.outcomes.DeletePartialMatch(labels)
	m.causes.DeletePartialMatch(labels)
	m.imbalance.DeletePartialMatch(labels)
	m.plans.utilization.DeletePartialMatch(labels)
	m.plans.moves.DeletePartialMatch(labels)
	m.competition.deleteSeries(labels)
}

// labels returns the label values of a service and a tenant. The caller holds mu until it has used them, so that Configure
// cannot delete their series in between.
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

// Observe adds the measurements of a completed request.
func (m *Metrics) Observe(request *Request) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	service, tenant := m.labels(request.Service, request.Tenant)
	m.durations.WithLabelValues(service, tenant, "queue").Observe(request.QueueTime.Seconds())
	m.durations.WithLabelValues(service, tenant, "total").Observe(request.TotalTime.Seconds())
	if request.ConnectTime > 0 {
		m.durations.WithLabelValues(service, tenant, "connect").Observe(request.ConnectTime.Seconds())
	}
	if request.UpstreamTime > 0 {
		m.durations.WithLabelValues(service, tenant, "upstream").Observe(request.UpstreamTime.Seconds())
	}
	m.outcomes.WithLabelValues(service, tenant, string(request.Outcome)).Inc()
	m.causes.WithLabelValues(service, string(request.Cause)).Inc()
}

// ObserveOmittedLogLine counts a line about a request that the log rate limit has omitted.
func (m *Metrics) ObserveOmittedLogLine() {
	m.omitted.Inc()
}

// ObserveLoad sets the load imbalance of a service from the loads of all its owners, including idle ones.
func (m *Metrics) ObserveLoad(service fleet.ServiceName, loads map[fleet.UpstreamID]float64) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	label, _ := m.labels(service, "")
	m.imbalance.WithLabelValues(label).Set(Imbalance(loads))
}

// Imbalance returns the ratio of the highest load to the mean load, or 1 if there is no load.
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

// ObserveAssignment updates churn and unavailable time after a change in the ownership map. It ignores assignments with a lower
// fence than the last one of the partition.
func (m *Metrics) ObserveAssignment(service fleet.ServiceName, assignment fleet.Assignment) {
	m.ownership.observe(service, assignment)
}

// ForgetPartition removes a partition that no longer exists, such as one that held a hot key. Without it, a partition without
// an owner would count as unavailable forever.
func (m *Metrics) ForgetPartition(service fleet.ServiceName, partition fleet.PartitionID) {
	m.ownership.forget(service, partition)
}
