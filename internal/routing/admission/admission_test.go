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

func newController(slots, queueLimit int) *admission.Controller {
	return &admission.Controller{
		QueueLimit: queueLimit,
		NewLimit:   func(fleet.UpstreamID) admission.Limit { return admission.StaticLimit{Slots: slots, Hosts: 1} },
		ChooseUpstream: func(_ time.Time, _ *admission.Request, hasCapacity func(fleet.UpstreamID) bool) (fleet.UpstreamID, bool) {
			return "u", hasCapacity("u")
		},
		TenantWeight: func(tenant fleet.TenantName) int { return map[fleet.TenantName]int{"big": 3}[tenant] },
	}
}

func newRequest(tenant fleet.TenantName, within time.Duration) *admission.Request {
	return &admission.Request{Tenant: tenant, Arrived: start, Deadline: start.Add(within)}
}

// serve ends one request after 10 ms and returns the request that is admitted next.
func serve(controller *admission.Controller, now *time.Time) *admission.Request {
	*now = now.Add(10 * time.Millisecond)
	for _, entry := range controller.Release(*now, "u", admission.Served{Latency: 10 * time.Millisecond}) {
		if _, ok := entry.Decision.(admission.Admitted); ok {
			return entry.Request
		}
	}
	return nil
}

// Guards against queueing a request that can't meet its deadline.
func TestRefuseUnmeetableDeadline(t *testing.T) {
	is := is.New(t)
	controller, now := newController(1, 100), start
	controller.Submit(now, newRequest("", time.Second))
	for range 20 { // the controller learns that admissions are 10 ms apart
		controller.Submit(now, newRequest("", time.Second))
		is.True(serve(controller, &now) != nil)
	}
	for range 5 {
		decision, _ := controller.Submit(now, newRequest("", now.Sub(start)+time.Second))
		is.Equal(decision, admission.Decision(admission.Queued{}))
	}
	decision, _ := controller.Submit(now, newRequest("", now.Sub(start)+40*time.Millisecond))
	refused, ok := decision.(admission.Refused)
	is.True(ok)
	is.Equal(refused.Cause, cause.DeadlineUnmeetable)
	is.True(refused.RetryAfter >= 40*time.Millisecond) // five requests are ahead
}

// Guards against a queue that stays closed after a single long interval between admissions, such as a freeze of the
// upstream.
func TestEstimatedWaitRecovers(t *testing.T) {
	is := is.New(t)
	controller, now := newController(1, 100), start
	controller.Submit(now, newRequest("", time.Hour))
	controller.Submit(now, newRequest("", time.Hour))
	now = now.Add(time.Minute) // the upstream was frozen
	is.True(serve(controller, &now) != nil)
	decision, _ := controller.Submit(now, newRequest("", now.Sub(start)+100*time.Millisecond))
	is.Equal(decision, admission.Decision(admission.Queued{}))
}

// Guards against a tenant that fills the queue and takes the slots of the other tenants.
func TestFairShare(t *testing.T) {
	is := is.New(t)
	controller, now := newController(1, 40), start
	controller.Submit(now, newRequest("small", time.Hour))
	for range 40 {
		controller.Submit(now, newRequest("small", time.Hour))
	}
	evicted := 0
	for range 30 {
		_, dequeued := controller.Submit(now, newRequest("big", time.Hour))
		for _, entry := range dequeued {
			is.Equal(entry.Decision.(admission.Refused).Cause, cause.TenantShare)
			evicted++
		}
	}
	is.Equal(evicted, 30) // three quarters of the queue belong to the big tenant
	decision, _ := controller.Submit(now, newRequest("small", time.Hour))
	_, refused := decision.(admission.Refused)
	is.True(refused)
	big := 0
	for range 20 {
		if serve(controller, &now).Tenant == "big" {
			big++
		}
	}
	is.Equal(big, 15) // and three quarters of the slots
}

// Guards against spending slots on requests that will end too late, and against serving the oldest request first although
// the estimated wait was too low.
func TestNewestFirst(t *testing.T) {
	is := is.New(t)
	controller, now := newController(1, 100), start
	controller.Submit(now, newRequest("", time.Second))
	for i := range 20 {
		controller.Submit(now, newRequest("", time.Duration(100+i)*time.Millisecond))
	}
	newest := newRequest("", time.Second)
	controller.Submit(now, newRequest("", time.Second))
	controller.Submit(now, newest)
	now = now.Add(200 * time.Millisecond) // 20 requests can no longer meet their deadlines
	is.Equal(serve(controller, &now), newest)
}

