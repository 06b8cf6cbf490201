package evacuation_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/platform/table"
	"rosemarywick.example/rosemarywick/internal/routing/evacuation"
)

var start = time.Unix(1000, 0)

func newSet() *evacuation.Set {
	return &evacuation.Set{Timeout: 5 * time.Second, Domains: map[fleet.FailureDomain]bool{"a": true, "b": true}}
}

func written(domain fleet.FailureDomain, version table.Version) evacuation.Change {
	return evacuation.Written{Domain: domain, Version: version}
}

func deleted(domain fleet.FailureDomain, version table.Version) evacuation.Change {
	return evacuation.Deleted{Domain: domain, Version: version}
}

// Guards against an evacuation that begins anew with each write of its row, or ends with that of another domain, or without notice.
func TestBeginAndEnd(t *testing.T) {
	is := is.New(t)
	s := newSet()
	changed := s.Changed()
	is.Equal(len(s.Apply(start, start, written("a", 1), written("b", 2))), 2)
	<-changed
	is.Equal(len(s.Apply(start.Add(time.Second), start.Add(time.Second), written("a", 3))), 0)
	is.Equal(s.Since("a"), start)
	changed = s.Changed()
	is.Equal(len(s.Apply(start.Add(2*time.Second), start.Add(2*time.Second), deleted("a", 4), deleted("a", 5))), 1)
	<-changed
	is.True(s.Since("a").IsZero())
	is.Equal(s.EndedAt("a"), start.Add(2*time.Second))
	is.Equal(s.Since("b"), start)
	is.Equal(s.Active(), 1)
	s.Apply(start.Add(3*time.Second), start.Add(3*time.Second), written("a", 6))
	is.True(s.EndedAt("a").IsZero())
}

// Guards against owners that are used beyond the bound because the daemon has restarted meanwhile.
func TestRestart(t *testing.T) {
	is := is.New(t)
	s := newSet()
	events := s.Reset(start, written("a", 1))
	is.Equal(events, []evacuation.Event{evacuation.Began{Written: evacuation.Written{Domain: "a", Version: 1}, InSnapshot: true}})
	is.Equal(s.Since("a"), start.Add(-5*time.Second))
}

// Guards against owners that are used beyond the bound because the row arrived late.
func TestLateAdoption(t *testing.T) {
	is := is.New(t)
	s := newSet()
	s.Apply(start, start.Add(-4*time.Second), written("a", 1))
	is.Equal(s.Since("a"), start.Add(-4*time.Second))
	s.Apply(start.Add(time.Second), start.Add(-4*time.Second), deleted("a", 2))
	is.Equal(s.EndedAt("a"), start.Add(time.Second))
}

// Guards against an evacuation that ends because the store came back from a copy without its row, and against one that can't be
// ended afterwards.
func TestRestored(t *testing.T) {
	is := is.New(t)
	s := newSet()
	s.Apply(start, start, written("a", table.NewVersion(0, 9)), written("b", table.NewVersion(0, 8)))
	at := table.NewVersion(1, 4)
	s.Restored(at)
	events := s.Apply(start, start, deleted("a", at))
	is.Equal(events, []evacuation.Event{evacuation.Kept{Deleted: evacuation.Deleted{Domain: "a", Version: at}}})
	is.Equal(s.Active(), 2)
	s.Apply(start, start, written("a", table.NewVersion(1, 5)), deleted("a", table.NewVersion(1, 6)))
	s.Apply(start, start, deleted("b", table.NewVersion(1, 7))) // b was in the copy
	is.Equal(s.Active(), 0)
}

// Guards against an effect of rows that are malformed or name a domain that does not exist, and against a log line for each write.
func TestRowsWithoutEffect(t *testing.T) {
	is := is.New(t)
	s := newSet()
	changed := s.Changed()
	is.Equal(len(s.Apply(start, start, written("z", 1), evacuation.Malformed{Row: "x", Version: 2})), 2)
	is.Equal(len(s.Apply(start, start, written("z", 3))), 0)
	is.Equal(s.Unknown(), 1)
	is.Equal(s.Active(), 0)
	s.Apply(start, start, deleted("z", 4))
	is.Equal(s.Unknown(), 0)
	select {
	case <-changed:
		t.Fatal("a row without effect is reported as a change")
	default:
	}
}
