package assigner

import (
	"slices"
	"time"

	"rosemarywick.example/rosemarywick/internal/ownership/lease"
)

// replacement returns the previous members to write along with new ones, if members may be replaced without the consent
// of a majority because so many have ended that there can be none. A server that answers under another incarnation
// proves that the listed one has ended, and an ended one accepts nothing any more. What earlier majorities allowed is
// waited for: those leases end one term after the proof at the latest.
func (a *Assigner) replacement() ([]lease.Member, bool) {
	previous, ended := a.endedMajority()
	if !ended {
		a.endedAt = time.Time{}
		return nil, false
	}
	if a.endedAt.IsZero() {
		a.endedAt = a.now
	}
	return previous, a.now.Sub(a.endedAt) > a.ledger.MaxLeaseDuration()
}

// endedMajority reports whether no epoch of the present row can have a majority again, and returns the previous members
// whose majority is needed nevertheless. The epochs of the present row need majorities of both lists, and those of the
// row before it one of the previous list. If that one still has its majority and may not have accepted the present epoch,
// it must be asked for it by the next row too.
func (a *Assigner) endedMajority() ([]lease.Member, bool) {
	row := a.row.content
	switch {
	case a.blocked(row.PreviousMembers):
		return nil, true
	case !a.blocked(row.Members):
		return nil, false
	case a.ledger.HasMajority() || sameSet(row.PreviousMembers, row.Members):
		return nil, true
	default:
		return row.PreviousMembers, true
	}
}

// blocked reports whether so many of members have ended that the rest is no majority of them.
func (a *Assigner) blocked(members []lease.Member) bool {
	alive := 0
	for _, member := range members {
		known := a.servers[member.Server]
		if known == nil || known.current == "" || known.current == member.Incarnation {
			alive++
		}
	}
	return len(members) > 0 && alive < len(members)/2+1
}

// answering reports whether a majority of members answers now, so that an epoch with these members can begin to act.
func (a *Assigner) answering(members []lease.Member) bool {
	count := 0
	for _, member := range members {
		known := a.servers[member.Server]
		if known != nil && known.current == member.Incarnation && a.now.Sub(known.heard) < a.Timing.ServerTimeout {
			count++
		}
	}
	return count >= len(members)/2+1
}

// sameSet reports whether two lists contain the same members.
func sameSet(x, y []lease.Member) bool {
	for _, member := range x {
		if !slices.Contains(y, member) {
			return false
		}
	}
	return len(x) == len(y)
}
