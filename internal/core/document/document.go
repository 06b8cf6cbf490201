// Package document defines the configuration that operators declare: services with their partitions, upstreams and routes,
// tenants with their shares, pinned keys and drained upstreams. A document is immutable once it has been parsed.
package document

import (
	"net/netip"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// Document is one version of the configuration.
type Document struct {
	// Version is the version of the document in the platform's table service. It is zero until the document is stored.
	Version uint64
	// Services have unique names.
	Services []Service
	// Tenants have unique names and positive shares.
	Tenants []Tenant
	// Pins assign each key of a service to at most one server.
	Pins []Pin
	// Entries are matched by host name and path prefix. They are empty if callers address services by name.
	Entries []Entry
	// CallerLimits limits what callers may send.
	CallerLimits CallerLimits
}

// Service is one service that callers can address.
type Service struct {
	Name fleet.ServiceName
	// Key is the part of a request that contains its key. It is nil for a service without keys.
	Key KeySource
	// Partitions is the number of hash ranges of a keyed service, from 1 to MaxPartitions.
	Partitions int
	Guard      fleet.Guard
	// AuthorityDuration is how long the assigner may act without the table service if the servers of the service don't
	// check fencing tokens. A longer time bridges longer outages of the table service, but if the assigner and a server are
	// lost together, the recovery waits that long.
	AuthorityDuration time.Duration
	// Timeout is the deadline of a request whose caller sets none.
	Timeout time.Duration
	// LatencyTarget is the duration above which a complete response counts as late and is recorded.
	LatencyTarget time.Duration
	// Slots is the number of requests that one upstream runs concurrently.
	Slots int
	// MaxConnections is the number of connections that one upstream accepts from all daemons together.
	MaxConnections int
	// HealthPath is the path at which an upstream responds to health checks. It is empty if the default path is used.
	HealthPath string
	// QueueLimit is the maximum number of requests that wait in one daemon for one upstream.
	QueueLimit int
	// MaxOwnerWait is the longest time that a request waits for an owner of its key. Zero lets it wait until its deadline.
	MaxOwnerWait time.Duration
	// ColdStart is how long an upstream is cold (slow) after a start, and ColdRate the number of requests a second that it takes
	// from all daemons together while it is. Zero means that it takes as many as ever.
	ColdStart time.Duration
	ColdRate  float64
	Upstreams []Upstream
	Routes    []Route
}

// Keyed reports whether the servers of the service own keys.
func (s *Service) Keyed() bool {
	return s.Key != nil
}

// SlotsOf returns the number of requests that an upstream of the service runs concurrently.
func (s *Service) SlotsOf(id fleet.UpstreamID) int {
	for i := range s.Upstreams {
		if s.Upstreams[i].ID == id && s.Upstreams[i].Slots > 0 {
			return s.Upstreams[i].Slots
		}
	}
	return s.Slots
}

// Upstream is one declared back end of a service.
type Upstream struct {
	ID       fleet.UpstreamID
	Address  netip.AddrPort
	Locality fleet.Locality
	// Drained is set if an operator has drained the upstream, so that it gets no new work.
	Drained bool
	// DrainDeadline is the time from which a server that is shutting down gets no new work, even if its keys have not been
	// moved. It is zero for an upstream that is not shutting down.
	DrainDeadline time.Time
	// Evacuated is set if the operators have evacuated the failure domain of the upstream. DrainDeadline is set then, too.
	Evacuated bool
	// Incarnation identifies one run of the upstream's process. It is empty if it is not known.
	Incarnation fleet.Incarnation
	// Slots is the number of requests that this upstream runs concurrently. Zero selects the value of the service.
	Slots int
}

// Route sets the delivery of the requests with a method and path. The first matching route applies.
type Route struct {
	// Method is an HTTP method, or "*" for all.
	Method string
	// Path is a path pattern relative to the service in the syntax of gorilla/mux, such as "/plans/{id}/push".
	Path     string
	Delivery Delivery
}

// Delivery states whether a request may be sent more than once.
type Delivery string

const (
	// Idempotent marks requests that may be sent again, because a repetition has no further effect.
	Idempotent Delivery = "idempotent"
	// NonIdempotent marks requests that are sent again only if they certainly did not run.
	NonIdempotent Delivery = "non-idempotent"
	// AtMostOnce marks requests that run at most once, even if a caller repeats them with the same idempotency key.
	AtMostOnce Delivery = "at-most-once"
)

// Tenant is a tenant or class of callers.
type Tenant struct {
	Name fleet.TenantName
	// Share is the weight of the tenant when several tenants compete for an overloaded upstream.
	Share int
}

// Pin assigns a key to a fixed server.
type Pin struct {
	Service  fleet.ServiceName
	Key      string
	Upstream fleet.UpstreamID
}

// KeySource is the part of a request that contains its key. It is one of KeyHeader, KeyPath, KeyQuery and KeyNumericHeader.
type KeySource interface {
	keySource()
}

// KeyHeader reads the key from a header.
type KeyHeader struct{ Name string }

// KeyPath reads the key from a segment of the path below the service. The first segment is number 1.
type KeyPath struct{ Segment int }

// KeyQuery reads the key from a query parameter.
type KeyQuery struct{ Name string }

// KeyNumericHeader reads a fleet.NumericKey from a header. Servers own ranges of such keys.
type KeyNumericHeader struct{ Name string }

func (KeyNumericHeader) keySource() {}
func (KeyHeader) keySource()        {}
func (KeyPath) keySource()          {}
func (KeyQuery) keySource()         {}

// FindService returns the service with the given name, or nil.
func (d *Document) FindService(name fleet.ServiceName) *Service {
	for i := range d.Services {
		if d.Services[i].Name == name {
			return &d.Services[i]
		}
	}
	return nil
}
