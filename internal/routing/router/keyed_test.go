package router

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"rosemarywick.example/rosemarywick/internal/core/cause"
	"rosemarywick.example/rosemarywick/internal/core/document"
	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/routing/admission"
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

// freedOwner is an ownership map in which one server owns all keys once the grants of another one have ended.
type freedOwner struct {
	at      time.Time
	changed chan struct{}
}

func (o *freedOwner) Locate(fleet.ServiceName, fleet.KeyHash) (fleet.Assignment, bool) {
	left := max(0, time.Until(o.at))
	return fleet.Assignment{Owner: "a", Moving: left > 0, FreeIn: left}, true
}

func (o *freedOwner) Changed() <-chan struct{} {
	if !time.Now().Before(o.at) {
		return nil
	}
	return o.changed
}

// Guards against a request that waits until its deadline although its key is known not to be free by then, and against one that
// is refused although it can still be served.
func TestRequestForKeyThatIsNotFree(t *testing.T) {
	for name, test := range map[string]struct {
		freeIn, wait time.Duration
	}{
		"not free in time": {3 * time.Second, 0},
		"free in time":     {300 * time.Millisecond, 300 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				service := document.Service{
					Name: "s", Timeout: time.Second, QueueLimit: 9, Slots: 2, Guard: fleet.GuardHold,
					Key: document.KeyNumericHeader{Name: "k"}, Upstreams: []document.Upstream{{ID: "a"}},
				}
				owner := &freedOwner{at: time.Now().Add(test.freeIn), changed: make(chan struct{})}
				go func() {
					_ = timer.Wait(t.Context(), timer.System{}, test.freeIn)
					close(owner.changed)
				}()
				var record cause.Record
				r := &Router{
					Clock: timer.System{}, OwnershipMap: owner,
					Config:   configuration{&document.Document{Services: []document.Service{service}}},
					Recorder: recorderFunc(func(ended cause.Record) { record = ended }),
				}
				response, ok := r.Do(t.Context(), &Request{
					ID: "r", Service: "s", Method: http.MethodGet, Target: "/", Key: "7", MaxAttempts: 1,
				}).(Rejected)
				is.True(ok)
				is.Equal(response.Outcome, cause.NotRun)
				if test.wait == 0 {
					is.Equal(response.Cause, cause.NoOwner)
					is.Equal(response.RetryAfter, test.freeIn)
					is.Equal(record.TotalTime, time.Duration(0))
					return
				}
				is.True(len(record.Attempts) > 0) // nothing listens at the zero address
				is.Equal(record.Attempts[0].Upstream, fleet.UpstreamID("a"))
				is.True(record.Attempts[0].Started.Sub(record.Started) >= test.wait)
			})
		})
	}
}

// Guards against a request that still waits when the daemon closes its connection, and against one that came earlier than the stop
// and outlasts it.
func TestEndByAnswersWaitingRequests(t *testing.T) {
	for name, before := range map[string]bool{"in flight": true, "later": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				service := document.Service{
					Name: "s", Timeout: 10 * time.Second, QueueLimit: 9, Slots: 2, Guard: fleet.GuardHold,
					Key: document.KeyNumericHeader{Name: "k"}, Upstreams: []document.Upstream{{ID: "a"}},
				}
				r := &Router{
					Clock: timer.System{}, OwnershipMap: &movingOwner{}, // no owner
					Config: configuration{&document.Document{Services: []document.Service{service}}},
				}
				started := time.Now()
				stopping := func() { r.Stop(started.Add(3*time.Second), started.Add(3*time.Second)) }
				if before {
					go func() {
						_ = timer.Wait(t.Context(), timer.System{}, time.Second)
						stopping()
					}()
				} else {
					stopping()
				}
				response, ok := r.Do(t.Context(), &Request{ID: "r", Service: "s", Method: http.MethodGet, Target: "/", Key: "7"}).(Rejected)
				is.True(ok)
				is.Equal(response.Outcome, cause.NotRun)
				is.Equal(response.Cause, cause.DaemonStopping)
				is.Equal(time.Since(started), 3*time.Second)
				r.Close()
			})
		})
	}
}

// Guards against a request that arrives when a stopping daemon no longer accepts any, for example because its body took long, and
// that is passed on although its work may outlast the daemon: only its own deadline limits that.
func TestStopRefusesLateArrivals(t *testing.T) {
	for name, test := range map[string]struct {
		arrival, timeout time.Duration
		cause            cause.Cause
	}{
		"in time":              {2 * time.Second, 20 * time.Second, cause.NoUpstream},
		"late":                 {4 * time.Second, 20 * time.Second, cause.DaemonStopping},
		"late, ends in time":   {4 * time.Second, 5 * time.Second, cause.NoUpstream},
		"late, ends too late":  {4 * time.Second, 5300 * time.Millisecond, cause.DaemonStopping},
		"after all has ended":  {10 * time.Second, time.Second, cause.DaemonStopping},
		"before the last ends": {9 * time.Second, 100 * time.Millisecond, cause.NoUpstream},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := &Router{Clock: timer.System{}, Config: configuration{&document.Document{Services: []document.Service{
					{Name: "s", Timeout: time.Minute, QueueLimit: 9, Slots: 2}, // without upstreams, which is the cause if it is accepted
				}}}}
				defer r.Close()
				now := time.Now()
				r.Stop(now.Add(3*time.Second), now.Add(9200*time.Millisecond))
				_ = timer.Wait(t.Context(), timer.System{}, test.arrival)
				response, ok := r.Do(t.Context(), &Request{
					ID: "r", Service: "s", Method: http.MethodGet, Target: "/", Timeout: test.timeout,
				}).(Rejected)
				is.True(ok)
				is.Equal(response.Outcome, cause.NotRun)
				is.Equal(response.Cause, test.cause)
				if test.cause == cause.DaemonStopping {
					is.Equal(response.RetryAfter, admission.StoppingRetryAfter)
				}
			})
		})
	}
}
