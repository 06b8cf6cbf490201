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

// Config is the configuration in the table. *config.Store implements it.
type Config interface {
	Latest(ctx context.Context) (*config.Revision, error)
	Version(ctx context.Context, version uint64) (*config.Revision, error)
	Apply(ctx context.Context, change *config.Change) (*config.Revision, error)
	Edit(ctx context.Context, author string, expected uint64, edit config.Edit) (*config.Revision, bool, error)
}

// Fleet is what the daemon knows about the daemons, itself included.
type Fleet interface {
	Hosts() []Host
}

// HostState says what the daemon believes about a host.
type HostState string

const (
	// HostLive means that the host runs.
	HostLive HostState = "live"
	// HostLeaving means that the host runs and is about to stop.
	HostLeaving HostState = "leaving"
	// HostLost means that nothing was heard from the host for too long.
	HostLost HostState = "lost"
)

// Host is a daemon.
type Host struct {
	fleet.Host
	State HostState
	// LastSeen is when the daemon last had word of the host.
	LastSeen time.Time
	// ConfigVersion is in force on the host.
	ConfigVersion uint64
	// Rejection says why the host could not apply a newer version. It is empty if there is none.
	Rejection string
	// AssignerOf are the services of whose groups the host is the assigner.
	AssignerOf []fleet.ServiceName
}

// Ownership is the daemon's map of the keyed services.
type Ownership interface {
	// Services returns the services that have partitions.
	Services() []fleet.ServiceName
	// Assignments returns the partitions of a service, and false if it has none.
	Assignments(service fleet.ServiceName) ([]fleet.Assignment, bool)
	// Locate returns where a key of a service belongs, and false if the service has no partitions.
	Locate(service fleet.ServiceName, key string) (Location, bool)
}

// Location is where a key belongs.
type Location struct {
	KeyHash    fleet.KeyHash
	Assignment fleet.Assignment
	// Dedicated is set if the key has an entry of its own.
	Dedicated bool
}

// Upstreams is what the daemon knows about the upstreams of the configuration in force.
type Upstreams interface {
	Upstreams() []Upstream
}

// UpstreamState says what the daemon believes about an upstream.
type UpstreamState string

const (
	// UpstreamHealthy means that the upstream answers.
	UpstreamHealthy UpstreamState = "healthy"
	// UpstreamUnhealthy means that the upstream does not answer or rejects requests.
	UpstreamUnhealthy UpstreamState = "unhealthy"
	// UpstreamDraining means that the upstream is leaving.
	UpstreamDraining UpstreamState = "draining"
	// UpstreamUnknown means that the daemon has no recent observation.
	UpstreamUnknown UpstreamState = "unknown"
)

// Upstream is a back end of a service.
type Upstream struct {
	document.Upstream
	Service fleet.ServiceName
	// Guard is empty for a service without keys.
	Guard fleet.Guard
	State UpstreamState
	// InFlight, Queued and Limit count the requests of this daemon alone.
	InFlight int
	Queued   int
	Limit    int
	// Partitions is the number of partitions that the server owns.
	Partitions int
}

// Records are the records in the ring of this host. *records.Ring implements it.
type Records interface {
	Find(request fleet.RequestID) []cause.Record
	Recent(filter records.Filter, limit int) []cause.Record
}

// Explainer searches all hosts and the stored batches. *records.Finder implements it.
type Explainer interface {
	Explain(ctx context.Context, query records.Query) *records.Explanation
}
