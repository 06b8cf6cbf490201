package router

import (
	"context"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/cause"
	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/routing/admission"
)

const (
	// evacuationRetryAfter is the time after which a caller may repeat a request that was refused because of an evacuation. The
	// assigner plans at least this often, so that the key may have another owner by then.
	evacuationRetryAfter = 500 * time.Millisecond
	// maxDrainSleep is how long FollowDrains sleeps if nothing changes and no drain deadline is near.
	maxDrainSleep = time.Minute
)

// withheld reports whether an upstream gets no new request because its failure domain is evacuated. Owners of keys are used until
// their drain deadline.
func (s *serviceState) withheld(now time.Time, id fleet.UpstreamID) bool {
	upstream := s.upstreams[id]
	return upstream != nil && upstream.Evacuated && (!s.Keyed() || !now.Before(upstream.DrainDeadline))
}

// emptied reports whether an evacuation leaves no upstream that could serve a request: all are withheld or leave, and at least
// one is withheld.
func (s *serviceState) emptied(now time.Time) bool {
	found := false
	for id, upstream := range s.upstreams {
		switch {
		case s.withheld(now, id):
			found = true
		case s.Keyed() || !upstream.Drained && upstream.DrainDeadline.IsZero():
			return false
		}
	}
	return found
}

// present returns the state of the service under the configuration in force. The state with which a request began may be older
// than an evacuation.
func (p *pendingRequest) present() *serviceState {
	if current := p.router.currentService(p.service.Name); current != nil {
		return current
	}
	return p.service
}

// ownerEvacuated reports whether a key is not served because of an evacuation: that of its owner's domain, or of all upstreams of
// the service if the owner is lost.
func (p *pendingRequest) ownerEvacuated(now time.Time, owner fleet.UpstreamID) bool {
	service := p.present()
	if service.upstreams[owner] == nil {
		return service.emptied(now)
	}
	return service.withheld(now, owner)
}

// refuseEvacuated rejects a request to a service without keys whose upstreams are all evacuated, and returns nil otherwise.
func (p *pendingRequest) refuseEvacuated() *rejection {
	if !p.present().emptied(p.router.Clock.Now()) {
		return nil
	}
	return &rejection{outcome: cause.NotRun, cause: cause.DomainEvacuated, retryAfter: evacuationRetryAfter}
}

// FollowDrains makes requests that wait for an upstream decide anew when it must not be used any more, as it leaves or its
// failure domain is evacuated, until ctx ends. changed returns a channel that is closed at the next change of the configuration.
func (r *Router) FollowDrains(ctx context.Context, changed func() <-chan struct{}) error {
	for {
		next := changed()
		wake := r.Clock.After(r.endDrainedWaits())
		select {
		case <-next:
		case <-wake.C:
		case <-ctx.Done():
			wake.Stop()
			return nil
		}
		wake.Stop()
	}
}

// endDrainedWaits ends the waits for upstreams that must not be used any more. It returns the time until the next drain deadline,
// but at most maxDrainSleep.
func (r *Router) endDrainedWaits() time.Duration {
	r.currentService("") // puts the configuration in force into effect for the requests that wait already
	r.mu.Lock()
	services := r.services
	r.mu.Unlock()
	now, next := r.Clock.Now(), maxDrainSleep
	for _, service := range services {
		if !service.Keyed() {
			if service.emptied(now) {
				service.queue.refuseWaiting(admission.Refused{Cause: cause.DomainEvacuated, RetryAfter: evacuationRetryAfter})
			}
			continue
		}
		for id, upstream := range service.upstreams {
			switch {
			case service.drained(now, id):
				r.attempts.cancelWaitingAt(id)
			case !upstream.DrainDeadline.IsZero():
				next = min(next, upstream.DrainDeadline.Sub(now))
			}
		}
	}
	return next
}
