package router

import (
	"time"

	"rosemarywick.example/rosemarywick/internal/core/cause"
	"rosemarywick.example/rosemarywick/internal/core/document"
	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/routing/admission"
	"rosemarywick.example/rosemarywick/internal/upstream/forward"
)

// pauseLeft returns for how long an upstream wants nothing from this daemon. It is not positive for one that has no pause.
func (s *serviceState) pauseLeft(now time.Time, id fleet.UpstreamID) time.Duration {
	upstream := s.upstreams[id]
	if s.notices == nil || upstream == nil {
		return 0
	}
	return s.notices.PausedUntil(upstream.noticeSource()).Sub(now)
}

// shortestPauseLeft returns for how long no upstream of a service without keys may be used. It is not positive if one may.
func (s *serviceState) shortestPauseLeft(now time.Time) time.Duration {
	shortest := time.Duration(0)
	for id := range s.upstreams {
		left := s.pauseLeft(now, id)
		if left <= 0 {
			return 0
		}
		if shortest == 0 || left < shortest {
			shortest = left
		}
	}
	return shortest
}

// awaitPauses waits until an upstream of a service without keys may be used. A request that would wait for too long is
// rejected at once.
func (p *pendingRequest) awaitPauses() *rejection {
	for {
		now := p.router.Clock.Now()
		left := p.service.shortestPauseLeft(now)
		switch {
		case left <= 0:
			return nil
		case left > p.limitWait(now):
			return &rejection{outcome: cause.NotRun, cause: cause.UpstreamPaused, retryAfter: left}
		}
		if !p.waitForMapChange(nil, left) {
			return &rejection{outcome: cause.NotRun, cause: p.endedBy()}
		}
	}
}

// endedBy returns why the context of the request has ended.
func (p *pendingRequest) endedBy() cause.Cause {
	if p.callerCtx.Err() != nil {
		return cause.CallerGone
	}
	return cause.DeadlinePassed
}

// applyPause makes the requests that wait for an upstream decide anew, because it has asked for a pause.
func (p *pendingRequest) applyPause(slot *acquiredSlot) {
	if p.service.Keyed() {
		p.router.attempts.cancelWaitingAt(slot.upstream.ID)
		return
	}
	if left := p.service.shortestPauseLeft(p.router.Clock.Now()); left > 0 {
		p.service.queue.refuseWaiting(admission.Refused{Cause: cause.UpstreamPaused, RetryAfter: left})
	}
}

// retryDelay returns after what time a request that the upstream of a slot refused may be accepted, or zero if that is not known.
func (p *pendingRequest) retryDelay(slot *acquiredSlot) time.Duration {
	now := p.router.Clock.Now()
	if p.service.Keyed() {
		held := slot.upstream.client.HeldFor(p.request.Delivery != document.Idempotent)
		return max(0, held, p.service.pauseLeft(now, slot.upstream.ID))
	}
	return p.service.shortestPauseLeft(now)
}

// asksForPause reports whether a pause is among the notices of a response.
func asksForPause(stated []forward.Notice) bool {
	for _, notice := range stated {
		if _, ok := notice.(forward.Pause); ok {
			return true
		}
	}
	return false
}
