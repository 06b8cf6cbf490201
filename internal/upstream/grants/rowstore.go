package grants

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/ownership/assigner"
	"rosemarywick.example/rosemarywick/internal/platform/table"
)

// decider is what both kinds of assigners are told about the table.
type tableObserver interface {
	RowRead(now time.Time, version assigner.Version, content assigner.GroupRow) []assigner.Action
	RowUnread(now time.Time) []assigner.Action
	RowWritten(now time.Time, result assigner.WriteResult) []assigner.Action
	PlacementRead(now time.Time, rows []assigner.PlacementRow) []assigner.Action
	PlacementUnread(now time.Time) []assigner.Action
	PlacementWritten(now time.Time, result assigner.WriteResult) []assigner.Action
}

// rowStore keeps the group row and the placement rows of one service in the table. It is used by one goroutine.
type rowStore struct {
	table   table.Store
	service fleet.ServiceName
	log     zerolog.Logger
	// decider is told the outcomes through step, which lets it take one step under its lock.
	observer tableObserver
	step     func(decide func(now time.Time) []assigner.Action)
	// failing is the failure that was logged last, so that an outage gives one line and not three each second.
	lastFailure string
}

// run carries out the reads and writes from jobs, one at a time.
func (s *rowStore) run(ctx context.Context, jobs <-chan assigner.Action) {
	for {
		select {
		case <-ctx.Done():
			return
		case job := <-jobs:
			s.execute(ctx, job)
		}
	}
}

func (s *rowStore) execute(ctx context.Context, job assigner.Action) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	switch job := job.(type) {
	case assigner.ReadRow:
		version, content, err := s.readGroupRow(ctx)
		s.step(func(now time.Time) []assigner.Action {
			if err != nil {
				return s.observer.RowUnread(now)
			}
			return s.observer.RowRead(now, version, content)
		})
	case assigner.WriteRow:
		result := s.writeGroupRow(ctx, job)
		s.step(func(now time.Time) []assigner.Action { return s.observer.RowWritten(now, result) })
	case assigner.ReadPlacement:
		placements, err := s.readPlacements(ctx, job.Indexes)
		s.step(func(now time.Time) []assigner.Action {
			if err != nil {
				return s.observer.PlacementUnread(now)
			}
			return s.observer.PlacementRead(now, placements)
		})
	case assigner.WritePlacement:
		result := s.writePlacements(ctx, job)
		s.step(func(now time.Time) []assigner.Action { return s.observer.PlacementWritten(now, result) })
	default:
	}
}

func (s *rowStore) readGroupRow(ctx context.Context) (assigner.Version, assigner.GroupRow, error) {
	rows, err := s.table.Read(ctx, groupRowName(s.service))
	if err != nil {
		s.logOutcome("group row not read", err)
		return 0, assigner.GroupRow{}, errors.Wrap(err, "grants: read group row")
	}
	if len(rows) == 0 {
		s.logOutcome("", nil)
		return 0, assigner.GroupRow{}, nil
	}
	content, err := decodeGroupRow(rows[0].Value)
	s.logOutcome("group row not decoded", err)
	return assigner.Version(rows[0].Version), content, err
}

func (s *rowStore) writeGroupRow(ctx context.Context, job assigner.WriteRow) assigner.WriteResult {
	value, err := encodeGroupRow(job.Row)
	if err != nil {
		s.logOutcome("group row not encoded", err)
		return assigner.WriteFailed
	}
	err = s.table.Commit(ctx, table.Change{
		Name: groupRowName(s.service), Expected: table.Version(job.Expected), Write: true, Value: value,
	})
	s.logOutcome("group row not written", err)
	return writeResult(err)
}

// readPlacement reads the placement rows with the given numbers, or all if none is given.
func (s *rowStore) readPlacements(ctx context.Context, indexes []int) ([]assigner.PlacementRow, error) {
	names := make([]string, 0, len(indexes))
	for _, index := range indexes {
		names = append(names, placementRowName(s.service, index))
	}
	var rows []table.Row
	var err error
	if len(names) > 0 {
		rows, err = s.table.Read(ctx, names...)
	} else {
		rows, err = s.table.Scan(ctx, placementPrefix(s.service))
	}
	if err != nil {
		s.logOutcome("placement rows not read", err)
		return nil, errors.Wrap(err, "grants: read placement rows")
	}
	placements, err := s.decodePlacementRows(rows)
	s.logOutcome("placement rows not decoded", err)
	return placements, err
}

func (s *rowStore) decodePlacementRows(rows []table.Row) ([]assigner.PlacementRow, error) {
	placements := make([]assigner.PlacementRow, 0, len(rows))
	for _, row := range rows {
		index, err := strconv.Atoi(strings.TrimPrefix(row.Name, placementPrefix(s.service)))
		if err != nil {
			return nil, errors.Mark(errors.Wrapf(err, "grants: placement row %q", row.Name), ErrMalformed)
		}
		places, err := decodePlacement(row.Value)
		if err != nil {
			return nil, err
		}
		placements = append(placements, assigner.PlacementRow{
			Index: index, Version: assigner.Version(row.Version), Placements: places,
		})
	}
	return placements, nil
}

func (s *rowStore) writePlacements(ctx context.Context, job assigner.WritePlacement) assigner.WriteResult {
	changes := []table.Change{{Name: groupRowName(s.service), Expected: table.Version(job.GroupVersion)}}
	for _, row := range job.Rows {
		value, err := encodePlacement(row.Placements)
		if err != nil {
			s.logOutcome("placement row not encoded", err)
			return assigner.WriteFailed
		}
		changes = append(changes, table.Change{
			Name: placementRowName(s.service, row.Index), Expected: table.Version(row.Version), Write: true, Value: value,
		})
	}
	err := s.table.Commit(ctx, changes...)
	s.logOutcome("placement rows not written", err)
	return writeResult(err)
}

// writeResult translates the errors of the table service. Any error that does not say that nothing was written leaves
// the outcome unknown.
func writeResult(err error) assigner.WriteResult {
	switch {
	case err == nil:
		return assigner.WriteDone
	case errors.Is(err, table.ErrConflict):
		return assigner.WriteConflict
	case errors.Is(err, table.ErrUnavailable), errors.Is(err, table.ErrTooLarge):
		return assigner.WriteFailed
	default:
		return assigner.WriteUnknown
	}
}

// warn logs a failure unless it is the same as the last one, and notes a success. A conflict is no failure: another daemon
// was first, which is how roles are assigned.
func (s *rowStore) logOutcome(failure string, err error) {
	switch {
	case err == nil:
		s.lastFailure = ""
	case errors.Is(err, context.Canceled):
	case errors.Is(err, table.ErrConflict):
		s.log.Debug().Err(err).Str("service", string(s.service)).Msg(failure)
	case s.lastFailure != failure:
		s.lastFailure = failure
		s.log.Warn().Err(err).Str("service", string(s.service)).Msg(failure)
	}
}
