package router

import (
	"context"
	"maps"
	"sync"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/cause"
	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/routing/admission"
)

// upstreamChooser has the type of admission.Controller.ChooseUpstream.
type upstreamChooser = func(time.Time, *admission.Request, func(fleet.UpstreamID) bool) (fleet.UpstreamID, bool)

// admissionQueue blocks the goroutine of each request until the admission controller has decided it.
type admissionQueue struct {
	clock timer.Clock

	mu sync.Mutex
	// controller is guarded by mu.
	controller admission.Controller
	// waiting is guarded by mu and holds a channel for each request in the controller's queue.
	waiting map[*admission.Request]chan admission.Decision
	// heldUntil is guarded by mu: until when an upstream gets no requests because its own limit is used up.
	heldUntil map[fleet.UpstreamID]time.Time
}

// hold keeps an upstream from getting requests until a time.
func (q *admissionQueue) hold(id fleet.UpstreamID, until time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.heldUntil == nil {
		q.heldUntil = make(map[fleet.UpstreamID]time.Time)
	}
	q.heldUntil[id] = until
}

// retain forgets the holds of all upstreams but those given.
func (q *admissionQueue) retain(present map[fleet.UpstreamID]*upstreamState) {
	q.mu.Lock()
	defer q.mu.Unlock()
	maps.DeleteFunc(q.heldUntil, func(id fleet.UpstreamID, _ time.Time) bool { return present[id] == nil })
}

// held reports whether an upstream gets no requests at a time.
func (q *admissionQueue) held(id fleet.UpstreamID, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return now.Before(q.heldUntil[id])
}

// choose selects an upstream that is not held. The returned function is called with mu held.
func (q *admissionQueue) choose(choose upstreamChooser) upstreamChooser {
	return func(now time.Time, request *admission.Request, hasCapacity func(fleet.UpstreamID) bool) (fleet.UpstreamID, bool) {
		return choose(now, request, func(id fleet.UpstreamID) bool { return !now.Before(q.heldUntil[id]) && hasCapacity(id) })
	}
}

func newAdmissionQueue(clock timer.Clock) *admissionQueue {
	return &admissionQueue{clock: clock, waiting: make(map[*admission.Request]chan admission.Decision)}
}

// configure changes the settings of the controller under the lock.
func (q *admissionQueue) configure(apply func(*admission.Controller)) {
	q.mu.Lock()
	defer q.mu.Unlock()
	apply(&q.controller)
}

// hasWaiting reports whether any requests wait.
func (q *admissionQueue) hasWaiting() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting) > 0
}

// admit blocks until the request is admitted or refused, or ctx ends.
func (q *admissionQueue) admit(ctx context.Context, request *admission.Request) admission.Decision {
	q.mu.Lock()
	decision, dequeued := q.controller.Submit(request.Arrived, request)
	q.deliver(dequeued)
	if _, queued := decision.(admission.Queued); !queued {
		q.mu.Unlock()
		return decision
	}
	decisions := make(chan admission.Decision, 1)
	q.waiting[request] = decisions
	latestStart := q.controller.LatestStart(request.Deadline)
	interval := redispatchInterval * time.Duration(len(q.waiting))
	q.mu.Unlock()
	return q.waitForDecision(ctx, request, decisions, latestStart, interval)
}

func (q *admissionQueue) waitForDecision(
	ctx context.Context, request *admission.Request, decisions <-chan admission.Decision, latestStart time.Time,
	interval time.Duration,
) admission.Decision {
	expired := q.clock.After(latestStart.Sub(q.clock.Now()))
	defer expired.Stop()
	// A paused limit may have no request in flight whose end would admit the next one.
	redispatch := q.clock.Every(interval)
	defer redispatch.Stop()
	for {
		select {
		case decision := <-decisions:
			return decision
		case <-redispatch.C:
			q.dispatch()
		case <-expired.C:
			return q.cancel(request, decisions)
		case <-ctx.Done():
			return q.cancel(request, decisions)
		}
	}
}

// redispatchInterval is how often one of the waiting requests checks whether a paused limit has opened again.
const redispatchInterval = 20 * time.Millisecond

// dispatch admits waiting requests for which there is capacity now.
func (q *admissionQueue) dispatch() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.deliver(q.controller.Dispatch(q.clock.Now()))
}

// cancel removes a request from the queue and returns its refusal. If the request was decided at the same time, cancel
// returns that decision.
func (q *admissionQueue) cancel(request *admission.Request, decisions <-chan admission.Decision) admission.Decision {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.controller.Cancel(q.clock.Now(), request) {
		return <-decisions
	}
	delete(q.waiting, request)
	return q.controller.DeadlineRefusal(q.clock.Now(), request)
}

// refuseWaiting refuses all waiting requests.
func (q *admissionQueue) refuseWaiting(refusal admission.Refused) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	for request, decisions := range q.waiting {
		if q.controller.Cancel(now, request) {
			decisions <- refusal
			delete(q.waiting, request)
		}
	}
}

// release frees a slot and passes on what the request showed about the upstream.
func (q *admissionQueue) release(id fleet.UpstreamID, feedback admission.Feedback) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.deliver(q.controller.Release(q.clock.Now(), id, feedback))
}

// deliver wakes the requests that were decided. The caller must hold mu.
func (q *admissionQueue) deliver(dequeued []admission.Dequeued) {
	for _, entry := range dequeued {
		q.waiting[entry.Request] <- entry.Decision
		delete(q.waiting, entry.Request)
	}
}

// rejectionFor converts a refusal of the admission controller.
func rejectionFor(refused admission.Refused) rejection {
	return rejection{outcome: cause.NotRun, cause: refused.Cause, retryAfter: refused.RetryAfter}
}
