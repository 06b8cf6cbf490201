package assigner

import (
	"slices"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/ownership/lease"
)

// maxMoves bounds the planned moves in progress, so that few requests wait for a move at one time.
const maxMoves = 32

// plan is what an assigner knows and wants about the partitions.
type plan struct {
	slots map[fleet.PartitionID]*slot
	// pending contains the partitions that are not held by the server that should hold them.
	pending map[fleet.PartitionID]struct{}
	// changed contains the partitions whose assignment has not been published yet.
	changed map[fleet.PartitionID]struct{}
	// removed contains the hot-key entries whose removal has not been published yet.
	removed []fleet.Assignment
	// touched is set when something changed that a decision about pending partitions depends on, besides evidence.
	touched bool
	// decidedAt is the time of the last decision, and waiting the stamp beyond which it wanted evidence; zero if none.
	decidedAt time.Time
	waiting   lease.LogicalTime
	// counts holds the partitions of each server during one decision, once they were needed.
	counts map[fleet.UpstreamID]int
	// moving counts the slots that are moving.
	moving int

	// live is the set of servers last seen, since liveSince; placed is the one that was last placed for.
	live      []Server
	liveSince time.Time
	placedFor []Server
	replace   bool
	// memberChange is the time since which other members are wanted.
	memberChange time.Time

	// entryVersion rises with each change of the hot-key entries.
	entryVersion uint64
	loads        map[fleet.PartitionID]float64

	// known is set once the placement rows were read by this run as a deputy or in this epoch, and current once they
	// were read in this epoch; without that they must not be written.
	known   bool
	current bool
	reading bool
	readAt  time.Time
	// readRun is the run in which the outstanding read of all rows was begun; zero if it reads only some.
	readRun uint64
	writing *WritePlacement
	writeAt time.Time
	placed  map[int]*placementRow
	// writes counts the writes of placement rows that took effect.
	writes uint64
}

// slot is one partition.
type slot struct {
	// holder is the member that is known to hold the partition; its server is empty if none is.
	holder lease.Member
	// owner is the server that held it last, or that the table names.
	owner   fleet.UpstreamID
	standby fleet.UpstreamID
	// target is the server that should hold it; empty if that has not been decided.
	target fleet.UpstreamID
	fence  fleet.Fence
	key    fleet.KeyHash
	// granting is the server to which a grant is under way.
	granting fleet.UpstreamID
	// free is the stamp at which the partition was found free; zero while it is not.
	free lease.LogicalTime
	// released is set when the holder released it to this epoch.
	released bool
	// moving is set from the revocation to the grant.
	moving bool
	// lost is set from the loss of the holder until that is published.
	lost bool
	// rejoining is set while an unwanted hot-key entry is on its way to the holder of its hash range.
	rejoining bool
}

func (s *slot) held() bool {
	return s.holder.Server != ""
}

// reset forgets who holds what at the beginning of an epoch.
func (p *plan) reset() {
	p.moving = 0
	for id, entry := range p.slots {
		*entry = slot{owner: entry.owner, standby: entry.standby, target: entry.target, fence: entry.fence, key: entry.key}
		p.pend(id)
	}
	p.live, p.placedFor, p.memberChange = nil, nil, time.Time{}
	p.current = false
	for _, row := range p.placed {
		row.dirty = false
	}
	p.entryVersion++
}

func (p *plan) setMoving(entry *slot, moving bool) {
	if entry.moving != moving {
		entry.moving = moving
		if moving {
			p.moving++
		} else {
			p.moving--
		}
	}
}

// lost takes note that the lease of a member has ended.
func (p *plan) lost(member lease.Member) {
	for id, entry := range p.slots {
		if entry.holder == member {
			p.drop(id, entry)
		}
		if entry.granting == member.Server {
			entry.granting = ""
			p.pend(id)
		}
	}
}

