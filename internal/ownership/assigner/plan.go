package assigner

import (
	"slices"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/ownership/lease"
)

// maxPlannedMoves bounds the planned moves in progress, and so the requests that wait for a move at the same time.
const maxPlannedMoves = 32

// plan is the current and the desired placement of all partitions, and what is known about the stored placement rows.
type plan struct {
	partitions map[fleet.PartitionID]*partitionState
	// pending holds the partitions that are possibly not held by their target.
	pending map[fleet.PartitionID]struct{}
	// unpublished holds the partitions whose assignment has changed since it was last published.
	unpublished map[fleet.PartitionID]struct{}
	// unpublishedRemovals are the removed hot-key entries whose removal has not been published.
	unpublishedRemovals []fleet.Assignment
	// inputsChanged is set when anything but the evidence has changed that a decision about pending partitions depends
	// on.
	inputsChanged bool
	// decidedAt is the time of the last decision, and awaitedEvidence the stamp that the evidence must exceed for the
	// grants that it put off; zero if it put off none.
	decidedAt           time.Time
	awaitedMajorityTime lease.LogicalTime
	// partitionCounts holds the number of partitions of each server during one decision; nil until it is needed.
	partitionCounts map[fleet.UpstreamID]int
	// movingCount is the number of partitions that are moving.
	movingCount int

	// liveServers is the current set of live servers, unchanged since liveSince. placedServers is the set for which the
	// last placement was computed, and placementRequested asks for another one for the same set.
	liveServers        []Server
	liveSince          time.Time
	placedServers      []Server
	placementRequested bool
	// memberChangeSince is the time since which the desired members have differed from the current ones.
	memberChangeSince time.Time

	// hotKeyVersion increases with each change of the hot-key entries.
	hotKeyVersion uint64
	loads         map[fleet.PartitionID]float64

	// rowsKnown is set once the placement rows have been read, by this process as the deputy or in this epoch.
	// rowsCurrent is set once they have been read in this epoch; before that they must not be written.
	rowsKnown   bool
	rowsCurrent bool
	readPending bool
	lastReadAt  time.Time
	// fullReadGeneration is the generation in which the outstanding read of all rows was started; zero if the read
	// covers only some rows.
	fullReadGeneration uint64
	pendingWrite       *WritePlacement
	lastWriteAt        time.Time
	rows               map[int]*placementRowState
	// rowWrites counts the writes of placement rows that took effect or may have done so.
	rowWrites uint64
}

// partitionState is the state of one partition, which is a hash range or a hot-key entry.
type partitionState struct {
	// holder is the member that holds the partition; its server is empty if no member is known to hold it.
	holder lease.Member
	// owner is the server that last held the partition, or the owner in the placement row.
	owner   fleet.UpstreamID
	standby fleet.UpstreamID
	// target is the server that should hold the partition; empty while there is no decision.
	target fleet.UpstreamID
	fence  fleet.Fence
	key    fleet.KeyHash
	// grantingTo is the server to which an unconfirmed grant was sent; empty if there is none.
	grantingTo fleet.UpstreamID
	// freeSince is the stamp at which the partition was found to be free; zero while it is not.
	freeSince lease.LogicalTime
	// released is set when the holder has released the partition in this epoch.
	released bool
	// moving is set from the revocation at the holder to the confirmed grant.
	moving bool
	// lossUnpublished is set from the loss of the holder until the loss is published.
	lossUnpublished bool
	// rejoiningRange is set while the entry of a key that is no longer hot moves to the holder of its hash range.
	rejoiningRange bool
}

func (s *partitionState) held() bool {
	return s.holder.Server != ""
}

// reset discards at the start of an epoch what was known about the holders of partitions.
func (p *plan) reset() {
	p.movingCount = 0
	for id, partition := range p.partitions {
		*partition = partitionState{
			owner: partition.owner, standby: partition.standby, target: partition.target,
			fence: partition.fence, key: partition.key,
		}
		p.markPending(id)
	}
	p.liveServers, p.placedServers, p.memberChangeSince = nil, nil, time.Time{}
	p.rowsCurrent = false
	for _, row := range p.rows {
		row.dirty = false
	}
	p.hotKeyVersion++
}

// setMoving sets the moving flag of a partition and updates movingCount.
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

// dropMember records that the lease of a member has ended.
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

// dropHolder records that a partition lost its holder.
func (p *plan) dropHolder(id fleet.PartitionID, partition *partitionState) {
	partition.holder, partition.freeSince, partition.released = lease.Member{}, 0, false
	p.setMoving(partition, false)
	p.markPending(id)
	if partition.key == 0 {
		partition.lossUnpublished = true
		p.unpublished[id] = struct{}{}
	}
}

// recordRelease records that the holder released a partition in this epoch.
func (p *plan) recordRelease(member lease.Member, id fleet.PartitionID) {
	partition := p.partitions[id]
	if partition == nil || partition.holder != member {
		return
	}
	partition.holder, partition.freeSince, partition.released = lease.Member{}, 0, true
	p.markPending(id)
}

// recordGrant records that a member confirmed a grant.
func (p *plan) recordGrant(member lease.Member, grant fleet.Grant) {
	partition := p.partitions[grant.Partition]
	if partition == nil {
		return
	}
	partition.grantingTo = ""
	p.setHolder(member, grant.Partition, partition, grant.Fence)
}

