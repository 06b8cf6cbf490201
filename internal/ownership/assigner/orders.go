package assigner

import (
	"cmp"
	"slices"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/ownership/lease"
)

// minOrderInterval is the minimum interval between orders to one server. It limits the rate of early orders, which a
// slow drain would otherwise repeat as fast as the network allows.
const minOrderInterval = 4 * time.Millisecond

// serverState is what an acting assigner knows about one server.
type serverState struct {
	spec Server
	// configured is set while the configuration lists the server.
	configured bool
	// member is the incarnation that the group row lists; its Incarnation is empty if the row lists none.
	member lease.Member
	// sequence is the sequence number of the last order in this epoch.
	sequence fleet.Sequence
	// outstanding is set while an order is unanswered.
	outstanding bool
	// sentAt and sentStamp are the time and the stamp of the last order.
	sentAt time.Time
	// nextOrderAt is the time at which the next regular order is due.
	nextOrderAt     time.Time
	sentLogicalTime lease.LogicalTime
	// heardAt is the time of the last report, and acceptedAt that of the last report that accepted an order.
	heardAt    time.Time
	acceptedAt time.Time
	// runningIncarnation is the incarnation in the last report of this epoch; empty if there was none.
	runningIncarnation fleet.Incarnation
	// leaseLeft is the remaining lease in the last accepted report, and leaseEnd the end of that lease on the server's
	// clock.
	leaseLeft time.Duration
	leaseEnd  time.Duration
	// leaving is set while the server announces that it is shutting down.
	leaving bool
	// holdingsUnknown makes the next order ask for the server's holdings.
	holdingsUnknown bool
	// grants and revokes are repeated in each order until the server confirms them.
	grants  map[fleet.PartitionID]fleet.Fence
	revokes map[fleet.PartitionID]struct{}
	// acceptedHotKeyVersion is the version of the hot-key list that the server has accepted in this epoch.
	acceptedHotKeyVersion uint64
}

// SetServers sets the servers that the configuration lists.
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

