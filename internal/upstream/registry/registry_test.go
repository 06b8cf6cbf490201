package registry_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/upstream/registry"
)

const drain = 2 * time.Second

func entry(id int) registry.Entry {
	return registry.Entry{ID: fleet.UpstreamID(fmt.Sprint(id)), Service: "s", Incarnation: "1"}
}

func entries(count int) []registry.Entry {
	var result []registry.Entry
	for id := range count {
		result = append(result, entry(id))
	}
	return result
}

// Guards against an upstream that is used for too long after its entry has disappeared, or dropped although its entry only
// lapsed with the store.
func TestVanished(t *testing.T) {
	cases := []struct {
		name   string
		vanish func(r *registry.Registry)
		// kept is the time after which upstream 0 is still used, gone that after which it is not.
		kept, gone time.Duration
	}{
		{"one alone", func(r *registry.Registry) { r.Remove("0") }, -1, 0},
		{"many together", func(r *registry.Registry) { r.Remove("0", "1", "2", "3") }, drain / 2, drain},
		{"one alone after this daemon was cut off", func(r *registry.Registry) { r.StoreRecovered(); r.Remove("0") }, -1, 0},
		{"many after an outage", func(r *registry.Registry) {
			r.StoreRecovered()
			r.Remove("0", "1", "2", "3")
		}, 1900 * time.Millisecond, 2 * time.Second},
		{"history lost after an outage", func(r *registry.Registry) {
			r.StoreRecovered()
			r.Reset(entries(20)[4:])
		}, 1900 * time.Millisecond, 2 * time.Second},
		{"told of it twice", func(r *registry.Registry) {
			r.StoreRecovered()
			r.Reset(entries(20)[4:])
			pass(700 * time.Millisecond)
			r.Remove("0")
		}, 1200 * time.Millisecond, 1300 * time.Millisecond},
		{"leaving before", func(r *registry.Registry) {
			leaving := entry(0)
			leaving.Draining = true
			r.Put(leaving)
			r.StoreRecovered()
			r.Remove("0")
		}, -1, 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := &registry.Registry{Clock: timer.System{}, Log: zerolog.Nop(), DrainTimeout: drain, OutageGrace: 2 * time.Second}
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go func() { _ = r.Run(ctx) }()
				r.Reset(entries(20))
				pass(10 * time.Second)
				test.vanish(r)
				has := func() bool {
					synctest.Wait()
					for _, one := range r.Upstreams()["s"] {
						if one.ID == "0" {
							return true
						}
					}
					return false
				}
				if test.kept >= 0 {
					pass(test.kept)
					is.True(has())
				}
				pass(test.gone - max(test.kept, 0))
				is.True(!has())
				r.Put(entry(0))
				is.True(has()) // it is back
			})
		})
	}
}

// Guards against a drain whose limit moves with each change of the entry, and against a new run that counts as leaving.
func TestDraining(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := &registry.Registry{Clock: timer.System{}, Log: zerolog.Nop(), DrainTimeout: drain}
		leaving := entry(0)
		leaving.Draining = true
		r.Put(leaving)
		first := r.Upstreams()["s"][0].DrainDeadline
		is.Equal(time.Until(first), drain*3/4)
		pass(time.Second)
		leaving.Slots = 3
		r.Put(leaving)
		is.Equal(r.Upstreams()["s"][0].DrainDeadline, first)
		again := entry(0)
		again.Incarnation = "2"
		r.Put(again)
		is.True(r.Upstreams()["s"][0].DrainDeadline.IsZero())
	})
}

// pass lets the time of the test's bubble pass.
func pass(span time.Duration) {
	_ = timer.Wait(context.Background(), timer.System{}, span)
}
