package rangegrants

import (
	"context"

	"github.com/cockroachdb/errors"

	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/ownership/ranges"
	"rosemarywick.example/rosemarywick/internal/platform/table"
)

// claimTable reads the table and writes it back under a new term number, so that a write of the previous assigner that is still
// in flight fails. All ranges get new fences: this daemon has no connection that shows whether a server has started again since
// it accepted the last ones. It returns false if the lease was lost meanwhile.
func (t *term) claimTable(ctx context.Context) bool {
	for t.leaseValid() && ctx.Err() == nil {
		current, version, err := t.readTable(ctx)
		if err == nil && t.Store.Reading().Era != t.era {
			return false // the lease may be lost
		}
		if err == nil {
			next := t.recoverTable(current)
			// While servers that the table does not name may own keys, those that accept its fences are known to be the right ones.
			if next.UnsureUntil <= t.Store.Reading().Earliest(t.Uptime.Uptime()) {
				next = next.Refence()
			}
			next.Term++
			t.table, t.tableVersion = current, version
			if t.writeTable(ctx, next) {
				return true
			}
			continue
		}
		t.Log.Warn().Err(err).Msg("read table of the ranges: retrying")
		if timer.Wait(ctx, t.Clock, storeRetryDelay) != nil {
			return false
		}
	}
	return false
}

// recoverTable returns the table with which the term begins. If the stored one came back from an older copy of the store,
// that is the newest table that this daemon knows. Tables that no one here has received may have been in force after it.
func (t *term) recoverTable(stored *ranges.Table) *ranges.Table {
	era := uint32(t.era)
	if stored.Era == era || stored.Term == 0 && t.FirstStart && t.eras == 1 {
		next := stored.Clone()
		next.Era = era
		return next
	}
	newest := stored
	if t.Known != nil {
		if known := t.Known(); known != nil && newest.Precedes(known) {
			newest = known
		}
	}
	unsureUntil := t.grantsExpireAt(ranges.Owner{})
	if own := t.lastTable; own != nil && !own.Precedes(newest) && t.lease.uninterrupted {
		newest, unsureUntil = own, 0
	}
	t.Log.Warn().Str("service", string(t.Service)).Uint32("era", era).Uint32("stored-era", stored.Era).
		Uint64("stored-fence", uint64(stored.Fence)).Uint64("known-fence", uint64(newest.Fence)).Bool("unsure", unsureUntil > 0).
		Msg("stored table of the ranges came back from an older copy; the newest known one is written again")
	next := newest.Recover(era, unsureUntil)
	next.Term = max(next.Term, stored.Term)
	return next
}

// readTable returns the stored table and its version. The table is empty if none was written yet.
func (t *term) readTable(ctx context.Context) (*ranges.Table, table.Version, error) {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	rows, err := t.Store.Read(callCtx, TableRow(t.Service))
	if err != nil {
		return nil, 0, errors.Wrap(err, "rangegrants: read table")
	}
	if len(rows) == 0 {
		return &ranges.Table{}, 0, nil
	}
	current, err := ranges.Parse(rows[0].Value)
	return current, rows[0].Version, errors.Wrap(err, "rangegrants: read table")
}
