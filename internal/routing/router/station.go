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

type chooser = func(time.Time, *admission.Ticket, func(fleet.UpstreamID) bool) (fleet.UpstreamID, bool)

// station is a gate whose waiting requests block in their own goroutines.
type station struct {
	clock timer.Service

	mu sync.Mutex
	// gate is guarded by mu.
	gate admission.Gate
	// waiting is guarded by mu and holds the requests that wait in the gate's line.
	waiting map[*admission.Ticket]chan admission.Verdict
}

func newStation(clock timer.Service) *station {
	return &station{clock: clock, waiting: make(map[*admission.Ticket]chan admission.Verdict)}
}

func (s *station) configure(change func(*admission.Gate)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.gate)
}

// enter blocks until the ticket is admitted or refused.
func (s *station) enter(ctx context.Context, ticket *admission.Ticket) admission.Verdict {
	s.mu.Lock()
	verdict, settled := s.gate.Enter(ticket.Arrived, ticket)
	s.tell(settled)
	if _, queued := verdict.(admission.Queued); !queued {
		s.mu.Unlock()
		return verdict
	}
	ready := make(chan admission.Verdict, 1)
	s.waiting[ticket] = ready
	latest := s.gate.LatestStart(ticket.Deadline)
	again := resettle * time.Duration(len(s.waiting))
	s.mu.Unlock()
	return s.wait(ctx, ticket, ready, latest, again)
}

func (s *station) wait(
	ctx context.Context, ticket *admission.Ticket, ready <-chan admission.Verdict, latest time.Time, interval time.Duration,
) admission.Verdict {
	wake := s.clock.After(latest.Sub(s.clock.Now()))
	defer wake.Stop()
	// A limit that pauses has no request in flight whose end would settle the line.
	again := s.clock.Every(interval)
	defer again.Stop()
	for {
		select {
		case verdict := <-ready:
			return verdict
		case <-again.C:
			s.settle()
		case <-wake.C:
			return s.withdraw(ticket, ready)
		case <-ctx.Done():
			return s.withdraw(ticket, ready)
		}
	}
}

// resettle is how often one of the waiting requests looks whether a paused limit has opened again.
const resettle = 20 * time.Millisecond

func (s *station) settle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tell(s.gate.Settle(s.clock.Now()))
}

// withdraw takes a ticket out of the line, unless it was settled at the same time.
func (s *station) withdraw(ticket *admission.Ticket, ready <-chan admission.Verdict) admission.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.gate.Withdraw(s.clock.Now(), ticket) {
		return <-ready
	}
	delete(s.waiting, ticket)
	return s.gate.Refuse(s.clock.Now())
}

// leave ends the use of a slot.
func (s *station) leave(id fleet.UpstreamID, feedback admission.Feedback) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tell(s.gate.Leave(s.clock.Now(), id, feedback))
}

// tell wakes settled requests. The caller holds mu.
func (s *station) tell(settled []admission.Settled) {
	for _, one := range settled {
		s.waiting[one.Ticket] <- one.Verdict
		delete(s.waiting, one.Ticket)
	}
}

// refusalOf turns a refusal of admission into what the caller is told.
func refusalOf(refused admission.Refused) refusal {
	return refusal{outcome: cause.NotRun, cause: refused.Cause, retryAfter: refused.RetryAfter}
}
