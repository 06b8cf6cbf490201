// Package entry wires a daemon of a deployment in which everything that has to be agreed or kept lives in the platform's
// store: the operators' configuration, the upstreams that register themselves, and who holds which keys. Such a daemon needs
// no peers. What the deployment's wire looks like is passed in.
package entry

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"rosemarywick.example/rosemarywick/internal/caller/front"
	"rosemarywick.example/rosemarywick/internal/core/document"
	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/platform/table"
	"rosemarywick.example/rosemarywick/internal/routing/retry"
	"rosemarywick.example/rosemarywick/internal/routing/router"
	"rosemarywick.example/rosemarywick/internal/upstream/forward"
	"rosemarywick.example/rosemarywick/internal/upstream/rangegrants"
	"rosemarywick.example/rosemarywick/internal/upstream/registry"
)

// Store is the platform's store.
type Store interface {
	table.TimedStore
	table.Feed
}

// Tables names where others keep what the daemon follows.
type Tables struct {
	// Configuration is the table, and ConfigurationRow the full name of the row, that the operators write.
	ConfigurationTable, ConfigurationRow string
	// Upstreams is the table in which upstreams register.
	UpstreamsTable string
}

// Limits are the times and shares that the deployment sets.
type Limits struct {
	// Drain is the time after which a leaving upstream must get no new work.
	DrainTimeout time.Duration
	// Stop is the time from a request to stop to the end of the process.
	StopTimeout time.Duration
	// Hold is the longest grant that servers take.
	MaxGrantDuration time.Duration
	// RetryShare and RetryReserve bound the retries of all daemons together, for each service: a share of its requests,
	// and a number beyond that in RetryWindow.
	RetryRatio, RetryBurst float64
}

// Daemon is one router process. The exported fields are set before Run.
type Daemon struct {
	Host fleet.Host
	// Callers is where callers connect, Ready where the balancer asks whether they should, and Metrics where metrics are
	// served; the last is not served if it is not valid.
	CallerAddress, ReadinessAddress, MetricsAddress netip.AddrPort
	Store                                           Store
	Tables                                          Tables
	Limits                                          Limits
	// Configuration decodes the operators' row, and Upstream an upstream's row.
	DecodeConfiguration func(value []byte) (*document.Document, error)
	DecodeUpstream      func(row table.Row) (registry.Entry, error)
	ServerClient        rangegrants.ServerClient
	// CallerDialect makes the interface to callers for the configuration in force.
	CallerDialect   func(front.Configuration) front.Dialect
	UpstreamDialect forward.Dialect
	Timer           timer.System
	Log             zerolog.Logger
	// Listening is called with the address that callers can connect to, if it is set.
	Listening func(netip.AddrPort)

	runID         string
	registry      *registry.Registry
	configuration *configuration
	ownershipMap  *ownershipMap
	loadTracker   *loadTracker
	router        *router.Router
	front         *front.Frontend
	observer      *observer

	mu sync.Mutex
	// stopping is guarded by mu.
	stopping bool
}

const (
	// wholeLimit is the longest answer that is read before any of it is passed on, so that one that breaks off can be
	// fetched again unseen. Longer ones are rare enough not to fill the memory of a small host.
	maxBufferedBytes = 1 << 20
	// returnTime is the time within which entries that lapsed during an outage of the store are back.
	outageGrace = 2 * time.Second
	// leavePart is the part of the time to stop in which requests are still taken, until the balancer has noticed.
	acceptFraction = 0.45
	// finishPart is the part of the time to stop by which the last requests have ended.
	finishFraction = 0.95
	// usualHoldPart is the usual length of a grant as a part of the longest one. A server that falls silent is replaced
	// after it, and it outlasts the election of an assigner.
	grantFraction = 0.35
	// upstreamsPart is the time between a change of an upstream's entry and the next look, as a part of the time for which
	// a leaving upstream may be used. Many entries change together when a service starts or is replaced.
	upstreamsPauseFraction = 0.3
	// upstreamsPauseMost bounds it. The first table is made once the entries have been the same for a second, so that a
	// longer pause would pass for the end of the start.
	maxUpstreamsPause = 800 * time.Millisecond
	// rangesPause is the time between a change of a table of ranges and the next look, for each daemon of the fleet: all of
	// them together look 40 times a second at most, but for those whose requests meet a range that has moved.
	rangesPausePerDaemon = 25 * time.Millisecond
	// rangesPauseMost bounds it.
	maxRangesPause = 2 * time.Second
	// leasePart is the lease of the assigner as a part of the longest grant.
	leaseFraction = 0.2
)

