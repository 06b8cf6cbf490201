package router

import (
	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/routing/balance"
	"rosemarywick.example/rosemarywick/internal/upstream/forward"
)

// observeResponse tells the load observer of a response.
func (p *pendingRequest) observeResponse(slot *acquiredSlot, responded forward.Responded) {
	switch {
	case p.router.LoadObserver == nil:
	case p.service.Keyed():
		p.router.LoadObserver.Served(p.service.Name, slot.upstream.ID, p.key, responded.TimeToFirstByte)
	default:
		p.router.LoadObserver.ServedUnkeyed(p.service.Name, slot.upstream.ID, responded.TimeToFirstByte)
	}
}

// recordLoad passes the load that the upstream of a slot stated to the balancer, and to the queue of a server.
func (p *pendingRequest) recordLoad(slot *acquiredSlot, stated []forward.Notice) {
	for _, notice := range stated {
		if load, ok := notice.(forward.Load); ok {
			now, stated := p.router.Clock.Now(), balance.Load{
				Running: load.Running, Waiting: load.Waiting, Slots: load.Slots, Pace: load.Pace,
			}
			p.service.pool.RecordLoad(now, slot.upstream.ID, stated)
			p.service.recordServerLoad(now, slot.upstream.ID, stated)
		}
	}
}

// SetFleetLoads adopts what all daemons measured at the upstreams of a service without keys.
func (r *Router) SetFleetLoads(name fleet.ServiceName, loads map[fleet.UpstreamID]balance.FleetLoad) {
	if service := r.currentService(name); service != nil && !service.Keyed() {
		service.pool.SetFleetLoads(r.Clock.Now(), loads)
	}
}

// observeRejection tells the load observer of a request that its owner refused because it was full.
func (p *pendingRequest) observeRejection(slot *acquiredSlot, rejected forward.Rejected) {
	if p.router.LoadObserver == nil || !p.service.Keyed() || rejected.WrongUpstream || rejected.Draining {
		return
	}
	p.router.LoadObserver.Rejected(p.service.Name, slot.upstream.ID)
}
