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
const minOrderInterval = 4 * time.Millisecond

// server is what an acting assigner knows about one server.
type serverState struct {
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
	sentAt      time.Time
	nextOrderAt time.Time
	sentStamp   lease.Stamp
	// heard is the last time at which the server answered, and acceptedAt the last at which it accepted.
	heardAt    time.Time
	acceptedAt time.Time
	// current is the incarnation in the last report of this epoch.
	runningIncarnation fleet.Incarnation
	// leaseLeft is that of the last accepted report, and leaseEnd the same on the server's clock.
	leaseLeft time.Duration
	leaseEnd  time.Duration
	// leaving is set when the server wants to stop.
	leaving bool
	// unlisted asks for the holdings in the next order.
	holdingsUnknown bool
	// grants and revokes are repeated in each order until the server has confirmed them.
	grants  map[fleet.PartitionID]fleet.Fence
	revokes map[fleet.PartitionID]struct{}
	// entries is the version of the list of hot keys that the server has accepted in this epoch.
	hotKeyVersion uint64
}

// SetServers tells which servers the configuration lists.
func (a *Assigner) SetServers(specs []Server) {
	if a.servers == nil {
		a.servers = make(map[fleet.UpstreamID]*serverState)
	}
	for _, server := range a.servers {
		server.configured = false
	}
	for _, spec := range specs {
		server := a.servers[spec.ID]
		if server == nil {
			server = &serverState{}
			a.servers[spec.ID] = server
		}
		server.spec, server.configured = spec, true
	}
}

