package document

import (
	"strings"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// Entry routes the requests for a host name and a path prefix to one or more services.
type Entry struct {
	Name     string
	Hostname string
	// Prefix begins and ends with a slash.
	Prefix   string
	Delivery Delivery
	// LatencyTarget is the time within which a response is useful to the caller.
	LatencyTarget time.Duration
	// Timeout is the maximum time until the caller gets a response.
	Timeout time.Duration
	// MaxAttempts is the maximum number of upstreams to which one request may be sent.
	MaxAttempts int
	// Bulk marks requests with large responses.
	Bulk bool
	// Priority is 0 for the most urgent requests and grows as they get less urgent.
	Priority int
	// Tenant is the tenant whose share the requests use.
	Tenant fleet.TenantName
	// Splits contains at least one service, and at least one weight is not zero.
	Splits []Split
}

// Split is the service that gets a part of an entry's requests, in proportion to its weight.
type Split struct {
	Service fleet.ServiceName
	Weight  int
}

// CallerLimits limits what callers may send, and how long they may take for the head of a request or stay idle. For zero, the
// default of the front end applies.
type CallerLimits struct {
	MaxHeaderBytes, MaxBodyBytes int64
	HeaderTimeout                time.Duration
	IdleTimeout                  time.Duration
}

// MatchEntry returns the entry of the host name with the longest prefix of the path, or nil.
func (d *Document) MatchEntry(hostname, path string) *Entry {
	var longest *Entry
	for i := range d.Entries {
		entry := &d.Entries[i]
		if entry.Hostname == hostname && strings.HasPrefix(path, entry.Prefix) &&
			(longest == nil || len(entry.Prefix) > len(longest.Prefix)) {
			longest = entry
		}
	}
	return longest
}

// PickService selects a service in proportion to the weights. sample is a random number in [0, 1).
func (e *Entry) PickService(sample float64) fleet.ServiceName {
	total := 0
	for _, split := range e.Splits {
		total += split.Weight
	}
	remaining := sample * float64(total)
	for _, split := range e.Splits {
		remaining -= float64(split.Weight)
		if remaining < 0 && split.Weight > 0 {
			return split.Service
		}
	}
	return e.Splits[len(e.Splits)-1].Service
}
