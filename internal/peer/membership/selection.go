package membership

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// ringPosition is the position of a member on a hash ring.
type ringPosition struct {
	hash uint64
	host fleet.Host
}

// Members returns the members, including this daemon, sorted by identifier.
func (v *View) Members() []fleet.Host {
	var members []fleet.Host
	for _, status := range v.allStatuses() {
		if status.member {
			members = append(members, status.host)
		}
	}
	slices.SortFunc(members, compareByID)
	return members
}

// Member returns the member with the given identifier.
func (v *View) Member(id fleet.HostID) (fleet.Host, bool) {
	status := v.allStatuses()[id]
	if status == nil || !status.member {
		return fleet.Host{}, false
	}
	return status.host, true
}

// MemberIncarnation returns the latest known incarnation of a member, or zero if no record of it is known.
func (v *View) MemberIncarnation(id fleet.HostID) uint64 {
	if id == v.Self.ID {
		return v.Incarnation
	}
	if status := v.allStatuses()[id]; status != nil && status.recorded {
		return status.record.Incarnation
	}
	return 0
}

// Peers returns the members to which this daemon keeps connections. These are half of PeerCount, since on average as many
// other daemons choose this one.
//
// Each choice uses a hash ring of its own, on which all members are sorted by another hash of their identifiers. The first
// peer is this daemon's successor on the first ring, so that the graph of the whole fleet is connected and each host is
// monitored by at least one other. The second peer is the next member on the second ring in another region, if there is one.
// The following peers are the next members on their rings in failure domains without a chosen peer. The different orders
// keep the paths through the fleet short. A member that joins or leaves only changes the choices of its ring neighbours.
func (v *View) Peers() []fleet.Host {
	count := min(max(1, v.PeerCount/2), len(v.ring(0)))
	chosen := make([]fleet.Host, 0, count)
	anyHost := func(fleet.Host) bool { return true }
	otherRegion := func(h fleet.Host) bool { return h.Locality.Region != v.Self.Locality.Region }
	otherDomain := func(h fleet.Host) bool { return !v.domainCovered(h, chosen) }
	for _, matches := range []func(fleet.Host) bool{anyHost, otherRegion, otherDomain, otherDomain} {
		if len(chosen) < count {
			chosen = v.appendNextOnRing(chosen, matches)
		}
	}
	for len(chosen) < count {
		chosen = v.appendNextOnRing(chosen, anyHost)
	}
	return chosen
}

// domainCovered reports whether the failure domain of a host is that of this daemon or of a chosen peer.
func (v *View) domainCovered(host fleet.Host, chosen []fleet.Host) bool {
	return host.Locality == v.Self.Locality || slices.ContainsFunc(chosen, func(peer fleet.Host) bool {
		return peer.Locality == host.Locality
	})
}

// appendNextOnRing appends the first matching member after this daemon on the ring of the next choice that is not chosen
// yet. It returns chosen unchanged if there is none.
func (v *View) appendNextOnRing(chosen []fleet.Host, matches func(fleet.Host) bool) []fleet.Host {
	number := len(chosen)
	ring := v.ring(number)
	start, _ := slices.BinarySearchFunc(ring, ringHash(number, v.Self.ID), func(p ringPosition, hash uint64) int {
		return cmp.Compare(p.hash, hash)
	})
	for i := range ring {
		host := ring[(start+i)%len(ring)].host
		if matches(host) && !slices.Contains(chosen, host) {
			return append(chosen, host)
		}
	}
	return chosen
}

// ring returns the ring of the given number, which holds all members but this daemon. Rings are built on demand.
func (v *View) ring(number int) []ringPosition {
	for len(v.rings) <= number {
		salt := len(v.rings)
		ring := make([]ringPosition, 0, len(v.allStatuses()))
		for id, status := range v.allStatuses() {
			if status.member && id != v.Self.ID {
				ring = append(ring, ringPosition{hash: ringHash(salt, id), host: status.host})
			}
		}
		slices.SortFunc(ring, func(a, b ringPosition) int {
			return cmp.Or(cmp.Compare(a.hash, b.hash), compareByID(a.host, b.host))
		})
		v.rings = append(v.rings, ring)
	}
	return v.rings[number]
}

// NextProbe returns the dead host to try to connect to now. It returns one host for each probe interval.
func (v *View) NextProbe(now time.Time) (fleet.Host, bool) {
	if now.Sub(v.lastProbeTime) < v.Timing.ProbeInterval {
		return fleet.Host{}, false
	}
	var candidates []fleet.HostID
	for id, status := range v.allStatuses() {
		if !status.member && status.host.PeerAddress.IsValid() && v.worthProbing(now, status) {
			candidates = append(candidates, id)
		}
	}
	if len(candidates) == 0 {
		return fleet.Host{}, false
	}
	slices.Sort(candidates)
	// Probe the hosts in turn. Each daemon begins with a different one.
	index, found := slices.BinarySearch(candidates, v.lastProbedHost)
	switch {
	case v.lastProbedHost == "":
		index = int(ringHash(0, v.Self.ID) % uint64(len(candidates)))
	case found:
		index++
	}
	v.lastProbedHost, v.lastProbeTime = candidates[index%len(candidates)], now
	return v.allStatuses()[v.lastProbedHost].host, true
}

// worthProbing reports whether a dead host may still run or return, so that it is to be probed.
func (v *View) worthProbing(now time.Time, status *hostStatus) bool {
	if status.recorded {
		return status.record.State == Suspect && now.Sub(status.suspectedSince) <= v.Timing.ForgetAfter
	}
	return status.listed
}

// TopRanked returns the count members that rank highest for a role by rendezvous hashing. A member that joins or leaves does
// not change the relative order of the others.
func (v *View) TopRanked(role string, count int) []fleet.Host {
	score := func(host fleet.Host) uint64 { return xxhash.Sum64String(role + "\x00" + string(host.ID)) }
	members := v.Members()
	slices.SortStableFunc(members, func(a, b fleet.Host) int { return cmp.Compare(score(b), score(a)) })
	return members[:min(count, len(members))]
}

// ringHash returns the position of a host on the ring of the given number.
func ringHash(ring int, id fleet.HostID) uint64 {
	return xxhash.Sum64String(strconv.Itoa(ring) + "\x00" + string(id))
}

func compareByID(a, b fleet.Host) int {
	return cmp.Compare(a.ID, b.ID)
}
