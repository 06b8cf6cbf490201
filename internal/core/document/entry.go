package document

import (
	"strings"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// Entry sends the requests for a host name and a path prefix to services.
type Entry struct {
	Name     string
	Hostname string
	// Prefix begins and ends with a slash.
	Prefix   string
	Delivery Delivery
	// Objective is the time within which an answer is useful to its caller.
	LatencyTarget time.Duration
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// Attempts is the number of upstreams to which one request may be sent.
	MaxAttempts int
	// Bulk marks requests with large answers.
	Bulk bool
	// Class is the tenant whose share the requests use.
	Class fleet.TenantName
	// Splits name at least one service, and their weights are not all zero.
	Splits []Split
}

// Split is the part of an entry's requests that go to one service.
type Split struct {
	Service fleet.ServiceName
	Weight  int
}

// CallerLimits bounds what a caller may send and how long it may stay idle. A zero value sets no bound.
type CallerLimits struct {
	MaxBodyBytes int64
	IdleTimeout  time.Duration
}

// Match returns the entry of the host name whose prefix is the longest that begins the path, or nil.
func (d *Document) MatchEntry(hostname, path string) *Entry {
	var best *Entry
	for i := range d.Entries {
		entry := &d.Entries[i]
		if entry.Hostname == hostname && strings.HasPrefix(path, entry.Prefix) &&
			(best == nil || len(entry.Prefix) > len(best.Prefix)) {
			best = entry
		}
	}
	return best
}

// Choose returns the service for a draw from 0 up to 1, in proportion to the weights.
func (e *Entry) PickService(draw float64) fleet.ServiceName {
	total := 0
	for _, split := range e.Splits {
		total += split.Weight
	}
	left := draw * float64(total)
	for _, split := range e.Splits {
		left -= float64(split.Weight)
		if left < 0 && split.Weight > 0 {
			return split.Service
		}
	}
	return e.Splits[len(e.Splits)-1].Service
}
