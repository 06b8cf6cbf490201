package router

import (
	"time"

	"rosemarywick.example/rosemarywick/internal/core/document"
	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/routing/admission"
	"rosemarywick.example/rosemarywick/internal/routing/balance"
	"rosemarywick.example/rosemarywick/internal/routing/retry"
	"rosemarywick.example/rosemarywick/internal/upstream/forward"
	"rosemarywick.example/rosemarywick/internal/upstream/notices"
)

// serviceState is the state of one service under one version of the configuration document. It is immutable once requests
// use it, except for runtimeState, which is carried over to the states built from later documents.
type serviceState struct {
	*document.Service
	version   uint64
	upstreams map[fleet.UpstreamID]*upstreamState
	// queue admits requests to any upstream of a service without keys. It is nil for a keyed service.
	queue *admissionQueue
	// notices holds what the upstreams state about themselves. It may be nil.
	notices *notices.Book
	// coldLimited is set if cold upstreams of the service get a limited number of requests.
	coldLimited bool
	// prioritized is set if the configuration tells requests apart by priority.
	prioritized bool
	*runtimeState
}

// runtimeState is what a daemon has observed about a service at run time, as opposed to its configuration.
type runtimeState struct {
	pool    *balance.Pool
	budget  *retry.Budget
	breaker *ownerBreaker
	// connections is what was learned about connections to the upstreams.
	connections *forward.Shared
}

// upstreamState is the configuration of one upstream, its client and its queue.
type upstreamState struct {
	document.Upstream
	client *forward.Client
	// queue admits requests to this server only. It is nil for a service without keys.
	queue *admissionQueue
}

// minConnections is the minimum number of connections that a daemon may open to one upstream. Requests would block on a
// single one.
const minConnections = 2

// buildService returns the state of a declared service. It keeps the runtime state and the queue of the previous state,
// unless the service has changed between keyed and unkeyed.
func (r *Router) buildService(previous *serviceState, declared *document.Service, current *document.Document) *serviceState {
	next := &serviceState{
		Service: declared, version: current.Version, upstreams: make(map[fleet.UpstreamID]*upstreamState), notices: r.Notices,
		coldLimited: r.limitsCold(declared), prioritized: current.HasPriorities(),
	}
	if previous != nil && previous.Keyed() == declared.Keyed() {
		next.runtimeState, next.queue = previous.runtimeState, previous.queue
	} else {
		next.runtimeState = &runtimeState{
			pool: &balance.Pool{Local: r.Host.Locality, Daemon: r.Host.ID}, budget: r.newBudget(), breaker: newBreaker(),
			connections: &forward.Shared{},
		}
	}
	weights := make(map[fleet.TenantName]int)
	for _, tenant := range current.Tenants {
		weights[tenant.Name] = tenant.Share
	}
	candidates := make([]balance.Candidate, 0, len(declared.Upstreams))
	for _, upstream := range declared.Upstreams {
		candidates = append(candidates, balance.Candidate{
			ID: upstream.ID, Locality: upstream.Locality, Drained: upstream.Drained || !upstream.DrainDeadline.IsZero(),
			Slots: slotsOf(declared, upstream),
		})
		next.upstreams[upstream.ID] = r.buildUpstream(previous, declared, upstream, weights, next.connections)
	}
	next.pool.SetProbed(next.coldLimited && r.Probe != nil)
	next.breaker.setProbed(next.coldLimited && r.Probe != nil)
	next.pool.SetCandidates(r.Clock.Now(), candidates)
	if !declared.Keyed() {
		next.queue = r.configureQueue(next.queue, declared, weights, len(declared.Upstreams), next.pickUpstream)
		next.queue.retain(next.upstreams)
	}
	return next
}

