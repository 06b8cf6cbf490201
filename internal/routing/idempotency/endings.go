package idempotency

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"rosemarywick.example/rosemarywick/internal/core/cause"
	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/platform/table"
)

// recordAll records endings until ctx ends, and then those that wait, once.
func (t *Registry) recordAll(ctx context.Context) {
	for {
		select {
		case first := <-t.endings:
			batch := t.gatherEndings(first)
			for t.record(ctx, batch) != nil {
				if timer.Wait(ctx, t.Clock, finishRetry) != nil {
					break
				}
			}
		case <-ctx.Done():
			t.flush(context.WithoutCancel(ctx))
			return
		}
	}
}

// flush records the endings that wait, each batch once.
func (t *Registry) flush(ctx context.Context) {
	for {
		select {
		case first := <-t.endings:
			if t.record(ctx, t.gatherEndings(first)) != nil {
				return
			}
		default:
			return
		}
	}
}

func (t *Registry) gatherEndings(first ending) map[string]ending {
	batch := map[string]ending{first.name: first}
	for len(batch) < batchLimit {
		select {
		case next := <-t.endings:
			batch[next.name] = next
		default:
			return batch
		}
	}
	return batch
}

// record writes a batch of endings. It returns an error if the table failed and the batch is to be recorded again. A row
// that no longer carries the token is left alone.
func (t *Registry) record(ctx context.Context, batch map[string]ending) error {
	names := make([]string, 0, len(batch))
	for name := range batch {
		names = append(names, name)
	}
	for range tries {
		rows, err := t.read(ctx, names)
		if err != nil {
			return err
		}
		changes, err := endingChanges(rows, batch)
		if err != nil || len(changes) == 0 {
			return err
		}
		err = t.commit(ctx, changes)
		if !errors.Is(err, table.ErrConflict) && !errors.Is(err, table.ErrUnknown) {
			return err
		}
	}
	return table.ErrUnknown
}

func (t *Registry) commit(ctx context.Context, changes []table.Change) error {
	ctx, cancel := context.WithTimeout(ctx, tryTime)
	defer cancel()
	return t.Store.Commit(ctx, changes...)
}

// endingChanges returns the writes that are still to be made.
func endingChanges(rows map[string]stored, batch map[string]ending) ([]table.Change, error) {
	var changes []table.Change
	for name, found := range rows {
		end := batch[name]
		if found.value.Token != end.token || found.value.Result != nil {
			continue
		}
		change := table.Change{Name: name, Expected: found.version, Write: true}
		if end.Outcome != cause.NotRun {
			value := found.value
			value.Result = &end.RequestResult
			encoded, err := json.Marshal(value)
			if err != nil {
				return nil, errors.Wrap(err, "once: encode ending")
			}
			change.Value = encoded
		}
		changes = append(changes, change)
	}
	return changes, nil
}
