package cause

import (
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// Attempt is one sending of a request to an upstream.
type Attempt struct {
	Upstream fleet.UpstreamID
	Started  time.Time
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
