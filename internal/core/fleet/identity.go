// Package fleet defines the identifiers and values that every other package shares: hosts, failure domains, services,
// upstreams, partitions and the numbers that order ownership. It holds no behaviour beyond comparing and printing them.
package fleet

import "net/netip"

// HostID names one entry host. It is unique among the hosts that are alive at one time.
type HostID string

// FailureDomain names a part of a region that may be lost as a whole.
type FailureDomain string

// Region names a set of failure domains that may lose the other regions for some time.
type Region string

// ServiceName names a service declared by an operator.
type ServiceName string

// UpstreamID names one upstream of a service.
type UpstreamID string

// TenantName names a tenant or class of callers, to whom a share of the capacity belongs.
type TenantName string

// Incarnation identifies one run of a server process. A restart gives a new one.
type Incarnation string

// RequestID identifies one request of a caller across all records.
type RequestID string

// Place is where a process runs.
type Locality struct {
	Region Region
	Domain FailureDomain
}

// Host is a daemon's identity and the address at which its peers reach it.
type Host struct {
	ID       HostID
	Locality Locality
	// Peer is the UDP address on which the daemon accepts QUIC connections of its peers.
	Peer netip.AddrPort
}

// Guard says whether an upstream checks who gives it an order.
type Guard string

const (
	// GuardFenced marks a server that refuses orders of an epoch lower than the highest that it has accepted.
	GuardFenced Guard = "fenced"
	// GuardHold marks a server that takes grants of key ranges for a bounded time, each with a fence, and refuses a grant
	// with a fence lower than one that it has seen on those keys.
	GuardHold Guard = "hold"
	// GuardNone marks a server that checks nothing.
	GuardNone Guard = "none"
)

// Upstream is one back end of a service.
type Upstream struct {
	ID       UpstreamID
	Service  ServiceName
	Locality Locality
	Address  netip.AddrPort
	Guard    Guard
}
