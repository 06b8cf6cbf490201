package assigner

import (
	"cmp"
	"slices"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// tickSlots places the partitions when the servers have changed, and moves those that are not where they should be.
func (d *UnguardedAssigner) tickSlots() {
	if !d.store.known || len(d.servers) == 0 {
		return
	}
	if d.replace {
		d.replace = false
		d.place()
	}
	var changed []fleet.Assignment
	for i := range d.slots {
		if d.move(&d.slots[i]) {
			changed = append(changed, d.assignment(i))
			d.store.dirty[i/PartitionsPerRow] = struct{}{}
		}
	}
	if len(changed) > 0 {
		d.do(Publish{Assignments: changed})
	}
}

func (d *UnguardedAssigner) place() {
	places := make([]PartitionPlacement, 0, len(d.slots))
	for i, entry := range d.slots {
		places = append(places, PartitionPlacement{Partition: fleet.PartitionID(i), Owner: entry.owner, Standby: entry.standby, Fence: entry.fence})
	}
	for _, place := range d.Placer.Place(places, d.servers) {
		if int(place.Partition) < len(d.slots) {
			entry := &d.slots[place.Partition]
			entry.target, entry.standby = place.Owner, place.Standby
		}
	}
}

// move takes the next step of moving a partition and reports whether its assignment changed. A partition without owner
// in this epoch gets one at once, since no confirmation of an earlier epoch outlives the authority of its assigner. One
// that has an owner is first withdrawn, and gets the new owner when no router can still use the old one or have a request
// outstanding at it.
func (d *UnguardedAssigner) move(entry *directSlot) bool {
	switch {
	case entry.target == "" || (entry.target == entry.owner && entry.revoked.IsZero() && entry.fence.Epoch == d.epoch):
		return false
	case entry.fence.Epoch != d.epoch:
	case entry.revoked.IsZero():
		entry.revoked = d.now
		entry.fence = d.nextFence()
		return true
	case d.now.Sub(entry.revoked) <= d.Timing.bound(d.Timing.ConfirmationTerm):
		return false
	}
	entry.owner, entry.revoked, entry.fence = entry.target, time.Time{}, d.nextFence()
	return true
}

func (d *UnguardedAssigner) nextFence() fleet.Fence {
	d.counter++
	return fleet.Fence{Epoch: d.epoch, Counter: d.counter}
}

func (d *UnguardedAssigner) assignment(i int) fleet.Assignment {
	entry := d.slots[i]
	return fleet.Assignment{
		Partition: fleet.PartitionID(i), Owner: entry.owner, Standby: entry.standby, Fence: entry.fence,
		Moving: !entry.revoked.IsZero(),
	}
}

// tickStore reads the placement rows once in each epoch and writes those that changed.
func (d *UnguardedAssigner) tickStore() {
	s := &d.store
	if !s.known {
		if !s.reading && (s.readAt.IsZero() || d.now.Sub(s.readAt) >= d.Timing.RetryInterval) {
			s.reading, s.readAt = true, d.now
			d.do(ReadPlacement{})
		}
		return
	}
	busy := s.reading || s.writing || d.row.writing != nil || d.row.reading
	if busy || d.now.Sub(s.writeAt) < d.Timing.RetryInterval || len(s.dirty) == 0 || d.row.content.Epoch != d.epoch {
		return
	}
	indexes := make([]int, 0, len(s.dirty))
	for index := range s.dirty {
		indexes = append(indexes, index)
	}
	slices.Sort(indexes)
	write := WritePlacement{GroupVersion: d.row.version}
	for _, index := range indexes[:min(len(indexes), maxRowsWritten)] {
		delete(s.dirty, index)
		write.Rows = append(write.Rows, d.stored(index))
	}
	s.writing, s.writeAt = true, d.now
	d.do(write)
}

func (d *UnguardedAssigner) stored(index int) PlacementRow {
	row := PlacementRow{Index: index, Version: d.store.versions[index]}
	for i := index * PartitionsPerRow; i < min((index+1)*PartitionsPerRow, len(d.slots)); i++ {
		entry := d.slots[i]
		row.Placements = append(row.Placements, PartitionPlacement{
			Partition: fleet.PartitionID(i), Owner: entry.owner, Standby: entry.standby, Fence: entry.fence,
		})
	}
	return row
}

// PlacementUnread tells that the placement rows could not be read.
func (d *UnguardedAssigner) PlacementUnread(now time.Time) []Action {
	d.now, d.store.reading = now, false
	return d.leave()
}

// PlacementRead tells what the placement rows contained.
func (d *UnguardedAssigner) PlacementRead(now time.Time, rows []PlacementRow) []Action {
	d.now, d.store.reading = now, false
	if !d.acting {
		return d.leave()
	}
	d.store.known = true
	for _, row := range rows {
		d.store.versions[row.Index] = row.Version
		for _, place := range row.Placements {
			if int(place.Partition) < len(d.slots) && d.slots[place.Partition].fence.Epoch != d.epoch {
				entry := &d.slots[place.Partition]
				entry.owner, entry.standby, entry.fence = place.Owner, place.Standby, place.Fence
			}
		}
	}
	return d.leave()
}

// PlacementWritten tells how the outstanding write of placement rows ended. After anything but a success the rows are
// read again and written as a whole, which is rare.
func (d *UnguardedAssigner) PlacementWritten(now time.Time, result WriteResult) []Action {
	d.now, d.store.writing = now, false
	if !d.acting {
		return d.leave()
	}
	if result != WriteDone {
		for index := 0; index*PartitionsPerRow < len(d.slots); index++ {
			d.store.dirty[index] = struct{}{}
		}
	}
	if result != WriteFailed && !d.store.reading {
		d.store.reading, d.store.readAt = true, now
		d.do(ReadPlacement{})
	}
	return d.leave()
}

// Confirm answers the question of a router: everything that it does not know, and for how long it may use the map then.
// It reports false when this host has no authority.
func (d *UnguardedAssigner) Confirm(now time.Time, question ConfirmationRequest) (Confirmation, bool) {
	if !d.HasAuthority(now) || !d.store.known {
		return Confirmation{}, false
	}
	term := min(d.Timing.ConfirmationTerm, d.Timing.within(d.until.Sub(now)))
	confirmation := Confirmation{Number: question.Number, Epoch: d.epoch, Counter: d.counter, Term: term}
	if question.Epoch == d.epoch && question.Counter == d.counter {
		return confirmation, true
	}
	for i, entry := range d.slots {
		if entry.fence.Epoch == d.epoch && (question.Epoch != d.epoch || entry.fence.Counter > question.Counter) {
			confirmation.Changes = append(confirmation.Changes, d.assignment(i))
		}
	}
	slices.SortFunc(confirmation.Changes, func(x, y fleet.Assignment) int {
		return cmp.Compare(x.Fence.Counter, y.Fence.Counter)
	})
	return confirmation, true
}
