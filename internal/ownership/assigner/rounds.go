package assigner

import (
	"cmp"
	"slices"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/ownership/lease"
)

// minPause is the least interval of orders to one server. It bounds the rate of extra rounds, which a drain that takes
// long would otherwise repeat as fast as the network allows.
const minPause = 4 * time.Millisecond

// server is what an acting assigner knows about one server.
type server struct {
	spec Server
	// configured is set while the configuration lists the server.
	configured bool
	// member is the run listed in the group row; its incarnation is empty if none is.
	member lease.Member
	// sequence is that of the last order in this epoch.
	sequence fleet.Sequence
	// outstanding is set from the sending of an order to its answer.
	outstanding bool
	// sentAt and sentStamp are those of the last order, and dueAt is the time of the next one.
	sentAt    time.Time
	dueAt     time.Time
	sentStamp lease.LogicalTime
	// heard is the last time at which the server answered, and acceptedAt the last at which it accepted.
	heard      time.Time
	acceptedAt time.Time
	// current is the incarnation in the last report of this epoch.
	current fleet.Incarnation
	// leaseLeft is that of the last accepted report, and leaseEnd the same on the server's clock.
	leaseLeft time.Duration
	leaseEnd  time.Duration
	// leaving is set when the server wants to stop.
	leaving bool
	// unlisted asks for the holdings in the next order.
	unlisted bool
	// grants and revokes are repeated in each order until the server has confirmed them.
	grants  map[fleet.PartitionID]fleet.Fence
	revokes map[fleet.PartitionID]struct{}
	// entries is the version of the list of hot keys that the server has accepted in this epoch.
	entries uint64
}

// SetServers tells which servers the configuration lists.
func (a *Assigner) SetServers(specs []Server) {
	if a.servers == nil {
		a.servers = make(map[fleet.UpstreamID]*server)
	}
	for _, known := range a.servers {
		known.configured = false
	}
	for _, spec := range specs {
		known := a.servers[spec.ID]
		if known == nil {
			known = &server{}
			a.servers[spec.ID] = known
		}
		known.spec, known.configured = spec, true
	}
}

