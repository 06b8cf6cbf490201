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

func newGate(slots, room int) *admission.Gate {
	return &admission.Gate{
		Room: room, NewLimit: func(fleet.UpstreamID) admission.Limit { return admission.Static{Slots: slots, Hosts: 1} },
		Choose: func(_ time.Time, _ *admission.Ticket, free func(fleet.UpstreamID) bool) (fleet.UpstreamID, bool) {
			return "u", free("u")
		},
		Weight: func(tenant fleet.TenantName) int { return map[fleet.TenantName]int{"big": 3}[tenant] },
	}
}

func ticket(tenant fleet.TenantName, within time.Duration) *admission.Ticket {
	return &admission.Ticket{Tenant: tenant, Arrived: start, Deadline: start.Add(within)}
}

// serve ends one request after 10 ms and returns the ticket that is admitted instead.
func serve(gate *admission.Gate, now *time.Time) *admission.Ticket {
	*now = now.Add(10 * time.Millisecond)
	for _, one := range gate.Leave(*now, "u", admission.Served{Latency: 10 * time.Millisecond}) {
		if _, ok := one.Verdict.(admission.Admitted); ok {
			return one.Ticket
		}
	}
	return nil
}

// Guards against a request that waits although it cannot meet its deadline.
func TestEarlyRejection(t *testing.T) {
	is := is.New(t)
	gate, now := newGate(1, 100), start
	gate.Enter(now, ticket("", time.Second))
	for range 20 { // teaches 10 ms for each admission
		gate.Enter(now, ticket("", time.Second))
		is.True(serve(gate, &now) != nil)
	}
	for range 5 {
		verdict, _ := gate.Enter(now, ticket("", now.Sub(start)+time.Second))
		is.Equal(verdict, admission.Verdict(admission.Queued{}))
	}
	verdict, _ := gate.Enter(now, ticket("", now.Sub(start)+40*time.Millisecond))
	refused, ok := verdict.(admission.Refused)
	is.True(ok)
	is.Equal(refused.Cause, cause.DeadlineUnmeetable)
	is.True(refused.RetryAfter >= 40*time.Millisecond) // the five ahead
}

// Guards against one long interval, such as a freeze of the upstream, after which nobody is let into the queue again.
func TestForecastRecovers(t *testing.T) {
	is := is.New(t)
	gate, now := newGate(1, 100), start
	gate.Enter(now, ticket("", time.Hour))
	gate.Enter(now, ticket("", time.Hour))
	now = now.Add(time.Minute) // the upstream was frozen
	is.True(serve(gate, &now) != nil)
	verdict, _ := gate.Enter(now, ticket("", now.Sub(start)+100*time.Millisecond))
	is.Equal(verdict, admission.Verdict(admission.Queued{}))
}

// Guards against a tenant that fills the queue and takes the slots of the others.
func TestFairShare(t *testing.T) {
	is := is.New(t)
	gate, now := newGate(1, 40), start
	gate.Enter(now, ticket("small", time.Hour))
	for range 40 {
		gate.Enter(now, ticket("small", time.Hour))
	}
	displaced := 0
	for range 30 {
		_, decided := gate.Enter(now, ticket("big", time.Hour))
		for _, one := range decided {
			is.Equal(one.Verdict.(admission.Refused).Cause, cause.TenantShare)
			displaced++
		}
	}
	is.Equal(displaced, 30) // three quarters of the queue belong to the big tenant
	verdict, _ := gate.Enter(now, ticket("small", time.Hour))
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
	gate.Enter(now, ticket("", time.Second))
	for i := range 20 {
		gate.Enter(now, ticket("", time.Duration(100+i)*time.Millisecond))
	}
	newest := ticket("", time.Second)
	gate.Enter(now, ticket("", time.Second))
	gate.Enter(now, newest)
	now = now.Add(200 * time.Millisecond) // 20 tickets have become hopeless meanwhile
	is.Equal(serve(gate, &now), newest)
}

// Guards against more requests in flight than the limit and tickets that are lost or decided twice.
func TestGateKeepsCount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots, now := rapid.IntRange(1, 4).Draw(t, "slots"), start
		gate, inFlight, waiting := newGate(slots, 5), 0, map[*admission.Ticket]bool{}
		settle := func(decided []admission.Decided) {
			for _, one := range decided {
				if !waiting[one.Ticket] {
					t.Fatal("decided a ticket that did not wait")
				}
				delete(waiting, one.Ticket)
				if _, ok := one.Verdict.(admission.Admitted); ok {
					inFlight++
				}
			}
		}
		for range 200 {
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "step")) * time.Millisecond)
			if inFlight > 0 && rapid.Bool().Draw(t, "leave") {
				inFlight--
				settle(gate.Leave(now, "u", admission.Served{Latency: 10 * time.Millisecond}))
			} else {
				one := ticket(rapid.SampledFrom([]fleet.TenantName{"big", "small", ""}).Draw(t, "tenant"), now.Sub(start)+100*time.Millisecond)
				verdict, decided := gate.Enter(now, one)
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
	limit := &admission.Adaptive{Ceiling: 16}
	now := start
	for range 5000 {
		now = now.Add(time.Millisecond)
		admission.Learn(limit, admission.Size(limit, now), admission.Served{Latency: 10 * time.Millisecond}, now)
	}
	is.Equal(admission.Size(limit, now), 16)
	for range 50 {
		now = now.Add(10 * time.Millisecond)
		admission.Learn(limit, 16, admission.Shed{}, now)
	}
	is.Equal(admission.Size(limit, now), 0) // less than one in flight: it pauses
	is.Equal(admission.Size(limit, now.Add(time.Second)), 1)
}
