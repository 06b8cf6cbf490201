package entry

import (
	"math"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/ownership/ranges"
	"rosemarywick.example/rosemarywick/internal/platform/table"
	"rosemarywick.example/rosemarywick/internal/upstream/rangegrants"
)

// maxMoveDuration is how long a range counts as moving after its table was received. During an outage of the store the table
// that ends the move may not arrive, so after that time requests are sent to the new owner anyway.
const maxMoveDuration = time.Second

// ownershipMap holds the latest range table of each service whose servers need grants.
type ownershipMap struct {
	clock timer.Clock
	log   zerolog.Logger
	// storeTime returns the latest time that the store's clock may show now.
	storeTime func() time.Duration
	// onAdopted is called with each newly adopted table. mu is not held, so that requests can look up owners meanwhile.
	onAdopted func(fleet.ServiceName, *ranges.Table)

	mu sync.Mutex
	// tables is guarded by mu. The version of a service's table never decreases.
	tables map[fleet.ServiceName]*versionedTable
	// changed is guarded by mu and closed at the next change.
	changed chan struct{}
}

// versionedTable is the latest range table of a service, the version of its row, and the time of its adoption.
type versionedTable struct {
	table     *ranges.Table
	version   table.Version
	adoptedAt time.Time
	// size is the size of the row in bytes.
	size int
}

// Locate returns the assignment of a key, or false if the service has no table or no owner is assigned.
func (o *ownershipMap) Locate(service fleet.ServiceName, key fleet.KeyHash) (fleet.Assignment, bool) {
	o.mu.Lock()
	latest := o.tables[service]
	o.mu.Unlock()
	if latest == nil {
		return fleet.Assignment{}, false
	}
	entry := latest.table.Locate(fleet.NumericKey(key))
	if entry == nil {
		return fleet.Assignment{}, false
	}
	freeIn, sinceAdopted := o.freeIn(entry), o.clock.Now().Sub(latest.adoptedAt)
	return fleet.Assignment{
		Partition: fleet.PartitionID(entry.Range.First), Owner: entry.Owner.ID,
		Incarnation: entry.Owner.Incarnation,
		Fence:       fleet.Fence{Counter: uint64(entry.Fence)},
		Moving:      len(entry.FormerOwners) > 0 && (sinceAdopted < maxMoveDuration || freeIn > -maxMoveDuration),
		FreeIn:      max(0, freeIn),
	}, true
}

// freeIn returns the time until the grants of the former owners that cannot be reached have ended. It is negative afterwards, and
// lowest if there are none.
func (o *ownershipMap) freeIn(entry *ranges.Assignment) time.Duration {
	result := time.Duration(math.MinInt64)
	for _, former := range entry.FormerOwners {
		if former.Unreachable {
			result = max(result, former.GrantsExpireAt-o.storeTime())
		}
	}
	return result
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

// table returns the latest range table of a service, or nil.
func (o *ownershipMap) table(service fleet.ServiceName) *ranges.Table {
	o.mu.Lock()
	defer o.mu.Unlock()
	if latest := o.tables[service]; latest != nil {
		return latest.table
	}
	return nil
}

// rowBytes returns the size of the largest range table as it is stored.
func (o *ownershipMap) rowBytes() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	largest := 0
	for _, latest := range o.tables {
		largest = max(largest, latest.size)
	}
	return largest
}

// applyRows adopts changed rows of the table of range tables and reports each adopted one to onAdopted.
func (o *ownershipMap) applyRows(rows []table.Row) {
	for _, adopted := range o.adoptRows(rows) {
		o.onAdopted(adopted.service, adopted.table)
	}
}

// adoptedTable is a range table that was newly adopted.
type adoptedTable struct {
	service fleet.ServiceName
	table   *ranges.Table
}

// adoptRows stores the range tables in the rows and returns those that were newer than the stored ones, in the order of the
// rows. A row that cannot be decoded is logged and leaves the stored table in place.
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
		previous := o.tables[service]
		if previous != nil && row.Version <= previous.version {
			continue
		}
		if previous != nil && next.Precedes(previous.table) {
			o.log.Warn().Str("service", string(service)).Uint32("era", uint32(row.Version.Era())).Uint64("fence", uint64(next.Fence)).
				Uint64("known", uint64(previous.table.Fence)).Msg("older table of the ranges came back; the newer one stays in force")
			continue
		}
		if o.tables == nil {
			o.tables = make(map[fleet.ServiceName]*versionedTable)
		}
		o.tables[service] = &versionedTable{table: next, version: row.Version, adoptedAt: o.clock.Now(), size: len(row.Value)}
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

// serviceOfRow returns the service whose range table is stored in a row of the given name.
func serviceOfRow(row string) (fleet.ServiceName, bool) {
	prefix := rangegrants.TableRow("")
	if len(row) <= len(prefix) || row[:len(prefix)] != prefix {
		return "", false
	}
	return fleet.ServiceName(row[len(prefix):]), true
}
