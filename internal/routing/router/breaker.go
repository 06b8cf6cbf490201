package router

import (
	"maps"
	"sync"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// ownerBreaker is a circuit breaker for the servers and partitions of a keyed service. It holds back requests to a server
// that is unreachable, or to a partition whose owner denies its assignment, until the ownership map changes. One request at
// a time is let through as a trial after each trialInterval.
type ownerBreaker struct {
	mu sync.Mutex
	// servers is guarded by mu and holds the time of the next trial of each unreachable server.
	servers map[fleet.UpstreamID]time.Time
	// partitions is guarded by mu and holds the assignments that their owners denied.
	partitions map[fleet.PartitionID]deniedAssignment
	// probed is guarded by mu and set if unreachable servers are tried with health probes, so that no request is let through.
	probed bool
	// waiting is guarded by mu and counts the requests that wait for a change of the map.
	waiting int
}

// deniedAssignment is the fence of an assignment that its owner denied, and the time of the next trial.
type deniedAssignment struct {
	fence     fleet.Fence
	nextTrial time.Time
}

// trialInterval is shorter than the time in which a lost owner is replaced, so that a server that was only restarting, or
// late to accept its grant, is found before that.
const trialInterval = 250 * time.Millisecond

func newBreaker() *ownerBreaker {
	return &ownerBreaker{servers: make(map[fleet.UpstreamID]time.Time), partitions: make(map[fleet.PartitionID]deniedAssignment)}
}

// markUnreachable records that no connection to a server could be made.
func (b *ownerBreaker) markUnreachable(now time.Time, id fleet.UpstreamID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.servers[id] = now.Add(trialInterval)
}

// markReachable records that a server has answered a probe.
func (b *ownerBreaker) markReachable(id fleet.UpstreamID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.servers, id)
}

// retainUnreachable forgets the unreachable servers but those for which keep returns true.
func (b *ownerBreaker) retainUnreachable(keep func(fleet.UpstreamID) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	maps.DeleteFunc(b.servers, func(id fleet.UpstreamID, _ time.Time) bool { return !keep(id) })
}

// setProbed sets whether unreachable servers are tried with health probes instead of requests.
func (b *ownerBreaker) setProbed(probed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.probed = probed
}

// markDenied records that a server denied an assignment.
func (b *ownerBreaker) markDenied(now time.Time, assignment fleet.Assignment) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.partitions[assignment.Partition] = deniedAssignment{fence: assignment.Fence, nextTrial: now.Add(trialInterval)}
}

// markServed records that a server served a request under an assignment.
func (b *ownerBreaker) markServed(assignment fleet.Assignment) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.servers, assignment.Owner)
	delete(b.partitions, assignment.Partition)
}

// delay returns how long a request must wait before it may use the assignment. It returns zero if the request may proceed,
// as the next trial if one is due.
func (b *ownerBreaker) delay(now time.Time, assignment fleet.Assignment) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	until, unreachable := b.servers[assignment.Owner]
	if unreachable && now.Before(until) {
		return until.Sub(now)
	}
	if unreachable && b.probed {
		return trialInterval
	}
	denied, isDenied := b.partitions[assignment.Partition]
	isDenied = isDenied && !denied.fence.Less(assignment.Fence)
	if isDenied && now.Before(denied.nextTrial) {
		return denied.nextTrial.Sub(now)
	}
	if unreachable {
		b.servers[assignment.Owner] = now.Add(trialInterval)
	}
	if isDenied {
		b.partitions[assignment.Partition] = deniedAssignment{fence: denied.fence, nextTrial: now.Add(trialInterval)}
	}
	return 0
}

// addWaiter counts a request that starts to wait for the map. It returns false if limit requests already wait.
func (b *ownerBreaker) addWaiter(limit int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.waiting >= limit {
		return false
	}
	b.waiting++
	return true
}

func (b *ownerBreaker) removeWaiter() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting--
}
