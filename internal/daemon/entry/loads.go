package entry

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/ownership/ranges"
	"rosemarywick.example/rosemarywick/internal/platform/table"
	"rosemarywick.example/rosemarywick/internal/upstream/rangegrants"
)

const (
	// loadsTable is the table in the store that holds the latest load report of each daemon.
	loadsTable = "loads"
	// reportInterval is the time between two reports of a daemon, and congestedReportInterval that while keyed requests wait
	// for a slot or are rejected.
	reportInterval          = 3 * time.Second
	congestedReportInterval = time.Second
	// reporterCount is the expected number of daemons that report in each interval. Each daemon sees a random sample of the
	// requests, so a few reports suffice. In a larger fleet each daemon reports with a lower probability, so that the load on
	// the store does not grow with the fleet.
	reporterCount = 10
	// reportLifetime is how long a daemon counts as running after its last report, in a fleet in which all daemons report in
	// each interval. It is longer in larger fleets.
	reportLifetime = 4 * reportInterval
	// reportTimeout limits each call to the store.
	reportTimeout = time.Second
)

// loadReport is what one daemon measured since its previous report. It is stored as JSON.
type loadReport struct {
	// Span is the time that the report covers.
	Span     time.Duration                        `json:"span"`
	Services map[fleet.ServiceName]*serviceReport `json:"services"`
}

// serviceReport counts the keyed requests of one service that one daemon forwarded, by buckets of the key space and by
// server.
type serviceReport struct {
	Counts  ranges.BucketCounts                `json:"counts"`
	Servers map[fleet.UpstreamID]*serverReport `json:"servers"`
}

// serverReport is the number of requests that one server answered, and the sum of their durations.
type serverReport struct {
	Requests int           `json:"requests"`
	Total    time.Duration `json:"total"`
}

// loadTracker counts the keyed requests of this daemon and reports them through the store. On the daemon that acts as
// assigner it also sums the reports of all daemons.
type loadTracker struct {
	host  fleet.HostID
	store table.TimedStore
	clock timer.Clock
	log   zerolog.Logger
	// daemonCount returns the number of daemons in the fleet.
	daemonCount func() int
	// onStoreFailure is called when a report could not be written for another reason than a version conflict.
	onStoreFailure func()
	// onCollected is called with the load of a service each time the reports have been summed.
	onCollected func(fleet.ServiceName, *ranges.Load)

	mu sync.Mutex
	// counts is guarded by mu: the measurements for the next report.
	counts loadReport
	// countedSince is guarded by mu: the time at which counts was last reset.
	countedSince time.Time
	// congested is guarded by mu and set when a keyed request had to wait or was rejected since run last checked.
	congested bool

	// The fields below belong to the goroutine that calls Collect. received holds the latest report of each daemon, by the
	// name of its row.
	received    map[string]receivedReport
	totals      map[fleet.ServiceName]*ranges.Load
	serverLoads map[fleet.UpstreamID]serverLoad
}

// receivedReport is the version of the latest report of one daemon and the time at which it was read.
type receivedReport struct {
	version table.Version
	readAt  time.Time
}

// serverLoad holds moving averages for one server: the duration of its requests, and the number of requests that one daemon
// has in flight there.
type serverLoad struct {
	meanDuration time.Duration
	concurrency  float64
	updatedAt    time.Time
}

// Served counts a keyed request that a server has answered.
func (l *loadTracker) Served(service fleet.ServiceName, server fleet.UpstreamID, key fleet.KeyHash, duration time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.counts.Services == nil {
		l.counts.Services = make(map[fleet.ServiceName]*serviceReport)
	}
	counted := l.counts.Services[service]
	if counted == nil {
		counted = &serviceReport{Counts: make(ranges.BucketCounts), Servers: make(map[fleet.UpstreamID]*serverReport)}
		l.counts.Services[service] = counted
	}
	counted.Counts.Add(fleet.NumericKey(key))
	if counted.Servers[server] == nil {
		counted.Servers[server] = &serverReport{}
	}
	counted.Servers[server].Requests++
	counted.Servers[server].Total += duration
}

// run writes reports until ctx ends. A report that cannot be written is dropped, since the next one follows soon.
func (l *loadTracker) run(ctx context.Context) error {
	tick := l.clock.Every(congestedReportInterval)
	defer tick.Stop()
	version, last := table.Version(0), l.clock.Now()
	l.resetCounts()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return nil
		}
		now := l.clock.Now()
		l.mu.Lock()
		due := l.congested || now.Sub(last) >= reportInterval-congestedReportInterval/2
		l.congested = false
		l.mu.Unlock()
		if !due {
			continue
		}
		last = now
		if rand.Float64()*float64(l.daemonCount()) < reporterCount {
			version = l.writeReport(ctx, version)
		} else {
			l.resetCounts()
		}
	}
}

