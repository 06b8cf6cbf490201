package entry

import (
	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/routing/ratelimit"
	"rosemarywick.example/rosemarywick/internal/upstream/rangegrants"
)

// addLimits adds the limits of the servers that a report counts.
func (l *loadTracker) addLimits(report *loadReport) {
	for _, service := range report.Services {
		for id, server := range service.Servers {
			if limit, limited := l.notices.LatestRateLimit(id); limited {
				rate := ratelimit.Limit{Reason: ratelimit.Stated, PerSecond: limit, Allowance: l.allowance}.Rate().PerSecond
				server.addLimit(0, &rate)
			}
		}
	}
}

// addColdLimits adds the limits of the cold servers of a service. They are added where reports are collected, because a cold
// server without requests is in no report.
func (l *loadTracker) addColdLimits(service fleet.ServiceName, stats map[fleet.UpstreamID]rangegrants.ServerStats) {
	if l.coldRates == nil {
		return
	}
	for id, rate := range l.coldRates(service) {
		server := stats[id]
		if server.RateLimit == nil || rate < *server.RateLimit {
			server.RateLimit = &rate
		}
		stats[id] = server
	}
}