// drop takes note that a partition lost its holder.
func (p *plan) drop(id fleet.PartitionID, entry *slot) {
	entry.holder, entry.free, entry.released = lease.Member{}, 0, false
	p.setMoving(entry, false)
	p.pend(id)
	if entry.key == 0 {
		entry.lost = true
		p.changed[id] = struct{}{}
	}
}

// released takes note that the holder released a partition to this epoch.
func (p *plan) released(member lease.Member, id fleet.PartitionID) {
	entry := p.slots[id]
	if entry == nil || entry.holder != member {
		return
	}
	entry.holder, entry.free, entry.released = lease.Member{}, 0, true
	p.pend(id)
}

// granted takes note that a member confirmed a grant.
func (p *plan) granted(member lease.Member, grant fleet.Grant) {
	entry := p.slots[grant.Partition]
	if entry == nil {
		return
	}
	entry.granting = ""
	p.hold(member, grant.Partition, entry, grant.Fence)
}

// hold takes note that a member holds a partition.
func (p *plan) hold(member lease.Member, id fleet.PartitionID, entry *slot, fence fleet.Fence) {
	entry.holder, entry.owner, entry.fence, entry.lost = member, member.Server, fence, false
	entry.free, entry.released = 0, false
	p.setMoving(entry, false)
	p.pend(id)
	p.note(id)
}

// note takes note that an assignment has to be published and written.
func (p *plan) note(id fleet.PartitionID) {
	p.changed[id] = struct{}{}
	p.row(int(id) / PartitionsPerRow).dirty = true
}

func (p *plan) row(index int) *placementRow {
	row := p.placed[index]
	if row == nil {
		row = &placementRow{}
		p.placed[index] = row
	}
	return row
}

// adoptHoldings takes over what a member reports to hold and drops what it no longer holds.
func (a *Assigner) adoptHoldings(member lease.Member, holdings []fleet.Grant) {
	reported := make(map[fleet.PartitionID]struct{}, len(holdings))
	for _, grant := range holdings {
		reported[grant.Partition] = struct{}{}
		entry := a.plan.slots[grant.Partition]
		if entry == nil {
			if grant.Key == 0 {
				continue // The configuration has fewer partitions than before; the lease ends what remains.
			}
			entry = a.addEntry(grant.Partition, grant.Key)
		}
		if entry.holder != member {
			a.plan.hold(member, grant.Partition, entry, a.nextFence())
		}
	}
	for id, entry := range a.plan.slots {
		if _, found := reported[id]; !found && entry.holder == member {
			a.plan.drop(id, entry)
			a.forgetRevoke(member.Server, id)
		}
	}
}

func (a *Assigner) nextFence() fleet.Fence {
	a.counter++
	return fleet.Fence{Epoch: a.epoch, Counter: a.counter}
}

// decide orders revocations and grants for the partitions that are not where they should be. Nothing is decided before
// all holdings are known, since an unknown hot-key entry would otherwise be granted along with its hash range.
func (a *Assigner) decide() {
	if len(a.plan.pending) == 0 || !a.ledger.HoldingsKnown() || !a.decisionDue() {
		return
	}
	a.plan.touched, a.plan.decidedAt, a.plan.waiting, a.plan.counts = false, a.now, 0, nil
	now := a.ledger.NextTime()
	for _, id := range sortedKeys(a.plan.pending) {
		entry := a.plan.slots[id]
		switch {
		case entry == nil:
			delete(a.plan.pending, id)
		case entry.held():
			a.decideHeld(id, entry)
		case entry.granting == "":
			a.decideFree(id, entry, now)
		}
	}
}

// decisionDue reports whether a decision may come out otherwise than the last one. Looking at all pending partitions
// upon each report would take longer than a round while a large service gets its first owners.
func (a *Assigner) decisionDue() bool {
	evidence := a.plan.waiting > 0 && a.ledger.MajorityTime() > a.plan.waiting
	return a.plan.touched || evidence || a.now.Sub(a.plan.decidedAt) >= a.Timing.OrderInterval
}