// sortedServers returns the names of all known servers in sorted order, so that decisions do not depend on the map
// order.
func (a *Assigner) sortedServers() []fleet.UpstreamID {
	ids := make([]fleet.UpstreamID, 0, len(a.servers))
	for id := range a.servers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// resetServers discards what was agreed with the servers in earlier epochs.
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

// tickActing performs all periodic work of an acting assigner.
func (a *Assigner) tickActing() {
	a.expireLeases()
	a.placePartitions()
	a.decidePending()
	a.sendOrders()
	a.sendHeartbeats()
	a.updateGroupRow()
	a.writePlacementRows()
}

// expireLeases drops the holdings of the members whose leases have ended.
func (a *Assigner) expireLeases() {
	for _, member := range a.tracker.ExpireLeases(a.now) {
		a.plan.dropMember(member)
		if server := a.servers[member.Server]; server != nil && server.member == member {
			clear(server.grants)
			clear(server.revokes)
		}
	}
}

// sendOrders sends an order to each server for which one is due. The servers are spread evenly over the order interval.
// The clock reading in a server's report can then be confirmed by reports of the others before the server's next order,
// and its lease lasts one order interval longer than if all orders were sent at once. A deputy that takes over has that
// time for its first renewals.
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

// nextOrderTime returns the first time at the given phase of the order interval that is at least half an interval ahead.
func (a *Assigner) nextOrderTime(phase time.Duration) time.Time {
	start := a.epochStartedAt.Add(phase)
	rounds := (a.now.Sub(start) + a.Timing.OrderInterval*3/2) / a.Timing.OrderInterval
	return start.Add(rounds * a.Timing.OrderInterval)
}

// needsImmediateOrder reports whether a server should get an order before its regular one.
func (a *Assigner) needsImmediateOrder(server *serverState) bool {
	if server.sentLogicalTime <= a.wantedMajorityTime || len(server.grants) > 0 || len(server.revokes) > 0 {
		return true
	}
	first := a.tracker.FirstUnrenewedReading(server.member)
	return first > 0 && a.tracker.MajorityTime() > first
}

// sendOrder sends the next order to a server. An order without an incarnation only asks for a report; it is sent to a
// server that is not a member.
func (a *Assigner) sendOrder(id fleet.UpstreamID, server *serverState) {
	server.sequence++
	order := fleet.Order{
		Service: a.Service, Epoch: a.epoch, Sequence: server.sequence, Incarnation: server.member.Incarnation,
	}
	if a.omit == lease.RuleIncarnation && server.runningIncarnation != "" {
		order.Incarnation = server.runningIncarnation
	}
	if order.Incarnation != "" {
		order.Renewal = a.tracker.NextRenewal(server.member)
		order.Grants = a.grantList(server.grants)
		order.Revokes = sortedKeys(server.revokes)
		order.HotKeys = a.hotKeyListFor(server)
		// A new list of entries changes what the server holds. Otherwise the first renewal after a takeover goes first,
		// since the list of holdings is long and would delay it.
		order.WantHoldings = order.HotKeys != nil || (server.holdingsUnknown && a.tracker.Renewed(server.member))
	}
	server.outstanding, server.sentAt = true, a.now
	server.sentLogicalTime = a.tracker.RecordSent(server.member, order.Grants)
	a.emit(SendOrder{
		Server: id, Order: order, member: server.member, logicalTime: server.sentLogicalTime,
		generation: a.generation, sentHotKeyVersion: a.plan.hotKeyVersion,
	})
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

// HandleNoReport handles an order to which the server did not reply. The order may still arrive or have been executed.
func (a *Assigner) HandleNoReport(now time.Time, sent SendOrder) []Action {
	a.beginCall(now)
	if server := a.servers[sent.Server]; server != nil && sent.generation == a.generation {
		server.outstanding = false
	}
	return a.takeActions()
}

// HandleReport handles a server's report on an order.
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

// matchesMember reports whether a report comes from the incarnation that the group row lists; no other report counts
// (rule G4).
func (a *Assigner) matchesMember(member lease.Member, incarnation fleet.Incarnation) bool {
	if a.omit == lease.RuleIncarnation {
		return member.Incarnation != ""
	}
	return member.Incarnation != "" && member.Incarnation == incarnation
}

// handleAccepted handles the report on an order that the server accepted.
func (a *Assigner) handleAccepted(server *serverState, sent SendOrder, report fleet.Report) {
	a.tracker.RecordAccepted(a.now, sent.member, sent.logicalTime, report.ClockReading)
	if evidence := a.tracker.MajorityTime(); evidence > a.lastMajorityTime {
		a.lastMajorityTime, a.majorityTimeIncreasedAt = evidence, a.now
	}
	a.wantedMajorityTime = max(a.wantedMajorityTime, a.tracker.FirstUnrenewedReading(sent.member))
	lapsed := server.leaseEnd > 0 && report.ClockReading >= server.leaseEnd
	server.acceptedAt, server.leaving = a.now, report.Leaving
	server.leaseLeft, server.leaseEnd = report.LeaseRemaining, report.ClockReading+report.LeaseRemaining
	if sent.Order.HotKeys != nil {
		server.acceptedHotKeyVersion = sent.sentHotKeyVersion
	}
	a.recordConfirmations(server, sent.Order, report)
	switch {
	case sent.Order.WantHoldings:
		server.holdingsUnknown = false
		a.tracker.RecordHoldings(sent.member, report.Holdings)
		a.adoptHoldings(sent.member, report.Holdings)
		a.recordPossibleHoldings(server)
	case lapsed:
		server.holdingsUnknown = true
	}
}

// recordConfirmations records the grants and releases that a report confirms.
func (a *Assigner) recordConfirmations(server *serverState, order fleet.Order, report fleet.Report) {
	for _, grant := range order.Grants {
		if report.LeaseRemaining <= 0 || server.grants[grant.Partition] != grant.Fence {
			continue
		}
		delete(server.grants, grant.Partition)
		a.plan.recordGrant(server.member, grant)
	}
	for _, partition := range report.Released {
		// A release counts only if this order revoked the partition and the revocation is still pending: the partition
		// may have been granted to the server again.
		if _, ordered := server.revokes[partition]; !ordered || !slices.Contains(order.Revokes, partition) {
			continue
		}
		delete(server.revokes, partition)
		a.tracker.RecordReleased(server.member, partition)
		a.plan.recordRelease(server.member, partition)
	}
}
