package entry

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/ownership/ranges"
	"rosemarywick.example/rosemarywick/internal/routing/ratelimit"
	"rosemarywick.example/rosemarywick/internal/upstream/forward"
	"rosemarywick.example/rosemarywick/internal/upstream/notices"
	"rosemarywick.example/rosemarywick/internal/upstream/rangegrants"
)

const (
	// reportInterval is the time between two load reports of a daemon. With the interval of the assigner's collections, a hot range
	// is seen after 0.3 s on average, which leaves 1.2 s for moving its keys.
	reportInterval = 200 * time.Millisecond
	// countLifetime is how long the number of daemons at a relay counts after its last response, and loadLifetime how long the
	// measurements of a server count after the last report.
	countLifetime = 5 * time.Second
	loadLifetime  = 12 * time.Second
)

// loadReport is what daemons measured since their previous reports. It is sent as JSON.
type loadReport struct {
	// Span is the time that the report covers.
	Span     time.Duration                        `json:"span"`
	Services map[fleet.ServiceName]*serviceReport `json:"services,omitempty"`
	// Daemons is the number of daemons whose reports were added. It is zero in the report of one daemon.
	Daemons int `json:"daemons,omitempty"`
	// Unkeyed counts the requests of services without keys. The sum of a relay does not have it.
	Unkeyed unkeyedReport `json:"unkeyed,omitempty"`
	// Leaving lists upstreams that have stated recently, in a response to any of the daemons, that they leave.
	Leaving []notices.Source `json:"leaving,omitempty"`
}

// serviceReport counts the keyed requests of one service, by buckets of the key space when they arrive and by server when they
// end.
type serviceReport struct {
	Counts  ranges.BucketCounts                `json:"counts"`
	Servers map[fleet.UpstreamID]*serverReport `json:"servers"`
}

// serverReport is the number of requests that one server answered, and the sum of their durations.
type serverReport struct {
	Requests int           `json:"requests"`
	Total    time.Duration `json:"total"`
	// Limited is the number of requests that were not sent, because of the server's limit. Limit is the number of requests a second
	// that are admitted under it, or nil if the server has none.
	Limited int      `json:"limited,omitempty"`
	Limit   *float64 `json:"limit,omitempty"`
	// Rejected is the number of requests that the server refused because it was full.
	Rejected int `json:"rejected,omitempty"`
}

// serviceOf returns the counts of a service.
func (l *loadReport) serviceOf(name fleet.ServiceName) *serviceReport {
	if l.Services == nil {
		l.Services = make(map[fleet.ServiceName]*serviceReport)
	}
	if l.Services[name] == nil {
		l.Services[name] = &serviceReport{Counts: make(ranges.BucketCounts), Servers: make(map[fleet.UpstreamID]*serverReport)}
	}
	return l.Services[name]
}

// count adds requests of a server.
func (s *serviceReport) count(server fleet.UpstreamID, requests int, total time.Duration) {
	if s.Servers[server] == nil {
		s.Servers[server] = &serverReport{}
	}
	s.Servers[server].Requests += requests
	s.Servers[server].Total += total
}

// addLimit adds requests that were not sent because of the server's limit. Daemons learn of a changed limit at different times;
// the lowest one counts.
func (s *serverReport) addLimit(limited int, limit *float64) {
	s.Limited += limited
	if limit != nil && (s.Limit == nil || *limit < *s.Limit) {
		s.Limit = limit
	}
}

// merge adds another report. Invalid counts are ignored.
func (l *loadReport) merge(other *loadReport) {
	for _, source := range other.Leaving {
		if !slices.Contains(l.Leaving, source) {
			l.Leaving = append(l.Leaving, source)
		}
	}
	for name, measured := range other.Services {
		if measured == nil {
			continue
		}
		sum := l.serviceOf(name)
		for bucket, count := range measured.Counts {
			if count > 0 {
				sum.Counts[bucket] += count
			}
		}
		for id, server := range measured.Servers {
			if server != nil && server.Requests >= 0 && server.Total >= 0 && server.Limited >= 0 && server.Rejected >= 0 {
				sum.count(id, server.Requests, server.Total)
				sum.Servers[id].Rejected += server.Rejected
				sum.Servers[id].addLimit(server.Limited, server.Limit)
			}
		}
	}
}

