package lease

import (
	"slices"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// Replaceable reports whether the members may be replaced by next: a majority has accepted this epoch, every member has
// listed its holdings or lost its lease, and none that is missing in next holds anything. Without this a later epoch,
// which knows only the members of the last two rows, could grant what a forgotten member still holds.
func (l *Tracker) CanReplaceMembers(next []Member) bool {
	if !l.HasMajority() || !l.HoldingsKnown() {
		return false
	}
	for member, entry := range l.accounts {
		if len(entry.holdings) > 0 && !slices.Contains(next, member) {
			return false
		}
	}
	return true
}

// Holds reports whether a member may hold anything.
func (l *Tracker) MayHoldAny(member Member) bool {
	entry := l.accounts[member]
	return entry != nil && (!entry.listed || len(entry.holdings) > 0)
}

// MayHold reports whether a member may hold a partition, as far as the orders and reports of this epoch tell.
func (l *Tracker) MayHold(member Member, partition fleet.PartitionID) bool {
	entry := l.accounts[member]
	if entry == nil {
		return false
	}
	_, held := entry.holdings[partition]
	return held
}
