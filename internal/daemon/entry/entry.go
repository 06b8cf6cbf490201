// Package entry assembles a daemon for deployments that keep all shared state in the platform's store: the operators'
// configuration, the registered upstreams and the assignments of key ranges. Its peers pass this state on to each other, but
// decide nothing. The formats and protocols of the deployment are passed in.
package entry

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"rosemarywick.example/rosemarywick/internal/caller/front"
	"rosemarywick.example/rosemarywick/internal/core/document"
	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/daemon/shutdown"
	"rosemarywick.example/rosemarywick/internal/ownership/ranges"
	"rosemarywick.example/rosemarywick/internal/peer/relay"
	"rosemarywick.example/rosemarywick/internal/platform/table"
	"rosemarywick.example/rosemarywick/internal/routing/balance"
	"rosemarywick.example/rosemarywick/internal/routing/ratelimit"
	"rosemarywick.example/rosemarywick/internal/routing/retry"
	"rosemarywick.example/rosemarywick/internal/routing/router"
	"rosemarywick.example/rosemarywick/internal/upstream/forward"
	"rosemarywick.example/rosemarywick/internal/upstream/notices"
	"rosemarywick.example/rosemarywick/internal/upstream/rangegrants"
	"rosemarywick.example/rosemarywick/internal/upstream/registry"
)

// Store is the platform's table store, with its feed of changes.
type Store interface {
	table.TimedStore
	table.Feed
}

// Tables names the tables of the store that others write and the daemon follows.
type Tables struct {
	// ConfigurationTable is the table, and ConfigurationRow the full name of the row, that the operators write.
	ConfigurationTable, ConfigurationRow string
	// UpstreamsTable is the table in which upstreams register.
	UpstreamsTable string
}

// Limits are the time limits and the retry budget that the deployment sets.
type Limits struct {
	// DrainTimeout is the time after which a leaving upstream must get no new requests.
	DrainTimeout time.Duration
	// ApplyTimeout is the time after which a configuration must be in force.
	ApplyTimeout time.Duration
	// StopTimeout is the time from a request to stop to the end of the process. A request that arrives later than
	// CompleteRequestsFrom after the request to stop must not be broken off once it has been passed on. Zero means that there is
	// no such time.
	StopTimeout, CompleteRequestsFrom time.Duration
	// MaxGrantDuration is the longest grant that servers accept.
	MaxGrantDuration time.Duration
	// RetryRatio and RetryBurst limit the retries of all daemons together, for each service: RetryRatio is the number
	// of retries that each request adds to the budget, and RetryBurst the number of unused retries that are kept.
	RetryRatio, RetryBurst float64
	// MaxDescriptors is the number of files and connections that the process may have open, or zero if it is not limited.
	MaxDescriptors int
	// Memory is the memory limit of the process in bytes, or zero if it is not limited.
	Memory int64
	// RateAllowance is what counts as obeying the limit that an upstream names, and ColdAllowance the limit of a cold upstream. The
	// zero ColdAllowance means that cold upstreams are not limited.
	RateAllowance, ColdAllowance ratelimit.Allowance
}

// Daemon is one router process. The exported fields are set before Run.
type Daemon struct {
	Host fleet.Host
	// CallerAddress is where callers connect, ReadinessAddress where the load balancer probes for readiness, and
	// MetricsAddress where metrics are served. An invalid MetricsAddress disables the metrics endpoint.
	CallerAddress, ReadinessAddress, MetricsAddress netip.AddrPort
	Store                                           Store
	Tables                                          Tables
	Limits                                          Limits
	// Evacuations says how operators evacuate failure domains.
	Evacuations Evacuations
	// DecodeConfiguration decodes the operators' row, and DecodeUpstream an upstream's row.
	DecodeConfiguration func(value []byte) (*document.Document, error)
	DecodeUpstream      func(row table.Row) (registry.Entry, error)
	// ServerClient sends grants, releases and probes to servers.
	ServerClient rangegrants.ServerClient
	// CallerDialect returns the dialect in which the daemon talks to callers. UpstreamDialect is the one for upstreams.
	CallerDialect   func(front.Configuration) front.Dialect
	UpstreamDialect forward.Dialect
	Timer           timer.System
	Log             zerolog.Logger
	// FirstStart is set if the whole deployment starts for the first time.
	FirstStart bool
	// LinkRate is the rate of the host's link in bits a second. Zero means that it is not known.
	LinkRate float64
	// Listening, if set, is called with the address that callers can connect to.
	Listening func(netip.AddrPort)

	runID         string
	registry      *registry.Registry
	configuration *configuration
	// evacuations is nil if they are not in use.
	evacuations  *evacuations
	ownershipMap *ownershipMap
	loadTracker  *loadTracker
	node         *relay.Node
	notices      *notices.Book
	limits       *upstreamLimits
	router       *router.Router
	front        *front.Frontend
	stop         shutdown.Schedule
	observer     *observer

	mu sync.Mutex
	// stopping is guarded by mu and set once the daemon is asked to stop; it is not ready from then on.
	stopping bool
}

