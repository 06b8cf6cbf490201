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
	// loadsTable holds one report for each daemon.
	loadsTable = "loads"
	// reportEvery is the time between two reports of a daemon while requests find room, and pressedEvery while they wait
	// or are rejected.
	reportInterval          = 3 * time.Second
	congestedReportInterval = time.Second
	// reporters is the number of daemons whose reports suffice: each sees a random part of the requests. A larger fleet
	// reports in turns, so that the store's load does not grow with it.
	reporterCount = 10
	// reportLife is how long a daemon counts after its last report, in a fleet in which all report.
	reportLifetime = 4 * reportInterval
	// reportTimeout bounds the calls to the store.
	reportTimeout = time.Second
)

// report is what one daemon saw since its report before.
type loadReport struct {
	// Span is the time that the report covers.
	Span     time.Duration                        `json:"span"`
	Services map[fleet.ServiceName]*serviceReport `json:"services"`
}

// served is what one daemon saw of one service.
type serviceReport struct {
	Counts  ranges.BucketCounts                `json:"counts"`
	Servers map[fleet.UpstreamID]*serverReport `json:"servers"`
}

// serverReport sums the requests that one server answered.
type serverReport struct {
	Requests int           `json:"requests"`
	Total    time.Duration `json:"total"`
}

// loads meters the keyed requests of this daemon, reports them through the store, and sums the reports of all daemons
// where this daemon is the assigner.
type loadTracker struct {
	host  fleet.HostID
	store table.TimedStore
	clock timer.Clock
	log   zerolog.Logger
	// daemons returns the number of daemons.
	daemonCount func() int
	// failed is called when the store does not answer a report.
	onStoreFailure func()
	// collected is called with the load of a service after all reports were summed.
	onCollected func(fleet.ServiceName, *ranges.Load)

	mu sync.Mutex
	// own is guarded by mu.
	counts loadReport
	// since is guarded by mu: the time from which own counts.
	countedSince time.Time
	// pressed is guarded by mu and set when a keyed request had to wait or was rejected since the last look.
	congested bool

	// The fields below belong to the goroutine that calls Collect.
	received    map[string]receivedReport
	totals      map[fleet.ServiceName]*ranges.Load
	serverLoads map[fleet.UpstreamID]serverLoad
}

// seenReport is the latest report of one daemon.
type receivedReport struct {
	version table.Version
	at      time.Time
}

// pace follows the mean duration of the requests at one server, and the mean number of requests of one daemon there.
type serverLoad struct {
	meanDuration time.Duration
	concurrency  float64
	at           time.Time
}

// Served counts a request that a server has answered.
func (l *loadTracker) Served(service fleet.ServiceName, server fleet.UpstreamID, key fleet.KeyHash, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.counts.Services == nil {
		l.counts.Services = make(map[fleet.ServiceName]*serviceReport)
	}
	one := l.counts.Services[service]
	if one == nil {
		one = &serviceReport{Counts: make(ranges.BucketCounts), Servers: make(map[fleet.UpstreamID]*serverReport)}
		l.counts.Services[service] = one
	}
	one.Counts.Add(fleet.NumericKey(key))
	if one.Servers[server] == nil {
		one.Servers[server] = &serverReport{}
	}
	one.Servers[server].Requests++
	one.Servers[server].Total += took
}

// run reports until ctx ends. A report that fails is lost; the next one follows soon.
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

// Pressed takes in that a keyed request had to wait or was rejected.
func (l *loadTracker) NoteCongestion() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.congested = true
}

// drop forgets what was counted, so that a later report tells of its own time only.
func (l *loadTracker) resetCounts() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts, l.countedSince = loadReport{}, l.clock.Now()
}

// report writes one report and returns the version of the row.
func (l *loadTracker) writeReport(ctx context.Context, version table.Version) table.Version {
	l.mu.Lock()
	l.counts.Span = l.clock.Now().Sub(l.countedSince)
	value, err := json.Marshal(l.counts)
	l.counts, l.countedSince = loadReport{}, l.clock.Now()
	l.mu.Unlock()
	if err != nil {
		l.log.Error().Err(err).Msg("load report cannot be encoded")
		return version
	}
	call, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	name := loadsTable + "/" + string(l.host)
	next, err := l.store.CommitVersion(call, table.Change{Name: name, Expected: version, Write: true, Value: value})
	if err == nil {
		return next
	}
	l.log.Debug().Err(err).Msg("load report was not written")
	if !errors.Is(err, table.ErrConflict) {
		l.onStoreFailure()
	}
	rows, err := l.store.Read(call, name)
	if err != nil || len(rows) == 0 {
		return 0
	}
	return rows[0].Version
}

// Collect sums the reports of all daemons.
func (l *loadTracker) Collect(ctx context.Context, service fleet.ServiceName) rangegrants.AggregateLoad {
	now := l.clock.Now()
	call, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	rows, err := l.store.Scan(call, loadsTable+"/")
	if err != nil {
		l.log.Warn().Err(err).Msg("load reports cannot be read")
	}
	if l.received == nil {
		l.received, l.totals, l.serverLoads = make(map[string]receivedReport), make(map[fleet.ServiceName]*ranges.Load), make(map[fleet.UpstreamID]serverLoad)
	}
	for _, row := range rows {
		if l.received[row.Name].version != row.Version {
			l.addReport(now, row)
			l.received[row.Name] = receivedReport{version: row.Version, at: now}
		}
	}
	daemons := 0
	life := time.Duration(float64(reportLifetime) * max(1, float64(l.daemonCount())/reporterCount))
	for _, one := range l.received {
		if now.Sub(one.at) < life {
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
	for id, one := range l.serverLoads {
		if now.Sub(one.at) < life {
			result.Stats[id] = rangegrants.ServerStats{MeanDuration: one.meanDuration, Concurrency: one.concurrency * float64(daemons)}
		}
	}
	return result
}

// paceWeight and runningWeight are the parts of a report that enter the mean duration and the number of requests at a server.
const (
	durationWeight    = 0.2
	concurrencyWeight = 0.5
)

// take adds one report.
func (l *loadTracker) addReport(now time.Time, row table.Row) {
	var one loadReport
	if err := json.Unmarshal(row.Value, &one); err != nil {
		l.log.Warn().Err(err).Str("row", row.Name).Msg("load report cannot be read")
		return
	}
	for service, seen := range one.Services {
		if l.totals[service] == nil {
			l.totals[service] = &ranges.Load{}
		}
		l.totals[service].AddReport(now, seen.Counts)
		for id, server := range seen.Servers {
			if server == nil || server.Requests <= 0 || one.Span <= 0 {
				continue
			}
			next := serverLoad{
				meanDuration: server.Total / time.Duration(server.Requests),
				concurrency:  float64(server.Total) / float64(one.Span), at: now,
			}
			if before, ok := l.serverLoads[id]; ok {
				next.meanDuration = before.meanDuration + time.Duration(float64(next.meanDuration-before.meanDuration)*durationWeight)
				next.concurrency = before.concurrency + (next.concurrency-before.concurrency)*concurrencyWeight
			}
			l.serverLoads[id] = next
		}
	}
}
