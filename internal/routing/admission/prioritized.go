package admission

import (
	"time"

	"rosemarywick.example/rosemarywick/internal/core/cause"
)

// standing is how soon a waiting request is served in comparison with others, whatever their kinds. Lower ones go first.
type standing int

const (
	inTarget standing = iota
	inDeadline
	early
)

// submitPrioritized is Submit for requests with priorities.
func (c *Controller) submitPrioritized(now time.Time, request *Request) (Decision, []Dequeued) {
	if !request.Repeated {
		if _, request.early = c.returns.Arrive(now, request).(EarlyReturn); request.early {
			c.report(ReturnedEarly{})
		}
	}
	weight := c.tenantWeight(request.Tenant)
	if wait := c.held(now, request); wait > c.usefulHold(now, request) {
		return c.refuse(now, request, cause.QueueFull, wait), nil
	}
	if c.queue.length == 0 {
		c.lastAdmission = now
	}
	c.queue.enqueueAfterShare(request, weight)
	dequeued := c.dispatchPrioritized(now, request)
	for i, entry := range dequeued {
		if entry.Request == request {
			return entry.Decision, append(dequeued[:i:i], dequeued[i+1:]...)
		}
	}
	wait := c.waitOf(now, request, weight)
	if wait > c.usefulWait(now, request) {
		c.queue.remove(request)
		return c.refuse(now, request, cause.DeadlineUnmeetable, wait), dequeued
	}
	if c.queue.length <= c.QueueLimit {
		return Queued{}, dequeued
	}
	evicted := c.queue.evictLast(func(other *Request) standing { return c.standingOf(now, other) })
	refusal := c.refuse(now, evicted, cause.TenantShare, c.waitOf(now, evicted, c.tenantWeight(evicted.Tenant)))
	if evicted == request {
		refusal.Cause = cause.QueueFull
		return refusal, dequeued
	}
	return Queued{}, append(dequeued, Dequeued{Request: evicted, Decision: refusal})
}

// dispatchPrioritized is Dispatch for requests with priorities. The admission of a request that has just arrived says nothing
// about the time between two admissions from the queue.
func (c *Controller) dispatchPrioritized(now time.Time, arrived *Request) []Dequeued {
	dequeued := c.dropLate(now)
	for c.queue.length > 0 {
		queue, index := c.queue.first(func(request *Request) (standing, bool) {
			return c.standingOf(now, request), c.held(now, request) == 0
		})
		if queue == nil {
			return dequeued
		}
		request := queue.requests[index]
		id, ok := c.reserveSlot(now, request)
		if !ok {
			return dequeued
		}
		if request != arrived {
			c.recordAdmission(now)
		}
		dequeued = append(dequeued, Dequeued{Request: c.queue.dequeue(queue, index), Decision: Admitted{Upstream: id}})
	}
	return dequeued
}

// dropLate refuses the waiting requests that can no longer be served in time.
func (c *Controller) dropLate(now time.Time) []Dequeued {
	var dequeued []Dequeued
	lastTurn := c.lastTurn(now)
	for _, queue := range c.queue.queues {
		for i := len(queue.requests) - 1; i >= 0; i-- {
			request := queue.requests[i]
			start := now
			if c.standingOf(now, request) != inTarget {
				start = lastTurn
			}
			switch {
			case c.endsTooLate(now, request):
				dequeued = append(dequeued, Dequeued{Request: request, Decision: stoppingRefusal})
			case c.missesDeadline(start, request), c.held(now, request) > c.usefulHold(now, request):
				refusal := c.refuse(now, request, cause.DeadlineUnmeetable, c.waitOf(now, request, int(queue.weight)))
				dequeued = append(dequeued, Dequeued{Request: request, Decision: refusal})
			default:
				continue
			}
			c.queue.removeAt(queue, i)
		}
	}
	return dequeued
}

// lastTurn returns when a request that can no longer meet its target is expected to have its turn, which is after those that can.
// Others will come in the meantime, so that those are counted waitMargin times.
func (c *Controller) lastTurn(now time.Time) time.Time {
	ahead := 0
	for _, queue := range c.queue.queues {
		for _, request := range queue.requests {
			if c.standingOf(now, request) == inTarget {
				ahead++
			}
		}
	}
	if ahead == 0 {
		return now
	}
	return now.Add(time.Duration(waitMargin*ahead+1) * c.servedEvery(now))
}

// standingOf returns the standing of a request that would start now.
func (c *Controller) standingOf(now time.Time, request *Request) standing {
	switch {
	case request.early:
		return early
	case c.meetsTarget(now, request):
		return inTarget
	}
	return inDeadline
}

// meetsTarget reports whether a request that starts now is expected to end within its target.
func (c *Controller) meetsTarget(now time.Time, request *Request) bool {
	return request.Target.IsZero() || !now.Add(c.serviceTime).After(request.Target)
}

// usefulWait returns how long a request may wait in the queue: until it could no longer meet its deadline. The estimates of the
// wait vary, so that only a part of the time is allowed.
func (c *Controller) usefulWait(now time.Time, request *Request) time.Duration {
	return request.Deadline.Sub(now.Add(c.serviceTime)) / waitMargin
}

// usefulHold returns how long a request may be held back because the server is full: until it could no longer meet its target,
// or its deadline if the target is out of reach already. The hold is known, and its end does not yet mean that the server runs
// the request.
func (c *Controller) usefulHold(now time.Time, request *Request) time.Duration {
	if request.Target.IsZero() || !c.meetsTarget(now, request) {
		return c.usefulWait(now, request)
	}
	return request.Target.Sub(now.Add(c.serviceTime)) / waitMargin
}

// waitOf returns how long a request is expected to wait for its turn.
func (c *Controller) waitOf(now time.Time, request *Request, weight int) time.Duration {
	interval := c.servedEvery(now)
	wait := c.held(now, request) + time.Duration(c.queue.requestsAhead(request.Tenant, weight)*float64(interval))
	return wait + time.Duration(c.returns.Reserved(now, now.Add(wait+interval), request.Priority))*interval
}

// servedEvery returns the time between two requests of this queue that are served.
func (c *Controller) servedEvery(now time.Time) time.Duration {
	if c.queue.length <= 1 { // the time since the last admission says nothing yet
		return c.serviceTime / time.Duration(c.occupiedSlots())
	}
	return c.estimateWait(now, 1)
}

// refuse returns the refusal of a request, with the time after which its caller finds room.
func (c *Controller) refuse(now time.Time, request *Request, reason cause.Cause, wait time.Duration) Refused {
	return Refused{Cause: reason, RetryAfter: c.returns.Announce(now, request, wait, c.servedEvery(now))}
}
