package standin

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/platform/table"
)

// Limits of the table. The rates are those that users state for the platform's table service. The limits of one transaction are
// assumptions.
const (
	// DefaultReadRate and DefaultWriteRate are the numbers of rows that can be read and written in a second.
	DefaultReadRate  rate.Limit = 2000
	DefaultWriteRate rate.Limit = 500

	// MaxTransactionRows is the largest number of rows of one transaction. The largest transaction in use has 257: a group
	// row and the placement rows of 65,536 partitions.
	MaxTransactionRows = 500
	// MaxTransactionBytes is the largest total size of the values of one transaction.
	MaxTransactionBytes = 4 << 20
)

// Overload is the way in which the table handles requests beyond its rate limits.
type Overload string

const (
	// OverloadDelayed means that requests wait until the rate limit allows them.
	OverloadDelayed Overload = "delayed"
	// OverloadRejected means that requests fail with table.ErrUnavailable.
	OverloadRejected Overload = "rejected"
)

// Table is a fake of the transactional table. Each row that a request reads or writes counts against the rate limits. A
// request without any rows counts as one.
type Table struct {
	faults

	clock  timer.Clock
	reads  *rate.Limiter
	writes *rate.Limiter

	mu sync.Mutex
	// rows is guarded by mu and maps names to rows.
	rows map[string]table.Row
	// lastVersion is guarded by mu and is the version of the latest write to any row. All rows share it, so that no row ever
	// returns to an earlier version, even if it is deleted and inserted again.
	lastVersion table.Version
	// responsesToLose and overload are guarded by mu.
	responsesToLose int
	overload        Overload
}

var _ table.Store = (*Table)(nil)

// NewTable returns an empty table with the default limits.
func NewTable(clock timer.Clock) *Table {
	t := &Table{clock: clock, rows: make(map[string]table.Row), overload: OverloadDelayed}
	t.SetRates(DefaultReadRate, DefaultWriteRate)
	return t
}

// SetRates sets how many rows can be read and written in a second. It is called before the table is used.
func (t *Table) SetRates(reads, writes rate.Limit) {
	t.reads = rate.NewLimiter(reads, max(int(reads), MaxTransactionRows))
	t.writes = rate.NewLimiter(writes, max(int(writes), MaxTransactionRows))
}

// SetOverload sets how requests beyond the rate limits are handled.
func (t *Table) SetOverload(overload Overload) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.overload = overload
}

// Restore replaces all rows by those of a copy. Versions after lastVersion are given out again.
func (t *Table) Restore(rows []table.Row, lastVersion table.Version) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rows, t.lastVersion = make(map[string]table.Row, len(rows)), lastVersion
	for _, row := range rows {
		t.rows[row.Name] = row
	}
}

// LoseResponses makes the next count commits that take effect return table.ErrUnknown.
func (t *Table) LoseResponses(count int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.responsesToLose = count
}

// Read returns those of the named rows that exist, as one consistent snapshot.
func (t *Table) Read(ctx context.Context, names ...string) ([]table.Row, error) {
	return t.read(ctx, func() []table.Row {
		var rows []table.Row
		for _, name := range names {
			if row, found := t.rows[name]; found {
				rows = append(rows, row)
			}
		}
		return rows
	})
}

// Scan returns the rows whose names begin with prefix, sorted by name, as one consistent snapshot.
func (t *Table) Scan(ctx context.Context, prefix string) ([]table.Row, error) {
	return t.read(ctx, func() []table.Row {
		var rows []table.Row
		for name, row := range t.rows {
			if strings.HasPrefix(name, prefix) {
				rows = append(rows, row)
			}
		}
		slices.SortFunc(rows, func(a, b table.Row) int { return strings.Compare(a.Name, b.Name) })
		return rows
	})
}

// read returns the selected rows, with the latency, the faults and the rate limit of the table. It holds mu while selectRows
// runs.
func (t *Table) read(ctx context.Context, selectRows func() []table.Row) ([]table.Row, error) {
	halfLatency, err := t.admit(ctx)
	if err == nil {
		err = wait(ctx, t.clock, halfLatency)
	}
	if err != nil {
		return nil, errors.Wrapf(table.ErrUnavailable, "standin: %v", err)
	}
	t.mu.Lock()
	rows := selectRows()
	t.mu.Unlock()
	for i := range rows {
		rows[i].Value = slices.Clone(rows[i].Value)
	}
	err = t.limit(ctx, t.reads, len(rows))
	if err == nil {
		err = wait(ctx, t.clock, halfLatency)
	}
	if err != nil {
		return nil, errors.Wrapf(table.ErrUnavailable, "standin: %v", err)
	}
	return rows, nil
}

// Commit applies all changes or none. It returns table.ErrUnknown if ctx ends before the response.
func (t *Table) Commit(ctx context.Context, changes ...table.Change) error {
	if err := checkSize(changes); err != nil {
		return err
	}
	halfLatency, err := t.admit(ctx)
	if err == nil {
		err = t.limit(ctx, t.writes, writeCount(changes))
	}
	if errors.Is(err, errRejected) {
		return errors.Wrapf(table.ErrUnavailable, "standin: %v", err)
	}
	if err == nil {
		err = wait(ctx, t.clock, halfLatency)
	}
	if err != nil {
		return errors.Wrapf(table.ErrUnknown, "standin: %v", err)
	}
	if err := t.apply(changes); err != nil {
		return err
	}
	if err := wait(ctx, t.clock, halfLatency); err != nil {
		return errors.Wrapf(table.ErrUnknown, "standin: %v", err)
	}
	return nil
}

// apply checks the expected versions and writes the changes.
func (t *Table) apply(changes []table.Change) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, change := range changes {
		if version := t.rows[change.Name].Version; version != change.Expected {
			return errors.Wrapf(table.ErrConflict, "row %s has version %d, not %d", change.Name, version, change.Expected)
		}
	}
	t.lastVersion++
	for _, change := range changes {
		switch {
		case !change.Write:
		case change.Value == nil:
			delete(t.rows, change.Name)
		default:
			t.rows[change.Name] = table.Row{Name: change.Name, Version: t.lastVersion, Value: slices.Clone(change.Value)}
		}
	}
	if t.responsesToLose > 0 {
		t.responsesToLose--
		return table.ErrUnknown
	}
	return nil
}

// limit takes count tokens from a rate limiter, or one if count is zero. If they are not available, it waits or fails according
// to the overload mode.
func (t *Table) limit(ctx context.Context, limiter *rate.Limiter, count int) error {
	now := t.clock.Now()
	reservation := limiter.ReserveN(now, max(1, min(count, limiter.Burst())))
	delay := reservation.DelayFrom(now)
	if delay <= 0 {
		return nil
	}
	t.mu.Lock()
	overload := t.overload
	t.mu.Unlock()
	if overload == OverloadRejected {
		reservation.CancelAt(now)
		return errRejected
	}
	return wait(ctx, t.clock, delay.Round(time.Microsecond))
}

func checkSize(changes []table.Change) error {
	total := 0
	for _, change := range changes {
		total += len(change.Value)
	}
	if len(changes) > MaxTransactionRows || total > MaxTransactionBytes {
		return errors.Wrapf(table.ErrTooLarge, "%d rows and %d bytes", len(changes), total)
	}
	return nil
}

func writeCount(changes []table.Change) int {
	count := 0
	for _, change := range changes {
		if change.Write {
			count++
		}
	}
	return count
}

// Peek returns a row regardless of faults and without counting against the rate limits.
func (t *Table) Peek(name string) (table.Row, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row, ok := t.rows[name]
	return row, ok
}
