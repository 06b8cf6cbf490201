package router

import (
	"context"
	"sync"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/cause"
	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/routing/admission"
)

type chooser = func(time.Time, *admission.Request, func(fleet.UpstreamID) bool) (fleet.UpstreamID, bool)

// waitQueue is a gate whose waiting requests block in their own goroutines.
type waitQueue struct {
	clock timer.Clock

	mu sync.Mutex
	// gate is guarded by mu.
	gate admission.Controller
	// waiting is guarded by mu and holds the requests that wait in the gate's queue.
	waiting map[*admission.Request]chan admission.Decision
}

func newWaitQueue(clock timer.Clock) *waitQueue {
	return &waitQueue{clock: clock, waiting: make(map[*admission.Request]chan admission.Decision)}
}

func (q *waitQueue) configure(change func(*admission.Controller)) {
	q.mu.Lock()
	defer q.mu.Unlock()
	change(&q.gate)
}

// crowded reports whether requests wait.
func (q *waitQueue) crowded() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting) > 0
}

// enter blocks until the ticket is admitted or refused.
func (q *waitQueue) enter(ctx context.Context, ticket *admission.Request) admission.Decision {
	q.mu.Lock()
	verdict, decided := q.gate.Submit(ticket.Arrived, ticket)
	q.tell(decided)
	if _, queued := verdict.(admission.Queued); !queued {
		q.mu.Unlock()
		return verdict
	}
	ready := make(chan admission.Decision, 1)
	q.waiting[ticket] = ready
	latest := q.gate.LatestStart(ticket.Deadline)
	again := redispatch * time.Duration(len(q.waiting))
	q.mu.Unlock()
	return q.wait(ctx, ticket, ready, latest, again)
}

func (q *waitQueue) wait(
	ctx context.Context, ticket *admission.Request, ready <-chan admission.Decision, latest time.Time, interval time.Duration,
) admission.Decision {
	wake := q.clock.After(latest.Sub(q.clock.Now()))
	defer wake.Stop()
	// A limit that pauses has no request in flight whose end would admit the next one.
	again := q.clock.Every(interval)
	defer again.Stop()
	for {
		select {
		case verdict := <-ready:
			return verdict
		case <-again.C:
			q.dispatch()
		case <-wake.C:
			return q.withdraw(ticket, ready)
		case <-ctx.Done():
			return q.withdraw(ticket, ready)
		}
	}
}

// redispatch is how often one of the waiting requests looks whether a paused limit has opened again.
const redispatch = 20 * time.Millisecond

func (q *waitQueue) dispatch() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.tell(q.gate.Dispatch(q.clock.Now()))
}

// withdraw takes a ticket out of the queue, unless it was decided at the same time.
func (q *waitQueue) withdraw(ticket *admission.Request, ready <-chan admission.Decision) admission.Decision {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.gate.Cancel(q.clock.Now(), ticket) {
		return <-ready
	}
	delete(q.waiting, ticket)
	return q.gate.DeadlineRefusal(q.clock.Now())
}

// leave ends the use of a slot.
func (q *waitQueue) leave(id fleet.UpstreamID, feedback admission.Feedback) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.tell(q.gate.Release(q.clock.Now(), id, feedback))
}

// tell wakes decided requests. The caller holds mu.
func (q *waitQueue) tell(decided []admission.Dequeued) {
	for _, one := range decided {
		q.waiting[one.Request] <- one.Decision
		delete(q.waiting, one.Request)
	}
}

// refusalOf turns a refusal of admission into what the caller is told.
func refusalOf(refused admission.Refused) refusal {
	return refusal{outcome: cause.NotRun, cause: refused.Cause, retryAfter: refused.RetryAfter}
}
