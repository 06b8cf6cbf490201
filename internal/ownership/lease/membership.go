package lease

import (
	"slices"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// CanReplaceMembers reports whether the members may be replaced by next: a majority has accepted this epoch, every member has
// listed its holdings or lost its lease, and no member that is missing from next holds anything. Otherwise a later epoch, which
// knows only the members of the last two versions of the group row, could grant a partition that a removed member still holds.
func (t *Tracker) CanReplaceMembers(next []Member) bool {
	if !t.HasMajority() || !t.HoldingsKnown() {
		return false
	}
	for member, state := range t.states {
		if len(state.holdings) > 0 && !slices.Contains(next, member) {
			return false
		}
	}
	return true
}

// MayHoldAny reports whether a member may hold any partition.
func (t *Tracker) MayHoldAny(member Member) bool {
	state := t.states[member]
	return state != nil && (!state.listed || len(state.holdings) > 0)
}

// MayHold reports whether a member may hold a partition, according to the orders and reports of this epoch.
func (t *Tracker) MayHold(member Member, partition fleet.PartitionID) bool {
	state := t.states[member]
	if state == nil {
		return false
	}
	_, held := state.holdings[partition]
	return held
}
