package lease

import (
	"cmp"
	"slices"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// Member is one run of a server that is listed in the group row.
type Member struct {
	Server      fleet.UpstreamID
	Incarnation fleet.Incarnation
}

// Stamp orders the events that one assigner observes, so that "sent after received" needs no clock.
type LogicalTime uint64

// Rule names one rule of the protocol, so that a test can omit it and show that its check notices.
type Rule string

const (
	// RuleNone omits nothing.
	RuleNone Rule = ""
	// RuleRenewalEvidence is G1: a renewal needs a majority that accepted orders sent after its reading was received.
	RuleRenewalEvidence Rule = "G1"
	// RuleGrantEvidence is G2: a grant needs a majority that accepted orders sent after the partition became free.
	RuleGrantEvidence Rule = "G2"
	// RuleFree is G3: every member has reported that it does not hold the partition, or its lease has ended.
	RuleFree Rule = "G3"
	// RuleIncarnation is G4: only incarnations of the group row count.
	RuleIncarnation Rule = "G4"
	// RuleUnknownWrite is G5: an epoch is not used before its row was read or acknowledged.
	RuleUnknownWrite Rule = "G5"
	// RuleStepDown is G6: a higher epoch ends the role.
	RuleStepDown Rule = "G6"
)

// maxReadings bounds the readings kept for one member. A reading becomes usable about one round after it was received,
// so that more than a few are only kept while a majority is missing, and then old ones are of no use.
const maxReadings = 8

// Ledger is what an assigner knows in one epoch about the servers of its group.
type Tracker struct {
	// Term is the lease duration. It is set before Begin.
	Term time.Duration
	// Drift bounds the deviation of each clock's rate from true time; 0.01 stands for 1%. It is set before Begin.
	Drift float64
	// Omit is empty but in tests, which show that the omission of a rule is noticed.
	Omit Rule

	members  []Member
	previous []Member
	accounts map[Member]*account
	// holders counts the members that may hold a partition, so that Free need not look at each of them.
	holders map[fleet.PartitionID]int
	// unlisted counts the members that have neither listed their holdings nor lost their lease in this epoch.
	unlisted int
	stamp    LogicalTime
	// quorum is set once a majority has accepted this epoch, at quorumAt.
	quorum   bool
	quorumAt time.Time
}

// account is what is known about one member in this epoch.
type account struct {
	// accepted is the stamp of the latest order that the member accepted; zero if none.
	accepted LogicalTime
	// readings are in the order in which they were received.
	readings []reading
	// leaseFrom is the time after which the lease runs for one term at most: the receipt of the reading last used,
	// or of the first report in this epoch.
	leaseFrom time.Time
	// lapsed is set once the lease has ended for certain, until the member is renewed.
	lapsed bool
	// holdings contains what the member may hold. It is meaningful once the member has listed its holdings.
	holdings map[fleet.PartitionID]struct{}
	// listed is set once the member has listed its holdings in this epoch.
	listed bool
	// renewed is set once a renewal was sent in this epoch.
	renewed bool
}

// reading is a member's clock reading and the moment of its receipt.
type reading struct {
	value    time.Duration
	stamp    LogicalTime
	received time.Time
}

// Begin starts an epoch. Nothing that was known in an earlier epoch counts any longer, since another assigner may have
// acted in between.
func (l *Tracker) Begin(members, previous []Member) {
	l.members, l.previous = slices.Clone(members), slices.Clone(previous)
	l.accounts = make(map[Member]*account)
	l.holders = make(map[fleet.PartitionID]int)
	l.quorum = false
	for _, member := range slices.Concat(members, previous) {
		l.accounts[member] = &account{}
	}
	l.unlisted = len(l.accounts)
}

// Bound returns the time after the receipt of a reading at which a lease of one term has ended for certain, measured by
// a clock that runs slow by Drift while the server's clock runs fast by as much.
func (l *Tracker) MaxLeaseDuration() time.Duration {
	return time.Duration(float64(l.Term)*(1+l.Drift)/(1-l.Drift)) + time.Microsecond
}

// Tick returns a stamp that is later than all before.
func (l *Tracker) NextTime() LogicalTime {
	l.stamp++
	return l.stamp
}

// Sent records an order before it is sent, and returns its stamp. Grants count as held from now on.
func (l *Tracker) RecordSent(member Member, grants []fleet.Grant) LogicalTime {
	if held := l.accounts[member]; held != nil {
		for _, grant := range grants {
			l.hold(held, grant.Partition)
		}
	}
	return l.NextTime()
}

// Accepted records that a member accepted the order with the given stamp and reported reading at now.
func (l *Tracker) RecordAccepted(now time.Time, member Member, sent LogicalTime, value time.Duration) {
	entry := l.accounts[member]
	if entry == nil {
		return
	}
	if entry.accepted == 0 && entry.leaseFrom.IsZero() {
		entry.leaseFrom = now
	}
	entry.accepted = max(entry.accepted, sent)
	entry.readings = append(entry.readings, reading{value: value, stamp: l.NextTime(), received: now})
	if len(entry.readings) > maxReadings {
		entry.readings = entry.readings[1:]
	}
	if !l.quorum && l.MajorityTime() > 0 {
		l.quorum, l.quorumAt = true, now
	}
}

// Evidence returns a stamp such that a joint majority accepted orders that were sent at that stamp or later; zero if no
// majority has accepted this epoch.
func (l *Tracker) MajorityTime() LogicalTime {
	return min(l.majority(l.members), l.majority(l.previous))
}

// majority returns the highest stamp at or after which a majority of set accepted orders. An empty set, which only a
// group without earlier members has, restricts nothing.
func (l *Tracker) majority(set []Member) LogicalTime {
	if len(set) == 0 {
		return ^LogicalTime(0)
	}
	stamps := make([]LogicalTime, 0, len(set))
	for _, member := range set {
		stamps = append(stamps, l.accounts[member].accepted)
	}
	slices.Sort(stamps)
	return stamps[(len(stamps)-1)/2]
}

// Quorum reports whether a majority has accepted this epoch.
func (l *Tracker) HasMajority() bool {
	return l.quorum || len(l.accounts) == 0
}

// Renewal returns the latest reading that G1 allows to use for a renewal, and records its use.
func (l *Tracker) NextRenewal(member Member) *fleet.Renewal {
	entry := l.accounts[member]
	if entry == nil {
		return nil
	}
	evidence := l.MajorityTime()
	for i := len(entry.readings) - 1; i >= 0; i-- {
		candidate := entry.readings[i]
		if candidate.stamp >= evidence && l.Omit != RuleRenewalEvidence {
			continue
		}
		if candidate.received.After(entry.leaseFrom) {
			entry.leaseFrom = candidate.received
		}
		entry.renewed, entry.lapsed = true, false
		return &fleet.Renewal{ClockReading: candidate.value, LeaseDuration: l.Term}
	}
	return nil
}

// Renewed reports whether a renewal was sent to a member in this epoch.
func (l *Tracker) Renewed(member Member) bool {
	entry := l.accounts[member]
	return entry != nil && entry.renewed
}

// Unrenewed returns the stamp of the first reading of a member that has not been renewed in this epoch; zero if there is
// none. Evidence beyond that stamp is wanted soon, since the lease stems from an earlier epoch.
func (l *Tracker) FirstUnrenewedReading(member Member) LogicalTime {
	entry := l.accounts[member]
	if entry == nil || entry.renewed || len(entry.readings) == 0 {
		return 0
	}
	return entry.readings[0].stamp
}

// Listed replaces what a member may hold by the list that it reported.
func (l *Tracker) RecordHoldings(member Member, holdings []fleet.Grant) {
	entry := l.accounts[member]
	if entry == nil {
		return
	}
	l.clear(entry)
	for _, grant := range holdings {
		l.hold(entry, grant.Partition)
	}
}

// Released records that a member no longer holds a partition.
func (l *Tracker) RecordReleased(member Member, partition fleet.PartitionID) {
	entry := l.accounts[member]
	if entry == nil {
		return
	}
	if _, held := entry.holdings[partition]; held {
		delete(entry.holdings, partition)
		l.holders[partition]--
	}
}

// Hold records that a member may hold a partition from now on.
func (l *Tracker) RecordHold(member Member, partition fleet.PartitionID) {
	if entry := l.accounts[member]; entry != nil {
		l.hold(entry, partition)
	}
}

func (l *Tracker) hold(entry *account, partition fleet.PartitionID) {
	if _, held := entry.holdings[partition]; held {
		return
	}
	if entry.holdings == nil {
		entry.holdings = make(map[fleet.PartitionID]struct{})
	}
	entry.holdings[partition] = struct{}{}
	l.holders[partition]++
}

// clear records that a member holds nothing.
func (l *Tracker) clear(entry *account) {
	for partition := range entry.holdings {
		l.holders[partition]--
	}
	if !entry.listed {
		entry.listed = true
		l.unlisted--
	}
	entry.holdings = nil
}

// Lapse returns the members whose lease has ended for certain since the last call, and forgets what they held.
func (l *Tracker) ExpireLeases(now time.Time) []Member {
	var lapsed []Member
	for member, entry := range l.accounts {
		if entry.lapsed || !l.ended(now, entry) {
			continue
		}
		entry.lapsed = true
		l.clear(entry)
		lapsed = append(lapsed, member)
	}
	slices.SortFunc(lapsed, compareMembers)
	return lapsed
}

// ended reports whether the lease of a member has ended for certain.
func (l *Tracker) ended(now time.Time, entry *account) bool {
	from := entry.leaseFrom
	if from.IsZero() {
		if !l.HasMajority() {
			return false
		}
		from = l.quorumAt
	}
	return now.Sub(from) > l.MaxLeaseDuration()
}

// Free reports whether no member can hold a partition, which is rule G3.
func (l *Tracker) IsFree(partition fleet.PartitionID) bool {
	return l.holders[partition] == 0 && l.HoldingsKnown()
}

// Complete reports whether every member has listed its holdings or lost its lease, so that nothing unknown is held.
func (l *Tracker) HoldingsKnown() bool {
	return l.unlisted == 0 || l.Omit == RuleFree
}

// MayGrant reports whether G2 allows the grant of a partition that has been free since the given stamp.
func (l *Tracker) MayGrant(free LogicalTime) bool {
	return l.MajorityTime() > free || l.Omit == RuleGrantEvidence
}

// compareMembers orders members by server and incarnation.
func compareMembers(a, b Member) int {
	return cmp.Or(cmp.Compare(a.Server, b.Server), cmp.Compare(a.Incarnation, b.Incarnation))
}
