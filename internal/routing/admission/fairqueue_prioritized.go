package admission

// enqueueAfterShare adds a request. A tenant that had none waiting gets its turn after the time that one request takes at its
// weight, so that a less urgent kind does not go first only because it has just arrived.
func (q *fairQueue) enqueueAfterShare(request *Request, weight int) {
	if own := q.queues[request.Tenant]; own == nil || len(own.requests) == 0 {
		q.enqueue(request, weight)
		own = q.queues[request.Tenant]
		own.pass = max(own.pass, q.virtualTime+1/own.weight)
		return
	}
	q.enqueue(request, weight)
}

// first returns the queue and the index of the request to serve first among those that may start: the one with the lowest
// standing, and among these that of the tenant furthest below its share, the more urgent one if they are even. It returns nil if
// there is none.
func (q *fairQueue) first(judge func(*Request) (standing, bool)) (best *tenantQueue, index int) {
	lowest := early
	for _, queue := range q.queues {
		for i, request := range queue.requests {
			rank, mayStart := judge(request)
			if !mayStart || best != nil && rank > lowest {
				continue
			}
			if best == nil || rank < lowest || best != queue && queue.goesBefore(best) {
				best, index, lowest = queue, i, rank
			}
		}
	}
	return best, index
}

// goesBefore reports whether a tenant is served before another one.
func (t *tenantQueue) goesBefore(other *tenantQueue) bool {
	if t.pass != other.pass { //nolint:floatcompare // passes that are computed alike are equal
		return t.pass < other.pass
	}
	return t.weight > other.weight
}

// evictLast removes the request that is served last: one with the highest standing, and among these the newest of the tenant
// with the most requests in relation to its weight, the less urgent one if they are even. There is at least one.
func (q *fairQueue) evictLast(judge func(*Request) standing) *Request {
	var worst *tenantQueue
	index, highest := 0, inTarget
	for _, queue := range q.queues {
		for i, request := range queue.requests {
			rank := judge(request)
			if worst != nil && rank < highest {
				continue
			}
			if worst == nil || rank > highest || queue == worst || queue.exceeds(worst) {
				worst, index, highest = queue, i, rank
			}
		}
	}
	request := worst.requests[index]
	q.removeAt(worst, index)
	return request
}

// exceeds reports whether a tenant has more requests in relation to its weight than another one.
func (t *tenantQueue) exceeds(other *tenantQueue) bool {
	own, others := float64(len(t.requests))/t.weight, float64(len(other.requests))/other.weight
	if own != others { //nolint:floatcompare // equal only if both are even
		return own > others
	}
	return t.weight < other.weight
}
