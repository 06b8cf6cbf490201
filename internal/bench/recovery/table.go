package recovery

import (
	"context"
	"sort"
	"strings"
	"sync"
	"sync/atomic"

	"rosemarywick.example/rosemarywick/internal/ownership/assigner"
	"rosemarywick.example/rosemarywick/internal/platform/table"
)

// memoryTable is a stand-in for the table service that can be down.
type memoryTable struct {
	waitOneWay func(ctx context.Context) error
	down       atomic.Bool

	// mu guards rows and version.
	mu      sync.Mutex
	rows    map[string]table.Row
	version table.Version
}

// hostTable is the table as one daemon reaches it.
type hostTable struct {
	table *memoryTable
	host  *host
}

// call delays one call and reports whether the service can be reached.
func (t hostTable) enterCall(ctx context.Context) error {
	if err := t.table.waitOneWay(ctx); err != nil {
		return err
	}
	if t.table.down.Load() || t.host.lost.Load() {
		return table.ErrUnavailable
	}
	return nil
}

// Read returns the named rows that exist.
func (t hostTable) Read(ctx context.Context, names ...string) ([]table.Row, error) {
	if err := t.enterCall(ctx); err != nil {
		return nil, err
	}
	t.table.mu.Lock()
	defer t.table.mu.Unlock()
	var rows []table.Row
	for _, name := range names {
		if row, found := t.table.rows[name]; found {
			rows = append(rows, row)
		}
	}
	return rows, nil
}

// Scan returns the rows whose names begin with prefix.
func (t hostTable) Scan(ctx context.Context, prefix string) ([]table.Row, error) {
	if err := t.enterCall(ctx); err != nil {
		return nil, err
	}
	t.table.mu.Lock()
	defer t.table.mu.Unlock()
	var rows []table.Row
	for name, row := range t.table.rows {
		if strings.HasPrefix(name, prefix) {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Name < rows[j].Name })
	return rows, nil
}

// Commit applies all changes or none.
func (t hostTable) Commit(ctx context.Context, changes ...table.Change) error {
	if err := t.enterCall(ctx); err != nil {
		return err
	}
	t.table.mu.Lock()
	defer t.table.mu.Unlock()
	for _, change := range changes {
		if t.table.rows[change.Name].Version != change.Expected {
			return table.ErrConflict
		}
	}
	if t.table.rows == nil {
		t.table.rows = make(map[string]table.Row)
	}
	for _, change := range changes {
		if change.Write {
			t.table.version++
			t.table.rows[change.Name] = table.Row{Name: change.Name, Version: t.table.version, Value: change.Value}
		}
	}
	return nil
}

// placer spreads partitions without an owner in turn and leaves the others where they are, except those to be moved.
type roundRobinPlacer struct {
	// shift counts the planned moves asked for. Each moves the first partition of every server to the next server.
	requestedMoves atomic.Int64
	completedMoves atomic.Int64
}

// Place returns the desired owner and standby of each partition.
func (p *roundRobinPlacer) Place(places []assigner.PartitionPlacement, live []assigner.Server) []assigner.PartitionPlacement {
	position := make(map[string]int, len(live))
	for i, server := range live {
		position[string(server.ID)] = i
	}
	move := p.completedMoves.Swap(p.requestedMoves.Load()) != p.requestedMoves.Load()
	moved := make(map[int]bool)
	for i := range places {
		at, found := position[string(places[i].Owner)]
		if !found {
			at = i % len(live)
		}
		if move && !moved[at] {
			moved[at] = true
			at = (at + 1) % len(live)
		}
		places[i].Owner, places[i].Standby = live[at].ID, live[(at+1+i/len(live))%len(live)].ID
		if places[i].Standby == places[i].Owner {
			places[i].Standby = live[(at+1)%len(live)].ID
		}
	}
	return places
}
