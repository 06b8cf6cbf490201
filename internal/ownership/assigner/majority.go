package assigner

import (
	"slices"
	"time"

	"rosemarywick.example/rosemarywick/internal/ownership/lease"
)

// forcedMemberChange reports whether members may be replaced without the consent of a majority, because so many have
// restarted that no majority is possible, and returns the previous members to write along with the new ones. A server
// that responds under another incarnation proves that the listed incarnation has ended, and an ended one accepts no
// orders. The leases that earlier majorities allowed end at most one term after that proof, and the change waits for it.
func (a *Assigner) forcedMemberChange() ([]lease.Member, bool) {
	previous, ended := a.lostMajority()
	if !ended {
		a.majorityLostAt = time.Time{}
		return nil, false
	}
	if a.majorityLostAt.IsZero() {
		a.majorityLostAt = a.now
	}
	return previous, a.now.Sub(a.majorityLostAt) > a.tracker.MaxLeaseDuration()
}

// lostMajority reports whether no epoch of the current row can have a majority again, and returns the previous members
// whose majority is still required. The epochs of the current row need majorities of both lists, and the epochs of the
// row before it need a majority of the previous list. If the previous members can still form a majority and may not have
// accepted the current epoch, the next row must require their majority too.
func (a *Assigner) lostMajority() ([]lease.Member, bool) {
	row := a.groupRow.content
	switch {
	case a.cannotReachMajority(row.PreviousMembers):
		return nil, true
	case !a.cannotReachMajority(row.Members):
		return nil, false
	case a.tracker.HasMajority() || sameMembers(row.PreviousMembers, row.Members):
		return nil, true
	default:
		return row.PreviousMembers, true
	}
}

// cannotReachMajority reports whether so many of the members have ended that the others are not a majority.
func (a *Assigner) cannotReachMajority(members []lease.Member) bool {
	alive := 0
	for _, member := range members {
		server := a.servers[member.Server]
		if server == nil || server.runningIncarnation == "" || server.runningIncarnation == member.Incarnation {
			alive++
		}
	}
	return len(members) > 0 && alive < len(members)/2+1
}

// majorityResponds reports whether a majority of the members responds now, so that an epoch with these members can be
// accepted.
func (a *Assigner) majorityResponds(members []lease.Member) bool {
	count := 0
	for _, member := range members {
		server := a.servers[member.Server]
		if server != nil && server.runningIncarnation == member.Incarnation && a.now.Sub(server.heardAt) < a.Timing.ServerTimeout {
			count++
		}
	}
	return count >= len(members)/2+1
}

// sameMembers reports whether two lists contain the same members in any order.
func sameMembers(x, y []lease.Member) bool {
	for _, member := range x {
		if !slices.Contains(y, member) {
			return false
		}
	}
	return len(x) == len(y)
}
