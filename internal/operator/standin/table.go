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
	NoFault Fault = ""
	// Down rejects the call without an effect.
	Unavailable Fault = "down"
	// Hangs keeps the call without an effect until its context ends.
	Hang Fault = "hangs"
	// Lost carries the write out and loses the response.
	LostResponse Fault = "lost"
	// Dropped loses the write, whose sender cannot tell that from a lost response.
	LostWrite Fault = "dropped"
	// Late loses the response and carries the write out just before the next call.
	DelayedWrite Fault = "late"
)

// Table is a table in memory. Its zero value is empty and without faults.
type Table struct {
	mu sync.Mutex
	// All fields are guarded by mu. The faults are those of the next calls; further calls work.
	rows         map[string]table.Row
	commitFaults []Fault
	readFaults   []Fault
	delayed      []table.Change
}

// Fail sets the faults of the next commits and reads.
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

// next returns the fault of a call after it has carried out a late write.
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

// hang waits for the end of the context without holding the lock.
func (t *Table) waitUntilDone(ctx context.Context) {
	t.mu.Unlock()
	<-ctx.Done()
	t.mu.Lock()
}

// Commit applies all changes or none.
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