// Run serves until ctx ends and then stops gracefully.
func (d *Daemon) Run(ctx context.Context) error {
	d.prepare()
	ready, err := new(net.ListenConfig).Listen(ctx, "tcp", d.ReadinessAddress.String())
	if err != nil {
		return errors.Wrap(err, "entry: listen for the balancer")
	}
	d.Log.Info().Str("domain", string(d.Host.Locality.Domain)).Str("run", d.runID).
		Str("callers", d.CallerAddress.String()).Msg("daemon starting")
	// What requests need goes on until the last one has ended.
	serving, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	group, serving := errgroup.WithContext(serving)
	group.Go(func() error { return d.serveReadiness(serving, ready) })
	group.Go(func() error { return d.observer.serveMetrics(serving, d.MetricsAddress) })
	upstreams, ranges := d.followUpstreams(), d.followRanges()
	followers := []*table.Follower{d.followConfiguration(), upstreams, ranges}
	// Connections fall silent together.
	doubt := func() {
		for _, follower := range followers {
			follower.Doubt()
		}
	}
	d.loadTracker.onStoreFailure = doubt
	for _, follower := range followers {
		follower.Lost = doubt
		group.Go(func() error { return follower.Run(serving) })
	}
	group.Go(func() error { return d.registry.Run(serving) })
	group.Go(func() error { return d.configuration.follow(serving) })
	d.router.OnStaleMap = func() {
		ranges.Hurry()
		upstreams.Hurry()
	}
	group.Go(func() error { return d.router.Run(serving) })
	group.Go(func() error { return d.loadTracker.run(serving) })
	group.Go(func() error { return d.runAssigners(ctx) })
	group.Go(func() error {
		defer end()
		return d.serve(ctx, serving)
	})
	err = group.Wait()
	d.router.Close()
	d.Log.Info().Err(err).Msg("daemon stopped")
	return err
}

func (d *Daemon) prepare() {
	// Logs of many hosts are searched together.
	d.Log = d.Log.With().Str("host", string(d.Host.ID)).Logger()
	d.runID = string(d.Host.ID) + "/" + newRunID()
	d.registry = &registry.Registry{Clock: d.Timer, Log: d.Log, DrainTimeout: d.Limits.DrainTimeout, OutageGrace: outageGrace}
	d.configuration = &configuration{
		log: d.Log, decode: d.DecodeConfiguration, rowName: d.Tables.ConfigurationRow, registry: d.registry,
	}
	d.ownershipMap = &ownershipMap{clock: d.Timer, log: d.Log}
	d.loadTracker = &loadTracker{host: d.Host.ID, store: d.Store, clock: d.Timer, log: d.Log, daemonCount: d.daemonCount}
	d.observer = newObserver(d)
	d.connectMetrics()
	d.router = &router.Router{
		Host: d.Host, Clock: d.Timer, Config: d.configuration, OwnershipMap: d.ownershipMap, LoadObserver: d.loadTracker, Recorder: d.observer,
		HostCount: d.daemonCount, Dialect: d.UpstreamDialect, MaxBufferedBytes: maxBufferedBytes, NewBudget: d.newBudget,
	}
	d.front = &front.Frontend{
		Address: d.CallerAddress, Router: d.router, Config: d.configuration, Clock: d.Timer, Log: d.Log,
		Dialect: d.CallerDialect(d.configuration), StopTimeout: d.stopFraction(finishFraction - acceptFraction), Listening: d.Listening,
	}
}

func (d *Daemon) stopFraction(share float64) time.Duration {
	return scaled(d.Limits.StopTimeout, share)
}

// daemons returns the number of daemons that share the upstreams.
func (d *Daemon) daemonCount() int {
	most := 1
	if current := d.configuration.Current(); current != nil {
		for i := range current.Services {
			if known := d.ownershipMap.table(current.Services[i].Name); known != nil {
				most = max(most, known.Daemons)
			}
		}
	}
	return most
}

