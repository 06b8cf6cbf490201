package registry_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/upstream/registry"
)

// Guards against a cold time that is not passed on because nothing else changed, against a document that is built anew each time
// that an upstream writes its remaining cold time, and against the cold time of an earlier start.
func TestColdTimeIsPassedOn(t *testing.T) {
	is := is.New(t)
	var noted []time.Duration
	r := &registry.Registry{
		Clock: timer.System{}, Log: zerolog.Nop(), NoteCold: func(entry registry.Entry) { noted = append(noted, entry.ColdFor) },
	}
	entry := newEntry(0)
	entry.Incarnation, entry.ColdFor, entry.Revision = "2", 3*time.Second, 1
	r.Put(entry)
	changed := r.Changed()
	entry.ColdFor, entry.Revision = 2*time.Second, 2
	r.Put(entry)
	earlier := newEntry(0)
	earlier.Incarnation, earlier.Revision = "1", 3
	r.Put(earlier)
	is.Equal(noted, []time.Duration{3 * time.Second, 2 * time.Second})
	select {
	case <-changed:
		t.Error("the remaining cold time counts as a change of the registered upstreams")
	default:
	}
}
