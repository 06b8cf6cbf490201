package admission

import (
	"time"

	"rosemarywick.example/rosemarywick/internal/core/cause"
	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// Verdict is the answer to a ticket. It is one of Admitted, Queued and Refused.
type Decision interface {
	decision()
}

// Admitted gives the ticket a slot at an upstream. Leave follows.
type Admitted struct {
	Upstream fleet.UpstreamID
}

// Queued makes the ticket wait; it is decided later, or withdrawn.
type Queued struct{}

// Refused rejects the ticket.
type Refused struct {
	Cause cause.Cause
	// RetryAfter is when a repetition is expected to find room.
	RetryAfter time.Duration
}

func (Admitted) decision() {}
func (Queued) decision()   {}
func (Refused) decision()  {}

// Decided is a waiting ticket that got its verdict.
type Dequeued struct {
	Request  *Request
	Decision Decision
}

const (
	// intervalWeight and missWeight smooth what the gate learns from its queue.
	intervalWeight = 16
	missWeight     = 16
	// forecastMargin multiplies the forecast of the wait, because intervals vary: with 1, a third of the rejected
	// requests at twice the capacity waited until their deadlines had become unmeetable; with 2, less than a tenth, at
	// the same goodput.
	forecastMargin = 2
	// missedMost is the share of missed deadlines in the queue above which the newest request goes first.
	missedMost = 0.25
)

// Gate guards a set of upstreams that can run the same requests: one owner, or all upstreams of a service without keys.
// It does no locking; its owner does. The exported fields are set before Enter.
type Controller struct {
	// Room bounds the tickets that wait.
	QueueLimit int
	// NewLimit returns the limit of an upstream.
	NewLimit func(fleet.UpstreamID) Limit
	// Choose returns the upstream to use among those that are free, or false if none can be used.
	ChooseUpstream func(now time.Time, ticket *Request, free func(fleet.UpstreamID) bool) (fleet.UpstreamID, bool)
	// Weight returns the share of a tenant. Nil gives all tenants the same.
	TenantWeight func(fleet.TenantName) int

	lanes   map[fleet.UpstreamID]*lane
	waiting fairQueue
	// service follows the time for which a request occupies a slot.
	service time.Duration
	// interval follows the time between two admissions from the queue, and last is the time of the latest, or of the
	// moment from which the queue was not empty.
	interval time.Duration
	last     time.Time
	// misses follows the share of waiting tickets that could no longer meet their deadlines.
	misses float64
}

// lane is the state of one upstream.
type lane struct {
	limit    Limit
	inFlight int
}

func (g *Controller) lane(id fleet.UpstreamID) *lane {
	if g.lanes == nil {
		g.lanes = make(map[fleet.UpstreamID]*lane)
	}
	result := g.lanes[id]
	if result == nil {
		result = &lane{limit: g.NewLimit(id)}
		g.lanes[id] = result
	}
	return result
}

func (g *Controller) weight(tenant fleet.TenantName) int {
	if g.TenantWeight == nil {
		return 1
	}
	return g.TenantWeight(tenant)
}

// Enter admits, queues or refuses a ticket. A ticket that waits may be decided at once because it displaced another.
func (g *Controller) Submit(now time.Time, ticket *Request) (Decision, []Dequeued) {
	if g.waiting.length == 0 {
		if id, ok := g.choose(now, ticket); ok {
			return Admitted{Upstream: id}, nil
		}
	}
	weight := g.weight(ticket.Tenant)
	wait := g.forecast(now, g.waiting.ahead(ticket.Tenant, weight)+1)
	if now.Add(forecastMargin*wait + g.service).After(ticket.Deadline) {
		return Refused{Cause: cause.DeadlineUnmeetable, RetryAfter: wait}, nil
	}
	var decided []Dequeued
	if g.waiting.length >= g.QueueLimit {
		displaced, why := g.waiting.displace(ticket, weight)
		if displaced == nil {
			return Refused{Cause: why, RetryAfter: wait}, nil
		}
		decided = append(decided, Dequeued{Request: displaced, Decision: Refused{Cause: why, RetryAfter: wait}})
	}
	if g.waiting.length == 0 {
		g.last = now
	}
	g.waiting.push(ticket, weight)
	return Queued{}, decided
}

// forecast returns how long it takes to admit count tickets from the queue.
func (g *Controller) forecast(now time.Time, count float64) time.Duration {
	// Into an empty queue a ticket is let by the time of the requests in flight alone: only admissions from the queue
	// correct the interval, and one long interval would otherwise keep the queue empty for good.
	if g.interval > 0 && g.waiting.length > 0 {
		return time.Duration(count * float64(max(g.interval, now.Sub(g.last))))
	}
	width := 0
	for _, lane := range g.lanes {
		width += max(lane.inFlight, 1)
	}
	return time.Duration(count * float64(g.service) / float64(max(1, width)))
}

func (g *Controller) choose(now time.Time, ticket *Request) (fleet.UpstreamID, bool) {
	id, ok := g.ChooseUpstream(now, ticket, func(id fleet.UpstreamID) bool {
		lane := g.lane(id)
		return lane.inFlight < MaxInFlight(lane.limit, now)
	})
	if ok {
		g.lane(id).inFlight++
	}
	return id, ok
}

// Leave ends the use of a slot and decides the tickets that can go on or can no longer meet their deadline.
func (g *Controller) Release(now time.Time, id fleet.UpstreamID, feedback Feedback) []Dequeued {
	lane := g.lane(id)
	UpdateLimit(lane.limit, lane.inFlight, feedback, now)
	lane.inFlight--
	if served, ok := feedback.(Served); ok {
		if g.service == 0 {
			g.service = served.Latency
		}
		g.service += (served.Latency - g.service) / quickWeight
	}
	return g.Dispatch(now)
}

// Dispatch admits waiting tickets while there is room.
func (g *Controller) Dispatch(now time.Time) []Dequeued {
	var decided []Dequeued
	for g.waiting.length > 0 {
		from := g.waiting.next()
		index, hopeless := g.pick(now, from)
		if hopeless {
			g.misses += (1 - g.misses) / missWeight
			decided = append(decided, Dequeued{Request: from.tickets[index], Decision: g.unmeetable(now)})
			g.waiting.cut(from, index)
			continue
		}
		id, ok := g.choose(now, from.tickets[index])
		if !ok {
			return decided
		}
		g.admitted(now)
		decided = append(decided, Dequeued{Request: g.waiting.take(from, index), Decision: Admitted{Upstream: id}})
	}
	return decided
}

// admitted takes in the time of an admission from the queue.
func (g *Controller) admitted(now time.Time) {
	passed := now.Sub(g.last)
	if g.interval == 0 {
		g.interval = passed
	}
	g.interval += (passed - g.interval) / intervalWeight
	g.last = now
	g.misses -= g.misses / missWeight
}

// pick returns the ticket to serve next from a queue. The oldest comes first as long as the forecast of Enter holds, since
// every waiting ticket can then be served in time. When many tickets miss their deadlines in the queue, there is more work
// than forecast, and the newest comes first: it is the one most likely to be served in time.
func (g *Controller) pick(now time.Time, from *queue) (index int, hopeless bool) {
	if g.hopeless(now, from.tickets[0]) {
		return 0, true
	}
	if g.misses > missedMost {
		return len(from.tickets) - 1, false
	}
	return 0, false
}

func (g *Controller) hopeless(now time.Time, ticket *Request) bool {
	return now.Add(g.service).After(ticket.Deadline)
}

func (g *Controller) unmeetable(now time.Time) Refused {
	return Refused{Cause: cause.DeadlineUnmeetable, RetryAfter: g.forecast(now, float64(g.waiting.length))}
}

// LatestStart returns the time after which a request can no longer meet the deadline.
func (g *Controller) LatestStart(deadline time.Time) time.Time {
	return deadline.Add(-g.service)
}

// Withdraw takes a waiting ticket out. It returns false if the ticket was decided before.
func (g *Controller) Cancel(now time.Time, ticket *Request) bool {
	removed := g.waiting.remove(ticket)
	if removed && g.hopeless(now, ticket) {
		g.misses += (1 - g.misses) / missWeight
	}
	return removed
}

// Refuse returns the refusal of a ticket that can no longer meet its deadline.
func (g *Controller) DeadlineRefusal(now time.Time) Refused {
	return g.unmeetable(now)
}
