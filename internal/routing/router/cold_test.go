package router

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"rosemarywick.example/rosemarywick/internal/core/cause"
	"rosemarywick.example/rosemarywick/internal/core/document"
	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/routing/ratelimit"
	"rosemarywick.example/rosemarywick/internal/upstream/forward"
	"rosemarywick.example/rosemarywick/internal/upstream/notices"
)

// limitFunc decides about each request by its limit.
type limitFunc func(limit ratelimit.Limit, maxWait time.Duration) ratelimit.Decision

func (f limitFunc) Reserve(_ context.Context, _ fleet.UpstreamID, limit ratelimit.Limit, wait time.Duration) ratelimit.Decision {
	return f(limit, wait)
}

// coldRouter returns a router for a service with the upstreams a and b, whose entries name process 1 and the given cold times.
func coldRouter(keyed bool, cold map[fleet.UpstreamID]time.Duration) *Router {
	book := &notices.Book{Log: zerolog.Nop(), Now: time.Now}
	service := document.Service{
		Name: "s", Timeout: time.Second, QueueLimit: 9, Slots: 2, ColdStart: 3 * time.Second, ColdRate: 5.6,
	}
	if keyed {
		service.Guard, service.Key = fleet.GuardHold, document.KeyNumericHeader{Name: "k"}
	}
	for _, id := range []fleet.UpstreamID{"a", "b"} {
		// Nothing listens at the zero address, so that the attempt shows where the request is sent.
		service.Upstreams = append(service.Upstreams, document.Upstream{ID: id, Incarnation: "1"})
		book.Record(notices.Exchange{
			Source: notices.Source{ID: id, Incarnation: "1"}, Revision: 1, Notices: []forward.Notice{forward.Cold{For: cold[id]}},
		})
	}
	return &Router{
		Clock: timer.System{}, OwnershipMap: &movingOwner{fleet.Assignment{Owner: "a", Incarnation: "1"}}, Notices: book,
		Config:          configuration{&document.Document{Services: []document.Service{service}}},
		StatedAllowance: ratelimit.Allowance{Factor: 1.5, Extra: 5, Window: 4 * time.Second},
		ColdAllowance:   ratelimit.Allowance{Factor: 1.5, Extra: 8, Window: time.Second},
	}
}

// Guards against a request to a cold upstream that is not admitted first, under the lower of two limits; against one that waits for a
// cold upstream, or is refused, although another one can run it; and against an owner that counts as warm because the daemon has the
// entry of an earlier process only.
func TestRequestsToColdUpstreams(t *testing.T) {
	for name, test := range map[string]struct {
		keyed   bool
		prepare func(*Router)
		cold    map[fleet.UpstreamID]time.Duration
		// reason is that of the limit under which the request is denied, or empty if it is sent without being admitted first.
		reason ratelimit.Reason
		sentTo fleet.UpstreamID
	}{
		"owner":          {true, nil, map[fleet.UpstreamID]time.Duration{"a": time.Second}, ratelimit.Cold, ""},
		"another server": {true, nil, map[fleet.UpstreamID]time.Duration{"b": time.Second}, "", "a"},
		"later process of the owner": {true, func(r *Router) {
			r.OwnershipMap = &movingOwner{fleet.Assignment{Owner: "a", Incarnation: "2"}}
		}, nil, ratelimit.Cold, ""},
		"lower stated limit":  {true, stateLimit(0.5), map[fleet.UpstreamID]time.Duration{"a": time.Second}, ratelimit.Stated, ""},
		"higher stated limit": {true, stateLimit(50), map[fleet.UpstreamID]time.Duration{"a": time.Second}, ratelimit.Cold, ""},
		"one of two":          {false, nil, map[fleet.UpstreamID]time.Duration{"a": time.Second}, "", "b"},
		"both":                {false, nil, map[fleet.UpstreamID]time.Duration{"a": time.Second, "b": time.Second}, ratelimit.Cold, ""},
		"not in use": {true, func(r *Router) {
			r.ColdAllowance = ratelimit.Allowance{}
		}, map[fleet.UpstreamID]time.Duration{"a": time.Second}, "", "a"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := coldRouter(test.keyed, test.cold)
				if test.prepare != nil {
					test.prepare(r)
				}
				var record cause.Record
				r.Recorder = recorderFunc(func(ended cause.Record) { record = ended })
				asked := ratelimit.Reason("")
				r.RateLimits = limitFunc(func(limit ratelimit.Limit, wait time.Duration) ratelimit.Decision {
					asked = limit.Reason
					is.Equal(wait > 0, test.keyed) // one that another upstream can run does not wait
					return ratelimit.Denied{RetryAfter: 700 * time.Millisecond}
				})
				response, ok := r.Do(t.Context(), &Request{
					ID: "r", Service: "s", Method: http.MethodGet, Target: "/", Key: "7", LatencyTarget: 400 * time.Millisecond, MaxAttempts: 1,
				}).(Rejected)
				is.True(ok)
				if test.sentTo != "" {
					is.True(len(record.Attempts) > 0)
					is.Equal(record.Attempts[0].Upstream, test.sentTo)
					return
				}
				is.Equal(asked, test.reason)
				is.Equal(len(record.Attempts), 0)
				is.Equal(response.Cause == cause.UpstreamCold, test.reason == ratelimit.Cold)
				is.Equal(response.RetryAfter, 700*time.Millisecond)
				is.Equal(record.TotalTime, time.Duration(0))
			})
		})
	}
}

