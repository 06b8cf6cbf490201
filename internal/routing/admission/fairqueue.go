package admission

import (
	"math"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/cause"
	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// Ticket is a request that asks for a slot. The exported fields are set before Enter.
type Request struct {
	Tenant   fleet.TenantName
	Arrived  time.Time
	Deadline time.Time
	// Avoid names the upstream of the attempt before; it is used only if no other is free.
	Avoid fleet.UpstreamID
	// Repeatable is set for a request that may be sent to an upstream that is suspected to be lost.
	Idempotent bool
	// Bulk is set for a request with a large answer.
	Bulk bool
}

// fairQueue holds the waiting tickets, a queue for each tenant.
type fairQueue struct {
	// length counts the tickets of all queues.
	length int
	queues map[fleet.TenantName]*queue
	// clock is the virtual time of the fair share: the lowest pass served last.
	clock float64
}

// queue holds the waiting tickets of one tenant, oldest first.
type queue struct {
	tickets []*Request
	// pass is the virtual time at which the tenant is served next; it rises by 1/weight with each ticket served.
	pass   float64
	weight float64
}

func (q *fairQueue) push(ticket *Request, weight int) {
	if q.queues == nil {
		q.queues = make(map[fleet.TenantName]*queue)
	}
	own := q.queues[ticket.Tenant]
	if own == nil {
		own = &queue{}
		q.queues[ticket.Tenant] = own
	}
	own.weight = float64(max(1, weight))
	if len(own.tickets) == 0 {
		own.pass = max(own.pass, q.clock)
	}
	own.tickets = append(own.tickets, ticket)
	q.length++
}

// next returns the queue of the tenant that is furthest below its share, or nil.
func (q *fairQueue) next() *queue {
	var best *queue
	for _, candidate := range q.queues {
		if len(candidate.tickets) > 0 && (best == nil || candidate.pass < best.pass) {
			best = candidate
		}
	}
	return best
}

// take removes the ticket at index from a queue and charges the tenant for it.
func (q *fairQueue) take(from *queue, index int) *Request {
	ticket := from.tickets[index]
	q.clock = from.pass
	from.pass += 1 / from.weight
	q.cut(from, index)
	return ticket
}

func (q *fairQueue) cut(from *queue, index int) {
	copy(from.tickets[index:], from.tickets[index+1:])
	from.tickets[len(from.tickets)-1] = nil
	from.tickets = from.tickets[:len(from.tickets)-1]
	q.length--
}

// remove takes a ticket out of the queue and reports whether it was there.
func (q *fairQueue) remove(ticket *Request) bool {
	own := q.queues[ticket.Tenant]
	if own == nil {
		return false
	}
	for i, other := range own.tickets {
		if other == ticket {
			q.cut(own, i)
			q.forget(ticket.Tenant, own)
			return true
		}
	}
	return false
}

// forget drops the empty queue of a tenant that owes nothing, so that the map stays small.
func (q *fairQueue) forget(tenant fleet.TenantName, own *queue) {
	if len(own.tickets) == 0 && own.pass <= q.clock {
		delete(q.queues, tenant)
	}
}

// ahead returns how many tickets are served before a new one of the tenant, by the fair shares.
func (q *fairQueue) ahead(tenant fleet.TenantName, weight int) float64 {
	mine, weights := 0.0, float64(max(1, weight))
	for name, other := range q.queues {
		if name == tenant {
			mine = float64(len(other.tickets))
		} else if len(other.tickets) > 0 {
			weights += other.weight
		}
	}
	return min(float64(q.length), mine*weights/float64(max(1, weight)))
}

// most returns the queue that exceeds its share of the queue by the most.
func (q *fairQueue) most() *queue {
	var result *queue
	highest := math.Inf(-1)
	for _, candidate := range q.queues {
		if part := float64(len(candidate.tickets)) / candidate.weight; part > highest {
			highest, result = part, candidate
		}
	}
	return result
}

// displace makes room in a full line: the newest ticket of the tenant that is furthest above its share gives way, unless
// the new ticket's own tenant is that one.
func (q *fairQueue) displace(ticket *Request, weight int) (*Request, cause.Cause) {
	over := q.most()
	mine := 0
	if own := q.queues[ticket.Tenant]; own != nil {
		mine = len(own.tickets)
	}
	switch {
	case over == nil || over == q.queues[ticket.Tenant] && len(q.queues) == 1:
		return nil, cause.QueueFull
	case float64(mine+1)/float64(max(1, weight)) > float64(len(over.tickets))/over.weight:
		return nil, cause.QueueFull
	case over == q.queues[ticket.Tenant]:
		return nil, cause.TenantShare
	}
	last := over.tickets[len(over.tickets)-1]
	q.cut(over, len(over.tickets)-1)
	return last, cause.TenantShare
}