// peers passes load reports to the daemon that acts as assigner.
type peers interface {
	// Report passes on the report of this daemon.
	Report(ctx context.Context, content []byte)
	// Collect returns the sums of the reports that the other relays have received since they were last asked.
	Collect(ctx context.Context) map[fleet.HostID][]byte
	// Subscribers returns the number of daemons that report to this one.
	Subscribers() int
}

// loadTracker counts the keyed requests of this daemon and reports them. On a relay it sums the reports of the daemons that
// follow it, and on the daemon that acts as assigner those of all daemons.
type loadTracker struct {
	host  fleet.HostID
	clock timer.Clock
	log   zerolog.Logger
	peers peers
	// notices holds the limits that servers have named.
	notices *notices.Book
	// allowance is what the deployment accepts as obeying a limit.
	allowance ratelimit.Allowance
	// coldRates returns the rates, in requests a second, of the cold servers of a service. Nil means that none is limited for that.
	coldRates func(fleet.ServiceName) map[fleet.UpstreamID]float64
	// fleet sums the load of upstreams of services without keys. It may be nil.
	fleet *fleetLoads
	// onCollected is called with the load of a service each time the reports have been summed.
	onCollected func(fleet.ServiceName, *ranges.Load)

	mu sync.Mutex
	// counts is guarded by mu: the measurements for the next report.
	counts loadReport
	// received is guarded by mu: the sum of the reports that were added since the last Take, which was at takenAt.
	received loadReport
	takenAt  time.Time

	// collectMu is held while the reports of all daemons are collected.
	collectMu sync.Mutex
	// The fields below are guarded by collectMu.
	daemonCounts map[fleet.HostID]daemonCount
	totals       map[fleet.ServiceName]*ranges.Load
	serverLoads  map[fleet.UpstreamID]serverLoad
}

// daemonCount is the number of daemons at one relay, and when it was received.
type daemonCount struct {
	daemons    int
	receivedAt time.Time
}

// Arrived counts a keyed request for the load of its key.
func (l *loadTracker) Arrived(service fleet.ServiceName, key fleet.KeyHash) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.serviceOf(service).Counts.Add(fleet.NumericKey(key))
}

// Served counts a keyed request that a server has answered.
func (l *loadTracker) Served(service fleet.ServiceName, server fleet.UpstreamID, _ fleet.KeyHash, duration time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.serviceOf(service).count(server, 1, duration)
}

// ServedUnkeyed counts a request of a service without keys that an upstream has answered.
func (l *loadTracker) ServedUnkeyed(service fleet.ServiceName, upstream fleet.UpstreamID, duration time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.counts.Unkeyed == nil {
		l.counts.Unkeyed = make(unkeyedReport)
	}
	l.counts.Unkeyed.add(service, upstream, unkeyedCount{1, int(duration.Round(time.Millisecond).Milliseconds())})
}

// Limited counts a keyed request that was not sent, because its server limits the requests that it takes.
func (l *loadTracker) Limited(service fleet.ServiceName, server fleet.UpstreamID, _ fleet.KeyHash) {
	l.mu.Lock()
	defer l.mu.Unlock()
	counted := l.counts.serviceOf(service)
	counted.count(server, 0, 0)
	counted.Servers[server].Limited++
}

// Rejected counts a keyed request that its server refused because it was full.
func (l *loadTracker) Rejected(service fleet.ServiceName, server fleet.UpstreamID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	counted := l.counts.serviceOf(service)
	counted.count(server, 0, 0)
	counted.Servers[server].Rejected++
}

