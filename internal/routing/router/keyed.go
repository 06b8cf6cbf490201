package router

import (
	"context"
	"sync"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/cause"
	"rosemarywick.example/rosemarywick/internal/core/document"
	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// acquireOwner waits until the ownership map names a usable owner of the key, and then for a slot there.
func (p *pendingRequest) acquireOwner() (*acquiredSlot, *rejection) {
	for {
		assignment, rejected := p.awaitOwner()
		if rejected != nil {
			return nil, rejected
		}
		owner := p.service.upstreams[assignment.Owner]
		p.record.Partition, p.record.Fence = assignment.Partition, assignment.Fence
		if owner.queue.hasWaiting() {
			p.reportStaleMap() // the assigner may have moved the key because the server is overloaded
		}
		if rejected := p.rejectIfFull(map[fleet.UpstreamID]*upstreamState{owner.ID: owner}); rejected != nil {
			return nil, rejected
		}
		ctx, cancel := p.router.attempts.track(p, assignment, true)
		_, rejected = p.admit(ctx, owner.queue)
		superseded := ctx.Err() != nil && p.ctx.Err() == nil
		p.router.attempts.untrack(p)
		cancel()
		if rejected != nil && superseded {
			continue
		}
		if rejected != nil {
			return nil, rejected
		}
		// The key may have been moved, or the owner may have to get no more requests, while this one waited for a slot.
		current, ok := p.router.OwnershipMap.Locate(p.service.Name, p.key)
		if ok && current.Fence == assignment.Fence && p.mayReceive(owner.ID) {
			return &acquiredSlot{upstream: owner, queue: owner.queue, assignment: assignment}, nil
		}
		owner.queue.release(owner.ID, abandoned)
	}
}

// isSuperseded reports whether the upstream of a slot may no longer be used, or the key of the request has been moved while the
// request waited because of the upstream's limit.
func (p *pendingRequest) isSuperseded(slot *acquiredSlot) bool {
	if !p.mayReceive(slot.upstream.ID) {
		return true
	}
	if !slot.waited || !p.service.Keyed() {
		return false
	}
	current, _, reason := p.lookUpOwner()
	return reason != cause.OK || current.Fence != slot.assignment.Fence
}

// awaitOwner waits until the ownership map names an owner that the breaker does not hold back.
func (p *pendingRequest) awaitOwner() (fleet.Assignment, *rejection) {
	if p.router.OwnershipMap == nil {
		return fleet.Assignment{}, &rejection{outcome: cause.NotRun, cause: cause.NoOwner}
	}
	waiting, started := false, p.router.Clock.Now()
	for {
		changed := p.router.OwnershipMap.Changed()
		assignment, pause, reason := p.lookUpOwner()
		if reason == cause.OK {
			if waiting {
				p.service.breaker.removeWaiter()
			}
			return assignment, nil
		}
		if retryAfter := p.hopelessWait(assignment, pause, reason); retryAfter > 0 {
			if waiting {
				p.service.breaker.removeWaiter()
			}
			return assignment, &rejection{outcome: cause.NotRun, cause: reason, retryAfter: retryAfter}
		}
		if !waiting && !p.service.breaker.addWaiter(p.service.QueueLimit*max(1, len(p.service.upstreams))) {
			return assignment, &rejection{outcome: cause.NotRun, cause: cause.Moving, retryAfter: time.Second}
		}
		waiting = true
		p.reportStaleMap()
		if limit := p.service.MaxOwnerWait; limit > 0 {
			pause = min(pause, limit-p.router.Clock.Now().Sub(started))
		}
		if pause <= 0 || !p.waitForMapChange(changed, pause) {
			p.service.breaker.removeWaiter()
			if p.callerCtx.Err() != nil {
				reason = cause.CallerGone
			}
			return assignment, &rejection{outcome: cause.NotRun, cause: reason, retryAfter: time.Second}
		}
	}
}

// hopelessWait returns after which time the caller may try again, if it is known that the request cannot be served in time: its
// owner has asked for a longer pause or is evacuated, or the grants of an owner that cannot be reached end too late. Otherwise it
// returns zero.
func (p *pendingRequest) hopelessWait(assignment fleet.Assignment, pause time.Duration, reason cause.Cause) time.Duration {
	now := p.router.Clock.Now()
	switch {
	case reason == cause.UpstreamPaused && pause > p.limitWait(now):
		return pause
	case reason == cause.DomainEvacuated:
		return evacuationRetryAfter
	case reason == cause.NoOwner && assignment.FreeIn >= p.deadline.Sub(now):
		return assignment.FreeIn
	}
	return 0
}

// reportStaleMap signals that the ownership map seems to be out of date.
func (p *pendingRequest) reportStaleMap() {
	if p.router.OnStaleMap != nil {
		p.router.OnStaleMap()
	}
}

// lookUpOwner returns the assignment of the key. If the assignment can't be used now, it also returns why, and how long to
// wait before the next look-up.
func (p *pendingRequest) lookUpOwner() (fleet.Assignment, time.Duration, cause.Cause) {
	// The confirmation must be read before the map. A map that is newer than its confirmation may be used until the
	// confirmation ends, but an older map must not be used under a newer confirmation.
	until, reason := p.confirmedUntil()
	assignment, ok := p.router.OwnershipMap.Locate(p.service.Name, p.key)
	if reason != cause.OK {
		return assignment, trialInterval, reason
	}
	now := p.router.Clock.Now()
	if p.ownerEvacuated(now, assignment.Owner) {
		return assignment, p.service.Timeout, cause.DomainEvacuated
	}
	if !ok || assignment.Owner == "" || assignment.Moving || p.service.upstreams[assignment.Owner] == nil {
		return assignment, p.service.Timeout, cause.NoOwner
	}
	if p.present().drained(now, assignment.Owner) {
		return assignment, p.service.Timeout, cause.UpstreamDraining
	}
	if pause := p.service.pauseLeft(now, assignment.Owner); pause > 0 {
		return assignment, pause, cause.UpstreamPaused
	}
	if p.service.Guard == fleet.GuardNone {
		p.capDeadline(until)
	}
	if pause := p.service.breaker.delay(now, assignment); pause > 0 {
		return assignment, pause, p.lastAttemptCause()
	}
	return assignment, 0, cause.OK
}

// confirmedUntil returns the time until which the map may be used if the servers of the service don't check fencing tokens.
func (p *pendingRequest) confirmedUntil() (time.Time, cause.Cause) {
	if p.service.Guard != fleet.GuardNone {
		return time.Time{}, cause.OK
	}
	if p.router.MapConfirmations == nil {
		return time.Time{}, cause.MapUnconfirmed
	}
	until := p.router.MapConfirmations.ConfirmedUntil(p.service.Name)
	if !p.router.Clock.Now().Before(until) {
		return until, cause.MapUnconfirmed
	}
	return until, cause.OK
}

// capDeadline moves the deadline of the request up to the end of the map's confirmation, since the server does not check
// fencing tokens itself.
func (p *pendingRequest) capDeadline(until time.Time) {
	if until.Before(p.deadline) {
		p.deadline = until
		cancelParent := p.cancel
		ctx, cancel := context.WithDeadline(p.ctx, until)
		p.ctx, p.cancel = ctx, func() { cancel(); cancelParent() }
	}
}

// lastAttemptCause returns why the last attempt failed.
func (p *pendingRequest) lastAttemptCause() cause.Cause {
	if len(p.record.Attempts) == 0 {
		return cause.NoOwner
	}
	return p.record.Attempts[len(p.record.Attempts)-1].Cause
}

// waitForMapChange waits until the map changes or the pause is over. It returns false if the request has ended before.
func (p *pendingRequest) waitForMapChange(changed <-chan struct{}, pause time.Duration) bool {
	timeout := p.router.Clock.After(pause)
	defer timeout.Stop()
	select {
	case <-changed:
		return true
	case <-timeout.C:
		return true
	case <-p.ctx.Done():
		return false
	}
}

// attemptTracker holds the keyed requests that wait for a slot at a server or are in flight there, so that they can be
// canceled when the ownership map changes. The zero value is empty.
type attemptTracker struct {
	mu sync.Mutex
	// attempts is guarded by mu.
	attempts map[*pendingRequest]trackedAttempt
}

// trackedAttempt is one attempt to send a request to a server.
type trackedAttempt struct {
	assignment fleet.Assignment
	// waiting is set while the request waits for a slot and has not been sent.
	waiting bool
	cancel  context.CancelFunc
}

// track registers an attempt. The returned context ends when a newer map supersedes the assignment.
func (t *attemptTracker) track(p *pendingRequest, assigned fleet.Assignment, waiting bool) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(p.ctx)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.attempts == nil {
		t.attempts = make(map[*pendingRequest]trackedAttempt)
	}
	t.attempts[p] = trackedAttempt{assignment: assigned, waiting: waiting, cancel: cancel}
	return ctx, cancel
}

