package admission_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"rosemarywick.example/rosemarywick/internal/core/cause"
	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/routing/admission"
)

var start = time.Unix(1000, 0)

func newGate(slots, room int) *admission.Controller {
	return &admission.Controller{
		QueueLimit: room, NewLimit: func(fleet.UpstreamID) admission.Limit { return admission.StaticLimit{Slots: slots, Hosts: 1} },
		ChooseUpstream: func(_ time.Time, _ *admission.Request, free func(fleet.UpstreamID) bool) (fleet.UpstreamID, bool) {
			return "u", free("u")
		},
		TenantWeight: func(tenant fleet.TenantName) int { return map[fleet.TenantName]int{"big": 3}[tenant] },
	}
}

func ticket(tenant fleet.TenantName, within time.Duration) *admission.Request {
	return &admission.Request{Tenant: tenant, Arrived: start, Deadline: start.Add(within)}
}

// serve ends one request after 10 ms and returns the ticket that is admitted instead.
func serve(gate *admission.Controller, now *time.Time) *admission.Request {
	*now = now.Add(10 * time.Millisecond)
	for _, one := range gate.Release(*now, "u", admission.Served{Latency: 10 * time.Millisecond}) {
		if _, ok := one.Decision.(admission.Admitted); ok {
			return one.Request
		}
	}
	return nil
}

// Guards against a request that waits although it cannot meet its deadline.
func TestEarlyRejection(t *testing.T) {
	is := is.New(t)
	gate, now := newGate(1, 100), start
	gate.Submit(now, ticket("", time.Second))
	for range 20 { // teaches 10 ms for each admission
		gate.Submit(now, ticket("", time.Second))
		is.True(serve(gate, &now) != nil)
	}
	for range 5 {
		verdict, _ := gate.Submit(now, ticket("", now.Sub(start)+time.Second))
		is.Equal(verdict, admission.Decision(admission.Queued{}))
	}
	verdict, _ := gate.Submit(now, ticket("", now.Sub(start)+40*time.Millisecond))
	refused, ok := verdict.(admission.Refused)
	is.True(ok)
	is.Equal(refused.Cause, cause.DeadlineUnmeetable)
	is.True(refused.RetryAfter >= 40*time.Millisecond) // the five ahead
}

// Guards against one long interval, such as a freeze of the upstream, after which nobody is let into the queue again.
func TestForecastRecovers(t *testing.T) {
	is := is.New(t)
	gate, now := newGate(1, 100), start
	gate.Submit(now, ticket("", time.Hour))
	gate.Submit(now, ticket("", time.Hour))
	now = now.Add(time.Minute) // the upstream was frozen
	is.True(serve(gate, &now) != nil)
	verdict, _ := gate.Submit(now, ticket("", now.Sub(start)+100*time.Millisecond))
	is.Equal(verdict, admission.Decision(admission.Queued{}))
}

// Guards against a tenant that fills the queue and takes the slots of the others.
func TestFairShare(t *testing.T) {
	is := is.New(t)
	gate, now := newGate(1, 40), start
	gate.Submit(now, ticket("small", time.Hour))
	for range 40 {
		gate.Submit(now, ticket("small", time.Hour))
	}
	displaced := 0
	for range 30 {
		_, decided := gate.Submit(now, ticket("big", time.Hour))
		for _, one := range decided {
			is.Equal(one.Decision.(admission.Refused).Cause, cause.TenantShare)
			displaced++
		}
	}
	is.Equal(displaced, 30) // three quarters of the queue belong to the big tenant
	verdict, _ := gate.Submit(now, ticket("small", time.Hour))
	_, refused := verdict.(admission.Refused)
	is.True(refused)
	big := 0
	for range 20 {
		if serve(gate, &now).Tenant == "big" {
			big++
		}
	}
	is.Equal(big, 15) // and three quarters of the slots
}

// Guards against slots spent on requests that are too late, and against the oldest first when the forecast has failed.
func TestNewestFirst(t *testing.T) {
	is := is.New(t)
	gate, now := newGate(1, 100), start
	gate.Submit(now, ticket("", time.Second))
	for i := range 20 {
		gate.Submit(now, ticket("", time.Duration(100+i)*time.Millisecond))
	}
	newest := ticket("", time.Second)
	gate.Submit(now, ticket("", time.Second))
	gate.Submit(now, newest)
	now = now.Add(200 * time.Millisecond) // 20 tickets have become hopeless meanwhile
	is.Equal(serve(gate, &now), newest)
}

// Guards against more requests in flight than the limit and tickets that are lost or decided twice.
func TestGateKeepsCount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots, now := rapid.IntRange(1, 4).Draw(t, "slots"), start
		gate, inFlight, waiting := newGate(slots, 5), 0, map[*admission.Request]bool{}
		settle := func(decided []admission.Dequeued) {
			for _, one := range decided {
				if !waiting[one.Request] {
					t.Fatal("decided a ticket that did not wait")
				}
				delete(waiting, one.Request)
				if _, ok := one.Decision.(admission.Admitted); ok {
					inFlight++
				}
			}
		}
		for range 200 {
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "step")) * time.Millisecond)
			if inFlight > 0 && rapid.Bool().Draw(t, "leave") {
				inFlight--
				settle(gate.Release(now, "u", admission.Served{Latency: 10 * time.Millisecond}))
			} else {
				one := ticket(rapid.SampledFrom([]fleet.TenantName{"big", "small", ""}).Draw(t, "tenant"), now.Sub(start)+100*time.Millisecond)
				verdict, decided := gate.Submit(now, one)
				switch verdict.(type) {
				case admission.Admitted:
					inFlight++
				case admission.Queued:
					waiting[one] = true
				}
				settle(decided)
			}
			if inFlight > slots || len(waiting) > 5 {
				t.Fatalf("%d in flight, %d waiting", inFlight, len(waiting))
			}
		}
	})
}

// Guards against an adaptive limit that neither finds the capacity of a worker nor gives way to other daemons.
func TestAdaptive(t *testing.T) {
	is := is.New(t)
	limit := &admission.AdaptiveLimit{Ceiling: 16}
	now := start
	for range 5000 {
		now = now.Add(time.Millisecond)
		admission.UpdateLimit(limit, admission.MaxInFlight(limit, now), admission.Served{Latency: 10 * time.Millisecond}, now)
	}
	is.Equal(admission.MaxInFlight(limit, now), 16)
	for range 50 {
		now = now.Add(10 * time.Millisecond)
		admission.UpdateLimit(limit, 16, admission.Shed{}, now)
	}
	is.Equal(admission.MaxInFlight(limit, now), 0) // less than one in flight: it pauses
	is.Equal(admission.MaxInFlight(limit, now.Add(time.Second)), 1)
}
