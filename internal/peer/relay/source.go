package relay

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/platform/table"
)

// source is a feed that stores all that it reads in a replica, before its follower gets it. It tells whether the store responds.
type source struct {
	feed    table.Feed
	replica *replica
	clock   timer.Clock
	// ended is closed when the tables are no longer followed, after which the outcomes of calls say nothing about the store.
	ended <-chan struct{}
	// tables lists the tables that are followed, and bounded those whose changes must take effect in time.
	tables, bounded []string
	// onOutcome is called after each call, before its rows are stored, with whether the last calls for all tables succeeded.
	// confirmed is when the store last responded for the bounded table for which that is longest ago, or zero. It may be nil.
	onOutcome func(available bool, confirmed time.Time)
	// schedule bounds the responses. onChange is called after each call and when a response is overdue. It may be nil.
	schedule schedule
	onChange func()

	mu sync.Mutex
	// failing is guarded by mu. Its keys are the tables whose last call failed.
	failing map[string]bool
	// responded is guarded by mu: the time of the latest response for each table.
	responded map[string]time.Time
	// due is guarded by mu: for each table with a call in progress, when the response is overdue.
	due map[string]time.Time
}

var _ table.Feed = (*source)(nil)

// Snapshot brings the copy of a table up to date. It reads all rows only if the changes since its version are not available. The
// result holds no rows.
func (s *source) Snapshot(ctx context.Context, name string) (table.Changes, error) {
	if position, known := s.replica.position(name); known {
		changes, err := s.Changes(ctx, name, position, 0)
		if !errors.Is(err, table.ErrCompacted) {
			return changes, err
		}
	}
	stop := s.begin(name, s.schedule.contact)
	snapshot, err := s.feed.Snapshot(ctx, name)
	stop()
	s.note(name, err)
	if err != nil {
		return table.Changes{}, errors.Wrap(err, "relay: read table")
	}
	if !s.replica.reset(name, batch{Changes: snapshot}) {
		return table.Changes{}, errors.Wrapf(table.ErrUnavailable, "relay: store returned an older version of table %s", name)
	}
	s.replica.confirm(name, snapshot.Version, s.clock.Now())
	return table.Changes{Version: snapshot.Version}, nil
}

// Changes stores the changes of a table after a version.
func (s *source) Changes(ctx context.Context, name string, after table.Version, wait time.Duration) (table.Changes, error) {
	stop := s.begin(name, wait+s.schedule.response)
	changes, err := s.feed.Changes(ctx, name, after, wait)
	stop()
	if !errors.Is(err, table.ErrCompacted) {
		s.note(name, err)
	}
	if err != nil {
		return table.Changes{}, errors.Wrap(err, "relay: follow table")
	}
	received := s.clock.Now()
	if !s.replica.apply(name, after, batch{Changes: changes}) {
		return table.Changes{}, errors.Wrap(table.ErrCompacted, "relay: changes do not continue the copy")
	}
	s.replica.confirm(name, changes.Version, received)
	return changes, nil
}

// begin records that a call begins, whose whole response is to arrive within some time, and calls onChange if it has not by then.
// The caller calls stop when the call has ended.
func (s *source) begin(name string, allowed time.Duration) (stop func()) {
	s.mu.Lock()
	if s.due == nil {
		s.due = make(map[string]time.Time)
	}
	s.due[name] = s.clock.Now().Add(allowed)
	s.mu.Unlock()
	ended := make(chan struct{})
	go func() {
		overdue := s.clock.After(allowed)
		defer overdue.Stop()
		select {
		case <-overdue.C:
			s.changed()
		case <-ended:
		}
	}()
	return func() { close(ended) }
}

// changed calls onChange, unless the tables are no longer followed.
func (s *source) changed() {
	select {
	case <-s.ended:
	default:
		if s.onChange != nil {
			s.onChange()
		}
	}
}

// note records the outcome of a call.
func (s *source) note(name string, err error) {
	select {
	case <-s.ended:
		return
	default:
	}
	s.mu.Lock()
	if s.failing == nil {
		s.failing, s.responded = make(map[string]bool), make(map[string]time.Time)
	}
	delete(s.due, name)
	if err != nil {
		s.failing[name] = true
	} else {
		delete(s.failing, name)
		s.responded[name] = s.clock.Now()
	}
	available, confirmed := len(s.failing) == 0, s.confirmedAt(s.bounded)
	s.mu.Unlock()
	if s.onOutcome != nil {
		s.onOutcome(available, confirmed)
	}
	s.changed()
}

// confirmedAt returns when the store last responded for the one of some tables for which that is longest ago, or zero. The caller
// holds mu.
func (s *source) confirmedAt(tables []string) time.Time {
	result := s.clock.Now()
	for _, name := range tables {
		if responded := s.responded[name]; responded.Before(result) {
			result = responded
		}
	}
	return result
}

// starting reports whether no call has failed and the store has not responded for all tables yet.
func (s *source) starting() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.failing) == 0 && s.confirmedAt(s.tables).IsZero()
}

// available reports whether all tables are being followed, none of the responses is overdue, and the store has responded for the
// table contact within maxAge. A response for one table says nothing about the others, whose connections may have fallen silent.
func (s *source) available(tables []string, contact string, maxAge time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	for _, name := range tables {
		if s.failing[name] || s.responded[name].IsZero() {
			return false
		}
		if due, inProgress := s.due[name]; inProgress && !now.Before(due) {
			return false
		}
	}
	return now.Sub(s.responded[contact]) <= maxAge
}
