package assigner_test

import (
	"fmt"
	"slices"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/ownership/assigner"
)

// decider is what both kinds of assigners have in common.
type decider interface {
	Tick(now time.Time) []assigner.Action
	RowRead(now time.Time, version assigner.Version, content assigner.GroupRow) []assigner.Action
	RowUnread(now time.Time) []assigner.Action
	RowWritten(now time.Time, result assigner.WriteResult) []assigner.Action
	PlacementRead(now time.Time, rows []assigner.PlacementRow) []assigner.Action
	PlacementUnread(now time.Time) []assigner.Action
	PlacementWritten(now time.Time, result assigner.WriteResult) []assigner.Action
}

// useTable carries out one operation of the table, which may be slow, fail, or lose its answer before or after it takes
// effect.
func (s *sim) useTable(d *daemon, action assigner.Action) {
	out, lost := s.transit()
	if s.outage {
		s.at(&d.process, 50*time.Millisecond, func() { s.answer(d, action, assigner.WriteFailed) })
		return
	}
	result := assigner.WriteUnknown
	s.after(out, func() {
		if !lost {
			result = s.apply(d, action)
		}
	})
	back, answerLost := s.transit()
	switch action.(type) {
	case assigner.WriteRow, assigner.WritePlacement:
		answerLost = answerLost || s.answersLost
	}
	switch {
	case answerLost || lost: // The write may take effect before or after the caller gives up.
		s.at(&d.process, 100*time.Millisecond, func() { s.answer(d, action, assigner.WriteUnknown) })
	default:
		s.after(out, func() {
			row, version, rows := s.row, s.rowVersion, s.storedRows()
			s.at(&d.process, back, func() { s.answerRead(d, action, result, version, row, rows) })
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

// apply lets a write take effect.
func (s *sim) apply(d *daemon, action assigner.Action) assigner.WriteResult {
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
			s.checkStored(d, s.placements[row.Index], row)
			row.Version++
			s.placements[row.Index] = row
		}
	}
	return assigner.WriteDone
}

// answer reports a failed or unknown operation.
func (s *sim) answer(d *daemon, action assigner.Action, result assigner.WriteResult) {
	s.step(d, func(now time.Time) []assigner.Action {
		switch action.(type) {
		case assigner.ReadRow:
			return d.decider.RowUnread(now)
		case assigner.ReadPlacement:
			return d.decider.PlacementUnread(now)
		case assigner.WriteRow:
			return d.decider.RowWritten(now, result)
		default:
			return d.decider.PlacementWritten(now, result)
		}
	})
}

// answerRead reports an operation whose answer arrived.
func (s *sim) answerRead(
	d *daemon, action assigner.Action, result assigner.WriteResult,
	version assigner.Version, row assigner.GroupRow, rows []assigner.PlacementRow,
) {
	switch action.(type) {
	case assigner.ReadRow:
		s.step(d, func(now time.Time) []assigner.Action { return d.decider.RowRead(now, version, row) })
	case assigner.ReadPlacement:
		s.step(d, func(now time.Time) []assigner.Action { return d.decider.PlacementRead(now, rows) })
	default:
		s.answer(d, action, result)
	}
}

// checkStored guards against a written assignment that is lost: replaced by an older one, or missing.
func (s *sim) checkStored(d *daemon, before, after assigner.PlacementRow) {
	for _, old := range before.Placements {
		at := slices.IndexFunc(after.Placements, func(place assigner.PartitionPlacement) bool { return place.Partition == old.Partition })
		switch {
		case at < 0 && (old.Key == 0 || slices.Contains(s.hot, old.Key)):
			s.fail("%s drops stored partition %d", d.id, old.Partition)
		case at >= 0 && after.Placements[at].Fence.Less(old.Fence):
			s.fail("%s writes partition %d back from %v to %v", d.id, old.Partition, old.Fence, after.Placements[at].Fence)
		}
	}
}

// checkSender guards against two users of one epoch, and an assigner that ignores a higher one.
func (s *sim) checkSender(d *daemon, order fleet.Order) {
	user := fmt.Sprintf("%s/%d", d.id, d.life)
	if first := s.epochs[order.Epoch]; first != "" && first != user {
		s.fail("epoch %d is used by %s and %s", order.Epoch, first, user)
	}
	s.epochs[order.Epoch] = user
	if order.Epoch < d.superseded {
		s.fail("%s sends an order of epoch %d after it saw %d", user, order.Epoch, d.superseded)
	}
}

// owners returns the servers that may act for a key: they admit its requests or may apply one admitted before.
func (s *sim) owners(key fleet.KeyHash) []fleet.UpstreamID {
	var owners []fleet.UpstreamID
	for _, w := range s.workers {
		now := w.clock(s.now)
		acts := !w.down && w.guard.Admits(now, w.guard.Partition(key))
		for ticket, active := range w.active {
			acts = acts || (!w.down && active == key && w.guard.MayApply(now, ticket))
		}
		if acts {
			owners = append(owners, w.id)
		}
	}
	return owners
}

// checkOwners guards against two owners of a key at one instant. A server becomes an owner only by an order.
func (s *sim) checkOwners() {
	for _, key := range keys {
		if owners := s.owners(key); len(owners) > 1 {
			s.fail("key %d has owners %v", key, owners)
		}
	}
}

// measure notes how long keys have had no owner, once the group has begun to work.
func (s *sim) measure() {
	for _, key := range keys {
		since, waiting := s.unowned[key]
		switch owned := len(s.owners(key)) > 0; {
		case owned || s.now < warmUp:
			delete(s.unowned, key)
		case !waiting:
			s.unowned[key] = s.now
		default:
			s.longest = max(s.longest, s.now-since)
		}
	}
}

// checkServed guards against a partition that has no owner after all faults have ended, and a map or table that differs.
func (s *sim) checkServed() {
	for _, key := range keys {
		owners := s.owners(key)
		if len(owners) != 1 {
			s.fail("key %d has owners %v after the faults ended", key, owners)
			continue
		}
		id := s.worker(owners[0]).guard.Partition(key)
		if known := s.published[id]; known.Owner != owners[0] && !known.Moving {
			s.fail("key %d: map names %q, owner is %v", key, known.Owner, owners)
		}
		for _, place := range s.placements[0].Placements {
			if place.Partition == id && place.Owner != owners[0] {
				s.fail("key %d: table names %q, owner is %v", key, place.Owner, owners)
			}
		}
	}
}