// pend takes note that a partition is not, or may not be, where it should be.
func (p *plan) pend(id fleet.PartitionID) {
	p.pending[id] = struct{}{}
	p.touched = true
}

// decideHeld revokes a partition that should be held by another server.
func (a *Assigner) decideHeld(id fleet.PartitionID, entry *slot) {
	holder := a.servers[entry.holder.Server]
	if entry.moving || holder == nil {
		return
	}
	if entry.target == "" || entry.target == entry.holder.Server {
		delete(a.plan.pending, id)
		return
	}
	if a.plan.moving >= maxMoves || !a.receives(entry.target) || holder.member != entry.holder {
		return
	}
	if !a.ledger.HoldingsKnown() {
		return // No grant is made before that, so that the partition would have no owner until an earlier lease has ended.
	}
	holder.revokes[id] = struct{}{}
	a.plan.setMoving(entry, true)
	entry.fence = a.nextFence()
	a.plan.changed[id] = struct{}{}
}

// decideFree grants a partition once it is free and the evidence suffices, which are rules G2 and G3.
func (a *Assigner) decideFree(id fleet.PartitionID, entry *slot, now lease.LogicalTime) {
	if !a.ledger.IsFree(id) {
		entry.free = 0
		return
	}
	if entry.free == 0 {
		entry.free = now
	}
	if !entry.released && !a.ledger.MayGrant(entry.free) {
		a.wanted = max(a.wanted, entry.free)
		a.plan.waiting = max(a.plan.waiting, entry.free)
		return
	}
	if !a.placementKnown() {
		return
	}
	server := a.destination(entry)
	if server == "" {
		return
	}
	entry.granting = server
	a.forgetRevoke(server, id)
	a.servers[server].grants[id] = a.nextFence()
}

// forgetRevoke ends the repetition of a revocation whose partition was lost in another way. An order must never revoke
// and grant the same partition: the release would be taken for the end of the new holding.
func (a *Assigner) forgetRevoke(id fleet.UpstreamID, partition fleet.PartitionID) {
	if known := a.servers[id]; known != nil {
		delete(known.revokes, partition)
	}
}

// destination returns the server that gets a free partition: the wanted one, else its last owner, else its standby, else
// the one with the fewest partitions.
func (a *Assigner) destination(entry *slot) fleet.UpstreamID {
	for _, server := range []fleet.UpstreamID{entry.target, entry.owner, entry.standby} {
		if server != "" && a.receives(server) {
			return server
		}
	}
	if a.plan.placedFor == nil && a.now.Sub(a.beganAt) < a.Timing.WatcherTimeout {
		return "" // Partitions without any owner wait for the first placement.
	}
	return a.leastLoaded()
}

// receives reports whether a server may be granted partitions.
func (a *Assigner) receives(id fleet.UpstreamID) bool {
	known := a.servers[id]
	return known != nil && a.isLive(known) && known.leaseLeft > 0
}

// isLive reports whether a server is a member that answers and does not leave.
func (a *Assigner) isLive(known *server) bool {
	return known.configured && !known.leaving && known.acceptedAt.After(a.now.Add(-a.Timing.ServerTimeout)) &&
		slices.Contains(a.row.content.Members, known.member)
}

// leastLoaded returns the server that holds the fewest partitions.
func (a *Assigner) leastLoaded() fleet.UpstreamID {
	if a.plan.counts == nil {
		a.plan.counts = make(map[fleet.UpstreamID]int)
		for _, entry := range a.plan.slots {
			if entry.held() {
				a.plan.counts[entry.holder.Server]++
			} else if entry.granting != "" {
				a.plan.counts[entry.granting]++
			}
		}
	}
	var best fleet.UpstreamID
	for _, id := range a.serverOrder() {
		if a.receives(id) && (best == "" || a.plan.counts[id] < a.plan.counts[best]) {
			best = id
		}
	}
	a.plan.counts[best]++
	return best
}
