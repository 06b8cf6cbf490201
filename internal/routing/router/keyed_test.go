package router

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"rosemarywick.example/rosemarywick/internal/core/document"
	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// fixedOwners is an ownership map that returns the same assignment for every key.
type fixedOwners struct{ fleet.Assignment }

func (o fixedOwners) Locate(fleet.ServiceName, fleet.KeyHash) (fleet.Assignment, bool) {
	return o.Assignment, true
}

func (fixedOwners) Changed() <-chan struct{} { return nil }

// Guards against canceling a request at a server that still runs it, because the map names the next owner already.
func TestCancelSuperseded(t *testing.T) {
	before := fleet.Assignment{Owner: "a", Fence: fleet.Fence{Counter: 1}}
	after := fixedOwners{fleet.Assignment{Owner: "b", Fence: fleet.Fence{Counter: 2}}}
	cases := []struct {
		name     string
		guard    fleet.Guard
		delivery document.Delivery
		waiting  bool
		want     bool
	}{
		{"in flight at a server with holds", fleet.GuardHold, document.Idempotent, false, false},
		{"waiting for a server with holds", fleet.GuardHold, document.Idempotent, true, true},
		{"in flight at a fenced server", fleet.GuardFenced, document.Idempotent, false, true},
		{"non-idempotent, in flight at a fenced server", fleet.GuardFenced, document.NonIdempotent, false, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			var tracker attemptTracker
			p := &pendingRequest{
				ctx: context.Background(), request: &Request{Delivery: test.delivery},
				service: &serviceState{Service: &document.Service{Guard: test.guard}},
			}
			ctx, cancel := tracker.track(p, before, test.waiting)
			defer cancel()
			tracker.cancelSuperseded(after)
			is.New(t).Equal(ctx.Err() != nil, test.want)
		})
	}
}
