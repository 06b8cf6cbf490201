package membership

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// position is a member's place on the ring of hashed identifiers.
type ringPosition struct {
	hash uint64
	host fleet.Host
}

// Members returns the members in the order of their identifiers, this daemon included.
func (v *View) Members() []fleet.Host {
	var members []fleet.Host
	for _, k := range v.allStatuses() {
		if k.member {
			members = append(members, k.host)
		}
	}
	slices.SortFunc(members, compareByID)
	return members
}

// Member returns a member by its identifier.
func (v *View) Member(id fleet.HostID) (fleet.Host, bool) {
	k := v.allStatuses()[id]
	if k == nil || !k.member {
		return fleet.Host{}, false
	}
	return k.host, true
}

// MemberIncarnation returns the latest known incarnation of a member, and zero when no record of it is known.
func (v *View) MemberIncarnation(id fleet.HostID) uint64 {
	if id == v.Self.ID {
		return v.Incarnation
	}
	if k := v.allStatuses()[id]; k != nil && k.recorded {
		return k.record.Incarnation
	}
	return 0
}

// Peers returns the members to which this daemon keeps connections: half of PeerCount, as on average as many choose it.
//
// All members stand on several rings, each in another order of hashes. The first peer is the next member on the first
// ring, so that the graph of the whole fleet is connected and each host is watched by at least one other. The second is
// the next on the second ring in another region, if there is one; those after it the next on their rings in failure
// domains that are not covered yet. The different orders keep the paths through the fleet short, and a member that
// comes or goes changes the choice of its neighbours on the rings only.
func (v *View) Peers() []fleet.Host {
	count := min(max(1, v.PeerCount/2), len(v.ring(0)))
	chosen := make([]fleet.Host, 0, count)
	anyHost := func(fleet.Host) bool { return true }
	otherRegion := func(h fleet.Host) bool { return h.Locality.Region != v.Self.Locality.Region }
	otherDomain := func(h fleet.Host) bool { return !v.domainCovered(h, chosen) }
	for _, fits := range []func(fleet.Host) bool{anyHost, otherRegion, otherDomain, otherDomain} {
		if len(chosen) < count {
			chosen = v.appendNextOnRing(chosen, fits)
		}
	}
	for len(chosen) < count {
		chosen = v.appendNextOnRing(chosen, anyHost)
	}
	return chosen
}

// covered reports whether the failure domain of a host is this daemon's own or that of a chosen peer.
func (v *View) domainCovered(host fleet.Host, chosen []fleet.Host) bool {
	return host.Locality == v.Self.Locality || slices.ContainsFunc(chosen, func(c fleet.Host) bool {
		return c.Locality == host.Locality
	})
}

// next appends the next member that fits and is not chosen yet, if there is one, from the ring of the next choice.
func (v *View) appendNextOnRing(chosen []fleet.Host, fits func(fleet.Host) bool) []fleet.Host {
	number := len(chosen)
	ring := v.ring(number)
	start, _ := slices.BinarySearchFunc(ring, ringHash(number, v.Self.ID), func(p ringPosition, hash uint64) int {
		return cmp.Compare(p.hash, hash)
	})
	for i := range ring {
		host := ring[(start+i)%len(ring)].host
		if fits(host) && !slices.Contains(chosen, host) {
			return append(chosen, host)
		}
	}
	return chosen
}

// ring returns the other members in the order of one of their hashes.
func (v *View) ring(number int) []ringPosition {
	for len(v.rings) <= number {
		salt := len(v.rings)
		ring := make([]ringPosition, 0, len(v.allStatuses()))
		for id, k := range v.allStatuses() {
			if k.member && id != v.Self.ID {
				ring = append(ring, ringPosition{hash: ringHash(salt, id), host: k.host})
			}
		}
		slices.SortFunc(ring, func(a, b ringPosition) int {
			return cmp.Or(cmp.Compare(a.hash, b.hash), compareByID(a.host, b.host))
		})
		v.rings = append(v.rings, ring)
	}
	return v.rings[number]
}

// Probe returns a host that is taken for dead and is to be tried now, one at each probe interval.
func (v *View) NextProbe(now time.Time) (fleet.Host, bool) {
	if now.Sub(v.lastProbeTime) < v.Timing.ProbeInterval {
		return fleet.Host{}, false
	}
	var candidates []fleet.HostID
	for id, k := range v.allStatuses() {
		if !k.member && k.host.PeerAddress.IsValid() && v.worthProbing(now, k) {
			candidates = append(candidates, id)
		}
	}
	if len(candidates) == 0 {
		return fleet.Host{}, false
	}
	slices.Sort(candidates)
	// The hosts take turns, and each daemon begins with another one.
	next, found := slices.BinarySearch(candidates, v.lastProbedHost)
	switch {
	case v.lastProbedHost == "":
		next = int(ringHash(0, v.Self.ID) % uint64(len(candidates)))
	case found:
		next++
	}
	v.lastProbedHost, v.lastProbeTime = candidates[next%len(candidates)], now
	return v.allStatuses()[v.lastProbedHost].host, true
}

// mayReturn reports whether a dead host is worth a probe.
func (v *View) worthProbing(now time.Time, k *hostStatus) bool {
	if k.recorded {
		return k.record.State == Suspect && now.Sub(k.suspectedSince) <= v.Timing.ForgetAfter
	}
	return k.listed
}

// Rank returns the first count members in the order of their rendezvous hash for a role. A member that comes or goes
// changes the rank of no other pair of members.
func (v *View) TopRanked(role string, count int) []fleet.Host {
	score := func(host fleet.Host) uint64 { return xxhash.Sum64String(role + "\x00" + string(host.ID)) }
	members := v.Members()
	slices.SortStableFunc(members, func(a, b fleet.Host) int { return cmp.Compare(score(b), score(a)) })
	return members[:min(count, len(members))]
}

func ringHash(ring int, id fleet.HostID) uint64 {
	return xxhash.Sum64String(strconv.Itoa(ring) + "\x00" + string(id))
}

func compareByID(a, b fleet.Host) int {
	return cmp.Compare(a.ID, b.ID)
}
