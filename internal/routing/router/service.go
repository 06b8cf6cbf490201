package router

import (
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
	// queue admits to any upstream of a service without keys.
	queue *waitQueue
	*learned
}

// learned is what a daemon knows of a service beyond its configuration.
type learned struct {
	pool     *balance.Pool
	budget   *retry.Budget
	suspects *suspects
}

// upstream is one upstream of a service.
type upstream struct {
	document.Upstream
	client *forward.Client
	// queue admits to this server alone. It is nil for a service without keys.
	queue *waitQueue
}

// leastConnections is the least number of connections that a daemon keeps to one upstream: one less would block.
const leastConnections = 2

func (r *Router) renew(before *service, declared *document.Service, current *document.Document) *service {
	next := &service{Service: declared, version: current.Version, upstreams: make(map[fleet.UpstreamID]*upstream)}
	if before != nil && before.Keyed() == declared.Keyed() {
		next.learned, next.queue = before.learned, before.queue
	} else {
		next.learned = &learned{pool: &balance.Pool{Local: r.Host.Locality}, budget: r.budget(), suspects: newSuspects()}
	}
	weights := make(map[fleet.TenantName]int)
	for _, tenant := range current.Tenants {
		weights[tenant.Name] = tenant.Share
	}
	candidates := make([]balance.Candidate, 0, len(declared.Upstreams))
	for _, one := range declared.Upstreams {
		candidates = append(candidates, balance.Candidate{
			ID: one.ID, Locality: one.Locality, Drained: one.Drained || !one.DrainDeadline.IsZero(),
		})
		next.upstreams[one.ID] = r.renewUpstream(before, declared, one, weights)
	}
	next.pool.SetCandidates(r.Clock.Now(), candidates)
	if !declared.Keyed() {
		next.queue = r.renewQueue(next.queue, declared, weights, len(declared.Upstreams), next.pick)
	}
	return next
}

func (r *Router) renewUpstream(
	before *service, declared *document.Service, one document.Upstream, weights map[fleet.TenantName]int,
) *upstream {
	result := &upstream{Upstream: one}
	if before != nil {
		if old := before.upstreams[one.ID]; old != nil && old.Address == one.Address {
			result.client, result.queue = old.client, old.queue
		}
	}
	if result.client == nil {
		result.client = &forward.Client{
			Address: one.Address, Clock: r.Clock, Connections: r.connections(declared), Dialect: r.Dialect, WholeLimit: r.MaxBufferedBytes,
		}
	}
	if declared.Keyed() {
		result.queue = r.renewQueue(result.queue, declared, weights, 1, func(
			_ time.Time, _ *admission.Request, free func(fleet.UpstreamID) bool,
		) (fleet.UpstreamID, bool) {
			return one.ID, free(one.ID)
		})
	}
	return result
}

func (r *Router) renewQueue(
	old *waitQueue, declared *document.Service, weights map[fleet.TenantName]int, width int, choose chooser,
) *waitQueue {
	if old == nil {
		old = newWaitQueue(r.Clock)
	}
	old.configure(func(gate *admission.Controller) {
		gate.QueueLimit = declared.QueueLimit * width
		gate.ChooseUpstream = choose
		gate.TenantWeight = func(tenant fleet.TenantName) int { return max(1, weights[tenant]) }
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
	return &admission.AdaptiveLimit{
		Ceiling: float64(min(declared.Slots, r.connections(declared))), FairShare: float64(declared.Slots) / float64(r.hosts()),
	}
}

// connections returns how many connections this daemon may have to one upstream of a service.
func (r *Router) connections(declared *document.Service) int {
	return max(leastConnections, declared.Connections/r.hosts())
}

func (r *Router) hosts() int {
	if r.HostCount == nil {
		return 1
	}
	return max(1, r.HostCount())
}

// pick chooses among the upstreams of a service without keys.
func (s *service) pick(
	now time.Time, ticket *admission.Request, free func(fleet.UpstreamID) bool,
) (fleet.UpstreamID, bool) {
	return s.pool.Pick(now, balance.Criteria{Avoid: ticket.Avoid, Idempotent: ticket.Idempotent, Bulk: ticket.Bulk, HasCapacity: free})
}
