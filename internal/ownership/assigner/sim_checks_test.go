package assigner_test

import (
	"fmt"
	"slices"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/ownership/assigner"
)

// anyAssigner is implemented by Assigner and UnguardedAssigner.
type anyAssigner interface {
	Tick(now time.Time) []assigner.Action
	HandleRowRead(now time.Time, version assigner.Version, content assigner.GroupRow) []assigner.Action
	HandleRowReadFailure(now time.Time) []assigner.Action
	HandleRowWritten(now time.Time, result assigner.WriteResult) []assigner.Action
	HandlePlacementRead(now time.Time, rows []assigner.PlacementRow) []assigner.Action
	HandlePlacementReadFailure(now time.Time) []assigner.Action
	HandlePlacementWritten(now time.Time, result assigner.WriteResult) []assigner.Action
}

// executeTableAction executes a read or a write of the table. It may be slow or fail, and its result may be lost before
// or after a write takes effect.
func (s *sim) executeTableAction(d *daemon, action assigner.Action) {
	out, lost := s.networkDelay()
	if s.outage {
		s.runOn(&d.process, 50*time.Millisecond, func() { s.reportResult(d, action, assigner.WriteFailed) })
		return
	}
	result := assigner.WriteUnknown
	s.schedule(out, func() {
		if !lost {
			result = s.applyWrite(d, action)
		}
	})
	back, replyLost := s.networkDelay()
	switch action.(type) {
	case assigner.WriteRow, assigner.WritePlacement:
		replyLost = replyLost || s.writeRepliesLost
	}
	switch {
	case replyLost || lost: // The write may take effect before or after the daemon gives up.
		s.runOn(&d.process, 100*time.Millisecond, func() { s.reportResult(d, action, assigner.WriteUnknown) })
	default:
		s.schedule(out, func() {
			row, version, rows := s.row, s.rowVersion, s.storedRows()
			s.runOn(&d.process, back, func() { s.deliverResult(d, action, result, version, row, rows) })
		})
	}
}

func (s *sim) storedRows() []assigner.PlacementRow {
	var rows []assigner.PlacementRow
	for _, row := range s.placements {
		rows = append(rows, row)
	}
	return rows
}

// applyWrite applies a write to the table if the versions match. It does nothing for a read.
func (s *sim) applyWrite(d *daemon, action assigner.Action) assigner.WriteResult {
	switch action := action.(type) {
	case assigner.WriteRow:
		if action.Expected != s.rowVersion {
			return assigner.WriteConflict
		}
		s.rowVersion++
		s.row = action.Row
	case assigner.WritePlacement:
		if action.GroupVersion != s.rowVersion {
			return assigner.WriteConflict
		}
		for _, row := range action.Rows {
			if s.placements[row.Index].Version != row.Version {
				return assigner.WriteConflict
			}
		}
		for _, row := range action.Rows {
			s.checkNoLostUpdate(d, s.placements[row.Index], row)
			row.Version++
			s.placements[row.Index] = row
		}
	}
	return assigner.WriteDone
}

// reportResult reports the result of a write, or the failure of a read, to the daemon.
func (s *sim) reportResult(d *daemon, action assigner.Action, result assigner.WriteResult) {
	s.step(d, func(now time.Time) []assigner.Action {
		switch action.(type) {
		case assigner.ReadRow:
			return d.handler.HandleRowReadFailure(now)
		case assigner.ReadPlacement:
			return d.handler.HandlePlacementReadFailure(now)
		case assigner.WriteRow:
			return d.handler.HandleRowWritten(now, result)
		default:
			return d.handler.HandlePlacementWritten(now, result)
		}
	})
}

// deliverResult reports a result that was not lost to the daemon.
func (s *sim) deliverResult(
	d *daemon, action assigner.Action, result assigner.WriteResult,
	version assigner.Version, row assigner.GroupRow, rows []assigner.PlacementRow,
) {
	switch action.(type) {
	case assigner.ReadRow:
		s.step(d, func(now time.Time) []assigner.Action { return d.handler.HandleRowRead(now, version, row) })
	case assigner.ReadPlacement:
		s.step(d, func(now time.Time) []assigner.Action { return d.handler.HandlePlacementRead(now, rows) })
	default:
		s.reportResult(d, action, result)
	}
}

