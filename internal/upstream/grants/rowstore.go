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

// tableObserver receives the results of table reads and writes. Both kinds of assigner implement it.
type tableObserver interface {
	HandleRowRead(now time.Time, version assigner.Version, content assigner.GroupRow) []assigner.Action
	HandleRowReadFailure(now time.Time) []assigner.Action
	HandleRowWritten(now time.Time, result assigner.WriteResult) []assigner.Action
	HandlePlacementRead(now time.Time, rows []assigner.PlacementRow) []assigner.Action
	HandlePlacementReadFailure(now time.Time) []assigner.Action
	HandlePlacementWritten(now time.Time, result assigner.WriteResult) []assigner.Action
}

// rowStore reads and writes the group row and the placement rows of one service. It must be used by a single goroutine.
type rowStore struct {
	table   table.Store
	service fleet.ServiceName
	log     zerolog.Logger
	// observer receives the results inside step, which runs one step of the assigner under its lock.
	observer tableObserver
	step     func(decide func(now time.Time) []assigner.Action)
	// lastFailure is the failure that was logged last. Without it, an outage would log three lines each second.
	lastFailure string
}

// run executes the reads and writes received from jobs, one at a time, until ctx ends.
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

// execute performs one read or write and reports the result to the observer.
func (s *rowStore) execute(ctx context.Context, job assigner.Action) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	switch job := job.(type) {
	case assigner.ReadRow:
		version, content, err := s.readGroupRow(ctx)
		s.step(func(now time.Time) []assigner.Action {
			if err != nil {
				return s.observer.HandleRowReadFailure(now)
			}
			return s.observer.HandleRowRead(now, version, content)
		})
	case assigner.WriteRow:
		result := s.writeGroupRow(ctx, job)
		s.step(func(now time.Time) []assigner.Action { return s.observer.HandleRowWritten(now, result) })
	case assigner.ReadPlacement:
		placements, err := s.readPlacements(ctx, job.Indexes)
		s.step(func(now time.Time) []assigner.Action {
			if err != nil {
				return s.observer.HandlePlacementReadFailure(now)
			}
			return s.observer.HandlePlacementRead(now, placements)
		})
	case assigner.WritePlacement:
		result := s.writePlacements(ctx, job)
		s.step(func(now time.Time) []assigner.Action { return s.observer.HandlePlacementWritten(now, result) })
	default:
	}
}

// readGroupRow returns the group row and its version, which is zero if the row does not exist.
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

// writeGroupRow writes the group row if it still has the expected version.
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

// readPlacements reads the placement rows with the given indexes, or all rows if there are none.
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

// decodePlacementRows decodes rows whose names end in the index of the placement row.
func (s *rowStore) decodePlacementRows(rows []table.Row) ([]assigner.PlacementRow, error) {
	placements := make([]assigner.PlacementRow, 0, len(rows))
	for _, row := range rows {
		index, err := strconv.Atoi(strings.TrimPrefix(row.Name, placementPrefix(s.service)))
		if err != nil {
			return nil, errors.Mark(errors.Wrapf(err, "grants: parse name of placement row %q", row.Name), ErrMalformed)
		}
		decoded, err := decodePlacement(row.Value)
		if err != nil {
			return nil, err
		}
		placements = append(placements, assigner.PlacementRow{
			Index: index, Version: assigner.Version(row.Version), Placements: decoded,
		})
	}
	return placements, nil
}

// writePlacements writes placement rows if neither they nor the group row have changed.
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

// writeResult translates an error of the table service. The outcome is unknown unless the error states that nothing was
// written.
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

// logOutcome logs a failure unless the previous call had the same one. A nil error means success. A conflict is logged at
// debug level, since it only means that another daemon wrote first, which is how roles are assigned.
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
