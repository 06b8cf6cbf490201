// Package lease decides which server may act for a partition, and until when. A Guard is the state that a server with fencing
// keeps about its own lease and partitions. A Tracker is what an assigner knows about the servers of its group. Both take the
// time as an argument and do no I/O.
package lease

import (
	"slices"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// Guard applies the orders of assigners at one process of a server, and decides which requests the server may run. It is not
// safe for concurrent use. The caller holds one lock around every call and reads the server's monotonic clock under that lock,
// so that the times passed never go back.
type Guard struct {
	// Service is the only service whose orders are accepted. It is set before first use.
	Service fleet.ServiceName
	// Incarnation identifies this process of the server. It is set before first use.
	Incarnation fleet.Incarnation
	// Partitions is the number of hash ranges of the service. It is set before first use.
	Partitions int
	// Leaving is set when the server is shutting down. The assigner, which sees it in reports, then moves its partitions away.
	Leaving bool

	// epoch and sequence are those of the last accepted order. They only increase.
	epoch    fleet.Epoch
	sequence fleet.Sequence
	// leaseEnd is a time of the server's own clock. It only increases.
	leaseEnd time.Duration
	// holdings is empty whenever the lease has expired.
	holdings map[fleet.PartitionID]*holding
	// released contains the partitions whose release completed in the present epoch, until they are granted again.
	released map[fleet.PartitionID]struct{}
	// unreportedReleases contains the releases that have not been in the report on an accepted order yet.
	unreportedReleases []fleet.PartitionID
	// hotKeys maps each hot key to its own partition, as last ordered.
	hotKeys map[fleet.KeyHash]fleet.PartitionID
	// active contains the admitted requests that have not ended, by the number of their ticket.
	active map[uint64]request
	// lastTicket is the number of the last ticket.
	lastTicket uint64
}

// holding is one partition that the server holds.
type holding struct {
	fence    fleet.Fence
	key      fleet.KeyHash
	revoked  bool
	inFlight int
}

// request is one admitted request. It points to the holding, so that requests admitted under an earlier holding of the
// partition are not covered once the partition was lost and granted again.
type request struct {
	key       fleet.KeyHash
	partition fleet.PartitionID
	holding   *holding
}

// Ticket identifies an admitted request.
type Ticket struct {
	number uint64
}

// Apply checks an order, applies it if it is accepted, and returns the server's report. now is the server's clock reading.
func (g *Guard) Apply(now time.Duration, order fleet.Order) fleet.Report {
	g.dropIfExpired(now)
	refusal := g.checkOrder(order)
	if refusal == fleet.RefusalNone {
		g.applyAccepted(now, order)
	}
	report := fleet.Report{
		Incarnation:    g.Incarnation,
		ClockReading:   now,
		HighestEpoch:   g.epoch,
		Refusal:        refusal,
		LeaseRemaining: g.leaseEnd - now,
		InFlight:       len(g.active),
		Leaving:        g.Leaving,
	}
	if refusal != fleet.RefusalNone {
		return report
	}
	report.Released = g.takeUnreportedReleases(order)
	if order.WantHoldings {
		report.Holdings = g.listHoldings()
	}
	return report
}

// checkOrder returns why an order is refused, or RefusalNone.
func (g *Guard) checkOrder(order fleet.Order) fleet.Refusal {
	switch {
	case order.Service != g.Service:
		return fleet.RefusalService
	case order.Epoch < g.epoch:
		return fleet.RefusalEpoch
	case order.Epoch == g.epoch && order.Sequence <= g.sequence:
		return fleet.RefusalSequence
	case order.Incarnation != "" && order.Incarnation != g.Incarnation:
		return fleet.RefusalIncarnation
	default:
		return fleet.RefusalNone
	}
}

// applyAccepted applies an order that passed checkOrder.
func (g *Guard) applyAccepted(now time.Duration, order fleet.Order) {
	if order.Epoch > g.epoch {
		g.beginEpoch()
	}
	g.epoch, g.sequence = order.Epoch, order.Sequence
	if order.Incarnation == "" {
		return // the order is a query, which only asks for a report
	}
	g.extendLease(now, order.Renewal)
	g.applyHotKeys(order.HotKeys)
	for _, partition := range order.Revokes {
		g.revoke(partition)
	}
	if now < g.leaseEnd {
		for _, grant := range order.Grants {
			g.grant(grant)
		}
	}
}

// beginEpoch discards the releases and revocations of the previous epoch. A revocation that has not completed is canceled: the
// new assigner finds the partition among the holdings and decides anew.
func (g *Guard) beginEpoch() {
	g.released = make(map[fleet.PartitionID]struct{})
	g.unreportedReleases = nil
	for _, held := range g.holdings {
		held.revoked = false
	}
}

// extendLease extends the lease. It ignores a reading later than now, which cannot come from this server's clock.
func (g *Guard) extendLease(now time.Duration, renewal *fleet.Renewal) {
	if renewal == nil || renewal.ClockReading > now {
		return
	}
	g.leaseEnd = max(g.leaseEnd, renewal.ClockReading+renewal.LeaseDuration)
}

// grant makes the server hold a partition. If it is held already, it gets the new fence and a revocation is canceled.
func (g *Guard) grant(grant fleet.Grant) {
	if g.holdings == nil {
		g.holdings = make(map[fleet.PartitionID]*holding)
	}
	delete(g.released, grant.Partition)
	g.unreportedReleases = slices.DeleteFunc(g.unreportedReleases, func(p fleet.PartitionID) bool { return p == grant.Partition })
	held := g.holdings[grant.Partition]
	if held == nil {
		held = &holding{}
		g.holdings[grant.Partition] = held
	}
	held.fence, held.key, held.revoked = grant.Fence, grant.Key, false
}

// revoke stops the admission of requests of a partition, and releases it once none is in flight.
func (g *Guard) revoke(partition fleet.PartitionID) {
	held := g.holdings[partition]
	if held == nil {
		return
	}
	held.revoked = true
	g.releaseIfDrained(partition, held)
}

// releaseIfDrained releases a revoked partition if no request is in flight.
func (g *Guard) releaseIfDrained(partition fleet.PartitionID, held *holding) {
	if !held.revoked || held.inFlight > 0 || g.holdings[partition] != held {
		return
	}
	delete(g.holdings, partition)
	if g.released == nil {
		g.released = make(map[fleet.PartitionID]struct{})
	}
	g.released[partition] = struct{}{}
	g.unreportedReleases = append(g.unreportedReleases, partition)
}

// dropIfExpired drops all holdings and releases once the lease has expired. A partition that was draining at that time has been
// lost, and is not reported as released.
func (g *Guard) dropIfExpired(now time.Duration) {
	if now < g.leaseEnd || (len(g.holdings) == 0 && len(g.released) == 0) {
		return
	}
	clear(g.holdings)
	clear(g.released)
	g.unreportedReleases = nil
}

// takeUnreportedReleases returns the releases since the last accepted order, and those whose revocation is ordered again.
func (g *Guard) takeUnreportedReleases(order fleet.Order) []fleet.PartitionID {
	list := g.unreportedReleases
	g.unreportedReleases = nil
	for _, partition := range order.Revokes {
		if _, done := g.released[partition]; done && !slices.Contains(list, partition) {
			list = append(list, partition)
		}
	}
	return list
}

// listHoldings returns the holdings in the order of their partition numbers.
func (g *Guard) listHoldings() []fleet.Grant {
	list := make([]fleet.Grant, 0, len(g.holdings))
	for partition, held := range g.holdings {
		list = append(list, fleet.Grant{Partition: partition, Fence: held.fence, Key: held.key})
	}
	slices.SortFunc(list, func(a, b fleet.Grant) int { return int(a.Partition) - int(b.Partition) })
	return list
}

// Admit decides whether a request for a key may start. If it returns true, the caller must call Done with the ticket when the
// request has ended.
func (g *Guard) Admit(now time.Duration, key fleet.KeyHash) (Ticket, bool) {
	g.dropIfExpired(now)
	partition := g.Partition(key)
	held := g.holdings[partition]
	if held == nil || held.revoked {
		return Ticket{}, false
	}
	if g.active == nil {
		g.active = make(map[uint64]request)
	}
	held.inFlight++
	g.lastTicket++
	g.active[g.lastTicket] = request{key: key, partition: partition, holding: held}
	return Ticket{number: g.lastTicket}, true
}

// MayApply decides whether the effect of an admitted request may be applied now. Requests of a revoked partition may still
// finish; requests of a partition that was lost because the lease expired may not.
func (g *Guard) MayApply(now time.Duration, ticket Ticket) bool {
	g.dropIfExpired(now)
	active, found := g.active[ticket.number]
	return found && g.holdings[active.partition] == active.holding
}

// Done ends an admitted request. Further calls with the same ticket have no effect.
func (g *Guard) Done(now time.Duration, ticket Ticket) {
	g.dropIfExpired(now)
	active, found := g.active[ticket.number]
	if !found {
		return
	}
	delete(g.active, ticket.number)
	active.holding.inFlight--
	g.releaseIfDrained(active.partition, active.holding)
}

// Partition returns the partition to which this server maps a key: the key's own one if it is a hot key, otherwise its hash
// range.
func (g *Guard) Partition(key fleet.KeyHash) fleet.PartitionID {
	if partition, found := g.hotKeys[key]; found {
		return partition
	}
	return key.Partition(g.Partitions)
}
