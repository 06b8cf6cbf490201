package entry

import (
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/ownership/ranges"
)

// serverLoad holds moving averages for one server: the duration of its requests, the number of requests in flight there, and the
// requests a second for it, those that were not sent because of its limit included.
type serverLoad struct {
	meanDuration time.Duration
	concurrency  float64
	rate         float64
	// before is concurrency at the previous collection.
	before float64
	// latest and rejected are what was measured since then.
	latest   ranges.Measured
	rejected int
	// limit is the number of requests a second that the server takes, or nil if it has named none.
	limit     *float64
	updatedAt time.Time
}

const (
	// durationWeight and concurrencyWeight are the weights of a new report in the moving averages of the duration, and of the number
	// and the rate of requests.
	durationWeight    = 0.2
	concurrencyWeight = 0.5
	// minRateSpan is the shortest span for which a rate is computed: daemons report every reportInterval.
	minRateSpan = reportInterval
)

// addReports adds the sums of several relays, which cover about the same span, to the load of their services and servers.
func (l *loadTracker) addReports(now time.Time, reports map[fleet.HostID]*loadReport) {
	var sum loadReport
	for host, report := range reports {
		l.daemonCounts[host] = daemonCount{daemons: report.Daemons, receivedAt: now}
		sum.merge(report)
	}
	span := reports[l.host].Span
	for service, measured := range sum.Services {
		if l.totals[service] == nil {
			l.totals[service] = &ranges.Load{}
		}
		l.totals[service].AddReport(now, measured.Counts)
		for id, server := range measured.Servers {
			l.addServer(now, span, id, server)
		}
	}
	for id, entry := range l.serverLoads {
		if !entry.updatedAt.Equal(now) { // it ended no request
			entry.before = entry.concurrency
			entry.concurrency -= entry.concurrency * concurrencyWeight
			entry.rate -= entry.rate * concurrencyWeight
			entry.latest, entry.rejected = ranges.Measured{}, 0
			l.serverLoads[id] = entry
		}
	}
}

// addServer adds what daemons measured at one server within a span.
func (l *loadTracker) addServer(now time.Time, span time.Duration, id fleet.UpstreamID, server *serverReport) {
	previous, ok := l.serverLoads[id]
	next := serverLoad{
		meanDuration: previous.meanDuration, concurrency: float64(server.Total) / float64(max(span, 1)), limit: server.Limit,
		rate:      float64(server.Requests+server.Limited) / max(span.Seconds(), minRateSpan.Seconds()),
		latest:    ranges.Measured{Requests: server.Requests, Total: server.Total, Span: span},
		rejected:  server.Rejected,
		updatedAt: now,
	}
	if server.Requests > 0 {
		next.meanDuration = server.Total / time.Duration(server.Requests)
	}
	if ok {
		next.meanDuration = previous.meanDuration + time.Duration(float64(next.meanDuration-previous.meanDuration)*durationWeight)
		next.concurrency = previous.concurrency + (next.concurrency-previous.concurrency)*concurrencyWeight
		next.rate = previous.rate + (next.rate-previous.rate)*concurrencyWeight
		next.before = previous.concurrency
	} else {
		next.before = next.concurrency
	}
	l.serverLoads[id] = next
}