// run sends reports until ctx ends.
func (l *loadTracker) run(ctx context.Context) error {
	tick := l.clock.Every(reportInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return nil
		}
		l.mu.Lock()
		counts := l.counts
		l.counts = loadReport{}
		l.mu.Unlock()
		counts.Leaving = l.notices.LeavingNews()
		if len(counts.Services) == 0 && len(counts.Unkeyed) == 0 && len(counts.Leaving) == 0 {
			continue
		}
		l.addLimits(&counts)
		content, err := json.Marshal(counts)
		if err != nil {
			l.log.Error().Err(err).Msg("encode load report: dropping it")
			continue
		}
		l.peers.Report(ctx, content)
	}
}

// Add adds the report of one daemon.
func (l *loadTracker) Add(content []byte) {
	var decoded loadReport
	if err := json.Unmarshal(content, &decoded); err != nil {
		l.log.Warn().Err(err).Msg("decode load report: ignoring it")
		return
	}
	l.adoptLeaving(&decoded)
	if l.fleet != nil {
		l.fleet.Add(decoded.Unkeyed)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.received.merge(&decoded)
}

// adoptLeaving notes which upstreams have told other daemons that they leave.
func (l *loadTracker) adoptLeaving(report *loadReport) {
	for _, source := range report.Leaving {
		if l.notices.LeavingSince(source).IsZero() {
			l.notices.Record(notices.Exchange{Source: source, Notices: []forward.Notice{forward.Leaving{}}})
		}
	}
}

// Take returns the sum of the reports that were added since the last call.
func (l *loadTracker) Take() []byte {
	content, err := json.Marshal(l.take())
	if err != nil {
		l.log.Error().Err(err).Msg("encode load reports: dropping them")
	}
	return content
}

func (l *loadTracker) take() *loadReport {
	daemons := l.peers.Subscribers() + 1
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	taken := l.received
	taken.Daemons, taken.Span = daemons, now.Sub(l.takenAt)
	l.received, l.takenAt = loadReport{}, now
	return &taken
}

// Collect adds the new reports of all daemons and returns the load of a service and of the servers.
func (l *loadTracker) Collect(ctx context.Context, service fleet.ServiceName) rangegrants.AggregateLoad {
	l.collectMu.Lock()
	defer l.collectMu.Unlock()
	if l.totals == nil {
		l.daemonCounts, l.totals = make(map[fleet.HostID]daemonCount), make(map[fleet.ServiceName]*ranges.Load)
		l.serverLoads = make(map[fleet.UpstreamID]serverLoad)
	}
	reports := map[fleet.HostID]*loadReport{}
	for host, content := range l.peers.Collect(ctx) {
		decoded := &loadReport{}
		if err := json.Unmarshal(content, decoded); err != nil {
			l.log.Warn().Err(err).Str("relay", string(host)).Msg("decode load reports of a relay: ignoring them")
			continue
		}
		reports[host] = decoded
		l.adoptLeaving(decoded)
	}
	reports[l.host] = l.take()
	now := l.clock.Now()
	l.addReports(now, reports)
	if l.totals[service] == nil {
		l.totals[service] = &ranges.Load{}
	}
	l.onCollected(service, l.totals[service])
	result := rangegrants.AggregateLoad{Load: l.totals[service], Stats: make(map[fleet.UpstreamID]rangegrants.ServerStats)}
	for host, count := range l.daemonCounts {
		if now.Sub(count.receivedAt) > countLifetime {
			delete(l.daemonCounts, host)
			continue
		}
		result.Daemons += count.daemons
	}
	for id, entry := range l.serverLoads {
		if now.Sub(entry.updatedAt) > loadLifetime {
			delete(l.serverLoads, id)
			continue
		}
		result.Stats[id] = rangegrants.ServerStats{
			MeanDuration: entry.meanDuration, Concurrency: entry.concurrency, Rate: entry.rate, RateLimit: entry.limit,
			Rise: entry.concurrency - entry.before, Latest: entry.latest, Rejected: entry.rejected,
		}
	}
	l.addColdLimits(service, result.Stats)
	return result
}