// stateLimit lets the upstream a name a limit.
func stateLimit(perSecond float64) func(*Router) {
	return func(r *Router) {
		r.Notices.Record(notices.Exchange{
			Source: notices.Source{ID: "a", Incarnation: "1"}, Notices: []forward.Notice{forward.RateLimit{PerSecond: perSecond}},
		})
	}
}

// Guards against a request of a caller that is used to try an unreachable upstream which may have just started, and against an
// upstream that counts as warm when it answers again.
func TestUnreachableUpstreamIsTriedWithProbe(t *testing.T) {
	for name, keyed := range map[string]bool{"keyed": true, "unkeyed": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				wait := func(span time.Duration) { is.NoErr(timer.Wait(t.Context(), timer.System{}, span)) }
				r := coldRouter(keyed, nil)
				var probes atomic.Int32
				var alive atomic.Bool
				r.Probe = func(context.Context, document.Upstream) bool { probes.Add(1); return alive.Load() }
				r.RateLimits = limitFunc(func(ratelimit.Limit, time.Duration) ratelimit.Decision {
					return ratelimit.Denied{RetryAfter: time.Second}
				})
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan error, 1)
				go func() { done <- r.RunTrials(ctx) }()
				request := &Request{ID: "r", Service: "s", Method: http.MethodGet, Target: "/", Key: "7", MaxAttempts: 1}
				r.Do(t.Context(), request)
				source := notices.Source{ID: "a", Incarnation: "1"}
				wait(5 * time.Second)
				is.True(probes.Load() >= 3)
				is.True(time.Now().Before(r.Notices.ColdUntil(source)))
				alive.Store(true)
				wait(3 * time.Second) // at most two seconds until the next probe
				stopped := probes.Load()
				wait(4 * time.Second)
				is.Equal(probes.Load(), stopped) // an upstream that has answered is not probed
				is.True(!time.Now().Before(r.Notices.ColdUntil(source)))
				r.services["s"].breaker.markUnreachable(time.Now(), "b") // not known to the pool, so that it is not probed
				wait(time.Second)
				is.Equal(r.services["s"].breaker.delay(time.Now(), fleet.Assignment{Owner: "b"}), time.Duration(0))
				cancel()
				is.NoErr(<-done)
			})
		})
	}
}
