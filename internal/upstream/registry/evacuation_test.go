package registry_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/upstream/registry"
)

// Guards against upstreams of an evacuated domain that are used for too long, among them those that register later or leave as well,
// and against upstreams of other domains that are not used.
func TestEvacuatedDomain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var since time.Time
		r := &registry.Registry{
			Clock: timer.System{}, Log: zerolog.Nop(), DrainTimeout: drainTimeout, EvacuationTimeout: 5 * time.Second,
			EvacuatedSince: func(domain fleet.FailureDomain) time.Time {
				if domain == "a" {
					return since
				}
				return time.Time{}
			},
		}
		for id, domain := range []fleet.FailureDomain{"a", "b", "a"} {
			entry := newEntry(id)
			entry.Locality.Domain = domain
			entry.Draining = id == 2
			r.Put(entry)
		}
		leavingDeadline := r.Upstreams()["s"][2].DrainDeadline
		changed := r.Changed()
		since = time.Now()
		r.NoteEvacuation()
		<-changed
		upstreams := r.Upstreams()["s"]
		is.True(upstreams[0].Evacuated)
		is.Equal(upstreams[0].DrainDeadline, since.Add(2500*time.Millisecond))
		is.True(!upstreams[1].Evacuated && upstreams[1].DrainDeadline.IsZero())
		is.Equal(upstreams[2].DrainDeadline, leavingDeadline) // the earlier of both
		late := newEntry(3)
		late.Locality.Domain = "a"
		r.Put(late)
		is.True(r.Upstreams()["s"][3].Evacuated)
		since = time.Time{}
		is.True(!r.Upstreams()["s"][0].Evacuated && r.Upstreams()["s"][0].DrainDeadline.IsZero())
	})
}
