package router

import (
	"context"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/cause"
	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/routing/admission"
	"rosemarywick.example/rosemarywick/internal/routing/ratelimit"
	"rosemarywick.example/rosemarywick/internal/upstream/forward"
	"rosemarywick.example/rosemarywick/internal/upstream/notices"
)

// RateLimits admits requests to upstreams that limit the requests that they take from all daemons together.
type RateLimits interface {
	// Reserve admits a request to an upstream that takes a limited number of requests, if it can be sent within maxWait. It may ask
	// another daemon.
	Reserve(ctx context.Context, upstream fleet.UpstreamID, limit ratelimit.Limit, maxWait time.Duration) ratelimit.Decision
}

// maxLimitWait is the longest time that a request waits because of an upstream's limit, as a fraction of the time that is left
// until its latency target. The rest is for the upstream.
const maxLimitWait = 0.5

// noticeSource returns the process of an upstream as the source of notices.
func (u *upstreamState) noticeSource() notices.Source {
	return notices.Source{ID: u.ID, Incarnation: u.Incarnation}
}

// recordNotices records what the upstream of a slot stated about itself in its response.
func (p *pendingRequest) recordNotices(slot *acquiredSlot, outgoing *forward.Request, result forward.Result) {
	p.recordLoad(slot, outgoing.Notices)
	if p.router.Notices == nil {
		return
	}
	complete := false
	switch result := result.(type) {
	case forward.Responded, forward.NotOwner:
		complete = true
	case forward.Rejected:
		complete = !result.WrongUpstream
	}
	if complete || len(outgoing.Notices) > 0 {
		p.router.Notices.Record(notices.Exchange{
			Source: slot.upstream.noticeSource(), SentAt: slot.startedAt, ConnectedAt: outgoing.ConnectedAt, Complete: complete,
			Notices: outgoing.Notices,
		})
	}
	if asksForPause(outgoing.Notices) {
		p.applyPause(slot)
	}
}

// awaitLimit waits until the upstream of a slot takes the request, if the requests that it takes are limited. It returns false,
// with the time after which it may take one, if the request has to go elsewhere.
func (p *pendingRequest) awaitLimit(slot *acquiredSlot) (time.Duration, bool) {
	if p.router.Notices == nil || p.router.RateLimits == nil {
		return 0, true
	}
	started := p.router.Clock.Now()
	limit, limited := p.limitOf(slot, started)
	if !limited {
		return 0, true
	}
	slot.limitCause = causeOfLimit(limit)
	defer func() { p.record.QueueTime += p.router.Clock.Now().Sub(started) }()
	slot.waited = true
	switch decision := p.router.RateLimits.Reserve(p.ctx, slot.upstream.ID, limit, p.limitWait(started)).(type) {
	case ratelimit.Denied:
		return decision.RetryAfter, false
	case ratelimit.Granted:
		if decision.Wait > 0 {
			timeout := p.router.Clock.After(decision.Wait)
			defer timeout.Stop()
			select {
			case <-timeout.C:
			case <-p.ctx.Done():
			}
		}
	}
	return 0, p.ctx.Err() == nil
}

// limitWait returns how long the request may wait because of an upstream's limit or pause. One that another upstream can
// run does not wait.
func (p *pendingRequest) limitWait(now time.Time) time.Duration {
	if !p.service.Keyed() && len(p.service.upstreams) > 1 {
		return 0
	}
	return p.timeToTarget(now)
}

// refuseForLimit gives up a slot that the upstream's limit keeps from being used. A request that another upstream can run is to
// be sent there; for any other one, refuseForLimit returns the rejection.
func (p *pendingRequest) refuseForLimit(slot *acquiredSlot, retryAfter time.Duration) *rejection {
	now := p.router.Clock.Now()
	if !p.service.Keyed() {
		slot.queue.hold(slot.upstream.ID, now.Add(retryAfter))
	}
	slot.queue.release(slot.upstream.ID, admission.Abandoned{})
	if p.ctx.Err() != nil {
		return &rejection{outcome: cause.NotRun, cause: p.endedBy()}
	}
	if p.service.Keyed() {
		if p.router.LoadObserver != nil {
			p.router.LoadObserver.Limited(p.service.Name, slot.upstream.ID, p.key)
		}
		return &rejection{outcome: cause.NotRun, cause: slot.limitCause, retryAfter: retryAfter}
	}
	if p.service.allLimited(now) {
		return &rejection{outcome: cause.NotRun, cause: slot.limitCause, retryAfter: retryAfter}
	}
	return nil
}

// allLimited reports whether every upstream of a service without keys holds back requests because of its limit or a pause.
func (s *serviceState) allLimited(now time.Time) bool {
	for id := range s.upstreams {
		if !s.queue.held(id, now) && s.pauseLeft(now, id) <= 0 {
			return false
		}
	}
	return true
}
