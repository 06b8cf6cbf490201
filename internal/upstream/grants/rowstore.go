package grants

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"rosemarywick.example/rosemarywick/internal/ownership/assigner"
	"rosemarywick.example/rosemarywick/internal/platform/table"
)

// useTable carries out the reads and writes of the group row, or those of the placement rows, one at a time.
func (r *Runner) useTable(ctx context.Context, jobs <-chan assigner.Action) {
	for {
		select {
		case <-ctx.Done():
			return
		case job := <-jobs:
			r.useTableOnce(ctx, job)
		}
	}
}

func (r *Runner) useTableOnce(ctx context.Context, job assigner.Action) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	switch job := job.(type) {
	case assigner.ReadRow:
		r.readRow(ctx)
	case assigner.WriteRow:
		result := r.writeRow(ctx, job)
		r.step(func(now time.Time) []assigner.Action { return r.Assigner.RowWritten(now, result) })
	case assigner.ReadPlacement:
		r.readPlacement(ctx, job.Rows)
	case assigner.WritePlacement:
		result := r.writePlacement(ctx, job)
		r.step(func(now time.Time) []assigner.Action { return r.Assigner.PlacementWritten(now, result) })
	default:
	}
}

func (r *Runner) readRow(ctx context.Context) {
	var version assigner.Version
	var content assigner.Row
	rows, err := r.Table.Read(ctx, groupName(r.Assigner.Service))
	if err == nil && len(rows) > 0 {
		version = assigner.Version(rows[0].Version)
		content, err = decodeRow(rows[0].Value)
	}
	r.logTable("group row not read", err)
	r.step(func(now time.Time) []assigner.Action {
		if err != nil {
			return r.Assigner.RowUnread(now)
		}
		return r.Assigner.RowRead(now, version, content)
	})
}

func (r *Runner) writeRow(ctx context.Context, job assigner.WriteRow) assigner.WriteResult {
	value, err := encodeRow(job.Row)
	if err != nil {
		r.logTable("group row not encoded", err)
		return assigner.WriteFailed
	}
	err = r.Table.Commit(ctx, table.Change{
		Name: groupName(r.Assigner.Service), Expected: table.Version(job.Expected), Write: true, Value: value,
	})
	r.logTable("group row not written", err)
	return writeResult(err)
}

func (r *Runner) readPlacement(ctx context.Context, indexes []int) {
	placements, err := r.loadPlacement(ctx, indexes)
	r.logTable("placement rows not read", err)
	r.step(func(now time.Time) []assigner.Action {
		if err != nil {
			return r.Assigner.PlacementUnread(now)
		}
		return r.Assigner.PlacementRead(now, placements)
	})
}

// loadPlacement reads the placement rows with the given numbers, or all if none is given.
func (r *Runner) loadPlacement(ctx context.Context, indexes []int) ([]assigner.StoredPlacement, error) {
	prefix := placementPrefix(r.Assigner.Service)
	names := make([]string, 0, len(indexes))
	for _, index := range indexes {
		names = append(names, placementName(r.Assigner.Service, index))
	}
	var rows []table.Row
	var err error
	if len(names) > 0 {
		rows, err = r.Table.Read(ctx, names...)
	} else {
		rows, err = r.Table.Scan(ctx, prefix)
	}
	if err != nil {
		return nil, errors.Wrap(err, "grants: read placement rows")
	}
	placements := make([]assigner.StoredPlacement, 0, len(rows))
	for _, row := range rows {
		index, err := strconv.Atoi(strings.TrimPrefix(row.Name, prefix))
		if err != nil {
			return nil, errors.Mark(errors.Wrapf(err, "grants: placement row %q", row.Name), ErrMalformed)
		}
		spots, err := decodePlacement(row.Value)
		if err != nil {
			return nil, err
		}
		placements = append(placements, assigner.StoredPlacement{
			Index: index, Version: assigner.Version(row.Version), Spots: spots,
		})
	}
	return placements, nil
}

func (r *Runner) writePlacement(ctx context.Context, job assigner.WritePlacement) assigner.WriteResult {
	changes := []table.Change{{Name: groupName(r.Assigner.Service), Expected: table.Version(job.Group)}}
	for _, row := range job.Rows {
		value, err := encodePlacement(row.Spots)
		if err != nil {
			r.logTable("placement row not encoded", err)
			return assigner.WriteFailed
		}
		changes = append(changes, table.Change{
			Name: placementName(r.Assigner.Service, row.Index), Expected: table.Version(row.Version), Write: true, Value: value,
		})
	}
	err := r.Table.Commit(ctx, changes...)
	r.logTable("placement rows not written", err)
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

func (r *Runner) logTable(message string, err error) {
	if err == nil || errors.Is(err, context.Canceled) {
		return
	}
	level := zerolog.WarnLevel
	if errors.Is(err, table.ErrConflict) {
		level = zerolog.DebugLevel // Another daemon was first, which is how roles are assigned.
	}
	r.Log.WithLevel(level).Err(err).Str("service", string(r.Assigner.Service)).Msg(message)
}
