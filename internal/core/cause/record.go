package cause

import (
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// Attempt is one sending of a request to an upstream.
type Attempt struct {
	Upstream fleet.UpstreamID
	Started  time.Time
	// Connect is the time that a new connection took; it is zero if an open one was used.
	Connect time.Duration
	// Duration is the time of the whole attempt.
	Duration time.Duration
	Cause    Cause
}

// Record states what a daemon decided about one request and why.
type Record struct {
	Request fleet.RequestID
	// Host is the daemon that decided.
	Host    fleet.HostID
	Service fleet.ServiceName
	Tenant  fleet.TenantName
	// Keyed is set if the servers of the service own keys.
	Keyed bool
	// Key is zero for a service without keys.
	Key       fleet.KeyHash
	Partition fleet.PartitionID
	// Fence is the assignment by which a keyed request was routed.
	Fence fleet.Fence
	// ConfigVersion is the version of the configuration in force when the request was decided.
	ConfigVersion uint64
	Started       time.Time
	Queued        time.Duration
	Total         time.Duration
	Attempts      []Attempt
	Outcome       Outcome
	Cause         Cause
	// Detail is one plain sentence for the operator. It holds no data of the caller.
	Detail string
}

// Notable reports whether the request was late, rejected, retried or misrouted, so that its record is kept.
func (r *Record) Notable() bool {
	return r.Cause != OK || len(r.Attempts) > 1
}

// Connect returns the time that new connections took.
func (r *Record) TotalConnectTime() time.Duration {
	var sum time.Duration
	for _, attempt := range r.Attempts {
		sum += attempt.Connect
	}
	return sum
}

// Upstream returns the time that upstreams took.
func (r *Record) TotalUpstreamTime() time.Duration {
	var sum time.Duration
	for _, attempt := range r.Attempts {
		sum += attempt.Duration
	}
	return sum
}