// cancelWaitingAt cancels the requests that wait for a slot at a server.
func (t *attemptTracker) cancelWaitingAt(server fleet.UpstreamID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, attempt := range t.attempts {
		if attempt.waiting && attempt.assignment.Owner == server {
			attempt.cancel()
		}
	}
}

func (t *attemptTracker) untrack(p *pendingRequest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.attempts, p)
}

// cancelSuperseded cancels what the current map contradicts: requests that wait at a server from which their key has moved,
// and attempts of idempotent requests whose key has another owner. The server of such an attempt is lost or frozen, since a
// planned move waits for the requests in flight.
func (t *attemptTracker) cancelSuperseded(owners OwnershipMap) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for p, attempt := range t.attempts {
		current, ok := owners.Locate(p.service.Name, p.key)
		if attempt.waiting && (current.Moving || attempt.assignment.Fence.Less(current.Fence)) {
			attempt.cancel()
		}
		// A server with time-limited grants finishes its requests before a planned move continues, but the map names the next
		// owner earlier than that.
		if p.request.Delivery != document.Idempotent || p.service.Guard == fleet.GuardHold {
			continue
		}
		if ok && current.Owner != "" && current.Owner != attempt.assignment.Owner && attempt.assignment.Fence.Less(current.Fence) {
			attempt.cancel()
		}
	}
}
