package config_test

import (
	"bytes"
	"context"
	"sync"

	"rosemarywick.example/rosemarywick/internal/platform/table"
)

// fault is what happens to one call.
type fault string

const (
	works fault = ""
	// down rejects the call without an effect.
	down fault = "down"
	// lost carries the write out and loses the response.
	lost fault = "lost"
	// dropped loses the write, whose sender cannot tell that from a lost response.
	dropped fault = "dropped"
	// late loses the response and carries the write out at the next call of any kind.
	late fault = "late"
)

// memory is a table in memory with faults.
type memory struct {
	mu   sync.Mutex
	rows map[string]table.Row
	// commits and reads are the faults of the next calls; further calls work.
	commits []fault
	reads   []fault
	pending []table.Change
}

func newMemory() *memory {
	return &memory{rows: make(map[string]table.Row)}
}

func (m *memory) fail(commits, reads []fault) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.commits, m.reads = commits, reads
}

func next(faults *[]fault) fault {
	if len(*faults) == 0 {
		return works
	}
	first := (*faults)[0]
	*faults = (*faults)[1:]
	return first
}

func (m *memory) Read(ctx context.Context, names ...string) ([]table.Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.deliver()
	if ctx.Err() != nil || next(&m.reads) == down {
		return nil, table.ErrUnavailable
	}
	var found []table.Row
	for _, name := range names {
		if row, exists := m.rows[name]; exists {
			row.Value = bytes.Clone(row.Value)
			found = append(found, row)
		}
	}
	return found, nil
}

func (m *memory) Commit(ctx context.Context, changes ...table.Change) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.deliver()
	if ctx.Err() != nil {
		return table.ErrUnavailable
	}
	switch next(&m.commits) {
	case down:
		return table.ErrUnavailable
	case lost:
		_ = m.apply(changes)
		return table.ErrUnknown
	case dropped:
		return table.ErrUnknown
	case late:
		m.pending = changes
		return table.ErrUnknown
	case works:
	}
	return m.apply(changes)
}

func (m *memory) deliver() {
	_ = m.apply(m.pending)
	m.pending = nil
}

func (m *memory) apply(changes []table.Change) error {
	for _, change := range changes {
		if m.rows[change.Name].Version != change.Expected {
			return table.ErrConflict
		}
	}
	for _, change := range changes {
		if change.Value == nil {
			delete(m.rows, change.Name)
			continue
		}
		m.rows[change.Name] = table.Row{Name: change.Name, Version: change.Expected + 1, Value: change.Value}
	}
	return nil
}
