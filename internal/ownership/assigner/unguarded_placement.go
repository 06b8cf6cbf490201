package assigner

import (
	"cmp"
	"slices"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// updatePartitions computes the placement again if the servers have changed, and advances the moves of partitions that
// are not at their target.
func (u *UnguardedAssigner) updatePartitions() {
	if !u.placementRows.known || len(u.servers) == 0 {
		return
	}
	if u.placementRequested {
		u.placementRequested = false
		u.placePartitions()
	}
	var changed []fleet.Assignment
	for i := range u.partitions {
		if u.advanceMove(&u.partitions[i]) {
			changed = append(changed, u.assignmentOf(i))
			u.placementRows.dirty[i/PartitionsPerRow] = struct{}{}
		}
	}
	if len(changed) > 0 {
		u.emit(Publish{Assignments: changed})
	}
}

// placePartitions sets the target and the standby of each partition to those that the Placer returns.
func (u *UnguardedAssigner) placePartitions() {
	placements := make([]PartitionPlacement, 0, len(u.partitions))
	for i, partition := range u.partitions {
		placements = append(placements, PartitionPlacement{
			Partition: fleet.PartitionID(i),
			Owner:     partition.owner, Standby: partition.standby, Fence: partition.fence,
		})
	}
	for _, placement := range u.Placer.Place(placements, u.servers) {
		if int(placement.Partition) < len(u.partitions) {
			partition := &u.partitions[placement.Partition]
			partition.target, partition.standby = placement.Owner, placement.Standby
		}
	}
}

// advanceMove performs the next step of moving a partition and reports whether its assignment changed. A partition that
// has had no owner in this epoch gets one immediately, since no confirmation of an earlier epoch outlives the authority
// of its assigner. A partition with an owner is first withdrawn; it gets the new owner when every confirmation of the
// old one has expired, so that no router can still use the old owner or have a request outstanding at it.
func (u *UnguardedAssigner) advanceMove(partition *unguardedPartition) bool {
	switch {
	case partition.target == "" ||
		(partition.target == partition.owner && partition.revokedAt.IsZero() && partition.fence.Epoch == u.epoch):
		return false
	case partition.fence.Epoch != u.epoch:
	case partition.revokedAt.IsZero():
		partition.revokedAt = u.now
		partition.fence = u.nextFence()
		return true
	case u.now.Sub(partition.revokedAt) <= u.Timing.upperBound(u.Timing.ConfirmationDuration):
		return false
	}
	partition.owner, partition.revokedAt, partition.fence = partition.target, time.Time{}, u.nextFence()
	return true
}

func (u *UnguardedAssigner) nextFence() fleet.Fence {
	u.fenceCounter++
	return fleet.Fence{Epoch: u.epoch, Counter: u.fenceCounter}
}

func (u *UnguardedAssigner) assignmentOf(i int) fleet.Assignment {
	partition := u.partitions[i]
	return fleet.Assignment{
		Partition: fleet.PartitionID(i), Owner: partition.owner, Standby: partition.standby, Fence: partition.fence,
		Moving: !partition.revokedAt.IsZero(),
	}
}

// syncPlacementRows reads the placement rows once in each epoch and writes the rows that changed.
func (u *UnguardedAssigner) syncPlacementRows() {
	s := &u.placementRows
	if !s.known {
		if !s.readPending && (s.lastReadAt.IsZero() || u.now.Sub(s.lastReadAt) >= u.Timing.RetryInterval) {
			s.readPending, s.lastReadAt = true, u.now
			u.emit(ReadPlacement{})
		}
		return
	}
	busy := s.readPending || s.writePending || u.groupRow.pendingWrite != nil || u.groupRow.reading
	if busy || u.now.Sub(s.lastWriteAt) < u.Timing.RetryInterval || len(s.dirty) == 0 || u.groupRow.content.Epoch != u.epoch {
		return
	}
	indexes := make([]int, 0, len(s.dirty))
	for index := range s.dirty {
		indexes = append(indexes, index)
	}
	slices.Sort(indexes)
	write := WritePlacement{GroupVersion: u.groupRow.version}
	for _, index := range indexes[:min(len(indexes), maxRowsPerWrite)] {
		delete(s.dirty, index)
		write.Rows = append(write.Rows, u.buildPlacementRow(index))
	}
	s.writePending, s.lastWriteAt = true, u.now
	u.emit(write)
}

// buildPlacementRow returns the content to write to one placement row.
func (u *UnguardedAssigner) buildPlacementRow(index int) PlacementRow {
	row := PlacementRow{Index: index, Version: u.placementRows.versions[index]}
	for i := index * PartitionsPerRow; i < min((index+1)*PartitionsPerRow, len(u.partitions)); i++ {
		partition := u.partitions[i]
		row.Placements = append(row.Placements, PartitionPlacement{
			Partition: fleet.PartitionID(i), Owner: partition.owner, Standby: partition.standby, Fence: partition.fence,
		})
	}
	return row
}

// HandlePlacementReadFailure handles a failed read of the placement rows.
func (u *UnguardedAssigner) HandlePlacementReadFailure(now time.Time) []Action {
	u.now, u.placementRows.readPending = now, false
	return u.takeActions()
}

// HandlePlacementRead handles the content of the placement rows.
func (u *UnguardedAssigner) HandlePlacementRead(now time.Time, rows []PlacementRow) []Action {
	u.now, u.placementRows.readPending = now, false
	if !u.acting {
		return u.takeActions()
	}
	u.placementRows.known = true
	for _, row := range rows {
		u.placementRows.versions[row.Index] = row.Version
		for _, placement := range row.Placements {
			if int(placement.Partition) < len(u.partitions) && u.partitions[placement.Partition].fence.Epoch != u.epoch {
				partition := &u.partitions[placement.Partition]
				partition.owner, partition.standby, partition.fence = placement.Owner, placement.Standby, placement.Fence
			}
		}
	}
	return u.takeActions()
}

// HandlePlacementWritten handles the result of the outstanding write of placement rows. Unless the write succeeded,
// which is rare, all rows are read and written again.
func (u *UnguardedAssigner) HandlePlacementWritten(now time.Time, result WriteResult) []Action {
	u.now, u.placementRows.writePending = now, false
	if !u.acting {
		return u.takeActions()
	}
	if result != WriteDone {
		for index := 0; index*PartitionsPerRow < len(u.partitions); index++ {
			u.placementRows.dirty[index] = struct{}{}
		}
	}
	if result != WriteFailed && !u.placementRows.readPending {
		u.placementRows.readPending, u.placementRows.lastReadAt = true, now
		u.emit(ReadPlacement{})
	}
	return u.takeActions()
}

// Confirm replies to a router's request with all changes that the router does not know and the term for which it may use
// the map. It reports false if this host has no authority.
func (u *UnguardedAssigner) Confirm(now time.Time, request ConfirmationRequest) (Confirmation, bool) {
	if !u.HasAuthority(now) || !u.placementRows.known {
		return Confirmation{}, false
	}
	term := min(u.Timing.ConfirmationDuration, u.Timing.lowerBound(u.authorityUntil.Sub(now)))
	confirmation := Confirmation{Number: request.Number, Epoch: u.epoch, Counter: u.fenceCounter, Duration: term}
	if request.Epoch == u.epoch && request.Counter == u.fenceCounter {
		return confirmation, true
	}
	for i, partition := range u.partitions {
		if partition.fence.Epoch == u.epoch && (request.Epoch != u.epoch || partition.fence.Counter > request.Counter) {
			confirmation.Changes = append(confirmation.Changes, u.assignmentOf(i))
		}
	}
	slices.SortFunc(confirmation.Changes, func(x, y fleet.Assignment) int {
		return cmp.Compare(x.Fence.Counter, y.Fence.Counter)
	})
	return confirmation, true
}
