package lease

import (
	"cmp"
	"slices"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// Member is one process of a server that is listed in the group's row in the store.
type Member struct {
	Server      fleet.UpstreamID
	Incarnation fleet.Incarnation
}

// LogicalTime is a time of the assigner's logical clock. It orders the events that one assigner observes, so that "sent after
// received" can be decided without a physical clock.
type LogicalTime uint64

// Rule names one safety rule of the protocol, so that a test can disable it and show that its checks detect that.
type Rule string

const (
	// RuleNone disables nothing.
	RuleNone Rule = ""
	// RuleRenewalEvidence is G1: a renewal based on a clock reading requires that a majority has accepted orders sent after
	// the reading was received.
	RuleRenewalMajority Rule = "G1"
	// RuleGrantEvidence is G2: a grant requires that a majority has accepted orders sent after the partition became free.
	RuleGrantMajority Rule = "G2"
	// RuleFree is G3: a partition is free if every member has reported that it does not hold it, or its lease has expired.
	RuleFree Rule = "G3"
	// RuleIncarnation is G4: only incarnations in the group's row count.
	RuleIncarnation Rule = "G4"
	// RuleUnknownWrite is G5: an epoch is not used before its row was read or its write acknowledged.
	RuleUnknownWrite Rule = "G5"
	// RuleStepDown is G6: an assigner that sees a higher epoch gives up its role.
	RuleStepDown Rule = "G6"
)

// maxReadings bounds the clock readings kept for one member. A reading becomes usable about one round after it was received.
// More readings accumulate only while a majority is missing, and then the old ones are of no use.
const maxReadings = 8

// Tracker records what an assigner knows in one epoch about the servers of its group: the orders they accepted, their clock
// readings, and the partitions they may hold. It is not safe for concurrent use.
type Tracker struct {
	// Term is the lease duration. It is set before Begin.
	LeaseDuration time.Duration
	// Drift bounds the deviation of each clock's rate from true time; 0.01 means 1%. It is set before Begin.
	MaxClockDrift float64
	// Omit is a rule that a test disables.
	Omit Rule

	// members and previous are the members that the last two versions of the group's row list.
	members  []Member
	previous []Member
	states   map[Member]*memberState
	// holderCounts is the number of members that may hold a partition, so that IsFree need not check each of them.
	holderCounts map[fleet.PartitionID]int
	// unlistedCount is the number of members that have neither listed their holdings nor lost their lease in this epoch.
	unlistedCount int
	// logicalNow is the time of the logical clock.
	logicalNow LogicalTime
	// hasMajority is set once a majority has accepted this epoch, which was at majorityAt.
	hasMajority bool
	majorityAt  time.Time
}

// memberState is what is known about one member in this epoch.
type memberState struct {
	// acceptedSentAt is the time at which the latest order that the member accepted was sent; zero if there is none.
	acceptedSentAt LogicalTime
	// readings are in the order in which they were received.
	readings []clockReading
	// leaseBase is the time after which the lease lasts for one term at most: the time of receipt of the reading that was
	// used last, or of the first report in this epoch.
	leaseBase time.Time
	// expired is set once the lease has certainly expired, until the member is renewed.
	expired bool
	// holdings contains what the member may hold. It is complete once listed is set.
	holdings map[fleet.PartitionID]struct{}
	// listed is set once the member has listed its holdings in this epoch, or its lease has expired.
	listed bool
	// renewed is set once a renewal was sent in this epoch.
	renewed bool
}

// clockReading is a reading of a member's clock and the time of its receipt, by both clocks of the assigner.
type clockReading struct {
	value       time.Duration
	logicalTime LogicalTime
	receivedAt  time.Time
}

// Begin starts an epoch. It discards what was known in an earlier epoch, since another assigner may have acted in between.
func (t *Tracker) Begin(members, previous []Member) {
	t.members, t.previous = slices.Clone(members), slices.Clone(previous)
	t.states = make(map[Member]*memberState)
	t.holderCounts = make(map[fleet.PartitionID]int)
	t.hasMajority = false
	for _, member := range slices.Concat(members, previous) {
		t.states[member] = &memberState{}
	}
	t.unlistedCount = len(t.states)
}

// MaxLeaseDuration returns the time after the receipt of a reading at which a lease of one term has certainly expired. It allows
// for an assigner's clock that runs fast by Drift while the server's clock runs slow by as much.
func (t *Tracker) MaxLeaseDuration() time.Duration {
	return time.Duration(float64(t.LeaseDuration)*(1+t.MaxClockDrift)/(1-t.MaxClockDrift)) + time.Microsecond
}

// NextTime advances the logical clock and returns its time.
func (t *Tracker) NextTime() LogicalTime {
	t.logicalNow++
	return t.logicalNow
}

// RecordSent records an order before it is sent, and returns its logical time. The member may hold the granted partitions from
// now on.
func (t *Tracker) RecordSent(member Member, grants []fleet.Grant) LogicalTime {
	if state := t.states[member]; state != nil {
		for _, grant := range grants {
			t.addHolding(state, grant.Partition)
		}
	}
	return t.NextTime()
}

// RecordAccepted records that a member accepted the order that was sent at the logical time sentAt, and that it reported the
// given reading of its clock.
func (t *Tracker) RecordAccepted(now time.Time, member Member, sentAt LogicalTime, reading time.Duration) {
	state := t.states[member]
	if state == nil {
		return
	}
	if state.acceptedSentAt == 0 && state.leaseBase.IsZero() {
		state.leaseBase = now
	}
	state.acceptedSentAt = max(state.acceptedSentAt, sentAt)
	state.readings = append(state.readings, clockReading{value: reading, logicalTime: t.NextTime(), receivedAt: now})
	if len(state.readings) > maxReadings {
		state.readings = state.readings[1:]
	}
	if !t.hasMajority && t.MajorityTime() > 0 {
		t.hasMajority, t.majorityAt = true, now
	}
}

// MajorityTime returns the latest logical time such that a majority of the members, and one of the previous members, accepted
// orders sent then or later. It is zero if no majority has accepted this epoch.
func (t *Tracker) MajorityTime() LogicalTime {
	return min(t.majorityTimeOf(t.members), t.majorityTimeOf(t.previous))
}

// majorityTimeOf returns the latest logical time such that a majority of the set accepted orders sent then or later. An empty
// set, which occurs only in a group without previous members, imposes no bound.
func (t *Tracker) majorityTimeOf(set []Member) LogicalTime {
	if len(set) == 0 {
		return ^LogicalTime(0)
	}
	times := make([]LogicalTime, 0, len(set))
	for _, member := range set {
		times = append(times, t.states[member].acceptedSentAt)
	}
	slices.Sort(times)
	return times[(len(times)-1)/2]
}

// HasMajority reports whether a majority has accepted this epoch. It is true for an empty group.
func (t *Tracker) HasMajority() bool {
	return t.hasMajority || len(t.states) == 0
}

// NextRenewal returns a renewal based on the latest reading that rule G1 allows, and records that it was used. It returns nil if
// there is no such reading.
func (t *Tracker) NextRenewal(member Member) *fleet.Renewal {
	state := t.states[member]
	if state == nil {
		return nil
	}
	majorityTime := t.MajorityTime()
	for i := len(state.readings) - 1; i >= 0; i-- {
		reading := state.readings[i]
		if reading.logicalTime >= majorityTime && t.Omit != RuleRenewalMajority {
			continue
		}
		if reading.receivedAt.After(state.leaseBase) {
			state.leaseBase = reading.receivedAt
		}
		state.renewed, state.expired = true, false
		return &fleet.Renewal{ClockReading: reading.value, LeaseDuration: t.LeaseDuration}
	}
	return nil
}

// Renewed reports whether a renewal was sent to a member in this epoch.
func (t *Tracker) Renewed(member Member) bool {
	state := t.states[member]
	return state != nil && state.renewed
}

// FirstUnrenewedReading returns the logical time of the oldest reading of a member that has not been renewed in this epoch; zero
// if there is none. Once a majority has accepted orders sent after that time, the member can be renewed. This is urgent, since
// its lease stems from an earlier epoch.
func (t *Tracker) FirstUnrenewedReading(member Member) LogicalTime {
	state := t.states[member]
	if state == nil || state.renewed || len(state.readings) == 0 {
		return 0
	}
	return state.readings[0].logicalTime
}

// RecordHoldings replaces the partitions that a member may hold by those that it listed.
func (t *Tracker) RecordHoldings(member Member, holdings []fleet.Grant) {
	state := t.states[member]
	if state == nil {
		return
	}
	t.clearHoldings(state)
	for _, grant := range holdings {
		t.addHolding(state, grant.Partition)
	}
}

// RecordReleased records that a member no longer holds a partition.
func (t *Tracker) RecordReleased(member Member, partition fleet.PartitionID) {
	state := t.states[member]
	if state == nil {
		return
	}
	if _, held := state.holdings[partition]; held {
		delete(state.holdings, partition)
		t.holderCounts[partition]--
	}
}

// RecordHold records that a member may hold a partition from now on.
func (t *Tracker) RecordHold(member Member, partition fleet.PartitionID) {
	if state := t.states[member]; state != nil {
		t.addHolding(state, partition)
	}
}

func (t *Tracker) addHolding(state *memberState, partition fleet.PartitionID) {
	if _, held := state.holdings[partition]; held {
		return
	}
	if state.holdings == nil {
		state.holdings = make(map[fleet.PartitionID]struct{})
	}
	state.holdings[partition] = struct{}{}
	t.holderCounts[partition]++
}

// clearHoldings records that a member is known to hold nothing.
func (t *Tracker) clearHoldings(state *memberState) {
	for partition := range state.holdings {
		t.holderCounts[partition]--
	}
	if !state.listed {
		state.listed = true
		t.unlistedCount--
	}
	state.holdings = nil
}

// ExpireLeases returns the members whose lease has certainly expired since the last call, and clears their holdings.
func (t *Tracker) ExpireLeases(now time.Time) []Member {
	var expired []Member
	for member, state := range t.states {
		if state.expired || !t.leaseEnded(now, state) {
			continue
		}
		state.expired = true
		t.clearHoldings(state)
		expired = append(expired, member)
	}
	slices.SortFunc(expired, compareMembers)
	return expired
}

// leaseEnded reports whether the lease of a member has certainly expired.
func (t *Tracker) leaseEnded(now time.Time, state *memberState) bool {
	base := state.leaseBase
	if base.IsZero() {
		if !t.HasMajority() {
			return false
		}
		base = t.majorityAt
	}
	return now.Sub(base) > t.MaxLeaseDuration()
}

// IsFree reports whether no member can hold a partition, as rule G3 requires.
func (t *Tracker) IsFree(partition fleet.PartitionID) bool {
	return t.holderCounts[partition] == 0 && t.HoldingsKnown()
}

// HoldingsKnown reports whether every member has listed its holdings or lost its lease, so that no member has unknown holdings.
func (t *Tracker) HoldingsKnown() bool {
	return t.unlistedCount == 0 || t.Omit == RuleFree
}

// MayGrant reports whether rule G2 allows the grant of a partition that has been free since the given logical time.
func (t *Tracker) MayGrant(freeSince LogicalTime) bool {
	return t.MajorityTime() > freeSince || t.Omit == RuleGrantMajority
}

// compareMembers orders members by server and incarnation.
func compareMembers(a, b Member) int {
	return cmp.Or(cmp.Compare(a.Server, b.Server), cmp.Compare(a.Incarnation, b.Incarnation))
}
