package cause

import (
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// Attempt is one attempt to send a request to an upstream.
type Attempt struct {
	Upstream fleet.UpstreamID
	Started  time.Time
	// ConnectTime is the time to open a connection. It is zero if an open connection was used.
	ConnectTime time.Duration
	// Duration is the duration of the whole attempt.
	Duration time.Duration
	Cause    Cause
}

// Record describes what a daemon decided about one request and why.
type Record struct {
	Request fleet.RequestID
	// Host is the daemon that handled the request.
	Host    fleet.HostID
	Service fleet.ServiceName
	Tenant  fleet.TenantName
	// Keyed is set if the servers of the service own keys.
	Keyed bool
	// Key is zero for a service without keys.
	Key       fleet.KeyHash
	Partition fleet.PartitionID
	// Fence is the fencing token of the assignment by which a keyed request was routed.
	Fence fleet.Fence
	// ConfigVersion is the version of the configuration that was in force for the request.
	ConfigVersion uint64
	Started       time.Time
	// QueueTime is the time that the request waited for slots. TotalTime is the time until it ended.
	QueueTime time.Duration
	TotalTime time.Duration
	Attempts  []Attempt
	Outcome   Outcome
	Cause     Cause
	// Detail is one sentence for the operator. It contains no data of the caller.
	Detail string
}

// IsNotable reports whether the request was late, rejected, retried or misrouted. The records of such requests are kept.
func (r *Record) IsNotable() bool {
	return r.Cause != OK || len(r.Attempts) > 1
}

// TotalConnectTime returns the time that all attempts took to open connections.
func (r *Record) TotalConnectTime() time.Duration {
	var sum time.Duration
	for _, attempt := range r.Attempts {
		sum += attempt.ConnectTime
	}
	return sum
}

// TotalUpstreamTime returns the total duration of all attempts.
func (r *Record) TotalUpstreamTime() time.Duration {
	var sum time.Duration
	for _, attempt := range r.Attempts {
		sum += attempt.Duration
	}
	return sum
}
