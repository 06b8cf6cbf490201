package router

import (
	"context"
	"sync"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/cause"
	"rosemarywick.example/rosemarywick/internal/core/document"
	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// acquireOwner waits until the map names a usable owner of the key, and for a slot there.
func (p *pending) acquireOwner() (*usedSlot, *refusal) {
	for {
		assignment, refused := p.locate()
		if refused != nil {
			return nil, refused
		}
		one := p.service.upstreams[assignment.Owner]
		p.record.Partition, p.record.Fence = assignment.Partition, assignment.Fence
		if one.queue.crowded() {
			p.stale() // the key may have been moved to relieve the server
		}
		ctx, cancel := p.router.inProgress.add(p, assignment, true)
		_, refused = p.enter(ctx, one.queue)
		superseded := ctx.Err() != nil && p.ctx.Err() == nil
		p.router.inProgress.drop(p)
		cancel()
		if refused != nil && superseded {
			continue
		}
		if refused != nil {
			return nil, refused
		}
		// The key may have moved while the request waited for a slot.
		if now, ok := p.router.OwnershipMap.Locate(p.service.Name, p.key); ok && now.Fence == assignment.Fence {
			return &usedSlot{upstream: one, queue: one.queue, assignment: assignment}, nil
		}
		one.queue.leave(one.ID, abandoned)
	}
}

// locate waits until the map names an owner that is not known to be useless.
func (p *pending) locate() (fleet.Assignment, *refusal) {
	if p.router.OwnershipMap == nil {
		return fleet.Assignment{}, &refusal{outcome: cause.NotRun, cause: cause.NoOwner}
	}
	waiting, asked := false, p.router.Clock.Now()
	for {
		changed := p.router.OwnershipMap.Changed()
		assignment, pause, why := p.look()
		if why == cause.OK {
			if waiting {
				p.service.suspects.leave()
			}
			return assignment, nil
		}
		if !waiting && !p.service.suspects.enter(p.service.QueueLimit*max(1, len(p.service.upstreams))) {
			return assignment, &refusal{outcome: cause.NotRun, cause: cause.Moving, retryAfter: time.Second}
		}
		waiting = true
		p.stale()
		if limit := p.service.OwnerWait; limit > 0 {
			pause = min(pause, limit-p.router.Clock.Now().Sub(asked))
		}
		if pause <= 0 || !p.await(changed, pause) {
			p.service.suspects.leave()
			if p.caller.Err() != nil {
				why = cause.CallerGone
			}
			return assignment, &refusal{outcome: cause.NotRun, cause: why, retryAfter: time.Second}
		}
	}
}

// stale tells that the map seems to be out of date.
func (p *pending) stale() {
	if p.router.OnStaleMap != nil {
		p.router.OnStaleMap()
	}
}

// look returns the assignment of the key, and if it cannot be used now, why and for how long.
func (p *pending) look() (fleet.Assignment, time.Duration, cause.Cause) {
	// The confirmation is read before the map: a map that was confirmed later may be used until the earlier end, but not
	// the other way round.
	until, why := p.confirmed()
	assignment, ok := p.router.OwnershipMap.Locate(p.service.Name, p.key)
	if why != cause.OK {
		return assignment, trialAfter, why
	}
	if !ok || assignment.Owner == "" || assignment.Moving || p.service.upstreams[assignment.Owner] == nil {
		return assignment, p.service.Timeout, cause.NoOwner
	}
	now := p.router.Clock.Now()
	if leave := p.service.upstreams[assignment.Owner].DrainDeadline; !leave.IsZero() && !now.Before(leave) {
		return assignment, p.service.Timeout, cause.UpstreamDraining
	}
	if p.service.Guard == fleet.GuardNone {
		p.confine(until)
	}
	if pause := p.service.suspects.wait(now, assignment); pause > 0 {
		return assignment, pause, p.lastCause()
	}
	return assignment, 0, cause.OK
}

// confirmed returns the time until which the map may be used if the servers of the service check no orders.
func (p *pending) confirmed() (time.Time, cause.Cause) {
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

// confine ends the request no later than the map is confirmed for a server that checks nothing.
func (p *pending) confine(until time.Time) {
	if until.Before(p.deadline) {
		p.deadline = until
		before := p.cancel
		ctx, cancel := context.WithDeadline(p.ctx, until)
		p.ctx, p.cancel = ctx, func() { cancel(); before() }
	}
}

// lastCause returns why the last attempt failed.
func (p *pending) lastCause() cause.Cause {
	if len(p.record.Attempts) == 0 {
		return cause.NoOwner
	}
	return p.record.Attempts[len(p.record.Attempts)-1].Cause
}

// await waits for a change of the map, at most for the pause, and returns false when the request has ended.
func (p *pending) await(changed <-chan struct{}, pause time.Duration) bool {
	wake := p.router.Clock.After(pause)
	defer wake.Stop()
	select {
	case <-changed:
		return true
	case <-wake.C:
		return true
	case <-p.ctx.Done():
		return false
	}
}

// inProgress holds the keyed requests that wait for or are outstanding at a server. The zero value is empty.
type inProgress struct {
	mu sync.Mutex
	// outstanding is guarded by mu.
	outstanding map[*pending]outstanding
}

// outstanding is one attempt at a server.
type outstanding struct {
	assignment fleet.Assignment
	// waiting is set while the request waits for a slot and was not sent.
	waiting bool
	cancel  context.CancelFunc
}

// add registers an attempt; the returned context ends when the attempt is superseded.
func (o *inProgress) add(p *pending, assignment fleet.Assignment, waiting bool) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(p.ctx)
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.outstanding == nil {
		o.outstanding = make(map[*pending]outstanding)
	}
	o.outstanding[p] = outstanding{assignment: assignment, waiting: waiting, cancel: cancel}
	return ctx, cancel
}

func (o *inProgress) drop(p *pending) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.outstanding, p)
}

// superseded gives up what the present map contradicts: the waiting of requests whose key has moved, and the attempts of
// repeatable requests whose key has another owner by now. The server of such an attempt is lost or frozen, since a planned
// move waits for the requests in flight.
func (o *inProgress) superseded(owners OwnershipMap) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for p, attempt := range o.outstanding {
		now, ok := owners.Locate(p.service.Name, p.key)
		if attempt.waiting && (now.Moving || attempt.assignment.Fence.Less(now.Fence)) {
			attempt.cancel()
		}
		// A server that takes bounded holds finishes its requests before a planned move goes on, and the map names the next
		// owner before that.
		if p.request.Delivery != document.Idempotent || p.service.Guard == fleet.GuardHold {
			continue
		}
		if ok && now.Owner != "" && now.Owner != attempt.assignment.Owner && attempt.assignment.Fence.Less(now.Fence) {
			attempt.cancel()
		}
	}
}
