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

// Limits of the table. The rates are those that the users named; the sizes are assumptions.
const (
	DefaultReadRate  rate.Limit = 2000
	DefaultWriteRate rate.Limit = 500

	// MaxRows is the largest number of rows of one transaction: a group row and the placement rows of 65,536
	// partitions are 257.
	MaxTransactionRows = 500
	// MaxBytes is the largest size of all values of one transaction.
	MaxTransactionBytes = 4 << 20
)

// Overload says what the table does with requests beyond its limits.
type Overload string

const (
	// OverloadDelayed means that requests wait for their turn.
	OverloadDelayed Overload = "delayed"
	// OverloadRejected means that requests are rejected as unavailable.
	OverloadRejected Overload = "rejected"
)

// Table is a fake of the transactional table. Each row that a request reads or writes counts against the limits, and
// a request that finds none counts once.
type Table struct {
	faults

	clock  timer.Clock
	reads  *rate.Limiter
	writes *rate.Limiter

	mu sync.Mutex
	// rows is guarded by mu. Names without a row are absent.
	rows map[string]table.Row
	// last is guarded by mu. It is the version of the latest write to any row, so that no row ever returns to an
	// earlier version, even when it is deleted and inserted again.
	last table.Version
	// lost and overload are guarded by mu.
	lost     int
	overload Overload
}

var _ table.Store = (*Table)(nil)

// NewTable returns an empty table with the default limits.
func NewTable(clock timer.Clock) *Table {
	t := &Table{clock: clock, rows: make(map[string]table.Row), overload: OverloadDelayed}
	t.SetRates(DefaultReadRate, DefaultWriteRate)
	return t
}

// SetRates sets the rows that may be read and written in a second. It is called before the table is used.
func (t *Table) SetRates(reads, writes rate.Limit) {
	t.reads = rate.NewLimiter(reads, max(int(reads), MaxTransactionRows))
	t.writes = rate.NewLimiter(writes, max(int(writes), MaxTransactionRows))
}

// SetOverload sets what happens to requests beyond the limits.
func (t *Table) SetOverload(overload Overload) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.overload = overload
}

// LoseResponses makes the next count commits that take effect report an unknown outcome.
func (t *Table) LoseResponses(count int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lost = count
}

// Read returns the named rows that exist, as of one moment.
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

// Scan returns the rows whose names begin with prefix, in the order of their names, as of one moment.
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

func (t *Table) read(ctx context.Context, selectRows func() []table.Row) ([]table.Row, error) {
	half, err := t.admit(ctx)
	if err == nil {
		err = wait(ctx, t.clock, half)
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
		err = wait(ctx, t.clock, half)
	}
	if err != nil {
		return nil, errors.Wrapf(table.ErrUnavailable, "standin: %v", err)
	}
	return rows, nil
}

// Commit applies all changes or none. A context that ends while the request is under way leaves the outcome unknown.
func (t *Table) Commit(ctx context.Context, changes ...table.Change) error {
	if err := checkSize(changes); err != nil {
		return err
	}
	half, err := t.admit(ctx)
	if err == nil {
		err = t.limit(ctx, t.writes, writeCount(changes))
	}
	if errors.Is(err, errRefused) {
		return errors.Wrapf(table.ErrUnavailable, "standin: %v", err)
	}
	if err == nil {
		err = wait(ctx, t.clock, half)
	}
	if err != nil {
		return errors.Wrapf(table.ErrUnknown, "standin: %v", err)
	}
	if err := t.apply(changes); err != nil {
		return err
	}
	if err := wait(ctx, t.clock, half); err != nil {
		return errors.Wrapf(table.ErrUnknown, "standin: %v", err)
	}
	return nil
}

func (t *Table) apply(changes []table.Change) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, change := range changes {
		if version := t.rows[change.Name].Version; version != change.Expected {
			return errors.Wrapf(table.ErrConflict, "row %s has version %d, not %d", change.Name, version, change.Expected)
		}
	}
	t.last++
	for _, change := range changes {
		switch {
		case !change.Write:
		case change.Value == nil:
			delete(t.rows, change.Name)
		default:
			t.rows[change.Name] = table.Row{Name: change.Name, Version: t.last, Value: slices.Clone(change.Value)}
		}
	}
	if t.lost > 0 {
		t.lost--
		return table.ErrUnknown
	}
	return nil
}

// limit takes count units of a limit, waiting or failing as the overload mode says.
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
		return errRefused
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

// Peek returns a row without counting against the limits and whatever the faults.
func (t *Table) Peek(name string) (table.Row, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row, ok := t.rows[name]
	return row, ok
}
