package assigner

import (
	"slices"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/ownership/lease"
)

// maxMoves bounds the planned moves in progress, so that few requests wait for a move at one time.
const maxPlannedMoves = 32

// plan is what an assigner knows and wants about the partitions.
type plan struct {
	partitions map[fleet.PartitionID]*partitionState
	// pending contains the partitions that are not held by the server that should hold them.
	pending map[fleet.PartitionID]struct{}
	// changed contains the partitions whose assignment has not been published yet.
	unpublished map[fleet.PartitionID]struct{}
	// removed contains the hot-key entries whose removal has not been published yet.
	unpublishedRemovals []fleet.Assignment
	// touched is set when something changed that a decision about pending partitions depends on, besides evidence.
	inputsChanged bool
	// decidedAt is the time of the last decision, and waiting the stamp beyond which it wanted evidence; zero if none.
	decidedAt       time.Time
	awaitedEvidence lease.Stamp
	// counts holds the partitions of each server during one decision, once they were needed.
	partitionCounts map[fleet.UpstreamID]int
	// moving counts the slots that are moving.
	movingCount int

	// live is the set of servers last seen, since liveSince; placed is the one that was last placed for.
	liveServers        []Server
	liveSince          time.Time
	placedServers      []Server
	placementRequested bool
	// memberChange is the time since which other members are wanted.
	memberChangeSince time.Time

	// entryVersion rises with each change of the hot-key entries.
	hotKeyVersion uint64
	loads         map[fleet.PartitionID]float64

	// known is set once the placement rows were read by this run as a deputy or in this epoch, and current once they
	// were read in this epoch; without that they must not be written.
	rowsKnown   bool
	rowsCurrent bool
	readPending bool
	lastReadAt  time.Time
	// readRun is the run in which the outstanding read of all rows was begun; zero if it reads only some.
	fullReadGeneration uint64
	pendingWrite       *WritePlacement
	lastWriteAt        time.Time
	rows               map[int]*placementRowState
	// writes counts the writes of placement rows that took effect.
	rowWrites uint64
}

// slot is one partition.
type partitionState struct {
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
	grantingTo fleet.UpstreamID
	// free is the stamp at which the partition was found free; zero while it is not.
	freeSince lease.Stamp
	// released is set when the holder released it to this epoch.
	released bool
	// moving is set from the revocation to the grant.
	moving bool
	// lost is set from the loss of the holder until that is published.
	lossUnpublished bool
	// rejoining is set while an unwanted hot-key entry is on its way to the holder of its hash range.
	rejoiningRange bool
}

func (s *partitionState) held() bool {
	return s.holder.Server != ""
}

// reset forgets who holds what at the beginning of an epoch.
func (p *plan) reset() {
	p.movingCount = 0
	for id, partition := range p.partitions {
		*partition = partitionState{owner: partition.owner, standby: partition.standby, target: partition.target, fence: partition.fence, key: partition.key}
		p.markPending(id)
	}
	p.liveServers, p.placedServers, p.memberChangeSince = nil, nil, time.Time{}
	p.rowsCurrent = false
	for _, row := range p.rows {
		row.dirty = false
	}
	p.hotKeyVersion++
}

func (p *plan) setMoving(partition *partitionState, moving bool) {
	if partition.moving != moving {
		partition.moving = moving
		if moving {
			p.movingCount++
		} else {
			p.movingCount--
		}
	}
}

// lost takes note that the lease of a member has ended.
func (p *plan) dropMember(member lease.Member) {
	for id, partition := range p.partitions {
		if partition.holder == member {
			p.dropHolder(id, partition)
		}
		if partition.grantingTo == member.Server {
			partition.grantingTo = ""
			p.markPending(id)
		}
	}
}

// drop takes note that a partition lost its holder.
func (p *plan) dropHolder(id fleet.PartitionID, partition *partitionState) {
	partition.holder, partition.freeSince, partition.released = lease.Member{}, 0, false
	p.setMoving(partition, false)
	p.markPending(id)
	if partition.key == 0 {
		partition.lossUnpublished = true
		p.unpublished[id] = struct{}{}
	}
}