// newBudget makes this daemon's part of the retries of a service.
func (d *Daemon) newBudget() *retry.Budget {
	return &retry.Budget{
		Ratio: d.Limits.RetryRatio, Strict: true,
		Burst: func() float64 { return d.Limits.RetryBurst / float64(d.daemonCount()) },
	}
}

// followConfiguration keeps the daemon up to date with the operators' row.
func (d *Daemon) followConfiguration() *table.Follower {
	return &table.Follower{
		Feed: d.Store, Clock: d.Timer, Log: d.Log, Table: d.Tables.ConfigurationTable,
		Reset: d.configuration.applyRows, Apply: d.configuration.applyRows,
	}
}

// followUpstreams keeps the daemon up to date with the entries of the upstreams.
func (d *Daemon) followUpstreams() *table.Follower {
	return &table.Follower{
		Feed: d.Store, Clock: d.Timer, Log: d.Log, Table: d.Tables.UpstreamsTable,
		Reset: d.resetUpstreams, Apply: d.applyUpstreams, Regained: d.registry.StoreRecovered,
		Pause: func() time.Duration {
			return min(maxUpstreamsPause, scaled(d.Limits.DrainTimeout, upstreamsPauseFraction))
		},
	}
}

// followRanges keeps the daemon up to date with the tables of ranges.
func (d *Daemon) followRanges() *table.Follower {
	return &table.Follower{
		Feed: d.Store, Clock: d.Timer, Log: d.Log, Table: rangegrants.RangesTable,
		Reset: d.ownershipMap.applyRows, Apply: d.ownershipMap.applyRows,
		Pause: func() time.Duration { return min(maxRangesPause, time.Duration(d.daemonCount())*rangesPausePerDaemon) },
	}
}

func (d *Daemon) resetUpstreams(rows []table.Row) {
	var entries []registry.Entry
	for _, row := range rows {
		if entry, ok := d.decodeUpstream(row); ok {
			entries = append(entries, entry)
		}
	}
	d.registry.Reset(entries)
}

func (d *Daemon) applyUpstreams(rows []table.Row) {
	for _, row := range rows {
		if row.Value == nil {
			_, id, _ := strings.Cut(row.Name, "/")
			d.registry.Remove(fleet.UpstreamID(id))
			continue
		}
		if entry, ok := d.decodeUpstream(row); ok {
			d.registry.Put(entry)
		}
	}
}

// decodeUpstream reads an upstream's row. One that cannot be read changes nothing that is known.
func (d *Daemon) decodeUpstream(row table.Row) (registry.Entry, bool) {
	entry, err := d.DecodeUpstream(row)
	if err != nil {
		d.Log.Warn().Err(err).Str("row", row.Name).Uint64("version", uint64(row.Version)).Msg("upstream's entry cannot be read")
		return registry.Entry{}, false
	}
	return entry, true
}

// serve takes requests until ctx ends, and then until the balancer has noticed and the last request has ended.
func (d *Daemon) serve(ctx, serving context.Context) error {
	accepting, refuse := context.WithCancel(serving)
	defer refuse()
	done := make(chan error, 1)
	go func() { done <- d.front.Run(accepting) }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	}
	d.mu.Lock()
	d.stopping = true
	d.mu.Unlock()
	d.front.DrainConnections()
	d.Log.Info().Dur("accepting", d.stopFraction(acceptFraction)).Msg("daemon stopping; the balancer is told to use other daemons")
	if err := timer.Wait(serving, d.Timer, d.stopFraction(acceptFraction)); err != nil {
		return err
	}
	refuse()
	return <-done
}

// serveReady answers the balancer.
func (d *Daemon) serveReadiness(ctx context.Context, listener net.Listener) error {
	server := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
		if !d.isReady() {
			rw.WriteHeader(http.StatusServiceUnavailable)
		}
	})}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "entry: serve the balancer")
	}
	return nil
}

// isReady reports whether callers should connect to this daemon.
func (d *Daemon) isReady() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.stopping && d.configuration.Current() != nil
}
