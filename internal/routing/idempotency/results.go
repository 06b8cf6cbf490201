package idempotency

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"rosemarywick.example/rosemarywick/internal/core/cause"
	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/platform/table"
)

// recordResults writes results to the table service until ctx ends, and then makes one attempt to write those that are
// queued.
func (r *Registry) recordResults(ctx context.Context) {
	for {
		select {
		case first := <-r.updates:
			batch := r.gatherUpdates(first)
			for r.writeResults(ctx, batch) != nil {
				if timer.Wait(ctx, r.Clock, recordRetryDelay) != nil {
					break
				}
			}
		case <-ctx.Done():
			r.flushResults(context.WithoutCancel(ctx))
			return
		}
	}
}

// flushResults writes the queued results. It tries each batch once and stops at the first error.
func (r *Registry) flushResults(ctx context.Context) {
	for {
		select {
		case first := <-r.updates:
			if r.writeResults(ctx, r.gatherUpdates(first)) != nil {
				return
			}
		default:
			return
		}
	}
}

// gatherUpdates returns first and the queued updates, by row, up to the size of a batch.
func (r *Registry) gatherUpdates(first resultUpdate) map[string]resultUpdate {
	batch := map[string]resultUpdate{first.row: first}
	for len(batch) < maxBatchRows {
		select {
		case next := <-r.updates:
			batch[next.row] = next
		default:
			return batch
		}
	}
	return batch
}

// writeResults writes a batch of results. It returns an error if the table service failed and the batch must be written
// again. It does not change a row that no longer has the token of the claim.
func (r *Registry) writeResults(ctx context.Context, batch map[string]resultUpdate) error {
	names := make([]string, 0, len(batch))
	for name := range batch {
		names = append(names, name)
	}
	for range maxTries {
		rows, err := r.readRows(ctx, names)
		if err != nil {
			return err
		}
		changes, err := resultChanges(rows, batch)
		if err != nil || len(changes) == 0 {
			return err
		}
		err = r.commit(ctx, changes)
		if !errors.Is(err, table.ErrConflict) && !errors.Is(err, table.ErrUnknown) {
			return err
		}
	}
	return table.ErrUnknown
}

func (r *Registry) commit(ctx context.Context, changes []table.Change) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return r.Store.Commit(ctx, changes...)
}

// resultChanges returns the writes that are still missing in rows.
func resultChanges(rows map[string]storedClaim, batch map[string]resultUpdate) ([]table.Change, error) {
	var changes []table.Change
	for name, stored := range rows {
		update := batch[name]
		if stored.content.Token != update.token || stored.content.Result != nil {
			continue
		}
		change := table.Change{Name: name, Expected: stored.version, Write: true}
		if update.Outcome != cause.NotRun {
			content := stored.content
			content.Result = &update.RequestResult
			encoded, err := json.Marshal(content)
			if err != nil {
				return nil, errors.Wrap(err, "idempotency: encode result")
			}
			change.Value = encoded
		}
		changes = append(changes, change)
	}
	return changes, nil
}