// serverOrder returns the known servers in the order of their names, so that decisions do not depend on chance.
func (a *Assigner) sortedServers() []fleet.UpstreamID {
	ids := make([]fleet.UpstreamID, 0, len(a.servers))
	for id := range a.servers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// resetServers forgets what was agreed with the servers in an earlier epoch.
func (a *Assigner) resetServers() {
	for id, server := range a.servers {
		*server = serverState{
			spec: server.spec, configured: server.configured, member: lease.Member{Server: id},
			heardAt: server.heardAt, leaving: server.leaving, holdingsUnknown: true,
			grants:  make(map[fleet.PartitionID]fleet.Fence),
			revokes: make(map[fleet.PartitionID]struct{}),
		}
	}
	for _, member := range slices.Concat(a.groupRow.content.PreviousMembers, a.groupRow.content.Members) {
		server := a.servers[member.Server]
		if server == nil {
			server = &serverState{spec: Server{ID: member.Server}, holdingsUnknown: true}
			server.grants = make(map[fleet.PartitionID]fleet.Fence)
			server.revokes = make(map[fleet.PartitionID]struct{})
			a.servers[member.Server] = server
		}
		server.member = member
	}
}

// tickActing does all that an acting assigner does, after time passed or something happened.
func (a *Assigner) tickActing() {
	a.expireLeases()
	a.placePartitions()
	a.decidePending()
	a.sendOrders()
	a.sendHeartbeats()
	a.updateGroupRow()
	a.writePlacementRows()
}

// lapse takes note of the leases that have ended.
func (a *Assigner) expireLeases() {
	for _, member := range a.ledger.Lapse(a.now) {
		a.plan.dropMember(member)
		if server := a.servers[member.Server]; server != nil && server.member == member {
			clear(server.grants)
			clear(server.revokes)
		}
	}
}

// sendOrders sends an order to each server that is due for one. The servers are spread over the round: the reading of one
// then has its evidence from the others before its own next order, and the lease that it gets is a round longer than if
// all orders were sent at once. That is the time a deputy has for its first renewal.
func (a *Assigner) sendOrders() {
	ids := a.sortedServers()
	for i, id := range ids {
		server := a.servers[id]
		due := !a.now.Before(server.nextOrderAt) || (a.now.Sub(server.sentAt) >= minOrderInterval && a.needsImmediateOrder(server))
		if !server.outstanding && due {
			server.nextOrderAt = a.nextOrderTime(a.Timing.OrderInterval * time.Duration(i) / time.Duration(len(ids)))
			a.sendOrder(id, server)
		}
	}
}

// nextDue returns the first time at the given phase of a round that is at least half a round away.
func (a *Assigner) nextOrderTime(phase time.Duration) time.Time {
	start := a.epochStartedAt.Add(phase)
	rounds := (a.now.Sub(start) + a.Timing.OrderInterval*3/2) / a.Timing.OrderInterval
	return start.Add(rounds * a.Timing.OrderInterval)
}

// urgent reports whether a server should get an order before its round.
func (a *Assigner) needsImmediateOrder(server *serverState) bool {
	if server.sentStamp <= a.wantedEvidence || len(server.grants) > 0 || len(server.revokes) > 0 {
		return true
	}
	first := a.ledger.Unrenewed(server.member)
	return first > 0 && a.ledger.Evidence() > first
}

func (a *Assigner) sendOrder(id fleet.UpstreamID, server *serverState) {
	server.sequence++
	order := fleet.Order{
		Service: a.Service, Epoch: a.epoch, Sequence: server.sequence, Incarnation: server.member.Incarnation,
	}
	if a.omit == lease.RuleIncarnation && server.runningIncarnation != "" {
		order.Incarnation = server.runningIncarnation
	}
	if order.Incarnation != "" {
		order.Renewal = a.ledger.Renewal(server.member)
		order.Grants = a.grantList(server.grants)
		order.Revokes = sortedKeys(server.revokes)
		order.Entries = a.hotKeyListFor(server)
		// A new list of entries changes what the server holds. The list of holdings is long, and after a takeover it
		// must not delay the first renewal.
		order.WantHoldings = order.Entries != nil || (server.holdingsUnknown && a.ledger.Renewed(server.member))
	}
	server.outstanding, server.sentAt = true, a.now
	server.sentStamp = a.ledger.Sent(server.member, order.Grants)
	a.emit(SendOrder{Server: id, Order: order, member: server.member, stamp: server.sentStamp, generation: a.generation, hotKeyVersion: a.plan.hotKeyVersion})
}

func (a *Assigner) grantList(grants map[fleet.PartitionID]fleet.Fence) []fleet.Grant {
	list := make([]fleet.Grant, 0, len(grants))
	for partition, fence := range grants {
		list = append(list, fleet.Grant{Partition: partition, Fence: fence, Key: a.plan.partitions[partition].key})
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
func (a *Assigner) HandleNoReport(now time.Time, sent SendOrder) []Action {
	a.beginCall(now)
	if server := a.servers[sent.Server]; server != nil && sent.generation == a.generation {
		server.outstanding = false
	}
	return a.takeActions()
}

// Reported handles the answer to an order.
func (a *Assigner) HandleReport(now time.Time, sent SendOrder, report fleet.Report) []Action {
	a.beginCall(now)
	a.observeEpoch(report.HighestEpoch)
	server := a.servers[sent.Server]
	if server == nil || sent.generation != a.generation || a.Role() != RoleActing {
		return a.takeActions()
	}
	server.outstanding, server.heardAt = false, now
	server.runningIncarnation = report.Incarnation
	if report.Accepted() && a.matchesMember(sent.member, report.Incarnation) {
		a.handleAccepted(server, sent, report)
	}
	a.tickActing()
	return a.takeActions()
}

// counts reports whether a report counts for a member, which is rule G4.
func (a *Assigner) matchesMember(member lease.Member, incarnation fleet.Incarnation) bool {
	if a.omit == lease.RuleIncarnation {
		return member.Incarnation != ""
	}
	return member.Incarnation != "" && member.Incarnation == incarnation
}

// accepted draws the conclusions from the report on an accepted order.
func (a *Assigner) handleAccepted(server *serverState, sent SendOrder, report fleet.Report) {
	a.ledger.Accepted(a.now, sent.member, sent.stamp, report.Reading)
	if evidence := a.ledger.Evidence(); evidence > a.evidence {
		a.evidence, a.evidenceAt = evidence, a.now
	}
	a.wantedEvidence = max(a.wantedEvidence, a.ledger.Unrenewed(sent.member))
	lapsed := server.leaseEnd > 0 && report.Reading >= server.leaseEnd
	server.acceptedAt, server.leaving = a.now, report.Leaving
	server.leaseLeft, server.leaseEnd = report.LeaseLeft, report.Reading+report.LeaseLeft
	if sent.Order.Entries != nil {
		server.hotKeyVersion = sent.hotKeyVersion
	}
	a.recordConfirmations(server, sent.Order, report)
	switch {
	case sent.Order.WantHoldings:
		server.holdingsUnknown = false
		a.ledger.Listed(sent.member, report.Holdings)
		a.adoptHoldings(sent.member, report.Holdings)
		a.recordPossibleHoldings(server)
	case lapsed:
		server.holdingsUnknown = true
	}
}

// confirm records the grants and the releases that a report confirms.
func (a *Assigner) recordConfirmations(server *serverState, order fleet.Order, report fleet.Report) {
	for _, grant := range order.Grants {
		if report.LeaseLeft <= 0 || server.grants[grant.Partition] != grant.Fence {
			continue
		}
		delete(server.grants, grant.Partition)
		a.plan.recordGrant(server.member, grant)
	}
	for _, partition := range report.Released {
		// A release is meant for the holding that this order still revokes, and not for one granted since.
		if _, ordered := server.revokes[partition]; !ordered || !slices.Contains(order.Revokes, partition) {
			continue
		}
		delete(server.revokes, partition)
		a.ledger.Released(server.member, partition)
		a.plan.recordRelease(server.member, partition)
	}
}