// released takes note that the holder released a partition to this epoch.
func (p *plan) recordRelease(member lease.Member, id fleet.PartitionID) {
	partition := p.partitions[id]
	if partition == nil || partition.holder != member {
		return
	}
	partition.holder, partition.freeSince, partition.released = lease.Member{}, 0, true
	p.markPending(id)
}

// granted takes note that a member confirmed a grant.
func (p *plan) recordGrant(member lease.Member, grant fleet.Grant) {
	partition := p.partitions[grant.Partition]
	if partition == nil {
		return
	}
	partition.grantingTo = ""
	p.setHolder(member, grant.Partition, partition, grant.Fence)
}

// hold takes note that a member holds a partition.
func (p *plan) setHolder(member lease.Member, id fleet.PartitionID, partition *partitionState, fence fleet.Fence) {
	partition.holder, partition.owner, partition.fence, partition.lossUnpublished = member, member.Server, fence, false
	partition.freeSince, partition.released = 0, false
	p.setMoving(partition, false)
	p.markPending(id)
	p.markChanged(id)
}

// note takes note that an assignment has to be published and written.
func (p *plan) markChanged(id fleet.PartitionID) {
	p.unpublished[id] = struct{}{}
	p.row(int(id) / PartitionsPerRow).dirty = true
}

func (p *plan) row(index int) *placementRowState {
	row := p.rows[index]
	if row == nil {
		row = &placementRowState{}
		p.rows[index] = row
	}
	return row
}

// adoptHoldings takes over what a member reports to hold and drops what it no longer holds.
func (a *Assigner) adoptHoldings(member lease.Member, holdings []fleet.Grant) {
	reported := make(map[fleet.PartitionID]struct{}, len(holdings))
	for _, grant := range holdings {
		reported[grant.Partition] = struct{}{}
		partition := a.plan.partitions[grant.Partition]
		if partition == nil {
			if grant.Key == 0 {
				continue // The configuration has fewer partitions than before; the lease ends what remains.
			}
			partition = a.addHotKey(grant.Partition, grant.Key)
		}
		if partition.holder != member {
			a.plan.setHolder(member, grant.Partition, partition, a.nextFence())
		}
	}
	for id, partition := range a.plan.partitions {
		if _, found := reported[id]; !found && partition.holder == member {
			a.plan.dropHolder(id, partition)
			a.cancelRevoke(member.Server, id)
		}
	}
}

func (a *Assigner) nextFence() fleet.Fence {
	a.fenceCounter++
	return fleet.Fence{Epoch: a.epoch, Counter: a.fenceCounter}
}

// decide orders revocations and grants for the partitions that are not where they should be. Nothing is decided before
// all holdings are known, since an unknown hot-key entry would otherwise be granted along with its hash range.
func (a *Assigner) decidePending() {
	if len(a.plan.pending) == 0 || !a.ledger.Complete() || !a.decisionDue() {
		return
	}
	a.plan.inputsChanged, a.plan.decidedAt, a.plan.awaitedEvidence, a.plan.partitionCounts = false, a.now, 0, nil
	now := a.ledger.Tick()
	for _, id := range sortedKeys(a.plan.pending) {
		partition := a.plan.partitions[id]
		switch {
		case partition == nil:
			delete(a.plan.pending, id)
		case partition.held():
			a.revokeIfMisplaced(id, partition)
		case partition.grantingTo == "":
			a.grantIfFree(id, partition, now)
		}
	}
}

// decisionDue reports whether a decision may come out otherwise than the last one. Looking at all pending partitions
// upon each report would take longer than a round while a large service gets its first owners.
func (a *Assigner) decisionDue() bool {
	evidence := a.plan.awaitedEvidence > 0 && a.ledger.Evidence() > a.plan.awaitedEvidence
	return a.plan.inputsChanged || evidence || a.now.Sub(a.plan.decidedAt) >= a.Timing.OrderInterval
}

// pend takes note that a partition is not, or may not be, where it should be.
func (p *plan) markPending(id fleet.PartitionID) {
	p.pending[id] = struct{}{}
	p.inputsChanged = true
}

