package host

import (
	"github.com/rs/zerolog"

	"rosemarywick.example/rosemarywick/internal/caller/front"
	"rosemarywick.example/rosemarywick/internal/core/cause"
	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/observe/metrics"
	"rosemarywick.example/rosemarywick/internal/observe/records"
	"rosemarywick.example/rosemarywick/internal/routing/idempotency"
	"rosemarywick.example/rosemarywick/internal/routing/router"
)

// requestPath holds the parts that handle requests of callers: the front end, the router, and the stores of records and claims.
type requestPath struct {
	ring        *records.Ring
	archive     *records.Archive
	claims      *idempotency.Registry
	router      *router.Router
	front       *front.Frontend
	metrics     *metrics.Metrics
	loadTracker *loadTracker

	configuration *configuration
	timer         timer.Clock
	log           zerolog.Logger
}

func newRequestPath(d *Daemon) *requestPath {
	r := &requestPath{
		ring:    &records.Ring{Capacity: records.DefaultCapacity},
		archive: &records.Archive{Host: d.Settings.Host.ID, Store: d.objects, Clock: d.Timer, Log: d.Log},
		claims:  &idempotency.Registry{Store: d.table, Clock: d.Timer, Host: d.Settings.Host.ID},
		metrics: d.ownershipMaps.metrics, loadTracker: d.loadTracker, configuration: d.configuration, timer: d.Timer, log: d.Log,
	}
	r.router = &router.Router{
		Host: d.Settings.Host, Clock: d.Timer, Config: d.configuration, OwnershipMap: d.ownershipMaps,
		MapConfirmations: d.unguardedServices, Claims: r.claims, Recorder: r,
		HostCount: d.configuration.daemonCount,
	}
	schedule := d.stopSchedule()
	r.front = &front.Frontend{
		Address: d.Settings.CallerAddress, Listener: d.CallerListener, Router: r.router, Config: d.configuration,
		Clock: d.Timer, Log: d.Log, StopTimeout: schedule.Close - schedule.Accept, Listening: d.Listening,
	}
	return r
}

// Record updates the metrics and load measurements for a request that has ended, and keeps its record if it is notable.
func (r *requestPath) Record(record cause.Record) {
	r.metrics.Observe(&metrics.Request{
		Service: record.Service, Tenant: record.Tenant, QueueTime: record.QueueTime, ConnectTime: record.TotalConnectTime(),
		UpstreamTime: record.TotalUpstreamTime(), TotalTime: record.TotalTime, Outcome: record.Outcome, Cause: record.Cause,
	})
	r.loadTracker.observe(&record)
	if record.IsNotable() {
		r.ring.Add(record)
		r.archive.Add(record)
	}
}
