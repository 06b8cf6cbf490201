// Package standin holds fakes for the tests of the operator packages: a table with faults, an authority that issues
// certificates, and a fleet whose values the test sets.
package standin

import (
	"bytes"
	"context"
	"sync"

	"rosemarywick.example/rosemarywick/internal/platform/table"
)

// Fault is what happens to one call of the table.
type Fault string

const (
	// Works carries the call out.
	Works Fault = ""
	// Down rejects the call without an effect.
	Down Fault = "down"
	// Hangs keeps the call without an effect until its context ends.
	Hangs Fault = "hangs"
	// Lost carries the write out and loses the response.
	Lost Fault = "lost"
	// Dropped loses the write, whose sender cannot tell that from a lost response.
	Dropped Fault = "dropped"
	// Late loses the response and carries the write out just before the next call.
	Late Fault = "late"
)

// Table is a table in memory. Its zero value is empty and without faults.
type Table struct {
	mu sync.Mutex
	// All fields are guarded by mu. The faults are those of the next calls; further calls work.
	rows    map[string]table.Row
	commits []Fault
	reads   []Fault
	pending []table.Change
}

// Fail sets the faults of the next commits and reads.
func (t *Table) Fail(commits, reads []Fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.commits, t.reads = commits, reads
}

// Len returns the number of rows.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.rows)
}

// next returns the fault of a call after it has carried out a late write.
func (t *Table) next(faults *[]Fault) Fault {
	_ = t.apply(t.pending)
	t.pending = nil
	if len(*faults) == 0 {
		return Works
	}
	first := (*faults)[0]
	*faults = (*faults)[1:]
	return first
}

// Read returns the named rows that exist.
func (t *Table) Read(ctx context.Context, names ...string) ([]table.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	fault := t.next(&t.reads)
	if fault == Hangs {
		t.hang(ctx)
	}
	if ctx.Err() != nil || fault != Works {
		return nil, table.ErrUnavailable
	}
	var found []table.Row
	for _, name := range names {
		if row, exists := t.rows[name]; exists {
			row.Value = bytes.Clone(row.Value)
			found = append(found, row)
		}
	}
	return found, nil
}

// hang waits for the end of the context without holding the lock.
func (t *Table) hang(ctx context.Context) {
	t.mu.Unlock()
	<-ctx.Done()
	t.mu.Lock()
}

// Commit applies all changes or none.
func (t *Table) Commit(ctx context.Context, changes ...table.Change) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	fault := t.next(&t.commits)
	if ctx.Err() != nil {
		return table.ErrUnavailable
	}
	switch fault {
	case Down:
		return table.ErrUnavailable
	case Hangs:
		t.hang(ctx)
		return table.ErrUnknown
	case Lost:
		_ = t.apply(changes)
		return table.ErrUnknown
	case Dropped:
		return table.ErrUnknown
	case Late:
		t.pending = changes
		return table.ErrUnknown
	case Works:
	}
	return t.apply(changes)
}

func (t *Table) apply(changes []table.Change) error {
	for _, change := range changes {
		if t.rows[change.Name].Version != change.Expected {
			return table.ErrConflict
		}
	}
	if t.rows == nil {
		t.rows = make(map[string]table.Row)
	}
	for _, change := range changes {
		if change.Value == nil {
			delete(t.rows, change.Name)
			continue
		}
		t.rows[change.Name] = table.Row{Name: change.Name, Version: change.Expected + 1, Value: change.Value}
	}
	return nil
}
