// Package standin provides fakes for the tests of the operator packages: a table with injected faults, a certificate
// authority, and a fleet with fixed members and partitions.
package standin

import (
	"bytes"
	"context"
	"sync"

	"rosemarywick.example/rosemarywick/internal/platform/table"
)

// Fault is the way in which one call to the table fails.
type Fault string

const (
	// NoFault executes the call normally.
	NoFault Fault = ""
	// Unavailable fails the call without any effect.
	Unavailable Fault = "down"
	// Hang blocks the call until its context ends, without any effect.
	Hang Fault = "hangs"
	// LostResponse executes the write but returns an unknown outcome.
	LostResponse Fault = "lost"
	// LostWrite discards the write and returns an unknown outcome, as if the response had been lost.
	LostWrite Fault = "dropped"
	// DelayedWrite returns an unknown outcome and executes the write just before the next call.
	DelayedWrite Fault = "late"
)

// Table is an in-memory implementation of the table service with fault injection. Its zero value is an empty table without
// faults.
type Table struct {
	mu sync.Mutex
	// All fields are guarded by mu. The faults apply to the next calls in order; once they are used up, calls succeed.
	rows         map[string]table.Row
	commitFaults []Fault
	readFaults   []Fault
	delayed      []table.Change
}

// InjectFaults sets the faults of the next commits and reads, in place of those that are left.
func (t *Table) InjectFaults(commits, reads []Fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.commitFaults, t.readFaults = commits, reads
}

// Len returns the number of rows.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.rows)
}

// nextFault executes a delayed write, if there is one, and removes and returns the first of the faults. The caller must hold
// mu.
func (t *Table) nextFault(faults *[]Fault) Fault {
	_ = t.apply(t.delayed)
	t.delayed = nil
	if len(*faults) == 0 {
		return NoFault
	}
	first := (*faults)[0]
	*faults = (*faults)[1:]
	return first
}

// Read returns the named rows that exist.
func (t *Table) Read(ctx context.Context, names ...string) ([]table.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	fault := t.nextFault(&t.readFaults)
	if fault == Hang {
		t.waitUntilDone(ctx)
	}
	if ctx.Err() != nil || fault != NoFault {
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

// waitUntilDone releases the lock, waits until ctx ends and acquires the lock again.
func (t *Table) waitUntilDone(ctx context.Context) {
	t.mu.Unlock()
	<-ctx.Done()
	t.mu.Lock()
}

// Commit applies all changes or none, unless the next fault says otherwise.
func (t *Table) Commit(ctx context.Context, changes ...table.Change) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	fault := t.nextFault(&t.commitFaults)
	if ctx.Err() != nil {
		return table.ErrUnavailable
	}
	switch fault {
	case Unavailable:
		return table.ErrUnavailable
	case Hang:
		t.waitUntilDone(ctx)
		return table.ErrUnknown
	case LostResponse:
		_ = t.apply(changes)
		return table.ErrUnknown
	case LostWrite:
		return table.ErrUnknown
	case DelayedWrite:
		t.delayed = changes
		return table.ErrUnknown
	case NoFault:
	}
	return t.apply(changes)
}

// apply executes a transaction: it writes or deletes all rows if each has its expected version. The caller must hold mu.
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