// serverOrder returns the known servers in the order of their names, so that decisions do not depend on chance.
func (a *Assigner) serverOrder() []fleet.UpstreamID {
	ids := make([]fleet.UpstreamID, 0, len(a.servers))
	for id := range a.servers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// resetServers forgets what was agreed with the servers in an earlier epoch.
func (a *Assigner) resetServers() {
	for id, known := range a.servers {
		*known = server{
			spec: known.spec, configured: known.configured, member: lease.Member{Server: id},
			heard: known.heard, leaving: known.leaving, unlisted: true,
			grants:  make(map[fleet.PartitionID]fleet.Fence),
			revokes: make(map[fleet.PartitionID]struct{}),
		}
	}
	for _, member := range slices.Concat(a.row.content.PreviousMembers, a.row.content.Members) {
		known := a.servers[member.Server]
		if known == nil {
			known = &server{spec: Server{ID: member.Server}, unlisted: true}
			known.grants = make(map[fleet.PartitionID]fleet.Fence)
			known.revokes = make(map[fleet.PartitionID]struct{})
			a.servers[member.Server] = known
		}
		known.member = member
	}
}

// tickActing does all that an acting assigner does, after time passed or something happened.
func (a *Assigner) tickActing() {
	a.lapse()
	a.place()
	a.decide()
	a.sendOrders()
	a.sendBeats()
	a.tickRow()
	a.tickPlacement()
}

// lapse takes note of the leases that have ended.
func (a *Assigner) lapse() {
	for _, member := range a.ledger.ExpireLeases(a.now) {
		a.plan.lost(member)
		if known := a.servers[member.Server]; known != nil && known.member == member {
			clear(known.grants)
			clear(known.revokes)
		}
	}
}

// sendOrders sends an order to each server that is due for one. The servers are spread over the round: the reading of one
// then has its evidence from the others before its own next order, and the lease that it gets is a round longer than if
// all orders were sent at once. That is the time a deputy has for its first renewal.
func (a *Assigner) sendOrders() {
	ids := a.serverOrder()
	for i, id := range ids {
		known := a.servers[id]
		due := !a.now.Before(known.dueAt) || (a.now.Sub(known.sentAt) >= minPause && a.urgent(known))
		if !known.outstanding && due {
			known.dueAt = a.nextDue(a.Timing.OrderInterval * time.Duration(i) / time.Duration(len(ids)))
			a.sendOrder(id, known)
		}
	}
}

// nextDue returns the first time at the given phase of a round that is at least half a round away.
func (a *Assigner) nextDue(phase time.Duration) time.Time {
	start := a.beganAt.Add(phase)
	rounds := (a.now.Sub(start) + a.Timing.OrderInterval*3/2) / a.Timing.OrderInterval
	return start.Add(rounds * a.Timing.OrderInterval)
}

// urgent reports whether a server should get an order before its round.
func (a *Assigner) urgent(known *server) bool {
	if known.sentStamp <= a.wanted || len(known.grants) > 0 || len(known.revokes) > 0 {
		return true
	}
	first := a.ledger.FirstUnrenewedReading(known.member)
	return first > 0 && a.ledger.MajorityTime() > first
}

func (a *Assigner) sendOrder(id fleet.UpstreamID, known *server) {
	known.sequence++
	order := fleet.Order{
		Service: a.Service, Epoch: a.epoch, Sequence: known.sequence, Incarnation: known.member.Incarnation,
	}
	if a.omit == lease.RuleIncarnation && known.current != "" {
		order.Incarnation = known.current
	}
	if order.Incarnation != "" {
		order.Renewal = a.ledger.NextRenewal(known.member)
		order.Grants = a.grantList(known.grants)
		order.Revokes = sortedKeys(known.revokes)
		order.HotKeys = a.entriesFor(known)
		// A new list of entries changes what the server holds. The list of holdings is long, and after a takeover it
		// must not delay the first renewal.
		order.WantHoldings = order.HotKeys != nil || (known.unlisted && a.ledger.Renewed(known.member))
	}
	known.outstanding, known.sentAt = true, a.now
	known.sentStamp = a.ledger.RecordSent(known.member, order.Grants)
	a.do(SendOrder{Server: id, Order: order, member: known.member, stamp: known.sentStamp, run: a.run, entries: a.plan.entryVersion})
}

func (a *Assigner) grantList(grants map[fleet.PartitionID]fleet.Fence) []fleet.Grant {
	list := make([]fleet.Grant, 0, len(grants))
	for partition, fence := range grants {
		list = append(list, fleet.Grant{Partition: partition, Fence: fence, Key: a.plan.slots[partition].key})
	}
	slices.SortFunc(list, func(a, b fleet.Grant) int { return cmp.Compare(a.Partition, b.Partition) })
	return list
}

func sortedKeys(set map[fleet.PartitionID]struct{}) []fleet.PartitionID {
	list := make([]fleet.PartitionID, 0, len(set))
	for partition := range set {
		list = append(list, partition)
	}
	slices.Sort(list)
	return list
}

// Unanswered tells that an order got no answer. It may still arrive or have been carried out.
func (a *Assigner) Unanswered(now time.Time, sent SendOrder) []Action {
	a.enter(now)
	if known := a.servers[sent.Server]; known != nil && sent.run == a.run {
		known.outstanding = false
	}
	return a.leave()
}

// Reported handles the answer to an order.
func (a *Assigner) Reported(now time.Time, sent SendOrder, report fleet.Report) []Action {
	a.enter(now)
	a.observe(report.HighestEpoch)
	known := a.servers[sent.Server]
	if known == nil || sent.run != a.run || a.Role() != RoleActing {
		return a.leave()
	}
	known.outstanding, known.heard = false, now
	known.current = report.Incarnation
	if report.Accepted() && a.counts(sent.member, report.Incarnation) {
		a.accepted(known, sent, report)
	}
	a.tickActing()
	return a.leave()
}

// counts reports whether a report counts for a member, which is rule G4.
func (a *Assigner) counts(member lease.Member, incarnation fleet.Incarnation) bool {
	if a.omit == lease.RuleIncarnation {
		return member.Incarnation != ""
	}
	return member.Incarnation != "" && member.Incarnation == incarnation
}

// accepted draws the conclusions from the report on an accepted order.
func (a *Assigner) accepted(known *server, sent SendOrder, report fleet.Report) {
	a.ledger.RecordAccepted(a.now, sent.member, sent.stamp, report.ClockReading)
	if evidence := a.ledger.MajorityTime(); evidence > a.evidence {
		a.evidence, a.evidenceAt = evidence, a.now
	}
	a.wanted = max(a.wanted, a.ledger.FirstUnrenewedReading(sent.member))
	lapsed := known.leaseEnd > 0 && report.ClockReading >= known.leaseEnd
	known.acceptedAt, known.leaving = a.now, report.Leaving
	known.leaseLeft, known.leaseEnd = report.LeaseRemaining, report.ClockReading+report.LeaseRemaining
	if sent.Order.HotKeys != nil {
		known.entries = sent.entries
	}
	a.confirm(known, sent.Order, report)
	switch {
	case sent.Order.WantHoldings:
		known.unlisted = false
		a.ledger.RecordHoldings(sent.member, report.Holdings)
		a.adoptHoldings(sent.member, report.Holdings)
		a.holdEntries(known)
	case lapsed:
		known.unlisted = true
	}
}

// confirm records the grants and the releases that a report confirms.
func (a *Assigner) confirm(known *server, order fleet.Order, report fleet.Report) {
	for _, grant := range order.Grants {
		if report.LeaseRemaining <= 0 || known.grants[grant.Partition] != grant.Fence {
			continue
		}
		delete(known.grants, grant.Partition)
		a.plan.granted(known.member, grant)
	}
	for _, partition := range report.Released {
		// A release is meant for the holding that this order still revokes, and not for one granted since.
		if _, ordered := known.revokes[partition]; !ordered || !slices.Contains(order.Revokes, partition) {
			continue
		}
		delete(known.revokes, partition)
		a.ledger.RecordReleased(known.member, partition)
		a.plan.released(known.member, partition)
	}
}