// Guards against more requests in flight than the limit allows, and against requests that are lost or decided twice.
func TestControllerKeepsCount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots, now := rapid.IntRange(1, 4).Draw(t, "slots"), start
		controller, inFlight, waiting := newController(slots, 5), 0, map[*admission.Request]bool{}
		handleDequeued := func(dequeued []admission.Dequeued) {
			for _, entry := range dequeued {
				if !waiting[entry.Request] {
					t.Fatal("decided a request that was not queued")
				}
				delete(waiting, entry.Request)
				if _, ok := entry.Decision.(admission.Admitted); ok {
					inFlight++
				}
			}
		}
		for range 200 {
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "step")) * time.Millisecond)
			if inFlight > 0 && rapid.Bool().Draw(t, "leave") {
				inFlight--
				handleDequeued(controller.Release(now, "u", admission.Served{Latency: 10 * time.Millisecond}))
			} else {
				request := newRequest(rapid.SampledFrom([]fleet.TenantName{"big", "small", ""}).Draw(t, "tenant"),
					now.Sub(start)+100*time.Millisecond)
				decision, dequeued := controller.Submit(now, request)
				switch decision.(type) {
				case admission.Admitted:
					inFlight++
				case admission.Queued:
					waiting[request] = true
				}
				handleDequeued(dequeued)
			}
			if inFlight > slots || len(waiting) > 5 {
				t.Fatalf("%d in flight, %d waiting", inFlight, len(waiting))
			}
		}
	})
}

// Guards against an adaptive limit that does not reach the capacity of a worker, or does not leave capacity to other
// daemons.
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
	is.Equal(admission.MaxInFlight(limit, now), 0) // below one request in flight, the limit pauses the upstream
	is.Equal(admission.MaxInFlight(limit, now.Add(time.Second)), 1)
}

// Guards against a request that is sent shortly before the daemon stops and cut off then, and against one that is refused although
// it ends before, by its own deadline or by what requests take.
func TestRefuseRequestsThatOutlastStop(t *testing.T) {
	const serviceTime = 400 * time.Millisecond
	for name, test := range map[string]struct {
		left, deadline time.Duration
		idempotent     bool
		refused        bool
		// late is how long ago the last request that must not be repeated could start.
		late time.Duration
	}{
		"enough time":                {time.Second, 2 * time.Second, false, false, 0},
		"time for an idempotent one": {600 * time.Millisecond, 2 * time.Second, true, false, 0},
		"no time for another one":    {600 * time.Millisecond, 2 * time.Second, false, true, 0},
		"no time":                    {300 * time.Millisecond, 2 * time.Second, true, true, 0},
		"ends by its deadline":       {600 * time.Millisecond, 500 * time.Millisecond, false, false, 0},
		"starts late":                {time.Minute, 2 * time.Minute, false, true, time.Second},
		"idempotent, starts late":    {time.Minute, 2 * time.Minute, true, false, time.Second},
		"late, ends by its deadline": {time.Minute, 50 * time.Second, false, false, time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			controller, now := newController(1, 100), start
			controller.Submit(now, newRequest("", time.Second))
			controller.Release(now, "u", admission.Served{Latency: serviceTime})
			controller.StartBy, controller.EndBy = now.Add(-test.late), now.Add(test.left)
			request := newRequest("", test.deadline)
			request.Idempotent = test.idempotent
			decision, _ := controller.Submit(now, request)
			refused, isRefused := decision.(admission.Refused)
			is.Equal(isRefused, test.refused)
			is.True(!isRefused || refused.Cause == cause.DaemonStopping)
		})
	}
}

// Guards against a queued request that is sent although the daemon stops before it can end.
func TestRefuseQueuedRequestsThatOutlastStop(t *testing.T) {
	is := is.New(t)
	controller, now := newController(1, 100), start
	controller.Submit(now, newRequest("", time.Minute))
	queued := newRequest("", time.Minute)
	decision, _ := controller.Submit(now, queued)
	is.Equal(decision, admission.Decision(admission.Queued{}))
	controller.StartBy, controller.EndBy = now.Add(time.Second), now.Add(time.Second)
	dequeued := controller.Release(now.Add(900*time.Millisecond), "u", admission.Served{Latency: 900 * time.Millisecond})
	is.Equal(len(dequeued), 1)
	refused, ok := dequeued[0].Decision.(admission.Refused)
	is.True(ok)
	is.Equal(refused.Cause, cause.DaemonStopping)
}
