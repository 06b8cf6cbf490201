package assigner

import (
	"slices"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// maxRowsWritten bounds the placement rows of one transaction, which the table limits in size.
const maxRowsWritten = 8

// placementRow is what is known about one placement row.
type placementRow struct {
	version Version
	// dirty is set while the row in the table differs from the plan.
	dirty bool
}

// SetLoads tells the measured load of partitions, and lets the partitions be placed anew.
func (a *Assigner) SetLoads(loads map[fleet.PartitionID]float64) {
	a.plan.loads = loads
	a.plan.replace = true
}

// place asks the placer when the set of live servers has changed and stayed the same for a moment.
func (a *Assigner) place() {
	if !a.placementKnown() || !a.ledger.HasMajority() {
		return
	}
	var live []Server
	for _, id := range a.serverOrder() {
		if known := a.servers[id]; a.isLive(known) {
			live = append(live, known.spec)
		}
	}
	if !slices.Equal(live, a.plan.live) {
		a.plan.live, a.plan.liveSince = live, a.now
	}
	same := slices.Equal(live, a.plan.placedFor) && !a.plan.replace
	if len(live) == 0 || same || a.now.Sub(a.plan.liveSince) < a.Timing.StabilizationDelay {
		return
	}
	a.plan.placedFor, a.plan.replace = live, false
	for _, place := range a.Placer.Place(a.places(), live) {
		a.applyPlace(place)
	}
}

// places returns the present place of each partition.
func (a *Assigner) places() []PartitionPlacement {
	places := make([]PartitionPlacement, 0, len(a.plan.slots))
	for id, entry := range a.plan.slots {
		places = append(places, a.placeOf(id, entry))
	}
	slices.SortFunc(places, func(x, y PartitionPlacement) int { return int(x.Partition) - int(y.Partition) })
	return places
}

func (a *Assigner) placeOf(id fleet.PartitionID, entry *slot) PartitionPlacement {
	owner := entry.owner
	if entry.granting != "" {
		owner = entry.granting
	}
	return PartitionPlacement{
		Partition: id, Owner: owner, Standby: entry.standby, Fence: entry.fence, Key: entry.key,
		Load: a.plan.loads[id],
	}
}

// applyPlace takes over what the placer decided for one partition.
func (a *Assigner) applyPlace(place PartitionPlacement) {
	entry := a.plan.slots[place.Partition]
	if entry == nil {
		return
	}
	if entry.target != place.Owner && !entry.rejoining {
		entry.target = place.Owner
		a.plan.pend(place.Partition)
	}
	if entry.standby != place.Standby {
		entry.standby = place.Standby
		if entry.held() && !entry.moving {
			entry.fence = a.nextFence()
		}
		a.plan.note(place.Partition)
	}
}

// publish makes the changed assignments known. A hash range that lost its holder is published without an owner once, so
// that routers stop trying the former one and the time without an owner is measured.
func (a *Assigner) publish() {
	if len(a.plan.changed) == 0 && len(a.plan.removed) == 0 {
		return
	}
	list := a.plan.removed
	a.plan.removed = nil
	for _, id := range sortedKeys(a.plan.changed) {
		entry := a.plan.slots[id]
		if entry == nil || !entry.held() && !entry.lost {
			continue
		}
		assignment := fleet.Assignment{
			Partition: id, Owner: entry.owner, Standby: entry.standby, Fence: entry.fence, Moving: entry.moving, Key: entry.key,
		}
		if entry.lost {
			entry.lost, entry.fence = false, a.nextFence()
			assignment.Owner, assignment.Fence = "", entry.fence
		}
		list = append(list, assignment)
	}
	clear(a.plan.changed)
	if a.Role() == RoleActing && len(list) > 0 {
		a.do(Publish{Assignments: list})
	}
}

// placementKnown reports whether grants need not wait for the placement rows: they were read, or the table has not
// answered for so long that the holdings of the servers and the standbys known must do.
func (a *Assigner) placementKnown() bool {
	return a.plan.known || a.now.Sub(a.beganAt) > 4*a.Timing.RetryInterval
}

// readPlacement reads the given placement rows, or all if none is given.
func (a *Assigner) readPlacement(rows ...int) {
	if a.plan.reading {
		return
	}
	a.plan.reading, a.plan.readAt, a.plan.readRun = true, a.now, 0
	if len(rows) == 0 {
		a.plan.readRun = a.run
	}
	a.do(ReadPlacement{Indexes: rows})
}

func (a *Assigner) readPlacementIfUnknown() {
	if !a.plan.current && (a.plan.readAt.IsZero() || a.now.Sub(a.plan.readAt) >= a.Timing.RetryInterval) {
		a.readPlacement()
	}
}

// PlacementUnread tells that the placement rows could not be read.
func (a *Assigner) PlacementUnread(now time.Time) []Action {
	a.enter(now)
	a.plan.reading = false
	return a.leave()
}

// PlacementRead tells what the placement rows contained. What this assigner has learned from the servers in its own
// epoch takes precedence.
func (a *Assigner) PlacementRead(now time.Time, rows []PlacementRow) []Action {
	a.enter(now)
	a.makeSlots()
	a.plan.reading, a.plan.known = false, true
	a.plan.current = a.plan.current || (a.Role() == RoleActing && a.plan.readRun == a.run)
	for _, row := range rows {
		known := a.plan.row(row.Index)
		known.version = row.Version
		for _, place := range row.Placements {
			if !a.adoptPlace(place) {
				known.dirty = true
			}
		}
	}
	return a.leave()
}

// adoptPlace takes over a stored place and reports whether it agrees with the plan.
func (a *Assigner) adoptPlace(place PartitionPlacement) bool {
	entry := a.plan.slots[place.Partition]
	if entry == nil {
		if place.Key == 0 {
			return true
		}
		entry = a.addEntry(place.Partition, place.Key)
	}
	if a.Role() == RoleActing && (entry.held() || entry.fence.Epoch == a.epoch) {
		return entry.owner == place.Owner && entry.standby == place.Standby && entry.fence == place.Fence
	}
	entry.owner, entry.standby, entry.fence = place.Owner, place.Standby, place.Fence
	return true
}

// tickPlacement writes the changed placement rows.
func (a *Assigner) tickPlacement() {
	a.readPlacementIfUnknown()
	due := a.plan.writeAt.IsZero() || a.now.Sub(a.plan.writeAt) >= a.Timing.StabilizationDelay
	if !a.plan.current || a.plan.reading || a.plan.writing != nil || !due || a.row.stale || a.row.content.Epoch != a.epoch {
		return
	}
	write := WritePlacement{GroupVersion: a.row.version}
	for _, index := range a.dirtyRows() {
		write.Rows = append(write.Rows, a.stored(index))
		a.plan.row(index).dirty = false
	}
	if len(write.Rows) > 0 {
		a.plan.writing, a.plan.writeAt = &write, a.now
		a.do(write)
	}
}

func (a *Assigner) dirtyRows() []int {
	var dirty []int
	for index, row := range a.plan.placed {
		if row.dirty {
			dirty = append(dirty, index)
		}
	}
	slices.Sort(dirty)
	return dirty[:min(len(dirty), maxRowsWritten)]
}

// stored returns the content of one placement row.
func (a *Assigner) stored(index int) PlacementRow {
	row := PlacementRow{Index: index, Version: a.plan.row(index).version}
	for id := fleet.PartitionID(index * PartitionsPerRow); id < fleet.PartitionID((index+1)*PartitionsPerRow); id++ {
		if entry := a.plan.slots[id]; entry != nil {
			place := a.placeOf(id, entry)
			place.Owner, place.Load = entry.owner, 0
			row.Placements = append(row.Placements, place)
		}
	}
	return row
}

func indexes(rows []PlacementRow) []int {
	list := make([]int, 0, len(rows))
	for _, row := range rows {
		list = append(list, row.Index)
	}
	return list
}

// PlacementWritten tells how the outstanding write of placement rows ended. Unless nothing was written, the rows are
// read to learn their new versions, and the group row in case that another assigner has written it.
func (a *Assigner) PlacementWritten(now time.Time, result WriteResult) []Action {
	a.enter(now)
	write := a.plan.writing
	a.plan.writing = nil
	if write == nil {
		return a.leave()
	}
	if result != WriteDone {
		for _, row := range write.Rows {
			a.plan.row(row.Index).dirty = true
		}
	}
	switch result {
	case WriteDone, WriteUnknown:
		a.plan.writes++
		a.readPlacement(indexes(write.Rows)...)
	case WriteConflict:
		a.readRow()
		a.readPlacement()
	case WriteFailed:
		a.plan.writeAt = now.Add(a.Timing.RetryInterval)
	}
	return a.leave()
}
