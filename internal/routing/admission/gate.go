package admission

import (
	"time"

	"rosemarywick.example/rosemarywick/internal/core/cause"
	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// Verdict is the answer to a ticket. It is one of Admitted, Queued and Refused.
type Verdict interface {
	verdict()
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

func (Admitted) verdict() {}
func (Queued) verdict()   {}
func (Refused) verdict()  {}

// Decided is a waiting ticket that got its verdict.
type Decided struct {
	Ticket  *Ticket
	Verdict Verdict
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
type Gate struct {
	// Room bounds the tickets that wait.
	Room int
	// NewLimit returns the limit of an upstream.
	NewLimit func(fleet.UpstreamID) Limit
	// Choose returns the upstream to use among those that are free, or false if none can be used.
	Choose func(now time.Time, ticket *Ticket, free func(fleet.UpstreamID) bool) (fleet.UpstreamID, bool)
	// Weight returns the share of a tenant. Nil gives all tenants the same.
	Weight func(fleet.TenantName) int

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

func (g *Gate) lane(id fleet.UpstreamID) *lane {
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

func (g *Gate) weight(tenant fleet.TenantName) int {
	if g.Weight == nil {
		return 1
	}
	return g.Weight(tenant)
}

// Enter admits, queues or refuses a ticket. A ticket that waits may be decided at once because it displaced another.
func (g *Gate) Enter(now time.Time, ticket *Ticket) (Verdict, []Decided) {
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
	var decided []Decided
	if g.waiting.length >= g.Room {
		displaced, why := g.waiting.displace(ticket, weight)
		if displaced == nil {
			return Refused{Cause: why, RetryAfter: wait}, nil
		}
		decided = append(decided, Decided{Ticket: displaced, Verdict: Refused{Cause: why, RetryAfter: wait}})
	}
	if g.waiting.length == 0 {
		g.last = now
	}
	g.waiting.push(ticket, weight)
	return Queued{}, decided
}

// forecast returns how long it takes to admit count tickets from the queue.
func (g *Gate) forecast(now time.Time, count float64) time.Duration {
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

func (g *Gate) choose(now time.Time, ticket *Ticket) (fleet.UpstreamID, bool) {
	id, ok := g.Choose(now, ticket, func(id fleet.UpstreamID) bool {
		lane := g.lane(id)
		return lane.inFlight < Size(lane.limit, now)
	})
	if ok {
		g.lane(id).inFlight++
	}
	return id, ok
}

// Leave ends the use of a slot and decides the tickets that can go on or can no longer meet their deadline.
func (g *Gate) Leave(now time.Time, id fleet.UpstreamID, feedback Feedback) []Decided {
	lane := g.lane(id)
	Learn(lane.limit, lane.inFlight, feedback, now)
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
func (g *Gate) Dispatch(now time.Time) []Decided {
	var decided []Decided
	for g.waiting.length > 0 {
		from := g.waiting.next()
		index, hopeless := g.pick(now, from)
		if hopeless {
			g.misses += (1 - g.misses) / missWeight
			decided = append(decided, Decided{Ticket: from.tickets[index], Verdict: g.unmeetable(now)})
			g.waiting.cut(from, index)
			continue
		}
		id, ok := g.choose(now, from.tickets[index])
		if !ok {
			return decided
		}
		g.admitted(now)
		decided = append(decided, Decided{Ticket: g.waiting.take(from, index), Verdict: Admitted{Upstream: id}})
	}
	return decided
}

// admitted takes in the time of an admission from the queue.
func (g *Gate) admitted(now time.Time) {
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
func (g *Gate) pick(now time.Time, from *queue) (index int, hopeless bool) {
	if g.hopeless(now, from.tickets[0]) {
		return 0, true
	}
	if g.misses > missedMost {
		return len(from.tickets) - 1, false
	}
	return 0, false
}

func (g *Gate) hopeless(now time.Time, ticket *Ticket) bool {
	return now.Add(g.service).After(ticket.Deadline)
}

func (g *Gate) unmeetable(now time.Time) Refused {
	return Refused{Cause: cause.DeadlineUnmeetable, RetryAfter: g.forecast(now, float64(g.waiting.length))}
}

// LatestStart returns the time after which a request can no longer meet the deadline.
func (g *Gate) LatestStart(deadline time.Time) time.Time {
	return deadline.Add(-g.service)
}

// Withdraw takes a waiting ticket out. It returns false if the ticket was decided before.
func (g *Gate) Withdraw(now time.Time, ticket *Ticket) bool {
	removed := g.waiting.remove(ticket)
	if removed && g.hopeless(now, ticket) {
		g.misses += (1 - g.misses) / missWeight
	}
	return removed
}

// Refuse returns the refusal of a ticket that can no longer meet its deadline.
func (g *Gate) Refuse(now time.Time) Refused {
	return g.unmeetable(now)
}
