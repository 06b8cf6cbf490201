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

// memoryTable is an in-memory fake of the table service, which can be made unavailable.
type memoryTable struct {
	// waitOneWay blocks for the one-way latency of the network.
	waitOneWay func(ctx context.Context) error
	down       atomic.Bool

	// mu guards rows and version.
	mu      sync.Mutex
	rows    map[string]table.Row
	version table.Version
}

// hostTable is the table service as seen by one daemon, which cannot reach it once its host has failed.
type hostTable struct {
	table *memoryTable
	host  *host
}

// enterCall delays a call by the network latency. It fails if the service is down or the host has failed.
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

// Scan returns the rows whose names begin with prefix, sorted by name.
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

// Commit writes all changes, or none if a row does not have the expected version.
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

// roundRobinPlacer assigns partitions without a live owner to the servers in turn. Other partitions keep their owner, except
// those that a planned move concerns.
type roundRobinPlacer struct {
	// requestedMoves counts the planned moves that were requested. Each moves the first partition of every server to the next
	// server.
	requestedMoves atomic.Int64
	// completedMoves is the value of requestedMoves up to which Place has made the moves.
	completedMoves atomic.Int64
}

// Place returns the desired owner and standby of each partition.
func (p *roundRobinPlacer) Place(placements []assigner.PartitionPlacement, live []assigner.Server) []assigner.PartitionPlacement {
	positionOf := make(map[string]int, len(live))
	for i, server := range live {
		positionOf[string(server.ID)] = i
	}
	moveRequested := p.completedMoves.Swap(p.requestedMoves.Load()) != p.requestedMoves.Load()
	moved := make(map[int]bool)
	for i := range placements {
		owner, found := positionOf[string(placements[i].Owner)]
		if !found {
			owner = i % len(live)
		}
		if moveRequested && !moved[owner] {
			moved[owner] = true
			owner = (owner + 1) % len(live)
		}
		placements[i].Owner, placements[i].Standby = live[owner].ID, live[(owner+1+i/len(live))%len(live)].ID
		if placements[i].Standby == placements[i].Owner {
			placements[i].Standby = live[(owner+1)%len(live)].ID
		}
	}
	return placements
}