const (
	// maxBufferedBytes is the size up to which a response is read completely before any of it is forwarded, so that a
	// truncated response can be fetched again without the caller noticing. Responses near that size are rare enough not to
	// fill the memory of a small host.
	maxBufferedBytes = 1 << 20
	// outageGrace is the time after an outage of the store within which upstreams register again if their entries expired.
	outageGrace = 2 * time.Second
	// graceFraction is the fraction of StopTimeout for which requests are accepted, unless CompleteRequestsFrom is earlier, until
	// the load balancer has noticed that the daemon is not ready.
	graceFraction = 0.45
	// grantFraction is the normal duration of a grant as a fraction of MaxGrantDuration. A server that stops responding is
	// replaced after that time, and a grant has to outlast the election of an assigner.
	grantFraction = 0.35
	// leaseFraction is the duration of the assigner's lease as a fraction of MaxGrantDuration.
	leaseFraction = 0.2
)

// Run serves until ctx ends and then stops gracefully.
func (d *Daemon) Run(ctx context.Context) error {
	d.prepare()
	ready, err := new(net.ListenConfig).Listen(ctx, "tcp", d.ReadinessAddress.String())
	if err != nil {
		return errors.Wrap(err, "entry: listen for readiness probes")
	}
	d.Log.Info().Str("domain", string(d.Host.Locality.Domain)).Str("run", d.runID).
		Str("callers", d.CallerAddress.String()).Msg("daemon starting")
	// The tasks that requests depend on run until the last request has ended, so they do not end with ctx.
	servingCtx, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	group, servingCtx := errgroup.WithContext(servingCtx)
	group.Go(func() error { return d.serveReadiness(servingCtx, ready) })
	group.Go(func() error { return d.observer.serveMetrics(servingCtx, d.MetricsAddress) })
	group.Go(func() error { return d.node.Run(servingCtx) })
	stopLeave := context.AfterFunc(ctx, d.node.Leave)
	defer stopLeave()
	group.Go(func() error { return d.registry.Run(servingCtx) })
	group.Go(func() error { return d.configuration.follow(servingCtx) })
	d.router.OnStaleMap = d.refreshTables
	group.Go(func() error { return d.router.Run(servingCtx) })
	group.Go(func() error { return d.router.RunTrials(servingCtx) })
	group.Go(func() error { return d.loadTracker.run(servingCtx) })
	group.Go(func() error { return d.router.FollowDrains(servingCtx, d.configuration.Changed) })
	group.Go(func() error {
		defer stopServing()
		return d.serve(ctx, servingCtx)
	})
	err = group.Wait()
	d.router.Close()
	d.Log.Info().Err(err).Msg("daemon stopped")
	return err
}

