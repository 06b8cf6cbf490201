package relay

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"rosemarywick.example/rosemarywick/internal/platform/table"
)

// maxRecentRows limits the changed rows of a table that are kept for subscribers. One that lacks older changes gets all rows.
const maxRecentRows = 4096

// Consumer receives the rows of one table, in the order of their versions.
type Consumer struct {
	// Reset is called with all rows of the table.
	Reset func([]table.Row)
	// Apply is called with the rows that changed. A deleted row has a nil value.
	Apply func([]table.Row)
	// Restored, if set, is called before Apply when the store has come back from an older copy and was read at a version since.
	// What was written shortly before may be missing, and what was overwritten or deleted may be there again.
	Restored func(table.Version)
	// Since, if set, is called before Reset and Apply with a time before which the store had not acknowledged the rows that are
	// passed, as far as is known, or zero if nothing is known.
	Since func(time.Time)
}

// replica holds copies of tables of the platform's store. Whoever supplies rows, the version of a copy never decreases.
type replica struct {
	consumers map[string]Consumer
	log       zerolog.Logger

	mu sync.Mutex
	// copies is guarded by mu.
	copies map[string]*tableCopy
	// changed is guarded by mu and closed at the next change.
	changed chan struct{}
}

// tableCopy is the copy of one table.
type tableCopy struct {
	// order is held while rows are stored and passed to the consumer, so that the consumer gets them in order.
	order sync.Mutex

	// The fields below are guarded by the replica's mu. known is set once rows have been received.
	known bool
	// version is that of the store up to which the copy holds all changes.
	version table.Version
	rows    map[string]table.Row
	// recent holds the latest changes, the oldest first: all since recentAfter. recentRows is the number of their rows.
	recent      []batch
	recentAfter table.Version
	recentRows  int
	// changedBy is the version of the latest change of rows.
	changedBy table.Version
	// confirmedAt is a time up to which the copy holds all changes that the store had acknowledged, or zero if none is known.
	confirmedAt time.Time
}

// batch holds changes that were received together.
type batch struct {
	table.Changes
	// since is a time before which the store had not acknowledged them, or zero if none is known.
	since time.Time
}

// copyOf returns the copy of a table.
func (r *replica) copyOf(name string) *tableCopy {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.copies == nil {
		r.copies = make(map[string]*tableCopy)
	}
	if r.copies[name] == nil {
		r.copies[name] = &tableCopy{}
	}
	return r.copies[name]
}

// position returns the version of a copy, or false if no rows have been received.
func (r *replica) position(name string) (table.Version, bool) {
	copied := r.copyOf(name)
	r.mu.Lock()
	defer r.mu.Unlock()
	return copied.version, copied.known
}

// reset replaces a copy by all rows of the table at a version. A copy that exists is only changed where it differs, so that
// subscribers get the differences. reset returns false if the copy is newer.
func (r *replica) reset(name string, snapshot batch) bool {
	copied := r.copyOf(name)
	copied.order.Lock()
	defer copied.order.Unlock()
	r.mu.Lock()
	if copied.known {
		if snapshot.Version < copied.version {
			r.mu.Unlock()
			return false
		}
		rows := copied.differences(snapshot.Changes)
		before := copied.version
		copied.version = snapshot.Version
		added := batch{Changes: table.Changes{Rows: rows, Version: snapshot.Version}, since: later(copied.confirmedAt, snapshot.since)}
		r.addAndNotify(copied, added)
		r.mu.Unlock()
		r.passChanges(name, added, before)
		return true
	}
	copied.known, copied.version, copied.rows = true, snapshot.Version, make(map[string]table.Row, len(snapshot.Rows))
	copied.changedBy = snapshot.Version
	for _, row := range snapshot.Rows {
		copied.rows[row.Name] = row
	}
	copied.recent, copied.recentAfter, copied.recentRows = nil, snapshot.Version, 0
	r.notify()
	r.mu.Unlock()
	consumer := r.consumers[name]
	if consumer.Since != nil {
		consumer.Since(time.Time{})
	}
	if consumer.Reset != nil {
		consumer.Reset(snapshot.Rows)
	}
	return true
}

// later returns the later one of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// confirm records that a copy holds all changes that the store had acknowledged by a time, if it is at a version or a later one.
func (r *replica) confirm(name string, version table.Version, at time.Time) {
	copied := r.copyOf(name)
	r.mu.Lock()
	defer r.mu.Unlock()
	if copied.known && copied.version >= version {
		copied.confirmedAt = later(copied.confirmedAt, at)
	}
}

// confirmedAt returns a time up to which a subscriber that has some tables up to given positions has all their changes, or zero
// if none is known.
func (r *replica) confirmedAt(names []string, positions map[string]table.Version) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	var result time.Time
	for i, name := range names {
		copied := r.copies[name]
		if copied == nil || copied.changedBy > positions[name] {
			return time.Time{}
		}
		if i == 0 || copied.confirmedAt.Before(result) {
			result = copied.confirmedAt
		}
	}
	return result
}

