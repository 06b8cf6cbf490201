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
	reportEvery  = 3 * time.Second
	pressedEvery = time.Second
	// reporters is the number of daemons whose reports suffice: each sees a random part of the requests. A larger fleet
	// reports in turns, so that the store's load does not grow with it.
	reporters = 10
	// reportLife is how long a daemon counts after its last report, in a fleet in which all report.
	reportLife = 4 * reportEvery
	// reportTimeout bounds the calls to the store.
	reportTimeout = time.Second
)

// report is what one daemon saw since its report before.
type report struct {
	// Span is the time that the report covers.
	Span     time.Duration                 `json:"span"`
	Services map[fleet.ServiceName]*served `json:"services"`
}

// served is what one daemon saw of one service.
type served struct {
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
type loads struct {
	daemon fleet.HostID
	store  table.TimedStore
	clock  timer.Clock
	log    zerolog.Logger
	// daemons returns the number of daemons.
	daemons func() int
	// failed is called when the store does not answer a report.
	failed func()
	// collected is called with the load of a service after all reports were summed.
	collected func(fleet.ServiceName, *ranges.Load)

	mu sync.Mutex
	// own is guarded by mu.
	own report
	// since is guarded by mu: the time from which own counts.
	since time.Time
	// pressed is guarded by mu and set when a keyed request had to wait or was rejected since the last look.
	pressed bool

	// The fields below belong to the goroutine that calls Collect.
	seen  map[string]seenReport
	load  map[fleet.ServiceName]*ranges.Load
	paces map[fleet.UpstreamID]pace
}

// seenReport is the latest report of one daemon.
type seenReport struct {
	version table.Version
	at      time.Time
}

// pace follows the mean duration of the requests at one server, and the mean number of requests of one daemon there.
type pace struct {
	mean    time.Duration
	running float64
	at      time.Time
}

// Served counts a request that a server has answered.
func (l *loads) Served(service fleet.ServiceName, server fleet.UpstreamID, key fleet.KeyHash, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.own.Services == nil {
		l.own.Services = make(map[fleet.ServiceName]*served)
	}
	one := l.own.Services[service]
	if one == nil {
		one = &served{Counts: make(ranges.BucketCounts), Servers: make(map[fleet.UpstreamID]*serverReport)}
		l.own.Services[service] = one
	}
	one.Counts.Add(fleet.NumericKey(key))
	if one.Servers[server] == nil {
		one.Servers[server] = &serverReport{}
	}
	one.Servers[server].Requests++
	one.Servers[server].Total += took
}

// run reports until ctx ends. A report that fails is lost; the next one follows soon.
func (l *loads) run(ctx context.Context) error {
	tick := l.clock.Every(pressedEvery)
	defer tick.Stop()
	version, last := table.Version(0), l.clock.Now()
	l.drop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return nil
		}
		now := l.clock.Now()
		l.mu.Lock()
		due := l.pressed || now.Sub(last) >= reportEvery-pressedEvery/2
		l.pressed = false
		l.mu.Unlock()
		if !due {
			continue
		}
		last = now
		if rand.Float64()*float64(l.daemons()) < reporters {
			version = l.report(ctx, version)
		} else {
			l.drop()
		}
	}
}

// Pressed takes in that a keyed request had to wait or was rejected.
func (l *loads) Pressed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pressed = true
}

// drop forgets what was counted, so that a later report tells of its own time only.
func (l *loads) drop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.own, l.since = report{}, l.clock.Now()
}

// report writes one report and returns the version of the row.
func (l *loads) report(ctx context.Context, version table.Version) table.Version {
	l.mu.Lock()
	l.own.Span = l.clock.Now().Sub(l.since)
	value, err := json.Marshal(l.own)
	l.own, l.since = report{}, l.clock.Now()
	l.mu.Unlock()
	if err != nil {
		l.log.Error().Err(err).Msg("load report cannot be encoded")
		return version
	}
	call, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	name := loadsTable + "/" + string(l.daemon)
	next, err := l.store.CommitVersion(call, table.Change{Name: name, Expected: version, Write: true, Value: value})
	if err == nil {
		return next
	}
	l.log.Debug().Err(err).Msg("load report was not written")
	if !errors.Is(err, table.ErrConflict) {
		l.failed()
	}
	rows, err := l.store.Read(call, name)
	if err != nil || len(rows) == 0 {
		return 0
	}
	return rows[0].Version
}

// Collect sums the reports of all daemons.
func (l *loads) Collect(ctx context.Context, service fleet.ServiceName) rangegrants.AggregateLoad {
	now := l.clock.Now()
	call, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	rows, err := l.store.Scan(call, loadsTable+"/")
	if err != nil {
		l.log.Warn().Err(err).Msg("load reports cannot be read")
	}
	if l.seen == nil {
		l.seen, l.load, l.paces = make(map[string]seenReport), make(map[fleet.ServiceName]*ranges.Load), make(map[fleet.UpstreamID]pace)
	}
	for _, row := range rows {
		if l.seen[row.Name].version != row.Version {
			l.take(now, row)
			l.seen[row.Name] = seenReport{version: row.Version, at: now}
		}
	}
	daemons := 0
	life := time.Duration(float64(reportLife) * max(1, float64(l.daemons())/reporters))
	for _, one := range l.seen {
		if now.Sub(one.at) < life {
			daemons++
		}
	}
	if l.load[service] == nil {
		l.load[service] = &ranges.Load{}
	}
	l.collected(service, l.load[service])
	result := rangegrants.AggregateLoad{
		Load: l.load[service], Stats: make(map[fleet.UpstreamID]rangegrants.ServerStats), Daemons: daemons,
	}
	for id, one := range l.paces {
		if now.Sub(one.at) < life {
			result.Stats[id] = rangegrants.ServerStats{MeanDuration: one.mean, Concurrency: one.running * float64(daemons)}
		}
	}
	return result
}

// paceWeight and runningWeight are the parts of a report that enter the mean duration and the number of requests at a server.
const (
	paceWeight    = 0.2
	runningWeight = 0.5
)

// take adds one report.
func (l *loads) take(now time.Time, row table.Row) {
	var one report
	if err := json.Unmarshal(row.Value, &one); err != nil {
		l.log.Warn().Err(err).Str("row", row.Name).Msg("load report cannot be read")
		return
	}
	for service, seen := range one.Services {
		if l.load[service] == nil {
			l.load[service] = &ranges.Load{}
		}
		l.load[service].AddReport(now, seen.Counts)
		for id, server := range seen.Servers {
			if server == nil || server.Requests <= 0 || one.Span <= 0 {
				continue
			}
			next := pace{
				mean:    server.Total / time.Duration(server.Requests),
				running: float64(server.Total) / float64(one.Span), at: now,
			}
			if before, ok := l.paces[id]; ok {
				next.mean = before.mean + time.Duration(float64(next.mean-before.mean)*paceWeight)
				next.running = before.running + (next.running-before.running)*runningWeight
			}
			l.paces[id] = next
		}
	}
}
