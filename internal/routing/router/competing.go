package router

import (
	"time"

	"rosemarywick.example/rosemarywick/internal/core/cause"
	"rosemarywick.example/rosemarywick/internal/core/document"
	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/routing/admission"
	"rosemarywick.example/rosemarywick/internal/routing/balance"
	"rosemarywick.example/rosemarywick/internal/upstream/forward"
)

// callerPatience divides the time that a caller has left: callers come back after that at the latest, whatever they are told.
const callerPatience = 3

// newCandidate returns the request as the admission controller sees it.
func (p *pendingRequest) newCandidate() *admission.Request {
	return &admission.Request{
		Tenant: p.request.Tenant, Arrived: p.router.Clock.Now(), Deadline: p.deadline, Avoid: p.avoidUpstream,
		Idempotent: p.request.Delivery == document.Idempotent, Bulk: p.request.Bulk,
		Priority: p.request.Priority, Target: p.started.Add(p.target()), Repeated: p.sends > 0,
	}
}

// target returns the latency target of the request.
func (p *pendingRequest) target() time.Duration {
	if p.request.LatencyTarget == 0 {
		return p.service.LatencyTarget
	}
	return p.request.LatencyTarget
}

// rejectFull returns the rejection of a request that a full server has rejected, if the request cannot wait until it may be sent
// there again. The slot is released in that case.
func (p *pendingRequest) rejectFull(slot *acquiredSlot, result forward.Result) *rejection {
	rejected, ok := result.(forward.Rejected)
	if !ok || rejected.Draining || rejected.WrongUpstream || !p.service.Keyed() || !p.service.prioritized {
		return nil
	}
	refused, ok := slot.queue.afterRejection(p.newCandidate())
	if !ok {
		return nil
	}
	p.release(slot, result)
	refusal := rejectionFor(refused)
	refusal.retryAfter = max(refusal.retryAfter, p.retryDelay(slot))
	return &refusal
}

// capRetryAfter shortens the time after which a caller is told to come back to what it waits at most. A longer one would make it
// come back earlier than it was told. A pause that an upstream has asked for is passed on unchanged.
func (p *pendingRequest) capRetryAfter(rejected rejection) time.Duration {
	if p.service == nil || !p.service.prioritized || rejected.retryAfter <= 0 || rejected.cause == cause.UpstreamPaused {
		return rejected.retryAfter
	}
	return min(rejected.retryAfter, max(time.Millisecond, p.deadline.Sub(p.router.Clock.Now())/callerPatience))
}

// configurePace tells the queue of a server what it shares its slots with.
func (r *Router) configurePace(queue *admissionQueue, declared *document.Service, id fleet.UpstreamID) {
	slots := declared.SlotsOf(id)
	queue.configure(func(controller *admission.Controller) {
		controller.Hosts, controller.Slots = r.hostCount, slots
		if r.OnAdmissionEvent != nil {
			controller.OnEvent = func(event admission.Event) { r.OnAdmissionEvent(declared.Name, id, event) }
		}
	})
}

// afterRejection decides whether a request that the server has just rejected is refused.
func (q *admissionQueue) afterRejection(request *admission.Request) (admission.Refused, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.controller.AfterRejection(q.clock.Now(), request)
}

// recordLoad passes the load on that a server stated.
func (q *admissionQueue) recordLoad(at time.Time, load admission.ServerLoad) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.controller.RecordLoad(at, load)
}

// recordServerLoad passes the load on that an upstream stated, if it is a server with a queue of its own.
func (s *serviceState) recordServerLoad(at time.Time, id fleet.UpstreamID, load balance.Load) {
	if upstream := s.upstreams[id]; upstream != nil && upstream.queue != nil {
		upstream.queue.recordLoad(at, admission.ServerLoad{Running: load.Running, Waiting: load.Waiting, Slots: s.SlotsOf(id)})
	}
}
