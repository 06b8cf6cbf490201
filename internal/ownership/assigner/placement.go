package assigner

import (
	"slices"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// maxRowsPerWrite bounds the placement rows of one transaction, whose size the table limits.
const maxRowsPerWrite = 8

// placementRowState is what is known about one placement row.
type placementRowState struct {
	version Version
	// dirty is set while the row in the table differs from the plan.
	dirty bool
}

// SetLoads sets the measured loads of the partitions and requests a new placement.
func (a *Assigner) SetLoads(loads map[fleet.PartitionID]float64) {
	a.plan.loads = loads
	a.plan.placementRequested = true
}

// placePartitions computes a new placement if the live servers have changed or one was requested, once the set of live
// servers has been stable.
func (a *Assigner) placePartitions() {
	if !a.placementKnown() || !a.tracker.HasMajority() {
		return
	}
	var live []Server
	for _, id := range a.sortedServers() {
		if server := a.servers[id]; a.isLive(server) {
			live = append(live, server.spec)
		}
	}
	if !slices.Equal(live, a.plan.liveServers) {
		a.plan.liveServers, a.plan.liveSince = live, a.now
	}
	same := slices.Equal(live, a.plan.placedServers) && !a.plan.placementRequested
	if len(live) == 0 || same || a.now.Sub(a.plan.liveSince) < a.Timing.StabilizationDelay {
		return
	}
	a.plan.placedServers, a.plan.placementRequested = live, false
	for _, placement := range a.Placer.Place(a.currentPlacements(), live) {
		a.applyPlacement(placement)
	}
}

// currentPlacements returns the current placement of each partition, sorted by partition.
func (a *Assigner) currentPlacements() []PartitionPlacement {
	placements := make([]PartitionPlacement, 0, len(a.plan.partitions))
	for id, partition := range a.plan.partitions {
		placements = append(placements, a.placementOf(id, partition))
	}
	slices.SortFunc(placements, func(x, y PartitionPlacement) int { return int(x.Partition) - int(y.Partition) })
	return placements
}

// placementOf returns the current placement of a partition. A partition that is being granted counts as owned by its
// recipient.
func (a *Assigner) placementOf(id fleet.PartitionID, partition *partitionState) PartitionPlacement {
	owner := partition.owner
	if partition.grantingTo != "" {
		owner = partition.grantingTo
	}
	return PartitionPlacement{
		Partition: id, Owner: owner, Standby: partition.standby, Fence: partition.fence, Key: partition.key,
		Load: a.plan.loads[id],
	}
}

// applyPlacement sets the target and the standby of a partition to those that the Placer returned.
func (a *Assigner) applyPlacement(placement PartitionPlacement) {
	partition := a.plan.partitions[placement.Partition]
	if partition == nil {
		return
	}
	if partition.target != placement.Owner && !partition.rejoiningRange {
		partition.target = placement.Owner
		a.plan.markPending(placement.Partition)
	}
	if partition.standby != placement.Standby {
		partition.standby = placement.Standby
		if partition.held() && !partition.moving {
			partition.fence = a.nextFence()
		}
		a.plan.markChanged(placement.Partition)
	}
}

// publishChanges publishes the changed assignments. A hash range that lost its holder is published once without an
// owner, so that routers stop sending requests to the former owner and the time without an owner is measured.
func (a *Assigner) publishChanges() {
	if len(a.plan.unpublished) == 0 && len(a.plan.unpublishedRemovals) == 0 {
		return
	}
	changes := a.plan.unpublishedRemovals
	a.plan.unpublishedRemovals = nil
	for _, id := range sortedKeys(a.plan.unpublished) {
		partition := a.plan.partitions[id]
		if partition == nil || !partition.held() && !partition.lossUnpublished {
			continue
		}
		assignment := fleet.Assignment{
			Partition: id, Owner: partition.owner, Standby: partition.standby, Fence: partition.fence,
			Moving: partition.moving, Key: partition.key,
		}
		if partition.lossUnpublished {
			partition.lossUnpublished, partition.fence = false, a.nextFence()
			assignment.Owner, assignment.Fence = "", partition.fence
		}
		changes = append(changes, assignment)
	}
	clear(a.plan.unpublished)
	if a.Role() == RoleActing && len(changes) > 0 {
		a.emit(Publish{Assignments: changes})
	}
}

// placementKnown reports whether partitions may be granted as far as the placement rows are concerned: either the rows
// were read, or the table has not responded for so long that the holdings of the servers and the known standbys must
// suffice.
func (a *Assigner) placementKnown() bool {
	return a.plan.rowsKnown || a.now.Sub(a.epochStartedAt) > 4*a.Timing.RetryInterval
}

// readPlacementRows reads the placement rows with the given indexes, or all rows if there are none. It does nothing
// while another read is outstanding.
func (a *Assigner) readPlacementRows(rows ...int) {
	if a.plan.readPending {
		return
	}
	a.plan.readPending, a.plan.lastReadAt, a.plan.fullReadGeneration = true, a.now, 0
	if len(rows) == 0 {
		a.plan.fullReadGeneration = a.generation
	}
	a.emit(ReadPlacement{Indexes: rows})
}

func (a *Assigner) readPlacementIfDue() {
	if !a.plan.rowsCurrent && (a.plan.lastReadAt.IsZero() || a.now.Sub(a.plan.lastReadAt) >= a.Timing.RetryInterval) {
		a.readPlacementRows()
	}
}

// HandlePlacementReadFailure handles a failed read of placement rows.
func (a *Assigner) HandlePlacementReadFailure(now time.Time) []Action {
	a.beginCall(now)
	a.plan.readPending = false
	return a.takeActions()
}

// HandlePlacementRead handles the content of placement rows. What this assigner has learned from the servers in its own
// epoch takes precedence.
func (a *Assigner) HandlePlacementRead(now time.Time, rows []PlacementRow) []Action {
	a.beginCall(now)
	a.initPartitions()
	a.plan.readPending, a.plan.rowsKnown = false, true
	a.plan.rowsCurrent = a.plan.rowsCurrent || (a.Role() == RoleActing && a.plan.fullReadGeneration == a.generation)
	for _, row := range rows {
		state := a.plan.row(row.Index)
		state.version = row.Version
		for _, placement := range row.Placements {
			if !a.adoptStoredPlacement(placement) {
				state.dirty = true
			}
		}
	}
	return a.takeActions()
}

// adoptStoredPlacement applies the stored placement of one partition, unless the plan has a newer one. It reports
// whether the plan now agrees with the row.
func (a *Assigner) adoptStoredPlacement(placement PartitionPlacement) bool {
	partition := a.plan.partitions[placement.Partition]
	if partition == nil {
		if placement.Key == 0 {
			return true
		}
		partition = a.addHotKey(placement.Partition, placement.Key)
	}
	if a.Role() == RoleActing && (partition.held() || partition.fence.Epoch == a.epoch) {
		return partition.owner == placement.Owner && partition.standby == placement.Standby && partition.fence == placement.Fence
	}
	partition.owner, partition.standby, partition.fence = placement.Owner, placement.Standby, placement.Fence
	return true
}

// writePlacementRows reads the placement rows if that is due and writes those that have changed.
func (a *Assigner) writePlacementRows() {
	a.readPlacementIfDue()
	due := a.plan.lastWriteAt.IsZero() || a.now.Sub(a.plan.lastWriteAt) >= a.Timing.StabilizationDelay
	if !a.plan.rowsCurrent || a.plan.readPending || a.plan.pendingWrite != nil || !due ||
		a.groupRow.stale || a.groupRow.content.Epoch != a.epoch {
		return
	}
	write := WritePlacement{GroupVersion: a.groupRow.version}
	for _, index := range a.dirtyRows() {
		write.Rows = append(write.Rows, a.buildPlacementRow(index))
		a.plan.row(index).dirty = false
	}
	if len(write.Rows) > 0 {
		a.plan.pendingWrite, a.plan.lastWriteAt = &write, a.now
		a.emit(write)
	}
}

// dirtyRows returns the indexes of the first dirty rows, up to the limit of one transaction.
func (a *Assigner) dirtyRows() []int {
	var dirty []int
	for index, row := range a.plan.rows {
		if row.dirty {
			dirty = append(dirty, index)
		}
	}
	slices.Sort(dirty)
	return dirty[:min(len(dirty), maxRowsPerWrite)]
}

// buildPlacementRow returns the content to write to one placement row.
func (a *Assigner) buildPlacementRow(index int) PlacementRow {
	row := PlacementRow{Index: index, Version: a.plan.row(index).version}
	for id := fleet.PartitionID(index * PartitionsPerRow); id < fleet.PartitionID((index+1)*PartitionsPerRow); id++ {
		if partition := a.plan.partitions[id]; partition != nil {
			placement := a.placementOf(id, partition)
			placement.Owner, placement.Load = partition.owner, 0
			row.Placements = append(row.Placements, placement)
		}
	}
	return row
}

func rowIndexes(rows []PlacementRow) []int {
	indexes := make([]int, 0, len(rows))
	for _, row := range rows {
		indexes = append(indexes, row.Index)
	}
	return indexes
}

// HandlePlacementWritten handles the result of the outstanding write of placement rows. Unless the write failed, the
// rows are read to learn their new versions. After a conflict the group row is read too, since another assigner may have
// written it.
func (a *Assigner) HandlePlacementWritten(now time.Time, result WriteResult) []Action {
	a.beginCall(now)
	write := a.plan.pendingWrite
	a.plan.pendingWrite = nil
	if write == nil {
		return a.takeActions()
	}
	if result != WriteDone {
		for _, row := range write.Rows {
			a.plan.row(row.Index).dirty = true
		}
	}
	switch result {
	case WriteDone, WriteUnknown:
		a.plan.rowWrites++
		a.readPlacementRows(rowIndexes(write.Rows)...)
	case WriteConflict:
		a.readGroupRow()
		a.readPlacementRows()
	case WriteFailed:
		a.plan.lastWriteAt = now.Add(a.Timing.RetryInterval)
	}
	return a.takeActions()
}
