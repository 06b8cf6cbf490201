// Package fleet defines the identifiers and values that all other packages share: hosts, failure domains, services,
// upstreams, partitions, and the epochs and fences that order ownership. Its types can only be compared, parsed and
// printed.
package fleet

import (
	"net/netip"
	"strconv"
)

// HostID identifies one host that runs a daemon. It is unique among the hosts that are alive at the same time.
type HostID string

// FailureDomain names a part of a region that may fail as a whole.
type FailureDomain string

// Region names a set of failure domains that may be cut off from the other regions for some time.
type Region string

// ServiceName names a service in the configuration.
type ServiceName string

// UpstreamID identifies one upstream of a service.
type UpstreamID string

// TenantName names a tenant or class of callers that has a share of the capacity.
type TenantName string

// Incarnation identifies one run of a server process. It changes with every restart.
type Incarnation string

// Precedes reports whether an incarnation is certainly an earlier run of a server than another one. Incarnations that are decimal
// numbers, such as times of start, are ordered by them; others have no order.
func (i Incarnation) Precedes(other Incarnation) bool {
	own, errOwn := strconv.ParseInt(string(i), 10, 64)
	others, errOther := strconv.ParseInt(string(other), 10, 64)
	return errOwn == nil && errOther == nil && own < others
}

// RequestID identifies one request of a caller in all records.
type RequestID string

// Locality is the region and the failure domain in which a process runs.
type Locality struct {
	Region Region
	Domain FailureDomain
}

// Host is the identity of a daemon and the address at which its peers reach it.
type Host struct {
	ID       HostID
	Locality Locality
	// PeerAddress is the UDP address at which the daemon accepts QUIC connections from its peers.
	PeerAddress netip.AddrPort
}

// Guard is the way in which an upstream protects itself from outdated orders and grants.
type Guard string

const (
	// GuardFenced marks a server that rejects orders of an epoch lower than the highest that it has accepted.
	GuardFenced Guard = "fenced"
	// GuardHold marks a server that accepts grants of key ranges for a limited time, called holds. Each grant has a fence,
	// and the server rejects a grant whose fence is lower than one that it has seen for any of those keys.
	GuardHold Guard = "hold"
	// GuardNone marks a server that checks neither epochs nor fences.
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
