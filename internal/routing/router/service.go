package router

import (
	"sync"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/document"
	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/routing/admission"
	"rosemarywick.example/rosemarywick/internal/routing/balance"
	"rosemarywick.example/rosemarywick/internal/routing/retry"
	"rosemarywick.example/rosemarywick/internal/upstream/forward"
)

// service is the state of one service under one document. It is not changed once requests use it. What is learned is
// shared with the states of later documents.
type service struct {
	*document.Service
	version   uint64
	upstreams map[fleet.UpstreamID]*upstream
	// lobby admits to any upstream of a service without keys.
	lobby *station
	*learned
}

// learned is what a daemon knows of a service beyond its configuration.
type learned struct {
	pool   *balance.Pool
	budget *retry.Budget
	holds  *holds
}

// upstream is one upstream of a service.
type upstream struct {
	document.Upstream
	client *forward.Client
	// door admits to this server alone. It is nil for a service without keys.
	door *station
}

// leastConnections is the least number of connections that a daemon keeps to one upstream: one less would block.
const leastConnections = 2

func (r *Router) renew(before *service, declared *document.Service, current *document.Document) *service {
	next := &service{Service: declared, version: current.Version, upstreams: make(map[fleet.UpstreamID]*upstream)}
	if before != nil && before.Keyed() == declared.Keyed() {
		next.learned, next.lobby = before.learned, before.lobby
	} else {
		next.learned = &learned{pool: &balance.Pool{Local: r.Host.Place}, budget: r.budget(), holds: newHolds()}
	}
	weights := make(map[fleet.TenantName]int)
	for _, tenant := range current.Tenants {
		weights[tenant.Name] = tenant.Share
	}
	candidates := make([]balance.Candidate, 0, len(declared.Upstreams))
	for _, one := range declared.Upstreams {
		candidates = append(candidates, balance.Candidate{
			ID: one.ID, Place: one.Place, Drained: one.Drained || !one.LeaveBy.IsZero(),
		})
		next.upstreams[one.ID] = r.renewUpstream(before, declared, one, weights)
	}
	next.pool.Set(r.Clock.Now(), candidates)
	if !declared.Keyed() {
		next.lobby = r.renewStation(next.lobby, declared, weights, len(declared.Upstreams), next.pick)
	}
	return next
}

func (r *Router) renewUpstream(
	before *service, declared *document.Service, one document.Upstream, weights map[fleet.TenantName]int,
) *upstream {
	result := &upstream{Upstream: one}
	if before != nil {
		if old := before.upstreams[one.ID]; old != nil && old.Address == one.Address {
			result.client, result.door = old.client, old.door
		}
	}
	if result.client == nil {
		connections := max(leastConnections, declared.Connections/r.hosts())
		result.client = &forward.Client{
			Address: one.Address, Clock: r.Clock, Connections: connections, Dialect: r.Dialect, WholeLimit: r.WholeLimit,
		}
	}
	if declared.Keyed() {
		result.door = r.renewStation(result.door, declared, weights, 1, func(
			_ time.Time, _ *admission.Ticket, free func(fleet.UpstreamID) bool,
		) (fleet.UpstreamID, bool) {
			return one.ID, free(one.ID)
		})
	}
	return result
}

func (r *Router) renewStation(
	old *station, declared *document.Service, weights map[fleet.TenantName]int, width int, choose chooser,
) *station {
	if old == nil {
		old = newStation(r.Clock)
	}
	old.configure(func(gate *admission.Gate) {
		gate.Room = declared.QueueLimit * width
		gate.Choose = choose
		gate.Weight = func(tenant fleet.TenantName) int { return max(1, weights[tenant]) }
		gate.NewLimit = func(fleet.UpstreamID) admission.Limit { return r.limit(declared) }
	})
	return old
}

func (r *Router) budget() *retry.Budget {
	if r.NewBudget != nil {
		return r.NewBudget()
	}
	return &retry.Budget{}
}

func (r *Router) limit(declared *document.Service) admission.Limit {
	if r.NewLimit != nil {
		return r.NewLimit(declared)
	}
	connections := max(leastConnections, declared.Connections/r.hosts())
	return &admission.Adaptive{
		Ceiling: float64(min(declared.Slots, connections)), Fair: float64(declared.Slots) / float64(r.hosts()),
	}
}

func (r *Router) hosts() int {
	if r.Hosts == nil {
		return 1
	}
	return max(1, r.Hosts())
}

// pick chooses among the upstreams of a service without keys.
func (s *service) pick(
	now time.Time, ticket *admission.Ticket, free func(fleet.UpstreamID) bool,
) (fleet.UpstreamID, bool) {
	return s.pool.Pick(now, balance.Wish{Avoid: ticket.Avoid, Repeatable: ticket.Repeatable, Bulk: ticket.Bulk, Free: free})
}

// holds remembers which servers and partitions are known to be useless until the map changes, so that requests wait
// without each of them trying first. One request at a time tries again after trialAfter.
type holds struct {
	mu sync.Mutex
	// servers is guarded by mu and holds the time of the next trial of an unreachable server.
	servers map[fleet.UpstreamID]time.Time
	// partitions is guarded by mu and holds assignments that the owner denied.
	partitions map[fleet.PartitionID]denial
	// waiting is guarded by mu and counts the requests that wait for the map.
	waiting int
}

// denial is an assignment that its owner denied.
type denial struct {
	fence fleet.Fence
	next  time.Time
}

// trialAfter lies below the time in which a lost owner is replaced, so that a server that was only restarting or late to
// accept its grant is found before that.
const trialAfter = 250 * time.Millisecond

func newHolds() *holds {
	return &holds{servers: make(map[fleet.UpstreamID]time.Time), partitions: make(map[fleet.PartitionID]denial)}
}

// unreachable notes that no connection to a server could be made.
func (h *holds) unreachable(now time.Time, id fleet.UpstreamID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.servers[id] = now.Add(trialAfter)
}

// denied notes that a server denied an assignment.
func (h *holds) denied(now time.Time, assignment fleet.Assignment) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.partitions[assignment.Partition] = denial{fence: assignment.Fence, next: now.Add(trialAfter)}
}

// reached notes that a server served an assignment.
func (h *holds) reached(assignment fleet.Assignment) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.servers, assignment.Owner)
	delete(h.partitions, assignment.Partition)
}

// wait returns how long a request must wait before it may use the assignment; zero lets it go on, as the next trial if
// one is due.
func (h *holds) wait(now time.Time, assignment fleet.Assignment) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	until, unreachable := h.servers[assignment.Owner]
	if unreachable && now.Before(until) {
		return until.Sub(now)
	}
	denied, found := h.partitions[assignment.Partition]
	found = found && !denied.fence.Less(assignment.Fence)
	if found && now.Before(denied.next) {
		return denied.next.Sub(now)
	}
	if unreachable {
		h.servers[assignment.Owner] = now.Add(trialAfter)
	}
	if found {
		h.partitions[assignment.Partition] = denial{fence: denied.fence, next: now.Add(trialAfter)}
	}
	return 0
}

// enter counts a request that begins to wait for the map, and returns false if too many do.
func (h *holds) enter(most int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.waiting >= most {
		return false
	}
	h.waiting++
	return true
}

func (h *holds) leave() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.waiting--
}