// prepare creates the parts of the daemon and connects them.
func (d *Daemon) prepare() {
	// The logs of all hosts are searched together.
	d.Log = d.Log.With().Str("host", string(d.Host.ID)).Logger()
	d.runID = string(d.Host.ID) + "/" + newRunID()
	d.notices = &notices.Book{Log: d.Log, Now: d.Timer.Now}
	d.registry = &registry.Registry{
		Clock: d.Timer, Log: d.Log, DrainTimeout: d.Limits.DrainTimeout, OutageGrace: outageGrace,
		LeavingSince: func(id fleet.UpstreamID, incarnation fleet.Incarnation) time.Time {
			return d.notices.LeavingSince(notices.Source{ID: id, Incarnation: incarnation})
		},
		NoteDraining: func(id fleet.UpstreamID, incarnation fleet.Incarnation) {
			d.notices.Record(notices.Exchange{
				Source: notices.Source{ID: id, Incarnation: incarnation}, Notices: []forward.Notice{forward.Leaving{}},
			})
		},
	}
	if d.Limits.ColdAllowance != (ratelimit.Allowance{}) {
		d.registry.NoteCold = d.noteCold
	}
	d.notices.OnLeaving = d.registry.NoteLeaving
	d.prepareEvacuations()
	d.configuration = &configuration{
		log: d.Log, decode: d.DecodeConfiguration, rowName: d.Tables.ConfigurationRow, registry: d.registry,
	}
	d.ownershipMap = &ownershipMap{
		clock: d.Timer, log: d.Log,
		storeTime: func() time.Duration { return d.Store.Reading().Latest(d.Timer.Uptime()) },
	}
	d.loadTracker = &loadTracker{
		host: d.Host.ID, clock: d.Timer, log: d.Log, notices: d.notices, allowance: d.Limits.RateAllowance, coldRates: d.coldRates,
	}
	d.loadTracker.fleet = &fleetLoads{
		clock: d.Timer, log: d.Log, upstreams: d.unkeyedUpstreams,
		onSums: func(service fleet.ServiceName, loads map[fleet.UpstreamID]balance.FleetLoad) {
			d.router.SetFleetLoads(service, loads)
			d.observeFleetLoads(service, loads)
		},
	}
	d.node = d.newNode()
	d.loadTracker.peers = d.node
	d.limits = &upstreamLimits{
		keeper: d.node, daemonCount: d.knownDaemons, clock: d.Timer, own: ratelimit.Limiter{Staggered: true},
	}
	d.observer = newObserver(d)
	d.connectMetrics()
	d.router = &router.Router{
		Host: d.Host, Clock: d.Timer, Config: d.configuration, OwnershipMap: d.ownershipMap, LoadObserver: d.loadTracker,
		Recorder: d.observer, HostCount: d.daemonCount, Dialect: d.UpstreamDialect, BufferLimit: maxBufferedBytes,
		NewBudget: d.newBudget, Notices: d.notices,
		RateLimits: d.limits, StatedAllowance: d.Limits.RateAllowance, ColdAllowance: d.Limits.ColdAllowance,
		Probe:             d.probe,
		OnConnectionEvent: d.observer.observeConnections, OnAdmissionEvent: d.observer.observeAdmission,
	}
	d.stop = shutdown.NewSchedule(shutdown.Bounds{
		Timeout: d.Limits.StopTimeout, BalancerGrace: scaled(d.Limits.StopTimeout, graceFraction),
		CompleteFrom: d.Limits.CompleteRequestsFrom,
	})
	d.front = &front.Frontend{
		Address: d.CallerAddress, Router: d.router, Config: d.configuration, Clock: d.Timer, Log: d.Log,
		Dialect: d.CallerDialect(d.configuration), StopTimeout: d.stop.Close - d.stop.Accept, Listening: d.Listening,
		Budget: d.newHeldBudget(),
	}
}

// RecordNotices adopts what a server stated about itself in a response to an order or a probe that was sent at a time. It is
// called while the daemon runs.
func (d *Daemon) RecordNotices(server ranges.Owner, sentAt time.Time, stated []forward.Notice) {
	d.notices.Record(notices.Exchange{
		Source: notices.Source{ID: server.ID, Incarnation: server.Incarnation}, SentAt: sentAt, Notices: stated,
	})
}

// daemonCount returns the highest number of daemons named in any range table, and at least one.
func (d *Daemon) daemonCount() int {
	count, _ := d.knownDaemons()
	return max(1, count)
}

// knownDaemons does what daemonCount does, but returns false if no range table names a number.
func (d *Daemon) knownDaemons() (int, bool) {
	count := 0
	if current := d.configuration.Current(); current != nil {
		for i := range current.Services {
			if rangeTable := d.ownershipMap.table(current.Services[i].Name); rangeTable != nil {
				count = max(count, rangeTable.Daemons)
			}
		}
	}
	return count, count > 0
}

// newBudget returns the retry budget of a service on this daemon, which is its share of the fleet's budget.
func (d *Daemon) newBudget() *retry.Budget {
	return &retry.Budget{
		Ratio: d.Limits.RetryRatio, Strict: true,
		Burst: func() float64 { return d.Limits.RetryBurst / float64(d.daemonCount()) },
	}
}

// serve accepts requests until ctx ends. Then it reports that it is not ready, keeps accepting for a while so that the load
// balancer can notice, and returns when the last request has ended.
func (d *Daemon) serve(ctx, servingCtx context.Context) error {
	acceptCtx, stopAccepting := context.WithCancel(servingCtx)
	defer stopAccepting()
	ended := make(chan error, 1)
	go func() { ended <- d.front.Run(acceptCtx) }()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	d.mu.Lock()
	d.stopping = true
	d.mu.Unlock()
	d.front.DrainConnections()
	now := d.Timer.Now()
	d.router.Stop(now.Add(d.stop.Accept), now.Add(d.stop.End))
	d.Log.Info().Dur("accepting", d.stop.Accept).Dur("ending", d.stop.End).
		Msg("daemon stopping; the balancer is told to use other daemons")
	if err := timer.Wait(servingCtx, d.Timer, d.stop.Accept); err != nil {
		return err
	}
	stopAccepting()
	return <-ended
}

// serveReadiness answers the readiness probes of the load balancer: 200 if the daemon is ready, else 503.
func (d *Daemon) serveReadiness(ctx context.Context, listener net.Listener) error {
	server := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
		if !d.isReady() {
			rw.WriteHeader(http.StatusServiceUnavailable)
		}
	})}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "entry: serve readiness probes")
	}
	return nil
}

// isReady reports whether the daemon has a configuration and is not stopping.
func (d *Daemon) isReady() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.stopping && d.configuration.Current() != nil
}
