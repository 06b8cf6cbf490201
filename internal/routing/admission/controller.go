package admission

import (
	"time"

	"rosemarywick.example/rosemarywick/internal/core/cause"
	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// Decision is what the controller decided about a request. It is one of Admitted, Queued and Refused.
type Decision interface {
	decision()
}

// Admitted gives the request a slot at an upstream. Release must be called when the slot is no longer used.
type Admitted struct {
	Upstream fleet.UpstreamID
}

// Queued means that the request waits. It is returned as Dequeued later, unless Cancel removes it before.
type Queued struct{}

// Refused rejects the request.
type Refused struct {
	Cause cause.Cause
	// RetryAfter is the time after which a repetition is expected to be admitted.
	RetryAfter time.Duration
}

func (Admitted) decision() {}
func (Queued) decision()   {}
func (Refused) decision()  {}

// Dequeued is a request that has left the queue, and the decision about it. The decision is Admitted or Refused.
type Dequeued struct {
	Request  *Request
	Decision Decision
}

const (
	// intervalWeight and missWeight are the divisors of the moving averages over the admissions from the queue: each sample
	// counts one part in 16.
	intervalWeight = 16
	missWeight     = 16
	// waitMargin is a safety factor for the estimated wait, because the intervals between admissions vary. With 1, a third
	// of the requests rejected at twice the capacity waited until they could no longer meet their deadlines; with 2, less
	// than a tenth did, at the same goodput.
	waitMargin = 2
	// maxMissRate is the share of missed deadlines in the queue above which the newest request is served first.
	maxMissRate = 0.25
)

// Controller admits requests to a set of upstreams that can run the same requests: a single owner, or all upstreams of a
// service without keys. It does no locking; the caller must serialize all calls. The exported fields must be set before
// Submit.
type Controller struct {
	// QueueLimit is the maximum number of queued requests.
	QueueLimit int
	// NewLimit creates the concurrency limit of an upstream.
	NewLimit func(fleet.UpstreamID) Limit
	// ChooseUpstream selects one of the upstreams that have capacity. It returns false if none can be used.
	ChooseUpstream func(now time.Time, request *Request, hasCapacity func(fleet.UpstreamID) bool) (fleet.UpstreamID, bool)
	// EndBy is when the daemon stops and every request must have ended, or zero. A request whose own deadline is later is refused
	// unless it is expected to end by then. One that must not be repeated is also refused if it would start after StartBy, as an
	// expectation is no promise.
	StartBy, EndBy time.Time
	// HoldFull makes daemons send nothing for a time to a server that is full. It needs Prioritized and more than one host.
	HoldFull bool
	// Prioritized makes requests with an urgent priority, and those that can still meet their target, go before others.
	Prioritized bool
	// Hosts returns the number of daemons that share the upstream, and Slots is the number of its slots, if there is only one
	// upstream. With HoldFull, the controller holds requests back while the upstream is full. Hosts
	// may be nil.
	Hosts func() int
	Slots int
	// OnEvent is called with what the controller notices if Prioritized is set. It may be nil and must not block.
	OnEvent func(Event)
	// TenantWeight returns the share of a tenant. Nil gives all tenants the same share.
	TenantWeight func(fleet.TenantName) int

	upstreams map[fleet.UpstreamID]*upstreamState
	queue     fairQueue
	// serviceTime is a moving average of the time for which a request occupies a slot.
	serviceTime time.Duration
	// admissionInterval is a moving average of the time between two admissions from the queue. lastAdmission is the time of
	// the latest one, or the time at which the queue last became non-empty, if that is later.
	admissionInterval time.Duration
	lastAdmission     time.Time
	// missRate is a moving average of the share of queued requests that could no longer meet their deadlines.
	missRate float64
	// returns holds the returns of refused callers, and pace how often requests are sent. Both are used only if Prioritized is set.
	returns Returns
	pace    pace
}

// upstreamState is the concurrency limit of one upstream and the number of requests in flight there.
type upstreamState struct {
	limit    Limit
	inFlight int
}

func (c *Controller) upstream(id fleet.UpstreamID) *upstreamState {
	if c.upstreams == nil {
		c.upstreams = make(map[fleet.UpstreamID]*upstreamState)
	}
	state := c.upstreams[id]
	if state == nil {
		state = &upstreamState{limit: c.NewLimit(id)}
		c.upstreams[id] = state
	}
	return state
}

func (c *Controller) tenantWeight(tenant fleet.TenantName) int {
	if c.TenantWeight == nil {
		return 1
	}
	return c.TenantWeight(tenant)
}

// Submit admits, queues or refuses a request. To queue it, Submit may evict another request, which is returned as Dequeued.
func (c *Controller) Submit(now time.Time, request *Request) (Decision, []Dequeued) {
	if c.endsTooLate(now, request) {
		return stoppingRefusal, nil
	}
	if c.Prioritized {
		return c.submitPrioritized(now, request)
	}
	if c.queue.length == 0 {
		if id, ok := c.reserveSlot(now, request); ok {
			return Admitted{Upstream: id}, nil
		}
	}
	weight := c.tenantWeight(request.Tenant)
	wait := c.estimateWait(now, c.queue.requestsAhead(request.Tenant, weight)+1)
	if now.Add(waitMargin*wait + c.serviceTime).After(request.Deadline) {
		return Refused{Cause: cause.DeadlineUnmeetable, RetryAfter: wait}, nil
	}
	var dequeued []Dequeued
	if c.queue.length >= c.QueueLimit {
		evicted, reason := c.queue.evict(request, weight)
		if evicted == nil {
			return Refused{Cause: reason, RetryAfter: wait}, nil
		}
		dequeued = append(dequeued, Dequeued{Request: evicted, Decision: Refused{Cause: reason, RetryAfter: wait}})
	}
	if c.queue.length == 0 {
		c.lastAdmission = now
	}
	c.queue.enqueue(request, weight)
	return Queued{}, dequeued
}

// estimateWait returns how long it takes to admit count requests from the queue.
func (c *Controller) estimateWait(now time.Time, count float64) time.Duration {
	// For an empty queue, the estimate uses only the service time. Only admissions from the queue correct the interval, so
	// that a single long interval would otherwise keep the queue empty forever.
	if c.admissionInterval > 0 && c.queue.length > 0 {
		return time.Duration(count * float64(max(c.admissionInterval, now.Sub(c.lastAdmission))))
	}
	return time.Duration(count * float64(c.serviceTime) / float64(c.occupiedSlots()))
}

// occupiedSlots returns the number of slots that this daemon uses, and at least one for each upstream.
func (c *Controller) occupiedSlots() int {
	slots := 0
	for _, state := range c.upstreams {
		slots += max(state.inFlight, 1)
	}
	return max(1, slots)
}

// reserveSlot selects an upstream with capacity for the request and takes a slot there.
func (c *Controller) reserveSlot(now time.Time, request *Request) (fleet.UpstreamID, bool) {
	id, ok := c.ChooseUpstream(now, request, func(id fleet.UpstreamID) bool {
		state := c.upstream(id)
		return state.inFlight < MaxInFlight(state.limit, now)
	})
	if ok {
		c.upstream(id).inFlight++
	}
	return id, ok
}

// Release frees a slot, and then returns the queued requests that can be admitted or can no longer meet their deadlines.
func (c *Controller) Release(now time.Time, id fleet.UpstreamID, feedback Feedback) []Dequeued {
	state := c.upstream(id)
	UpdateLimit(state.limit, state.inFlight, feedback, now)
	state.inFlight--
	if c.paced() {
		c.observePace(now, feedback)
	}
	if served, ok := feedback.(Served); ok {
		if c.serviceTime == 0 {
			c.serviceTime = served.Latency
		}
		c.serviceTime += (served.Latency - c.serviceTime) / recentWeight
	}
	return c.Dispatch(now)
}

// Dispatch admits queued requests while there is capacity, and refuses those that can no longer meet their deadlines.
func (c *Controller) Dispatch(now time.Time) []Dequeued {
	if c.Prioritized {
		return c.dispatchPrioritized(now, nil)
	}
	var dequeued []Dequeued
	for c.queue.length > 0 {
		tenant := c.queue.next()
		if c.endsTooLate(now, tenant.requests[0]) {
			dequeued = append(dequeued, Dequeued{Request: tenant.requests[0], Decision: stoppingRefusal})
			c.queue.removeAt(tenant, 0)
			continue
		}
		index, late := c.nextRequest(now, tenant)
		if late {
			c.missRate += (1 - c.missRate) / missWeight
			dequeued = append(dequeued, Dequeued{Request: tenant.requests[index], Decision: c.newDeadlineRefusal(now)})
			c.queue.removeAt(tenant, index)
			continue
		}
		id, ok := c.reserveSlot(now, tenant.requests[index])
		if !ok {
			return dequeued
		}
		c.recordAdmission(now)
		dequeued = append(dequeued, Dequeued{Request: c.queue.dequeue(tenant, index), Decision: Admitted{Upstream: id}})
	}
	return dequeued
}

// recordAdmission updates the averages after an admission from the queue.
func (c *Controller) recordAdmission(now time.Time) {
	interval := now.Sub(c.lastAdmission)
	if c.admissionInterval == 0 {
		c.admissionInterval = interval
	}
	c.admissionInterval += (interval - c.admissionInterval) / intervalWeight
	c.lastAdmission = now
	c.missRate -= c.missRate / missWeight
}

// nextRequest returns the index of the next request to serve from a tenant's queue, and whether it must be refused because
// it can't meet its deadline. The oldest comes first as long as the estimate of Submit holds, since every queued request
// can then be served in time. If many requests miss their deadlines in the queue, the estimate was too low, and the newest
// comes first: it is the one most likely to be served in time.
func (c *Controller) nextRequest(now time.Time, queue *tenantQueue) (index int, late bool) {
	if c.missesDeadline(now, queue.requests[0]) {
		return 0, true
	}
	if c.missRate > maxMissRate {
		return len(queue.requests) - 1, false
	}
	return 0, false
}

// StoppingRetryAfter is the delay after which the caller of a daemon that stops may try again. Another daemon can serve it.
const StoppingRetryAfter = 100 * time.Millisecond

// stoppingRefusal is the refusal of a request that would not end before the daemon stops.
var stoppingRefusal = Refused{Cause: cause.DaemonStopping, RetryAfter: StoppingRetryAfter}

// stopMargin is how many times the mean service time has to be left until EndBy for a request that must not be repeated, since
// its caller could not learn its outcome if it took longer than others.
const stopMargin = 2

// endsTooLate reports whether a request that starts now is expected to be cut off at EndBy.
func (c *Controller) endsTooLate(now time.Time, request *Request) bool {
	if c.EndBy.IsZero() || request.Deadline.Before(c.EndBy) {
		return false
	}
	needed := c.serviceTime
	if !request.Idempotent {
		if now.After(c.StartBy) {
			return true
		}
		needed *= stopMargin
	}
	return now.Add(needed).After(c.EndBy)
}

// missesDeadline reports whether a request that starts now is expected to end after its deadline.
func (c *Controller) missesDeadline(now time.Time, request *Request) bool {
	return now.Add(c.serviceTime).After(request.Deadline)
}

func (c *Controller) newDeadlineRefusal(now time.Time) Refused {
	return Refused{Cause: cause.DeadlineUnmeetable, RetryAfter: c.estimateWait(now, float64(c.queue.length))}
}

// LatestStart returns the latest time at which a request can start and is still expected to meet the deadline.
func (c *Controller) LatestStart(deadline time.Time) time.Time {
	return deadline.Add(-c.serviceTime)
}

// Cancel removes a queued request. It returns false if the request has left the queue already.
func (c *Controller) Cancel(now time.Time, request *Request) bool {
	removed := c.queue.remove(request)
	if removed && c.missesDeadline(now, request) {
		c.missRate += (1 - c.missRate) / missWeight
	}
	return removed
}

// DeadlineRefusal returns the refusal of a request that can no longer meet its deadline.
func (c *Controller) DeadlineRefusal(now time.Time, request *Request) Refused {
	if c.Prioritized {
		return c.refuse(now, request, cause.DeadlineUnmeetable, c.waitOf(now, request, c.tenantWeight(request.Tenant)))
	}
	return c.newDeadlineRefusal(now)
}