// checkNoLostUpdate guards against a write of a placement row that loses a stored assignment or replaces it by an older
// one.
func (s *sim) checkNoLostUpdate(d *daemon, before, after assigner.PlacementRow) {
	for _, old := range before.Placements {
		at := slices.IndexFunc(after.Placements, func(placement assigner.PartitionPlacement) bool { return placement.Partition == old.Partition })
		switch {
		case at < 0 && (old.Key == 0 || slices.Contains(s.requestedHotKeys, old.Key)):
			s.fail("%s drops stored partition %d", d.id, old.Partition)
		case at >= 0 && after.Placements[at].Fence.Less(old.Fence):
			s.fail("%s writes partition %d back from %v to %v", d.id, old.Partition, old.Fence, after.Placements[at].Fence)
		}
	}
}

// checkEpochUser guards against two users of one epoch, and against an assigner that ignores a higher epoch.
func (s *sim) checkEpochUser(d *daemon, order fleet.Order) {
	user := fmt.Sprintf("%s/%d", d.id, d.incarnation)
	if first := s.epochUsers[order.Epoch]; first != "" && first != user {
		s.fail("epoch %d is used by %s and %s", order.Epoch, first, user)
	}
	s.epochUsers[order.Epoch] = user
	if order.Epoch < d.highestReportedEpoch {
		s.fail("%s sends an order of epoch %d after it saw %d", user, order.Epoch, d.highestReportedEpoch)
	}
}

// actingServers returns the servers that may act for a key: they admit its requests or may apply a request that they
// admitted.
func (s *sim) actingServers(key fleet.KeyHash) []fleet.UpstreamID {
	var owners []fleet.UpstreamID
	for _, server := range s.servers {
		now := server.clock(s.now)
		acts := !server.down && server.guard.Admits(now, server.guard.Partition(key))
		for ticket, active := range server.active {
			acts = acts || (!server.down && active == key && server.guard.MayApply(now, ticket))
		}
		if acts {
			owners = append(owners, server.id)
		}
	}
	return owners
}

// checkSingleOwner guards against two owners of a key at the same time. It is called after each order, since only an
// order makes a server an owner.
func (s *sim) checkSingleOwner() {
	for _, key := range keys {
		if owners := s.actingServers(key); len(owners) > 1 {
			s.fail("key %d has owners %v", key, owners)
		}
	}
}

// measureUnownedTime records for how long keys have had no owner, from the end of the warm-up.
func (s *sim) measureUnownedTime() {
	for _, key := range keys {
		since, waiting := s.unownedSince[key]
		switch owned := len(s.actingServers(key)) > 0; {
		case owned || s.now < warmUpEnd:
			delete(s.unownedSince, key)
		case !waiting:
			s.unownedSince[key] = s.now
		default:
			s.longestUnowned = max(s.longestUnowned, s.now-since)
		}
	}
}

// checkAllOwned guards against a key that has no owner after all faults have ended, and against a published map or a
// placement row that names another owner.
func (s *sim) checkAllOwned() {
	for _, key := range keys {
		owners := s.actingServers(key)
		if len(owners) != 1 {
			s.fail("key %d has owners %v after the faults ended", key, owners)
			continue
		}
		id := s.serverByID(owners[0]).guard.Partition(key)
		if assignment := s.published[id]; assignment.Owner != owners[0] && !assignment.Moving {
			s.fail("key %d: map names %q, owner is %v", key, assignment.Owner, owners)
		}
		for _, placement := range s.placements[0].Placements {
			if placement.Partition == id && placement.Owner != owners[0] {
				s.fail("key %d: table names %q, owner is %v", key, placement.Owner, owners)
			}
		}
	}
}
