package router

import (
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/routing/balance"
	"rosemarywick.example/rosemarywick/internal/upstream/forward"
)

// drained reports whether an upstream gets no new request because it is gone, or its drain deadline has passed.
func (s *serviceState) drained(now time.Time, id fleet.UpstreamID) bool {
	upstream := s.upstreams[id]
	return upstream == nil || !upstream.DrainDeadline.IsZero() && !now.Before(upstream.DrainDeadline)
}

// mayReceive reports whether an upstream may still get the request under the configuration in force. It is asked when the request
// has a slot, and again right before the first byte is written: whatever the request waits for in between, such as a connection,
// may take longer than the upstream may be used. One that may not get it has provably not run it.
func (p *pendingRequest) mayReceive(id fleet.UpstreamID) bool {
	now, service := p.router.Clock.Now(), p.present()
	return !service.drained(now, id) && !service.withheld(now, id) && service.pauseLeft(now, id) <= 0
}

// withdraw gives up a slot whose upstream must not get the request any more.
func (p *pendingRequest) withdraw(slot *acquiredSlot) {
	p.service.pool.RequestEnded(p.router.Clock.Now(), slot.upstream.ID, balance.Abandoned{})
	slot.queue.release(slot.upstream.ID, abandoned)
}

// isWithheld reports whether a request was not written because its upstream must not get it any more.
func isWithheld(result forward.Result) bool {
	notSent, ok := result.(forward.NotSent)
	return ok && notSent.Withheld
}