// NoteCongestion records that a keyed request had to wait or was rejected, so that the next report is written earlier.
func (l *loadTracker) NoteCongestion() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.congested = true
}

// resetCounts discards the measurements of an interval that is not reported, so that the next report covers only its own.
func (l *loadTracker) resetCounts() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts, l.countedSince = loadReport{}, l.clock.Now()
}

// writeReport writes one report if the row has the given version. It returns the version of the row, which it reads again if
// the write fails, or zero if it is unknown.
func (l *loadTracker) writeReport(ctx context.Context, version table.Version) table.Version {
	l.mu.Lock()
	l.counts.Span = l.clock.Now().Sub(l.countedSince)
	value, err := json.Marshal(l.counts)
	l.counts, l.countedSince = loadReport{}, l.clock.Now()
	l.mu.Unlock()
	if err != nil {
		l.log.Error().Err(err).Msg("encode load report: dropping it")
		return version
	}
	callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	name := loadsTable + "/" + string(l.host)
	next, err := l.store.CommitVersion(callCtx, table.Change{Name: name, Expected: version, Write: true, Value: value})
	if err == nil {
		return next
	}
	l.log.Debug().Err(err).Msg("write load report: dropping it")
	if !errors.Is(err, table.ErrConflict) {
		l.onStoreFailure()
	}
	rows, err := l.store.Read(callCtx, name)
	if err != nil || len(rows) == 0 {
		return 0
	}
	return rows[0].Version
}

// Collect adds the new reports of all daemons and returns the load of a service and of the servers.
func (l *loadTracker) Collect(ctx context.Context, service fleet.ServiceName) rangegrants.AggregateLoad {
	now := l.clock.Now()
	callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	rows, err := l.store.Scan(callCtx, loadsTable+"/")
	if err != nil {
		l.log.Warn().Err(err).Msg("scan load reports: using the earlier ones")
	}
	if l.received == nil {
		l.received, l.totals, l.serverLoads = make(map[string]receivedReport), make(map[fleet.ServiceName]*ranges.Load),
			make(map[fleet.UpstreamID]serverLoad)
	}
	for _, row := range rows {
		if l.received[row.Name].version != row.Version {
			l.addReport(now, row)
			l.received[row.Name] = receivedReport{version: row.Version, readAt: now}
		}
	}
	daemons := 0
	lifetime := time.Duration(float64(reportLifetime) * max(1, float64(l.daemonCount())/reporterCount))
	for _, entry := range l.received {
		if now.Sub(entry.readAt) < lifetime {
			daemons++
		}
	}
	if l.totals[service] == nil {
		l.totals[service] = &ranges.Load{}
	}
	l.onCollected(service, l.totals[service])
	result := rangegrants.AggregateLoad{
		Load: l.totals[service], Stats: make(map[fleet.UpstreamID]rangegrants.ServerStats), Daemons: daemons,
	}
	for id, entry := range l.serverLoads {
		if now.Sub(entry.updatedAt) < lifetime {
			result.Stats[id] = rangegrants.ServerStats{MeanDuration: entry.meanDuration, Concurrency: entry.concurrency * float64(daemons)}
		}
	}
	return result
}

// durationWeight and concurrencyWeight are the weights of a new report in the moving averages of the duration and of the number
// of requests in flight.
const (
	durationWeight    = 0.2
	concurrencyWeight = 0.5
)

// addReport decodes one report and adds it to the load of its services and servers.
func (l *loadTracker) addReport(now time.Time, row table.Row) {
	var decoded loadReport
	if err := json.Unmarshal(row.Value, &decoded); err != nil {
		l.log.Warn().Err(err).Str("row", row.Name).Msg("decode load report: ignoring it")
		return
	}
	for service, measured := range decoded.Services {
		if l.totals[service] == nil {
			l.totals[service] = &ranges.Load{}
		}
		l.totals[service].AddReport(now, measured.Counts)
		for id, server := range measured.Servers {
			if server == nil || server.Requests <= 0 || decoded.Span <= 0 {
				continue
			}
			next := serverLoad{
				meanDuration: server.Total / time.Duration(server.Requests),
				concurrency:  float64(server.Total) / float64(decoded.Span), updatedAt: now,
			}
			if previous, ok := l.serverLoads[id]; ok {
				next.meanDuration = previous.meanDuration + time.Duration(float64(next.meanDuration-previous.meanDuration)*durationWeight)
				next.concurrency = previous.concurrency + (next.concurrency-previous.concurrency)*concurrencyWeight
			}
			l.serverLoads[id] = next
		}
	}
}
