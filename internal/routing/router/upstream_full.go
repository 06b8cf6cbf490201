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

// maxIdle is the idle age up to which connections are reused for idempotent requests if the upstream announces no timeout. The
// upstreams of the users close connections after 10 s; 1 s is left for the request's way. A connection that was closed earlier is
// noticed before it is used, unless its end arrives during the request, which is repeated then.
const maxIdle = 9 * time.Second

// newClient returns the client for an upstream of a service.
func (r *Router) newClient(declared *document.Service, upstream document.Upstream, shared *forward.Shared) *forward.Client {
	client := &forward.Client{
		Address: upstream.Address, Clock: r.Clock, MaxConnections: r.connectionLimit(declared), Dialect: r.Dialect,
		BufferLimit: r.BufferLimit, HoldNewConnections: true, MaxIdle: maxIdle, Shared: shared,
	}
	if r.OnConnectionEvent != nil {
		service := declared.Name
		client.OnEvent = func(event forward.Event) { r.OnConnectionEvent(service, upstream.ID, event) }
	}
	return client
}

// canConnect reports whether a request can be sent to an upstream as far as its connection limit is known.
func (s *serviceState) canConnect(id fleet.UpstreamID, request *admission.Request) bool {
	upstream := s.upstreams[id]
	return upstream == nil || upstream.client.HeldFor(!request.Idempotent) <= 0
}

// rejectIfFull rejects a request that no upstream accepts a connection for soon enough.
func (p *pendingRequest) rejectIfFull(upstreams map[fleet.UpstreamID]*upstreamState) *rejection {
	shortest := time.Duration(0)
	for _, upstream := range upstreams {
		held := upstream.client.HeldFor(p.request.Delivery != document.Idempotent)
		if held <= 0 {
			return nil
		}
		if shortest == 0 || held < shortest {
			shortest = held
		}
	}
	if shortest <= p.timeToTarget(p.router.Clock.Now()) {
		return nil
	}
	return &rejection{outcome: cause.NotRun, cause: cause.UpstreamFull, retryAfter: shortest}
}

// timeToTarget returns how long a request may wait so that it is still of use: half of the time until its latency target, so that
// the rest is left for the upstream.
func (p *pendingRequest) timeToTarget(now time.Time) time.Duration {
	left := min(p.started.Add(p.target()).Sub(now), p.deadline.Sub(now))
	return max(0, time.Duration(float64(left)*maxLimitWait))
}

// isFull reports whether a result shows that the upstream is at its connection limit, which says nothing about its health.
func isFull(result forward.Result) bool {
	switch result := result.(type) {
	case forward.NotSent:
		return result.Full
	case forward.NoResponse:
		return result.Full
	}
	return false
}

// releaseFull releases the slot of a request that met an upstream without room for a further connection, which counts as a
// rejection by it.
func (p *pendingRequest) releaseFull(slot *acquiredSlot) {
	p.service.pool.RequestEnded(p.router.Clock.Now(), slot.upstream.ID, balance.Rejected{})
	slot.queue.release(slot.upstream.ID, admission.Unconnected{})
}
