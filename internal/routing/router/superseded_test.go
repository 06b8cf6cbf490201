package router

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"rosemarywick.example/rosemarywick/internal/core/document"
	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// fixedOwners names the same owner for every key.
type fixedOwners struct{ fleet.Assignment }

func (o fixedOwners) Locate(fleet.ServiceName, fleet.KeyHash) (fleet.Assignment, bool) {
	return o.Assignment, true
}

func (fixedOwners) Changed() <-chan struct{} { return nil }

// Guards against a request that is cut off at a server which still runs it, because the map already names the next owner.
func TestSuperseded(t *testing.T) {
	before := fleet.Assignment{Owner: "a", Fence: fleet.Fence{Counter: 1}}
	after := fixedOwners{fleet.Assignment{Owner: "b", Fence: fleet.Fence{Counter: 2}}}
	cases := []struct {
		name     string
		guard    fleet.Guard
		delivery document.Delivery
		waiting  bool
		want     bool
	}{
		{"sent to a server with a bounded hold", fleet.GuardHold, document.Idempotent, false, false},
		{"waiting for a server with a bounded hold", fleet.GuardHold, document.Idempotent, true, true},
		{"sent to a fenced server", fleet.GuardFenced, document.Idempotent, false, true},
		{"sent once to a fenced server", fleet.GuardFenced, document.NonIdempotent, false, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			var all inProgress
			p := &pending{
				ctx: context.Background(), request: &Request{Delivery: test.delivery},
				service: &service{Service: &document.Service{Guard: test.guard}},
			}
			ctx, cancel := all.add(p, before, test.waiting)
			defer cancel()
			all.superseded(after)
			is.New(t).Equal(ctx.Err() != nil, test.want)
		})
	}
}
