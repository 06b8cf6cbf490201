// Package lease decides who may act for a partition and until when. Its Guard is the state that a fenced server keeps;
// its Ledger is the evidence that an assigner keeps about the servers of its group. Both are decisions: they take the
// time as an argument and do no I/O.
package lease

import (
	"slices"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// Guard is the state of one run of a fenced server. It is not safe for concurrent use; its user holds one lock around
// every call, and reads the server's monotonic clock under that lock, so that readings never go back.
type Guard struct {
	// Service is the only service whose orders are accepted. It is set before first use.
	Service fleet.ServiceName
	// Incarnation identifies this run of the server. It is set before first use.
	Incarnation fleet.Incarnation
	// Partitions is the number of hash ranges of the service. It is set before first use.
	Partitions int
	// Leaving is reported to the assigner, which then moves the partitions away.
	Leaving bool

	// epoch and sequence are those of the last accepted order and only rise.
	epoch    fleet.Epoch
	sequence fleet.Sequence
	// leaseEnd is on the server's own clock and only rises.
	leaseEnd time.Duration
	// holdings is empty whenever the lease has expired.
	holdings map[fleet.PartitionID]*holding
	// released contains partitions whose release completed in the present epoch, until they are granted again.
	released map[fleet.PartitionID]struct{}
	// unreported contains the releases that no accepted order has been answered with.
	unreported []fleet.PartitionID
	// entries maps each hot key to the partition number of its entry, as last ordered.
	entries map[fleet.KeyHash]fleet.PartitionID
	// active contains the admitted requests that have not ended.
	active map[uint64]request
	// admitted numbers the admitted requests.
	admitted uint64
}

// holding is one partition that the server holds.
type holding struct {
	fence    fleet.Fence
	key      fleet.KeyHash
	revoked  bool
	inFlight int
}

// request is one admitted request. It refers to the holding itself, so that a partition which was lost and granted
// again does not cover requests of the earlier holding.
type request struct {
	key       fleet.KeyHash
	partition fleet.PartitionID
	holding   *holding
}

// Ticket identifies an admitted request to its guard.
type Ticket struct {
	number uint64
}

// Apply judges an order at the server's clock reading now, carries it out if it is accepted, and reports.
func (g *Guard) Apply(now time.Duration, order fleet.Order) fleet.Report {
	g.expire(now)
	refusal := g.judge(order)
	if refusal == fleet.RefusalNone {
		g.accept(now, order)
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
	report.Released = g.reportReleases(order)
	if order.WantHoldings {
		report.Holdings = g.list()
	}
	return report
}

// judge returns why an order is refused, or RefusalNone.
func (g *Guard) judge(order fleet.Order) fleet.Refusal {
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

// accept carries out an order that was judged acceptable.
func (g *Guard) accept(now time.Duration, order fleet.Order) {
	if order.Epoch > g.epoch {
		g.beginEpoch()
	}
	g.epoch, g.sequence = order.Epoch, order.Sequence
	if order.Incarnation == "" {
		return // Such an order only asks for a report.
	}
	g.renew(now, order.Renewal)
	g.applyEntries(order.HotKeys)
	for _, partition := range order.Revokes {
		g.revoke(partition)
	}
	if now < g.leaseEnd {
		for _, grant := range order.Grants {
			g.grant(grant)
		}
	}
}

// beginEpoch forgets what was agreed with the assigner of the epoch before. A revocation that has not completed is
// cancelled, since the new assigner finds the partition among the holdings and decides anew.
func (g *Guard) beginEpoch() {
	g.released = make(map[fleet.PartitionID]struct{})
	g.unreported = nil
	for _, held := range g.holdings {
		held.revoked = false
	}
}

// renew extends the lease. A reading beyond the server's own clock is none of its own and is ignored.
func (g *Guard) renew(now time.Duration, renewal *fleet.Renewal) {
	if renewal == nil || renewal.ClockReading > now {
		return
	}
	g.leaseEnd = max(g.leaseEnd, renewal.ClockReading+renewal.LeaseDuration)
}

// grant makes the server hold a partition. A partition that is held already gets the new fence and is no longer revoked.
func (g *Guard) grant(grant fleet.Grant) {
	if g.holdings == nil {
		g.holdings = make(map[fleet.PartitionID]*holding)
	}
	delete(g.released, grant.Partition)
	g.unreported = slices.DeleteFunc(g.unreported, func(p fleet.PartitionID) bool { return p == grant.Partition })
	held := g.holdings[grant.Partition]
	if held == nil {
		held = &holding{}
		g.holdings[grant.Partition] = held
	}
	held.fence, held.key, held.revoked = grant.Fence, grant.Key, false
}

// revoke stops new requests of a partition and releases it once none is in flight.
func (g *Guard) revoke(partition fleet.PartitionID) {
	held := g.holdings[partition]
	if held == nil {
		return
	}
	held.revoked = true
	g.releaseIfDrained(partition, held)
}

func (g *Guard) releaseIfDrained(partition fleet.PartitionID, held *holding) {
	if !held.revoked || held.inFlight > 0 || g.holdings[partition] != held {
		return
	}
	delete(g.holdings, partition)
	if g.released == nil {
		g.released = make(map[fleet.PartitionID]struct{})
	}
	g.released[partition] = struct{}{}
	g.unreported = append(g.unreported, partition)
}

// expire drops all holdings once the lease has ended. Releases are forgotten too: a partition that was being drained
// when the lease ended was lost and not released.
func (g *Guard) expire(now time.Duration) {
	if now < g.leaseEnd || (len(g.holdings) == 0 && len(g.released) == 0) {
		return
	}
	clear(g.holdings)
	clear(g.released)
	g.unreported = nil
}

// reportReleases returns the releases since the last accepted order, and repeats those whose revocation is ordered again.
func (g *Guard) reportReleases(order fleet.Order) []fleet.PartitionID {
	list := g.unreported
	g.unreported = nil
	for _, partition := range order.Revokes {
		if _, done := g.released[partition]; done && !slices.Contains(list, partition) {
			list = append(list, partition)
		}
	}
	return list
}

// list returns the holdings in the order of their numbers.
func (g *Guard) list() []fleet.Grant {
	list := make([]fleet.Grant, 0, len(g.holdings))
	for partition, held := range g.holdings {
		list = append(list, fleet.Grant{Partition: partition, Fence: held.fence, Key: held.key})
	}
	slices.SortFunc(list, func(a, b fleet.Grant) int { return int(a.Partition) - int(b.Partition) })
	return list
}

// Admit decides whether a request for key may start. If it may, Done must be called with the ticket when it has ended.
func (g *Guard) Admit(now time.Duration, key fleet.KeyHash) (Ticket, bool) {
	g.expire(now)
	partition := g.Partition(key)
	held := g.holdings[partition]
	if held == nil || held.revoked {
		return Ticket{}, false
	}
	if g.active == nil {
		g.active = make(map[uint64]request)
	}
	held.inFlight++
	g.admitted++
	g.active[g.admitted] = request{key: key, partition: partition, holding: held}
	return Ticket{number: g.admitted}, true
}

// MayApply decides whether the effect of an admitted request may be applied now. A revoked partition may still finish
// its requests; one that was lost with the lease may not.
func (g *Guard) MayApply(now time.Duration, ticket Ticket) bool {
	g.expire(now)
	active, found := g.active[ticket.number]
	return found && g.holdings[active.partition] == active.holding
}

// Done ends an admitted request. Calling it again has no effect.
func (g *Guard) Done(now time.Duration, ticket Ticket) {
	g.expire(now)
	active, found := g.active[ticket.number]
	if !found {
		return
	}
	delete(g.active, ticket.number)
	active.holding.inFlight--
	g.releaseIfDrained(active.partition, active.holding)
}

// Partition returns the partition to which this server assigns a key: its entry if it has one, else its hash range.
func (g *Guard) Partition(key fleet.KeyHash) fleet.PartitionID {
	if entry, found := g.entries[key]; found {
		return entry
	}
	return key.Partition(g.Partitions)
}
