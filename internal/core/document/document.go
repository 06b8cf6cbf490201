// Package document defines the configuration that operators declare: services with their partitions, upstreams and
// routes, tenants with their shares, pinned keys and drained upstreams. A document is immutable once it is parsed.
package document

import (
	"net/netip"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// Document is one version of the configuration.
type Document struct {
	// Version is the version under which the platform's table keeps the document. It is zero until it is stored.
	Version uint64
	// Services have unique names.
	Services []Service
	// Tenants have unique names and positive shares.
	Tenants []Tenant
	// Pins name at most one server for each key of a service.
	Pins []Pin
	// Entries are matched by host name and path prefix. They are empty where callers address services by name.
	Entries []Entry
	// Callers bounds what a caller may send.
	CallerLimits CallerLimits
}

// Service is one service that callers may address.
type Service struct {
	Name fleet.ServiceName
	// Key says where a request carries its key. It is nil for a service without keys.
	Key KeySource
	// Partitions is the number of hash ranges of a keyed service, from 1 to MaxPartitions.
	Partitions int
	Guard      fleet.Guard
	// Authority is how long the assigner of a service whose servers check no orders may act without the table. A longer
	// one bridges longer outages; the loss of the assigner and a server together waits as long.
	Authority time.Duration
	// Timeout is the deadline of a request whose caller names none.
	Timeout time.Duration
	// Target is the duration above which a complete answer counts as late and gets a record.
	LatencyTarget time.Duration
	// Slots is the number of requests that one upstream runs at the same time.
	Slots int
	// Connections is the number of connections that one upstream accepts from all daemons together.
	Connections int
	// Health is the path at which an upstream answers probes; it is empty where probes use the default.
	HealthPath string
	// QueueLimit is the number of requests that one daemon lets wait for one upstream.
	QueueLimit int
	// OwnerWait bounds how long a request waits for an owner of its key; zero lets it wait until its deadline.
	OwnerWait time.Duration
	Upstreams []Upstream
	Routes    []Route
}

// Keyed reports whether the servers of the service own keys.
func (s *Service) Keyed() bool {
	return s.Key != nil
}

// Upstream is one declared back end of a service.
type Upstream struct {
	ID       fleet.UpstreamID
	Address  netip.AddrPort
	Locality fleet.Locality
	// Drained is set by an operator who wants the upstream to receive no new work.
	Drained bool
	// LeaveBy is when a server that is leaving must get no new work even if its keys have not moved yet. It is zero for
	// an upstream that stays.
	DrainDeadline time.Time
	// Run identifies one run of the upstream's process; it is empty where that is not known.
	Incarnation fleet.Incarnation
	// Slots is the number of requests that this upstream runs at the same time; zero stands for that of the service.
	Slots int
}

// Route says how requests of a method and path may be treated. The first route that matches counts.
type Route struct {
	// Method is an HTTP method, or "*" for all.
	Method string
	// Path is a path pattern below the service in the syntax of gorilla/mux, such as "/plans/{id}/push".
	Path     string
	Delivery Delivery
}

// Delivery says whether a request may be sent more than once.
type Delivery string

const (
	// Idempotent marks requests that may be sent again because a repetition has no further effect.
	Idempotent Delivery = "idempotent"
	// NonIdempotent marks requests that are sent again only if they provably were not run.
	NonIdempotent Delivery = "non-idempotent"
	// AtMostOnce marks requests that run at most once, also when a caller repeats them with the same idempotency key.
	AtMostOnce Delivery = "at-most-once"
)

// Tenant is a tenant or class of callers.
type Tenant struct {
	Name fleet.TenantName
	// Share weighs the tenant's part of a contended upstream against the shares of the others.
	Share int
}

// Pin keeps a key on one server.
type Pin struct {
	Service  fleet.ServiceName
	Key      string
	Upstream fleet.UpstreamID
}

// KeySource says where a request carries its key. It is one of KeyHeader, KeyPath, KeyQuery and KeyNumber.
type KeySource interface {
	keySource()
}

// KeyHeader takes the key from a header.
type KeyHeader struct{ Name string }

// KeyPath takes the key from a segment of the path below the service, counted from 1.
type KeyPath struct{ Segment int }

// KeyQuery takes the key from a query parameter.
type KeyQuery struct{ Name string }

// KeyNumber takes a key that is a number below KeyNumbers from a header. Servers own ranges of such keys.
type KeyNumericHeader struct{ Name string }

func (KeyNumericHeader) keySource() {}
func (KeyHeader) keySource()        {}
func (KeyPath) keySource()          {}
func (KeyQuery) keySource()         {}

// Find returns the service of that name, or nil.
func (d *Document) FindService(name fleet.ServiceName) *Service {
	for i := range d.Services {
		if d.Services[i].Name == name {
			return &d.Services[i]
		}
	}
	return nil
}