// setHolder records that a member holds a partition.
func (p *plan) setHolder(member lease.Member, id fleet.PartitionID, partition *partitionState, fence fleet.Fence) {
	partition.holder, partition.owner, partition.fence, partition.lossUnpublished = member, member.Server, fence, false
	partition.freeSince, partition.released = 0, false
	p.setMoving(partition, false)
	p.markPending(id)
	p.markChanged(id)
}

// markChanged records that an assignment must be published and written.
func (p *plan) markChanged(id fleet.PartitionID) {
	p.unpublished[id] = struct{}{}
	p.row(int(id) / PartitionsPerRow).dirty = true
}

// row returns the state of a placement row and creates it if it is missing.
func (p *plan) row(index int) *placementRowState {
	row := p.rows[index]
	if row == nil {
		row = &placementRowState{}
		p.rows[index] = row
	}
	return row
}

// adoptHoldings records the partitions that a member reports to hold, and drops those that it no longer holds.
func (a *Assigner) adoptHoldings(member lease.Member, holdings []fleet.Grant) {
	reported := make(map[fleet.PartitionID]struct{}, len(holdings))
	for _, grant := range holdings {
		reported[grant.Partition] = struct{}{}
		partition := a.plan.partitions[grant.Partition]
		if partition == nil {
			if grant.Key == 0 {
				continue // The partition count was reduced; what remains of higher partitions ends with the lease.
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

// nextFence returns a fence that is higher than all earlier fences of this epoch.
func (a *Assigner) nextFence() fleet.Fence {
	a.fenceCounter++
	return fleet.Fence{Epoch: a.epoch, Counter: a.fenceCounter}
}

// decidePending revokes and grants partitions that are not held by their target. It decides nothing until all holdings
// are known, since the hash range of an unknown hot-key entry would otherwise be granted together with that key.
func (a *Assigner) decidePending() {
	if len(a.plan.pending) == 0 || !a.tracker.HoldingsKnown() || !a.decisionDue() {
		return
	}
	a.plan.inputsChanged, a.plan.decidedAt, a.plan.awaitedMajorityTime, a.plan.partitionCounts = false, a.now, 0, nil
	now := a.tracker.NextTime()
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

// decisionDue reports whether a decision may differ from the last one. Examining all pending partitions upon each report
// would take longer than an order interval while a large service gets its first owners.
func (a *Assigner) decisionDue() bool {
	evidence := a.plan.awaitedMajorityTime > 0 && a.tracker.MajorityTime() > a.plan.awaitedMajorityTime
	return a.plan.inputsChanged || evidence || a.now.Sub(a.plan.decidedAt) >= a.Timing.OrderInterval
}

// markPending records that a partition is possibly not held by its target.
func (p *plan) markPending(id fleet.PartitionID) {
	p.pending[id] = struct{}{}
	p.inputsChanged = true
}

// revokeIfMisplaced revokes a held partition whose target is another server.
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
	if !a.tracker.HoldingsKnown() {
		return // Grants wait for all holdings, so that the partition would stay without an owner.
	}
	holder.revokes[id] = struct{}{}
	a.plan.setMoving(partition, true)
	partition.fence = a.nextFence()
	a.plan.unpublished[id] = struct{}{}
}

// grantIfFree grants a partition that no member can hold (rule G3) once a majority has accepted later orders (rule G2).
func (a *Assigner) grantIfFree(id fleet.PartitionID, partition *partitionState, now lease.LogicalTime) {
	if !a.tracker.IsFree(id) {
		partition.freeSince = 0
		return
	}
	if partition.freeSince == 0 {
		partition.freeSince = now
	}
	if !partition.released && !a.tracker.MayGrant(partition.freeSince) {
		a.wantedMajorityTime = max(a.wantedMajorityTime, partition.freeSince)
		a.plan.awaitedMajorityTime = max(a.plan.awaitedMajorityTime, partition.freeSince)
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

// cancelRevoke stops repeating a revocation of a partition that its holder has lost otherwise. An order must never
// revoke and grant the same partition, because the release would be mistaken for the release of the new grant.
func (a *Assigner) cancelRevoke(id fleet.UpstreamID, partition fleet.PartitionID) {
	if server := a.servers[id]; server != nil {
		delete(server.revokes, partition)
	}
}

// chooseRecipient returns the server that a free partition is granted to: its target, else its last owner, else its
// standby, else the server with the fewest partitions.
func (a *Assigner) chooseRecipient(partition *partitionState) fleet.UpstreamID {
	for _, server := range []fleet.UpstreamID{partition.target, partition.owner, partition.standby} {
		if server != "" && a.mayReceiveGrants(server) {
			return server
		}
	}
	if a.plan.placedServers == nil && a.now.Sub(a.epochStartedAt) < a.Timing.WatcherTimeout {
		return "" // Partitions that never had an owner wait for the first placement.
	}
	return a.serverWithFewestPartitions()
}

// mayReceiveGrants reports whether partitions may be granted to a server.
func (a *Assigner) mayReceiveGrants(id fleet.UpstreamID) bool {
	server := a.servers[id]
	return server != nil && a.isLive(server) && server.leaseLeft > 0
}

// isLive reports whether a server is a configured member that accepts orders and is not leaving.
func (a *Assigner) isLive(server *serverState) bool {
	return server.configured && !server.leaving && server.acceptedAt.After(a.now.Add(-a.Timing.ServerTimeout)) &&
		slices.Contains(a.groupRow.content.Members, server.member)
}

// serverWithFewestPartitions returns the server with the fewest held or granted partitions, and counts the next grant to
// it.
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
