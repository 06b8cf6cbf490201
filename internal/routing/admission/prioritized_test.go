package admission_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"rosemarywick.example/rosemarywick/internal/core/cause"
	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/routing/admission"
)

// newPrioritized returns a controller with one slot, which a request occupies for 100 ms, and the names of its requests.
func newPrioritized(start time.Time) (*admission.Controller, map[*admission.Request]string) {
	c := &admission.Controller{
		QueueLimit: 8, Prioritized: true, HoldFull: true,
		NewLimit: func(fleet.UpstreamID) admission.Limit { return admission.StaticLimit{Slots: 1, Hosts: 1} },
		ChooseUpstream: func(_ time.Time, _ *admission.Request, free func(fleet.UpstreamID) bool) (fleet.UpstreamID, bool) {
			return "a", free("a")
		},
		TenantWeight: func(name fleet.TenantName) int { return map[fleet.TenantName]int{"urgent": 4, "other": 1}[name] },
	}
	names := make(map[*admission.Request]string)
	c.Submit(start, newKind(names, "first", "other", start, time.Second, time.Minute))
	c.Release(start, "a", admission.Served{Latency: 100 * time.Millisecond})
	c.Submit(start, newKind(names, "running", "other", start, time.Second, time.Minute))
	return c, names
}

func newKind(
	names map[*admission.Request]string, name string, tenant fleet.TenantName, now time.Time, target, deadline time.Duration,
) *admission.Request {
	request := &admission.Request{Tenant: tenant, Arrived: now, Target: now.Add(target), Deadline: now.Add(deadline)}
	if tenant == "other" {
		request.Priority = 1
	}
	names[request] = name
	return request
}

// Guards against a less urgent kind that goes first because it came first, against one that is starved by a more urgent kind, and
// against capacity that goes to a request which is late anyway. The load is a burst of both kinds at one slot.
func TestOrderOfKinds(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	c, names := newPrioritized(now)
	c.QueueLimit = 20
	for _, name := range []string{"o1", "o2", "late"} {
		target := 10 * time.Second
		if name == "late" {
			target = 50 * time.Millisecond
		}
		c.Submit(now, newKind(names, name, "other", now, target, time.Minute))
	}
	for _, name := range []string{"u1", "u2", "u3", "u4", "u5", "u6"} {
		c.Submit(now, newKind(names, name, "urgent", now, 10*time.Second, time.Minute))
	}
	var order []string
	for range 9 {
		now = now.Add(100 * time.Millisecond)
		for _, entry := range c.Release(now, "a", admission.Served{Latency: 100 * time.Millisecond}) {
			order = append(order, names[entry.Request])
		}
	}
	is.Equal(order, []string{"u1", "u2", "u3", "u4", "o1", "u5", "u6", "o2", "late"})
}

// Guards against a request that is held until its deadline although it cannot be served in time, against a time to come back at
// which there is no room, and against one that callers do not wait for. The load is a full queue of 200 ms at one slot.
func TestRefusalAndReturn(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	c, names := newPrioritized(now)
	c.QueueLimit = 2
	for _, name := range []string{"q1", "q2"} {
		c.Submit(now, newKind(names, name, "urgent", now, 10*time.Second, time.Minute))
	}
	var previous time.Duration
	for i := range 3 { // each caller gets a later slot
		deadline := time.Duration(3+i) * time.Second
		refused, ok := first(c.Submit(now, newKind(names, "r", "urgent", now, 2*time.Second, deadline))).(admission.Refused)
		is.True(ok)
		is.True(refused.RetryAfter >= previous+90*time.Millisecond)
		is.True(refused.RetryAfter <= time.Second) // a third of the time left
		previous = refused.RetryAfter
	}
	short, ok := first(c.Submit(now, newKind(names, "s", "other", now, 300*time.Millisecond, 360*time.Millisecond))).(admission.Refused)
	is.True(ok)
	is.Equal(short.Cause, cause.DeadlineUnmeetable)
	is.True(short.RetryAfter > 0 && short.RetryAfter <= 120*time.Millisecond)
}

func first(decision admission.Decision, _ []admission.Dequeued) admission.Decision { return decision }

// Guards against callers that come back before the announced time and are not recognized, against room that is not kept for those
// that come back in time, and against an urgent caller that is told to wait for less urgent ones.
func TestReturns(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	names := make(map[*admission.Request]string)
	var returns admission.Returns
	other := newKind(names, "o", "other", now, time.Second, 3*time.Second)
	urgent := newKind(names, "u", "urgent", now, time.Second, 3100*time.Millisecond)
	is.Equal(returns.Announce(now, other, 100*time.Millisecond, 50*time.Millisecond), 100*time.Millisecond)
	is.Equal(returns.Announce(now, other, 100*time.Millisecond, 50*time.Millisecond), 150*time.Millisecond)
	is.Equal(returns.Announce(now, urgent, 100*time.Millisecond, 50*time.Millisecond), 100*time.Millisecond)
	is.Equal(returns.Reserved(now, now.Add(time.Second), 0), 1)
	is.Equal(returns.Reserved(now, now.Add(time.Second), 1), 3)
	is.Equal(returns.Arrive(now.Add(20*time.Millisecond), other), admission.EarlyReturn{})
	is.Equal(returns.Arrive(now.Add(99*time.Millisecond), urgent), admission.DueReturn{})
	stranger := newKind(names, "x", "other", now, time.Second, 10*time.Second)
	is.Equal(returns.Arrive(now.Add(110*time.Millisecond), stranger), admission.FirstArrival{})
	is.Equal(returns.Arrive(now.Add(150*time.Millisecond), stranger), admission.DueReturn{}) // takes the place of the second one
	is.Equal(returns.Reserved(now, now.Add(time.Second), 1), 0)
}

// Guards against a hold that ends with the response that began it, when the slot is released after the body has been passed on.
func TestHoldOutlastsItsResponse(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	c, names := newPrioritized(now)
	c.Hosts, c.Slots = func() int { return 87 }, 3
	c.RecordLoad(now, admission.ServerLoad{Running: 3, Waiting: 9, Slots: 3})
	now = now.Add(time.Second)
	c.Release(now, "a", admission.Served{Latency: 100 * time.Millisecond})
	request := newKind(names, "r", "urgent", now, 400*time.Millisecond, time.Second)
	_, refused := first(c.Submit(now, request)).(admission.Refused)
	is.True(refused)
	c.RecordLoad(now, admission.ServerLoad{Running: 3, Slots: 3})
	_, admitted := first(c.Submit(now, request)).(admission.Admitted)
	is.True(admitted)
}
