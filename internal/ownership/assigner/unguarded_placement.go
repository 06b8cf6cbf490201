package assigner

import (
	"cmp"
	"slices"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// updatePartitions computes the placement again if the servers have changed, and advances the moves of partitions that
// are not at their target.
func (d *UnguardedAssigner) updatePartitions() {
	if !d.placementRows.known || len(d.servers) == 0 {
		return
	}
	if d.placementRequested {
		d.placementRequested = false
		d.placePartitions()
	}
	var changed []fleet.Assignment
	for i := range d.partitions {
		if d.advanceMove(&d.partitions[i]) {
			changed = append(changed, d.assignmentOf(i))
			d.placementRows.dirty[i/PartitionsPerRow] = struct{}{}
		}
	}
	if len(changed) > 0 {
		d.emit(Publish{Assignments: changed})
	}
}

func (d *UnguardedAssigner) placePartitions() {
	placements := make([]PartitionPlacement, 0, len(d.partitions))
	for i, partition := range d.partitions {
		placements = append(placements, PartitionPlacement{Partition: fleet.PartitionID(i), Owner: partition.owner, Standby: partition.standby, Fence: partition.fence})
	}
	for _, placement := range d.Placer.Place(placements, d.servers) {
		if int(placement.Partition) < len(d.partitions) {
			partition := &d.partitions[placement.Partition]
			partition.target, partition.standby = placement.Owner, placement.Standby
		}
	}
}

// advanceMove performs the next step of moving a partition and reports whether its assignment changed. A partition that
// has had no owner in this epoch gets one immediately, since no confirmation of an earlier epoch outlives the authority
// of its assigner. A partition with an owner is first withdrawn; it gets the new owner when every confirmation of the
// old one has expired, so that no router can still use the old owner or have a request outstanding at it.
func (d *UnguardedAssigner) advanceMove(partition *unguardedPartition) bool {
	switch {
	case partition.target == "" || (partition.target == partition.owner && partition.revokedAt.IsZero() && partition.fence.Epoch == d.epoch):
		return false
	case partition.fence.Epoch != d.epoch:
	case partition.revokedAt.IsZero():
		partition.revokedAt = d.now
		partition.fence = d.nextFence()
		return true
	case d.now.Sub(partition.revokedAt) <= d.Timing.upperBound(d.Timing.ConfirmationTerm):
		return false
	}
	partition.owner, partition.revokedAt, partition.fence = partition.target, time.Time{}, d.nextFence()
	return true
}

func (d *UnguardedAssigner) nextFence() fleet.Fence {
	d.fenceCounter++
	return fleet.Fence{Epoch: d.epoch, Counter: d.fenceCounter}
}

func (d *UnguardedAssigner) assignmentOf(i int) fleet.Assignment {
	partition := d.partitions[i]
	return fleet.Assignment{
		Partition: fleet.PartitionID(i), Owner: partition.owner, Standby: partition.standby, Fence: partition.fence,
		Moving: !partition.revokedAt.IsZero(),
	}
}

// syncPlacementRows reads the placement rows once in each epoch and writes the rows that changed.
func (d *UnguardedAssigner) syncPlacementRows() {
	s := &d.placementRows
	if !s.known {
		if !s.readPending && (s.lastReadAt.IsZero() || d.now.Sub(s.lastReadAt) >= d.Timing.RetryInterval) {
			s.readPending, s.lastReadAt = true, d.now
			d.emit(ReadPlacement{})
		}
		return
	}
	busy := s.readPending || s.writePending || d.groupRow.pendingWrite != nil || d.groupRow.reading
	if busy || d.now.Sub(s.lastWriteAt) < d.Timing.RetryInterval || len(s.dirty) == 0 || d.groupRow.content.Epoch != d.epoch {
		return
	}
	indexes := make([]int, 0, len(s.dirty))
	for index := range s.dirty {
		indexes = append(indexes, index)
	}
	slices.Sort(indexes)
	write := WritePlacement{GroupVersion: d.groupRow.version}
	for _, index := range indexes[:min(len(indexes), maxRowsPerWrite)] {
		delete(s.dirty, index)
		write.Rows = append(write.Rows, d.buildPlacementRow(index))
	}
	s.writePending, s.lastWriteAt = true, d.now
	d.emit(write)
}

func (d *UnguardedAssigner) buildPlacementRow(index int) PlacementRow {
	row := PlacementRow{Index: index, Version: d.placementRows.versions[index]}
	for i := index * PartitionsPerRow; i < min((index+1)*PartitionsPerRow, len(d.partitions)); i++ {
		partition := d.partitions[i]
		row.Placements = append(row.Placements, PartitionPlacement{
			Partition: fleet.PartitionID(i), Owner: partition.owner, Standby: partition.standby, Fence: partition.fence,
		})
	}
	return row
}

// HandlePlacementReadFailure handles a failed read of the placement rows.
func (d *UnguardedAssigner) HandlePlacementReadFailure(now time.Time) []Action {
	d.now, d.placementRows.readPending = now, false
	return d.takeActions()
}

// HandlePlacementRead handles the content of the placement rows.
func (d *UnguardedAssigner) HandlePlacementRead(now time.Time, rows []PlacementRow) []Action {
	d.now, d.placementRows.readPending = now, false
	if !d.acting {
		return d.takeActions()
	}
	d.placementRows.known = true
	for _, row := range rows {
		d.placementRows.versions[row.Index] = row.Version
		for _, placement := range row.Placements {
			if int(placement.Partition) < len(d.partitions) && d.partitions[placement.Partition].fence.Epoch != d.epoch {
				partition := &d.partitions[placement.Partition]
				partition.owner, partition.standby, partition.fence = placement.Owner, placement.Standby, placement.Fence
			}
		}
	}
	return d.takeActions()
}

// HandlePlacementWritten handles the result of the outstanding write of placement rows. Unless the write succeeded,
// which is rare, all rows are read and written again.
func (d *UnguardedAssigner) HandlePlacementWritten(now time.Time, result WriteResult) []Action {
	d.now, d.placementRows.writePending = now, false
	if !d.acting {
		return d.takeActions()
	}
	if result != WriteDone {
		for index := 0; index*PartitionsPerRow < len(d.partitions); index++ {
			d.placementRows.dirty[index] = struct{}{}
		}
	}
	if result != WriteFailed && !d.placementRows.readPending {
		d.placementRows.readPending, d.placementRows.lastReadAt = true, now
		d.emit(ReadPlacement{})
	}
	return d.takeActions()
}

// Confirm replies to a router's request with all changes that the router does not know and the term for which it may use
// the map. It reports false if this host has no authority.
func (d *UnguardedAssigner) Confirm(now time.Time, question ConfirmationRequest) (Confirmation, bool) {
	if !d.HasAuthority(now) || !d.placementRows.known {
		return Confirmation{}, false
	}
	term := min(d.Timing.ConfirmationTerm, d.Timing.lowerBound(d.authorityUntil.Sub(now)))
	confirmation := Confirmation{Number: question.Number, Epoch: d.epoch, Counter: d.fenceCounter, Term: term}
	if question.Epoch == d.epoch && question.Counter == d.fenceCounter {
		return confirmation, true
	}
	for i, partition := range d.partitions {
		if partition.fence.Epoch == d.epoch && (question.Epoch != d.epoch || partition.fence.Counter > question.Counter) {
			confirmation.Changes = append(confirmation.Changes, d.assignmentOf(i))
		}
	}
	slices.SortFunc(confirmation.Changes, func(x, y fleet.Assignment) int {
		return cmp.Compare(x.Fence.Counter, y.Fence.Counter)
	})
	return confirmation, true
}