// apply adds changes after a version to a copy. It returns false if changes between the copy and that version are missing.
func (r *replica) apply(name string, after table.Version, changes batch) bool {
	copied := r.copyOf(name)
	copied.order.Lock()
	defer copied.order.Unlock()
	r.mu.Lock()
	if !copied.known || after > copied.version {
		r.mu.Unlock()
		return false
	}
	if changes.Version <= copied.version {
		r.mu.Unlock()
		return true
	}
	rows := changesAfter(changes.Rows, copied.version)
	before := copied.version
	copied.version = changes.Version
	added := batch{Changes: table.Changes{Rows: rows, Version: changes.Version}, since: later(copied.confirmedAt, changes.since)}
	r.addAndNotify(copied, added)
	r.mu.Unlock()
	r.passChanges(name, added, before)
	return true
}

// addAndNotify stores changed rows, if there are any. The caller holds mu.
func (r *replica) addAndNotify(copied *tableCopy, changes batch) {
	if len(changes.Rows) > 0 {
		copied.changedBy = changes.Version
		copied.add(changes)
		r.notify()
	}
}

// passChanges passes the rows that changed after a version, if there are any, to the consumer of their table.
func (r *replica) passChanges(name string, changes batch, before table.Version) {
	consumer, rows, after := r.consumers[name], changes.Rows, changes.Version
	if consumer.Since != nil {
		consumer.Since(changes.since)
	}
	if after.Era() > before.Era() {
		r.log.Warn().Str("table", name).Uint32("era", uint32(after.Era())).Uint64("version", after.Number()).
			Uint64("before", before.Number()).Int("rows", len(rows)).Msg("store has come back from an older copy")
		if consumer.Restored != nil {
			consumer.Restored(after)
		}
	}
	if len(rows) == 0 {
		return
	}
	// A relay logs the line when the store has responded, and its subscribers when the update has arrived: the difference is what
	// the way of a change to a daemon took.
	r.log.Info().Str("table", name).Uint64("version", after.Number()).Uint64("oldest", rows[0].Version.Number()).
		Int("rows", len(rows)).Msg("changes of a table adopted")
	if consumer.Apply != nil {
		consumer.Apply(rows)
	}
}

// differences returns the rows that differ from a snapshot, as it has them, in the order of their versions. The rows that it
// lacks were deleted by its version at the latest. The caller holds the replica's mu.
func (c *tableCopy) differences(snapshot table.Changes) []table.Row {
	var result []table.Row
	present := make(map[string]bool, len(snapshot.Rows))
	for _, row := range snapshot.Rows {
		present[row.Name] = true
		if c.rows[row.Name].Version != row.Version {
			result = append(result, row)
		}
	}
	for name := range c.rows {
		if !present[name] {
			result = append(result, table.Row{Name: name, Version: snapshot.Version})
		}
	}
	slices.SortFunc(result, func(a, b table.Row) int { return cmp.Compare(a.Version, b.Version) })
	return result
}

// changesAfter returns the rows with a higher version.
func changesAfter(rows []table.Row, after table.Version) []table.Row {
	var result []table.Row
	for _, row := range rows {
		if row.Version > after {
			result = append(result, row)
		}
	}
	return result
}

// add stores changed rows, and drops the oldest changes beyond maxRecentRows. The caller holds the replica's mu.
func (c *tableCopy) add(changes batch) {
	for _, row := range changes.Rows {
		if row.Value == nil {
			delete(c.rows, row.Name)
		} else {
			c.rows[row.Name] = row
		}
	}
	c.recent = append(c.recent, changes)
	c.recentRows += len(changes.Rows)
	for c.recentRows > maxRecentRows {
		c.recentRows -= len(c.recent[0].Rows)
		c.recentAfter = c.recent[0].Version
		c.recent = c.recent[1:]
	}
}

// update is what a subscriber needs to reach the version of a copy.
type update struct {
	table string
	// whole is set if rows holds all rows of the table, instead of the changes after a version.
	whole          bool
	after, version table.Version
	rows           []table.Row
	// since is a time before which the store had not acknowledged the changes, or zero if none is known.
	since time.Time
}

// since returns the update for a subscriber at a position, or false if it has all changes.
func (r *replica) since(name string, after table.Version, known bool) (update, bool) {
	copied := r.copyOf(name)
	r.mu.Lock()
	defer r.mu.Unlock()
	if !copied.known || known && copied.version <= after {
		return update{}, false
	}
	result := update{table: name, after: after, version: copied.version}
	if !known || after == 0 || after < copied.recentAfter {
		result.whole, result.after = true, 0
		for _, row := range copied.rows {
			result.rows = append(result.rows, row)
		}
		return result, true
	}
	for _, changes := range copied.recent {
		rows := changesAfter(changes.Rows, after)
		if len(rows) > 0 && len(result.rows) == 0 {
			result.since = changes.since
		}
		result.rows = append(result.rows, rows...)
	}
	return result, len(result.rows) > 0
}

// changedChannel returns a channel that is closed at the next change.
func (r *replica) changedChannel() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.changed == nil {
		r.changed = make(chan struct{})
	}
	return r.changed
}

// notify wakes those that wait for a change. The caller holds mu.
func (r *replica) notify() {
	if r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
}
