// Package evacuation decides which failure domains are evacuated: the operators want no requests sent to the upstreams there. It
// does no I/O and reads no clock.
package evacuation

import (
	"sync"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/platform/table"
)

// Change is what a changed row of the operators says: one of Written, Deleted and Malformed.
type Change interface {
	change()
}

// Written means that the operators want a domain evacuated.
type Written struct {
	Domain fleet.FailureDomain
	// Version is that of the row.
	Version table.Version
}

// Deleted means that the row of a domain does not exist any more.
type Deleted struct {
	Domain fleet.FailureDomain
	// Version is that of the deletion, or of the snapshot that lacks the row.
	Version table.Version
}

// Malformed means that a row cannot be decoded. It changes nothing.
type Malformed struct {
	Row     string
	Version table.Version
	Err     error
}

func (Written) change()   {}
func (Deleted) change()   {}
func (Malformed) change() {}

// Event is what a change caused: one of Began, Ended, Kept, Unknown and Ignored.
type Event interface {
	event()
}

// Began means that the evacuation of a domain has begun.
type Began struct {
	Written
	// InSnapshot is set if the row was in the first snapshot of the table, so that it may have been written long ago.
	InSnapshot bool
}

// Ended means that the evacuation of a domain has ended.
type Ended struct {
	Deleted
	// Lasted is the time since it began here.
	Lasted time.Duration
}

// Kept means that a row is missing because the store came back from an older copy, and that the evacuation stays in force.
type Kept struct{ Deleted }

// Unknown means that a row names a domain that the deployment does not have.
type Unknown struct{ Written }

// Ignored means that a row is malformed.
type Ignored struct{ Malformed }

func (Began) event()   {}
func (Ended) event()   {}
func (Kept) event()    {}
func (Unknown) event() {}
func (Ignored) event() {}

// Set holds the evacuated domains. The exported fields are set before use.
type Set struct {
	// Timeout is the time after the store's acknowledgement of a row from which no request may reach an upstream of its domain.
	Timeout time.Duration
	// Domains are the failure domains of the deployment. Rows that name another one have no effect.
	Domains map[fleet.FailureDomain]bool

	mu sync.Mutex
	// active is guarded by mu and holds the evacuated domains.
	active map[fleet.FailureDomain]evacuated
	// unknown is guarded by mu and contains the domains with a row that are not in Domains.
	unknown map[fleet.FailureDomain]bool
	// endedAt is guarded by mu: when the latest evacuation of a domain that is not evacuated now ended here.
	endedAt map[fleet.FailureDomain]time.Time
	// restored is guarded by mu: the version at which the store was first read after it came back from an older copy, or zero.
	restored table.Version
	// changed is guarded by mu and closed at the next change of active.
	changed chan struct{}
}

// evacuated is the state of one evacuated domain.
type evacuated struct {
	since   time.Time
	version table.Version
}

// Reset adopts the rows of the first snapshot of the table. They may have been written at any time before, so their evacuations
// count as begun long enough ago for no owner to be used any more.
func (s *Set) Reset(now time.Time, changes ...Change) []Event {
	return s.adopt(now, now.Add(-s.Timeout), true, changes)
}

// Apply adopts changed rows that may have been written at any time since a time before now.
func (s *Set) Apply(now, since time.Time, changes ...Change) []Event {
	return s.adopt(now, since, false, changes)
}

// Restored notes that the store has come back from an older copy, and was read at a version since. Rows that are missing at that
// version may have been lost with the writes that the copy lacks. It is called before Apply with the differences.
func (s *Set) Restored(version table.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restored = version
}

// adopt applies changes. Evacuations that begin count from since.
func (s *Set) adopt(now, since time.Time, inSnapshot bool, changes []Change) []Event {
	s.mu.Lock()
	defer s.mu.Unlock()
	var events []Event
	for _, change := range changes {
		var event Event
		switch change := change.(type) {
		case Written:
			event = s.begin(change, since, inSnapshot)
		case Deleted:
			event = s.end(change, now)
		case Malformed:
			event = Ignored{change}
		}
		if event != nil {
			events = append(events, event)
		}
	}
	return events
}

// begin adopts a written row. One that is written again does not begin anew. The caller holds mu.
func (s *Set) begin(row Written, since time.Time, inSnapshot bool) Event {
	if !s.Domains[row.Domain] {
		if s.unknown[row.Domain] {
			return nil
		}
		if s.unknown == nil {
			s.unknown = make(map[fleet.FailureDomain]bool)
		}
		s.unknown[row.Domain] = true
		return Unknown{row}
	}
	if before, active := s.active[row.Domain]; active {
		s.active[row.Domain] = evacuated{since: before.since, version: max(before.version, row.Version)}
		return nil
	}
	if s.active == nil {
		s.active = make(map[fleet.FailureDomain]evacuated)
	}
	s.active[row.Domain] = evacuated{since: since, version: row.Version}
	delete(s.endedAt, row.Domain)
	s.notify()
	return Began{Written: row, InSnapshot: inSnapshot}
}

// end adopts the deletion of a row. The caller holds mu.
func (s *Set) end(row Deleted, now time.Time) Event {
	delete(s.unknown, row.Domain)
	before, active := s.active[row.Domain]
	if !active || row.Version < before.version {
		return nil
	}
	if row.Version <= s.restored {
		return Kept{row}
	}
	delete(s.active, row.Domain)
	if s.endedAt == nil {
		s.endedAt = make(map[fleet.FailureDomain]time.Time)
	}
	s.endedAt[row.Domain] = now
	s.notify()
	return Ended{Deleted: row, Lasted: now.Sub(before.since)}
}

// Since returns when the evacuation of a domain began here, or zero if it is not evacuated.
func (s *Set) Since(domain fleet.FailureDomain) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.active[domain].since
}

// EndedAt returns when the latest evacuation of a domain ended here. It is zero if the domain is evacuated now, or has not been
// since this process started.
func (s *Set) EndedAt(domain fleet.FailureDomain) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endedAt[domain]
}

// Active returns the number of evacuated domains.
func (s *Set) Active() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.active)
}

// Unknown returns the number of rows without effect, because they name a domain that the deployment does not have.
func (s *Set) Unknown() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.unknown)
}

// Changed returns a channel that is closed when the next evacuation begins or ends.
func (s *Set) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}

// notify wakes those that wait for a change. The caller holds mu.
func (s *Set) notify() {
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}
