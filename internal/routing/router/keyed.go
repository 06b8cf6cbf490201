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
func (f *flight) acquireOwner() (*visit, *refusal) {
	for {
		assignment, refused := f.locate()
		if refused != nil {
			return nil, refused
		}
		one := f.service.upstreams[assignment.Owner]
		f.record.Partition, f.record.Fence = assignment.Partition, assignment.Fence
		ctx, cancel := f.router.flights.add(f, assignment, true)
		_, refused = f.enter(ctx, one.door)
		superseded := ctx.Err() != nil && f.ctx.Err() == nil
		f.router.flights.drop(f)
		cancel()
		if refused != nil && superseded {
			continue
		}
		if refused != nil {
			return nil, refused
		}
		// The key may have moved while the request waited for a slot.
		if now, ok := f.router.Owners.Locate(f.service.Name, f.key); ok && now.Fence == assignment.Fence {
			return &visit{upstream: one, station: one.door, assignment: assignment}, nil
		}
		one.door.leave(one.ID, abandoned)
	}
}

// locate waits until the map names an owner that is not known to be useless.
func (f *flight) locate() (fleet.Assignment, *refusal) {
	if f.router.Owners == nil {
		return fleet.Assignment{}, &refusal{outcome: cause.NotRun, cause: cause.NoOwner}
	}
	waiting, asked := false, f.router.Clock.Now()
	for {
		changed := f.router.Owners.Changed()
		assignment, pause, why := f.look()
		if why == cause.OK {
			if waiting {
				f.service.holds.leave()
			}
			return assignment, nil
		}
		if !waiting && !f.service.holds.enter(f.service.QueueLimit*max(1, len(f.service.upstreams))) {
			return assignment, &refusal{outcome: cause.NotRun, cause: cause.Moving, retryAfter: time.Second}
		}
		waiting = true
		if limit := f.service.OwnerWait; limit > 0 {
			pause = min(pause, limit-f.router.Clock.Now().Sub(asked))
		}
		if pause <= 0 || !f.await(changed, pause) {
			f.service.holds.leave()
			if f.caller.Err() != nil {
				why = cause.CallerGone
			}
			return assignment, &refusal{outcome: cause.NotRun, cause: why, retryAfter: time.Second}
		}
	}
}

// look returns the assignment of the key, and if it cannot be used now, why and for how long.
func (f *flight) look() (fleet.Assignment, time.Duration, cause.Cause) {
	// The confirmation is read before the map: a map that was confirmed later may be used until the earlier end, but not
	// the other way round.
	until, why := f.confirmed()
	assignment, ok := f.router.Owners.Locate(f.service.Name, f.key)
	if why != cause.OK {
		return assignment, trialAfter, why
	}
	if !ok || assignment.Owner == "" || assignment.Moving || f.service.upstreams[assignment.Owner] == nil {
		return assignment, f.service.Timeout, cause.NoOwner
	}
	now := f.router.Clock.Now()
	if leave := f.service.upstreams[assignment.Owner].LeaveBy; !leave.IsZero() && !now.Before(leave) {
		return assignment, f.service.Timeout, cause.UpstreamDraining
	}
	if f.service.Guard == fleet.GuardNone {
		f.confine(until)
	}
	if pause := f.service.holds.wait(now, assignment); pause > 0 {
		return assignment, pause, f.lastCause()
	}
	return assignment, 0, cause.OK
}

// confirmed returns the time until which the map may be used if the servers of the service check no orders.
func (f *flight) confirmed() (time.Time, cause.Cause) {
	if f.service.Guard != fleet.GuardNone {
		return time.Time{}, cause.OK
	}
	if f.router.Confirmations == nil {
		return time.Time{}, cause.MapUnconfirmed
	}
	until := f.router.Confirmations.Confirmed(f.service.Name)
	if !f.router.Clock.Now().Before(until) {
		return until, cause.MapUnconfirmed
	}
	return until, cause.OK
}

// confine ends the request no later than the map is confirmed for a server that checks nothing.
func (f *flight) confine(until time.Time) {
	if until.Before(f.deadline) {
		f.deadline = until
		before := f.cancel
		ctx, cancel := context.WithDeadline(f.ctx, until)
		f.ctx, f.cancel = ctx, func() { cancel(); before() }
	}
}

// lastCause returns why the last attempt failed.
func (f *flight) lastCause() cause.Cause {
	if len(f.record.Attempts) == 0 {
		return cause.NoOwner
	}
	return f.record.Attempts[len(f.record.Attempts)-1].Cause
}

// await waits for a change of the map, at most for the pause, and returns false when the request has ended.
func (f *flight) await(changed <-chan struct{}, pause time.Duration) bool {
	wake := f.router.Clock.After(pause)
	defer wake.Stop()
	select {
	case <-changed:
		return true
	case <-wake.C:
		return true
	case <-f.ctx.Done():
		return false
	}
}

// flights holds the keyed requests that wait for or are outstanding at a server. The zero value is empty.
type flights struct {
	mu sync.Mutex
	// outstanding is guarded by mu.
	outstanding map[*flight]outstanding
}

// outstanding is one attempt at a server.
type outstanding struct {
	assignment fleet.Assignment
	// waiting is set while the request waits for a slot and was not sent.
	waiting bool
	cancel  context.CancelFunc
}

// add registers an attempt; the returned context ends when the attempt is superseded.
func (o *flights) add(f *flight, assignment fleet.Assignment, waiting bool) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(f.ctx)
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.outstanding == nil {
		o.outstanding = make(map[*flight]outstanding)
	}
	o.outstanding[f] = outstanding{assignment: assignment, waiting: waiting, cancel: cancel}
	return ctx, cancel
}

func (o *flights) drop(f *flight) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.outstanding, f)
}

// superseded gives up what the present map contradicts: the waiting of requests whose key has moved, and the attempts of
// repeatable requests whose key has another owner by now. The server of such an attempt is lost or frozen, since a planned
// move waits for the requests in flight.
func (o *flights) superseded(owners Owners) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for f, attempt := range o.outstanding {
		now, ok := owners.Locate(f.service.Name, f.key)
		if attempt.waiting && (now.Moving || attempt.assignment.Fence.Less(now.Fence)) {
			attempt.cancel()
		}
		// A server that takes bounded holds finishes its requests before a planned move goes on, and the map names the next
		// owner before that.
		if f.request.Delivery != document.Idempotent || f.service.Guard == fleet.GuardHold {
			continue
		}
		if ok && now.Owner != "" && now.Owner != attempt.assignment.Owner && attempt.assignment.Fence.Less(now.Fence) {
			attempt.cancel()
		}
	}
}
