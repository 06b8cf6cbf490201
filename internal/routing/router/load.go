package router

import "rosemarywick.example/rosemarywick/internal/upstream/forward"

// observeRejection tells the load observer of a request that its owner refused because it was full.
func (p *pendingRequest) observeRejection(slot *acquiredSlot, rejected forward.Rejected) {
	if p.router.LoadObserver == nil || !p.service.Keyed() || rejected.WrongUpstream || rejected.Draining {
		return
	}
	p.router.LoadObserver.Rejected(p.service.Name, slot.upstream.ID)
}
