package entry

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/ownership/ranges"
	"rosemarywick.example/rosemarywick/internal/platform/table"
	"rosemarywick.example/rosemarywick/internal/upstream/rangegrants"
)

// movingMost is how long a range counts as being moved. The store may be unable to say that the move is over, so requests
// try the new owner after that.
const maxMoveDuration = time.Second

// owners is the map of the services whose servers hold ranges.
type ownershipMap struct {
	clock timer.Clock
	log   zerolog.Logger
	// adopted is called with each table that has come in force, without mu: requests look up owners meanwhile.
	onAdopted func(fleet.ServiceName, *ranges.Table)

	mu sync.Mutex
	// tables is guarded by mu; a table's version never goes back.
	tables map[fleet.ServiceName]*versionedTable
	// changed is guarded by mu and closed at the next change.
	changed chan struct{}
}

// known is the latest table of a service.
type versionedTable struct {
	table   *ranges.Table
	version table.Version
	since   time.Time
}

// Locate returns the assignment of a key.
func (o *ownershipMap) Locate(service fleet.ServiceName, key fleet.KeyHash) (fleet.Assignment, bool) {
	o.mu.Lock()
	latest := o.tables[service]
	o.mu.Unlock()
	if latest == nil {
		return fleet.Assignment{}, false
	}
	holding := latest.table.Locate(fleet.NumericKey(key))
	if holding == nil {
		return fleet.Assignment{}, false
	}
	return fleet.Assignment{
		Partition: fleet.PartitionID(holding.Range.First), Owner: holding.Owner.ID,
		Fence:  fleet.Fence{Counter: uint64(holding.Fence)},
		Moving: len(holding.FormerOwners) > 0 && o.clock.Now().Sub(latest.since) < maxMoveDuration,
	}, true
}

// Changed returns a channel that is closed at the next change.
func (o *ownershipMap) Changed() <-chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.changed == nil {
		o.changed = make(chan struct{})
	}
	return o.changed
}

// table returns the latest table of a service, or nil.
func (o *ownershipMap) table(service fleet.ServiceName) *ranges.Table {
	o.mu.Lock()
	defer o.mu.Unlock()
	if latest := o.tables[service]; latest != nil {
		return latest.table
	}
	return nil
}

// apply takes in rows of the tables.
func (o *ownershipMap) applyRows(rows []table.Row) {
	for _, one := range o.adoptRows(rows) {
		o.onAdopted(one.service, one.table)
	}
}

// adoption is a table that has come in force.
type adoptedTable struct {
	service fleet.ServiceName
	table   *ranges.Table
}

// adopt puts the tables of the rows in force, and returns them in the order of the rows without those that are not newer.
func (o *ownershipMap) adoptRows(rows []table.Row) []adoptedTable {
	var adopted []adoptedTable
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, row := range rows {
		service, ok := serviceOfRow(row.Name)
		if !ok || row.Value == nil {
			continue
		}
		next, err := ranges.Parse(row.Value)
		if err != nil {
			o.log.Error().Err(err).Str("row", row.Name).Msg("table of the ranges cannot be read; the last one stays in force")
			continue
		}
		before := o.tables[service]
		if before != nil && row.Version <= before.version {
			continue
		}
		if o.tables == nil {
			o.tables = make(map[fleet.ServiceName]*versionedTable)
		}
		o.tables[service] = &versionedTable{table: next, version: row.Version, since: o.clock.Now()}
		adopted = append(adopted, adoptedTable{service: service, table: next})
		o.log.Info().Str("service", string(service)).Uint64("version", uint64(row.Version)).Uint64("term", next.Term).
			Uint64("fence", uint64(next.Fence)).Int("holdings", len(next.Assignments)).Msg("table of the ranges adopted")
	}
	if o.changed != nil {
		close(o.changed)
		o.changed = nil
	}
	return adopted
}

// serviceOf returns the service that a row of the tables belongs to.
func serviceOfRow(row string) (fleet.ServiceName, bool) {
	prefix := rangegrants.TableRow("")
	if len(row) <= len(prefix) || row[:len(prefix)] != prefix {
		return "", false
	}
	return fleet.ServiceName(row[len(prefix):]), true
}