// decideHeld revokes a partition that should be held by another server.
func (a *Assigner) revokeIfMisplaced(id fleet.PartitionID, partition *partitionState) {
	holder := a.servers[partition.holder.Server]
	if partition.moving || holder == nil {
		return
	}
	if partition.target == "" || partition.target == partition.holder.Server {
		delete(a.plan.pending, id)
		return
	}
	if a.plan.movingCount >= maxPlannedMoves || !a.mayReceiveGrants(partition.target) || holder.member != partition.holder {
		return
	}
	if !a.ledger.Complete() {
		return // No grant is made before that, so that the partition would have no owner until an earlier lease has ended.
	}
	holder.revokes[id] = struct{}{}
	a.plan.setMoving(partition, true)
	partition.fence = a.nextFence()
	a.plan.unpublished[id] = struct{}{}
}

// decideFree grants a partition once it is free and the evidence suffices, which are rules G2 and G3.
func (a *Assigner) grantIfFree(id fleet.PartitionID, partition *partitionState, now lease.Stamp) {
	if !a.ledger.Free(id) {
		partition.freeSince = 0
		return
	}
	if partition.freeSince == 0 {
		partition.freeSince = now
	}
	if !partition.released && !a.ledger.MayGrant(partition.freeSince) {
		a.wantedEvidence = max(a.wantedEvidence, partition.freeSince)
		a.plan.awaitedEvidence = max(a.plan.awaitedEvidence, partition.freeSince)
		return
	}
	if !a.placementKnown() {
		return
	}
	server := a.chooseRecipient(partition)
	if server == "" {
		return
	}
	partition.grantingTo = server
	a.cancelRevoke(server, id)
	a.servers[server].grants[id] = a.nextFence()
}

// forgetRevoke ends the repetition of a revocation whose partition was lost in another way. An order must never revoke
// and grant the same partition: the release would be taken for the end of the new holding.
func (a *Assigner) cancelRevoke(id fleet.UpstreamID, partition fleet.PartitionID) {
	if server := a.servers[id]; server != nil {
		delete(server.revokes, partition)
	}
}

// destination returns the server that gets a free partition: the wanted one, else its last owner, else its standby, else
// the one with the fewest partitions.
func (a *Assigner) chooseRecipient(partition *partitionState) fleet.UpstreamID {
	for _, server := range []fleet.UpstreamID{partition.target, partition.owner, partition.standby} {
		if server != "" && a.mayReceiveGrants(server) {
			return server
		}
	}
	if a.plan.placedServers == nil && a.now.Sub(a.epochStartedAt) < a.Timing.WatcherTimeout {
		return "" // Partitions without any owner wait for the first placement.
	}
	return a.serverWithFewestPartitions()
}

// receives reports whether a server may be granted partitions.
func (a *Assigner) mayReceiveGrants(id fleet.UpstreamID) bool {
	server := a.servers[id]
	return server != nil && a.isLive(server) && server.leaseLeft > 0
}

// isLive reports whether a server is a member that answers and does not leave.
func (a *Assigner) isLive(server *serverState) bool {
	return server.configured && !server.leaving && server.acceptedAt.After(a.now.Add(-a.Timing.ServerTimeout)) &&
		slices.Contains(a.groupRow.content.Members, server.member)
}

// leastLoaded returns the server that holds the fewest partitions.
func (a *Assigner) serverWithFewestPartitions() fleet.UpstreamID {
	if a.plan.partitionCounts == nil {
		a.plan.partitionCounts = make(map[fleet.UpstreamID]int)
		for _, partition := range a.plan.partitions {
			if partition.held() {
				a.plan.partitionCounts[partition.holder.Server]++
			} else if partition.grantingTo != "" {
				a.plan.partitionCounts[partition.grantingTo]++
			}
		}
	}
	var best fleet.UpstreamID
	for _, id := range a.sortedServers() {
		if a.mayReceiveGrants(id) && (best == "" || a.plan.partitionCounts[id] < a.plan.partitionCounts[best]) {
			best = id
		}
	}
	a.plan.partitionCounts[best]++
	return best
}
