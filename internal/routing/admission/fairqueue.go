package admission

import (
	"math"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/cause"
	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// Request is a request that needs a slot at an upstream. The exported fields must be set before Submit.
type Request struct {
	Tenant   fleet.TenantName
	Arrived  time.Time
	Deadline time.Time
	// Avoid is the upstream of the previous attempt. It is used only if no other upstream has capacity.
	Avoid fleet.UpstreamID
	// Idempotent is set for a request that may be sent to an upstream that is suspected to be unreachable.
	Idempotent bool
	// Bulk is set for a request with a large response.
	Bulk bool
	// Priority is 0 for the most urgent requests and grows as they get less urgent. Target is the time by which the response is
	// of full use, or zero. Both are used only by a controller with priorities.
	Priority int
	Target   time.Time
	// Repeated is set if this daemon has sent the request before, so that it is not an arrival of a caller.
	Repeated bool

	// early is set if the caller came back before the time that it was told.
	early bool
}

// fairQueue holds the queued requests of all tenants, each tenant in a queue of its own. It serves the tenants in
// proportion to their weights by stride scheduling.
type fairQueue struct {
	// length is the number of requests in all queues.
	length int
	queues map[fleet.TenantName]*tenantQueue
	// virtualTime is the pass of the queue that was served last.
	virtualTime float64
}

// tenantQueue holds the queued requests of one tenant, oldest first.
type tenantQueue struct {
	requests []*Request
	// pass is the virtual time at which the tenant is served next. It increases by 1/weight with each request served.
	pass   float64
	weight float64
}

func (q *fairQueue) enqueue(request *Request, weight int) {
	if q.queues == nil {
		q.queues = make(map[fleet.TenantName]*tenantQueue)
	}
	own := q.queues[request.Tenant]
	if own == nil {
		own = &tenantQueue{}
		q.queues[request.Tenant] = own
	}
	own.weight = float64(max(1, weight))
	if len(own.requests) == 0 {
		own.pass = max(own.pass, q.virtualTime)
	}
	own.requests = append(own.requests, request)
	q.length++
}

// next returns the non-empty queue with the lowest pass, which is the one furthest below its share. It returns nil if all
// queues are empty.
func (q *fairQueue) next() *tenantQueue {
	var best *tenantQueue
	for _, candidate := range q.queues {
		if len(candidate.requests) > 0 && (best == nil || candidate.pass < best.pass) {
			best = candidate
		}
	}
	return best
}

// dequeue removes the request at index from a queue and advances the pass of its tenant.
func (q *fairQueue) dequeue(queue *tenantQueue, index int) *Request {
	request := queue.requests[index]
	q.virtualTime = max(q.virtualTime, queue.pass)
	queue.pass += 1 / queue.weight
	q.removeAt(queue, index)
	return request
}

// removeAt removes the request at index from a queue without advancing the pass of its tenant.
func (q *fairQueue) removeAt(queue *tenantQueue, index int) {
	copy(queue.requests[index:], queue.requests[index+1:])
	queue.requests[len(queue.requests)-1] = nil
	queue.requests = queue.requests[:len(queue.requests)-1]
	q.length--
}

// remove removes a request and reports whether it was queued.
func (q *fairQueue) remove(request *Request) bool {
	own := q.queues[request.Tenant]
	if own == nil {
		return false
	}
	for i, other := range own.requests {
		if other == request {
			q.removeAt(own, i)
			q.dropIfIdle(request.Tenant, own)
			return true
		}
	}
	return false
}

// dropIfIdle deletes the empty queue of a tenant whose pass is not ahead of the virtual time, so that the map stays small.
func (q *fairQueue) dropIfIdle(tenant fleet.TenantName, queue *tenantQueue) {
	if len(queue.requests) == 0 && queue.pass <= q.virtualTime {
		delete(q.queues, tenant)
	}
}

// requestsAhead estimates from the fair shares how many queued requests are served before a new one of the tenant.
func (q *fairQueue) requestsAhead(tenant fleet.TenantName, weight int) float64 {
	ownLength, totalWeight := 0.0, float64(max(1, weight))
	for name, other := range q.queues {
		if name == tenant {
			ownLength = float64(len(other.requests))
		} else if len(other.requests) > 0 {
			totalWeight += other.weight
		}
	}
	return min(float64(q.length), ownLength*totalWeight/float64(max(1, weight)))
}

// mostOverShare returns the queue with the most requests in relation to its weight.
func (q *fairQueue) mostOverShare() *tenantQueue {
	var result *tenantQueue
	highest := math.Inf(-1)
	for _, candidate := range q.queues {
		if load := float64(len(candidate.requests)) / candidate.weight; load > highest {
			highest, result = load, candidate
		}
	}
	return result
}

// evict makes room in a full queue for a new request. It evicts the newest request of the tenant that is furthest above its
// share, unless the new request belongs to that tenant or would exceed its own share by more. In that case it returns nil
// and the cause for which the new request is refused.
func (q *fairQueue) evict(request *Request, weight int) (*Request, cause.Cause) {
	largest := q.mostOverShare()
	ownLength := 0
	if own := q.queues[request.Tenant]; own != nil {
		ownLength = len(own.requests)
	}
	switch {
	case largest == nil || largest == q.queues[request.Tenant] && len(q.queues) == 1:
		return nil, cause.QueueFull
	case float64(ownLength+1)/float64(max(1, weight)) > float64(len(largest.requests))/largest.weight:
		return nil, cause.QueueFull
	case largest == q.queues[request.Tenant]:
		return nil, cause.TenantShare
	}
	evicted := largest.requests[len(largest.requests)-1]
	q.removeAt(largest, len(largest.requests)-1)
	return evicted, cause.TenantShare
}
