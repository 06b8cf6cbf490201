package rpc

import (
	"context"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/cause"
	"rosemarywick.example/rosemarywick/internal/core/document"
	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/observe/records"
	"rosemarywick.example/rosemarywick/internal/operator/config"
)

// Config reads and writes the configuration in the table. *config.Store implements it.
type Config interface {
	Latest(ctx context.Context) (*config.Revision, error)
	Version(ctx context.Context, version uint64) (*config.Revision, error)
	Apply(ctx context.Context, change *config.Change) (*config.Revision, error)
	Edit(ctx context.Context, author string, expected uint64, edit config.Edit) (*config.Revision, bool, error)
}

// Fleet lists the daemons of the fleet.
type Fleet interface {
	// Hosts returns the daemons that this daemon knows, itself included.
	Hosts() []Host
}

// HostState is the state of a host as the answering daemon sees it.
type HostState string

const (
	// HostLive means that the host is running.
	HostLive HostState = "live"
	// HostLeaving means that the host is running and about to stop.
	HostLeaving HostState = "leaving"
	// HostLost means that the host has not been heard from for too long and counts as failed.
	HostLost HostState = "lost"
)

// Host describes one daemon of the fleet.
type Host struct {
	fleet.Host
	State HostState
	// LastSeen is the time at which the answering daemon last heard of the host.
	LastSeen time.Time
	// ConfigVersion is the configuration version in force on the host.
	ConfigVersion uint64
	// Rejection is the reason why the host rejected a newer configuration version, or empty.
	Rejection string
	// AssignerOf lists the services of which the host is the acting assigner.
	AssignerOf []fleet.ServiceName
}

// Ownership is the daemon's view of which server owns which partition of the keyed services.
type Ownership interface {
	// Services returns the services that have partitions.
	Services() []fleet.ServiceName
	// Assignments returns the assignments of all partitions of a service, and false if the service has no partitions.
	Assignments(service fleet.ServiceName) ([]fleet.Assignment, bool)
	// Locate returns the assignment that a key belongs to, and false if the service has no partitions.
	Locate(service fleet.ServiceName, key string) (Location, bool)
}

// Location is the hash of a key and the assignment that it belongs to.
type Location struct {
	KeyHash    fleet.KeyHash
	Assignment fleet.Assignment
	// Dedicated is set if the key has an assignment of its own instead of sharing that of a partition.
	Dedicated bool
}

// Upstreams lists the upstreams of the configuration in force with what this daemon observes of them.
type Upstreams interface {
	Upstreams() []Upstream
}

// UpstreamState is the state of an upstream as the answering daemon sees it.
type UpstreamState string

const (
	// UpstreamHealthy means that the upstream responds.
	UpstreamHealthy UpstreamState = "healthy"
	// UpstreamUnhealthy means that the upstream does not respond or rejects requests.
	UpstreamUnhealthy UpstreamState = "unhealthy"
	// UpstreamDraining means that the upstream is shutting down and takes no new requests.
	UpstreamDraining UpstreamState = "draining"
	// UpstreamUnknown means that the daemon has no recent observation.
	UpstreamUnknown UpstreamState = "unknown"
)

// Upstream describes one upstream of a service and its load.
type Upstream struct {
	document.Upstream
	Service fleet.ServiceName
	// Guard is empty for a service without keys.
	Guard fleet.Guard
	State UpstreamState
	// InFlight and Queued are the current numbers of requests of this daemon, and Limit is the most that it keeps in flight.
	InFlight int
	Queued   int
	Limit    int
	// Partitions is the number of partitions that the server owns.
	Partitions int
}

// Records reads the recent request records that this host keeps in memory. *records.Ring implements it.
type Records interface {
	Find(request fleet.RequestID) []cause.Record
	Recent(filter records.Filter, limit int) []cause.Record
}

// Explainer searches the records of all hosts, in memory and in the object store. *records.Finder implements it.
type Explainer interface {
	Explain(ctx context.Context, query records.Query) *records.Explanation
}