// buildUpstream returns the state of a declared upstream. It keeps the client and the queue of the previous state if the
// address is the same.
func (r *Router) buildUpstream(
	previous *serviceState, declared *document.Service, upstream document.Upstream, weights map[fleet.TenantName]int,
	shared *forward.Shared,
) *upstreamState {
	result := &upstreamState{Upstream: upstream}
	if previous != nil {
		if existing := previous.upstreams[upstream.ID]; existing != nil && existing.Address == upstream.Address {
			result.client, result.queue = existing.client, existing.queue
		}
	}
	if result.client == nil {
		result.client = r.newClient(declared, upstream, shared)
	}
	if declared.Keyed() {
		result.queue = r.configureQueue(result.queue, declared, weights, 1, func(
			_ time.Time, request *admission.Request, hasCapacity func(fleet.UpstreamID) bool,
		) (fleet.UpstreamID, bool) {
			return upstream.ID, hasCapacity(upstream.ID) && result.client.HeldFor(!request.Idempotent) <= 0
		})
		r.configurePace(result.queue, declared, upstream.ID)
	}
	return result
}

// configureQueue applies the limits of the declared service to a queue that admits to upstreamCount upstreams. It creates
// the queue if it is nil.
func (r *Router) configureQueue(
	queue *admissionQueue, declared *document.Service, weights map[fleet.TenantName]int, upstreamCount int,
	chooseUpstream upstreamChooser,
) *admissionQueue {
	if queue == nil {
		queue = newAdmissionQueue(r.Clock)
	}
	queue.configure(func(controller *admission.Controller) {
		controller.QueueLimit = declared.QueueLimit * upstreamCount
		controller.ChooseUpstream = queue.choose(chooseUpstream)
		controller.TenantWeight = func(tenant fleet.TenantName) int { return max(1, weights[tenant]) }
		controller.NewLimit = func(id fleet.UpstreamID) admission.Limit { return r.newLimit(declared, id) }
		controller.StartBy, controller.EndBy = r.acceptUntil, r.endBy
		controller.Prioritized, controller.HoldFull = r.document.HasPriorities(), r.HoldFull
	})
	return queue
}

// setStop passes the times of the daemon's stop on to the queues of the service; see Router.Stop.
func (s *serviceState) setStop(acceptUntil, endBy time.Time) {
	apply := func(controller *admission.Controller) { controller.StartBy, controller.EndBy = acceptUntil, endBy }
	if s.queue != nil {
		s.queue.configure(apply)
	}
	for _, upstream := range s.upstreams {
		if upstream.queue != nil {
			upstream.queue.configure(apply)
		}
	}
}

func (r *Router) newBudget() *retry.Budget {
	if r.NewBudget != nil {
		return r.NewBudget()
	}
	return &retry.Budget{}
}

// newLimit returns this daemon's limit for an upstream. It follows from the slots that the upstream itself registered, if it
// did, so that an odd entry affects no other one.
func (r *Router) newLimit(declared *document.Service, id fleet.UpstreamID) admission.Limit {
	if r.NewLimit != nil {
		return r.NewLimit(declared)
	}
	slots := declared.SlotsOf(id)
	return &admission.AdaptiveLimit{
		Ceiling: float64(min(slots, r.connectionLimit(declared))), FairShare: float64(slots) / float64(r.hostCount()),
	}
}

// slotsOf returns the number of requests that an upstream runs at a time: that which it registered, or that of its service.
func slotsOf(declared *document.Service, upstream document.Upstream) int {
	if upstream.Slots > 0 {
		return upstream.Slots
	}
	return declared.Slots
}

// connectionLimit returns how many connections this daemon may open to one upstream of a service.
func (r *Router) connectionLimit(declared *document.Service) int {
	return max(minConnections, declared.MaxConnections/r.hostCount())
}

func (r *Router) hostCount() int {
	if r.HostCount == nil {
		return 1
	}
	return max(1, r.HostCount())
}

// pickUpstream selects an upstream for a request to a service without keys.
func (s *serviceState) pickUpstream(
	now time.Time, req *admission.Request, hasCapacity func(fleet.UpstreamID) bool,
) (fleet.UpstreamID, bool) {
	usable := func(id fleet.UpstreamID) bool {
		return s.pauseLeft(now, id) <= 0 && hasCapacity(id) && s.canConnect(id, req)
	}
	return s.pool.Pick(now, balance.Criteria{
		Avoid: req.Avoid, Idempotent: req.Idempotent, Bulk: req.Bulk, HasCapacity: usable, IsCold: s.coldTest(now),
	})
}
