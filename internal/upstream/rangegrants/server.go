package rangegrants

import (
	"context"
	"slices"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/ownership/ranges"
)

// serverTask grants and renews the ranges of one server process, in a goroutine of its own.
type serverTask struct {
	term  *term
	owner ranges.Owner
	wake  chan struct{}

	// grants is guarded by the term's mu.
	grants map[grantKey]*grantState
	// lastResponse is the uptime of the last response. Only the task's goroutine uses it.
	lastResponse time.Duration
	// takenCount and unavailableCount count consecutive responses of their kind. Only the task's goroutine uses them.
	takenCount, unavailableCount int
}

// grantKey identifies a grant to a server.
type grantKey struct {
	keys  fleet.KeyRange
	fence ranges.Fence
}

// grantState is what the assigner knows about one grant and its renewals.
type grantState struct {
	// accepted is set once the server has accepted the grant.
	accepted bool
	// acceptedAt is when the response to the latest accepted grant or renewal arrived.
	acceptedAt time.Time
	// refused is set when the server has seen a higher fence, or may have started again since it accepted the grant.
	refused bool
	// sentAt is the uptime at which the latest accepted grant or renewal was sent.
	sentAt time.Duration
	// outageDuration is set when that grant had the duration used during an outage of the store.
	outageDuration bool
	// expiryUptime is the uptime at which every grant and renewal with this key has expired.
	expiryUptime time.Duration
}

// serverTaskOf returns the task of a server, and starts it if there is none. The caller holds mu.
func (t *term) serverTaskOf(ctx context.Context, owner ranges.Owner) *serverTask {
	if task := t.serverTasks[owner]; task != nil {
		return task
	}
	task := &serverTask{
		term: t, owner: owner, wake: make(chan struct{}, 1), grants: make(map[grantKey]*grantState), lastResponse: t.Uptime.Uptime(),
	}
	t.serverTasks[owner] = task
	t.tasks.Go(func() { task.run(ctx) })
	return task
}

// wakeUp makes the task check its assignments now.
func (s *serverTask) wakeUp() { notify(s.wake) }

// run grants and renews until the term ends.
func (s *serverTask) run(ctx context.Context) {
	tick := s.term.Clock.Every(s.term.GrantDuration / renewalsPerGrant)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-s.wake:
		case <-ctx.Done():
			return
		}
		for _, assignment := range s.term.assignmentsOf(s.owner) {
			if !s.sendGrantIfDue(ctx, assignment) {
				break
			}
		}
	}
}

// sendGrantIfDue sends the grant of an assignment, or its renewal, if that is due. It returns false if the server did not
// respond or the term is over.
func (s *serverTask) sendGrantIfDue(ctx context.Context, assignment ranges.Assignment) bool {
	if !s.term.leaseValid() || ctx.Err() != nil {
		return false
	}
	callCtx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	duration := s.term.GrantDuration
	if s.term.renewalOverdue() {
		duration = s.term.OutageGrantDuration
	}
	key := grantKey{keys: assignment.Range, fence: assignment.Fence}
	sendTime := s.term.Uptime.Uptime()
	before, due := s.prepareGrant(assignment, sendTime, duration)
	if !due {
		return true
	}
	response := s.term.Client.Grant(callCtx, s.owner, Grant{
		Range: assignment.Range, Fence: assignment.Fence, Duration: duration, Handover: s.term.handover(assignment),
		ConnectedBefore: before.acceptedAt,
	})
	// The server starts the grant before its response arrives, or before the connection ends if there is no response.
	expiryUptime := max(before.expiryUptime, s.term.Uptime.Uptime()+maxGrantLifetime(duration))
	if !mayHaveApplied(response) {
		expiryUptime = before.expiryUptime
	}
	s.setExpiry(key, expiryUptime)
	return s.handleResponse(ctx, assignment, sendTime, duration, response)
}

// mayHaveApplied reports whether the server may have applied a grant, by the response to it.
func mayHaveApplied(response Response) bool {
	switch response := response.(type) {
	case Superseded, AddressTaken, Unavailable, Reconnected:
		return false
	case NoResponse:
		return !response.NotSent
	case Accepted:
	}
	return true
}

// prepareGrant decides whether a grant is sent now, and returns its state before that. If the grant is due, the latest expiry it
// can have is recorded under the same lock as the table is checked: a plan that is made concurrently either sees that expiry or
// prevents the grant.
func (s *serverTask) prepareGrant(assignment ranges.Assignment, sendTime, duration time.Duration) (grantState, bool) {
	key := grantKey{keys: assignment.Range, fence: assignment.Fence}
	s.term.mu.Lock()
	defer s.term.mu.Unlock()
	if !s.term.mayGrant(s.owner, assignment) {
		return grantState{}, false
	}
	if s.grants[key] == nil {
		s.pruneGrants()
		s.grants[key] = s.inherit(key)
	}
	state := s.grants[key]
	// Ticks may be a little early or late. If the lease is at risk, grants with the outage duration are sent at once.
	due := sendTime-state.sentAt >= s.term.GrantDuration/renewalsPerGrant*3/4 ||
		duration > s.term.GrantDuration && !state.outageDuration
	if state.refused || state.accepted && !due {
		return *state, false
	}
	before := *state
	state.expiryUptime = max(state.expiryUptime, sendTime+requestTimeout+maxGrantLifetime(duration))
	return before, true
}

// inherit returns the state of a grant that was not sent yet. A plan that moves a part of a range leaves the rest its fence, so
// that the server may have accepted the keys with it as a part of a larger range. A later start of the server must not accept
// them with the same fence, so the grant counts as a renewal of the larger one, or gets a new fence if the outcome of that one
// is not known. The caller holds the term's mu.
func (s *serverTask) inherit(key grantKey) *grantState {
	result := &grantState{}
	for larger, state := range s.grants {
		if !larger.covers(key) {
			continue
		}
		switch {
		case state.refused || state.acceptedAt.IsZero() && state.expiryUptime > 0 && !s.term.unsure():
			result.refused = true
		case state.acceptedAt.After(result.acceptedAt):
			result.acceptedAt = state.acceptedAt
		}
	}
	return result
}

// covers reports whether other is a grant of some keys of the range with the same fence.
func (k grantKey) covers(other grantKey) bool {
	return k.fence == other.fence && k.keys.Overlaps(other.keys)
}

// setExpiry records the uptime at which a grant has expired at the latest.
func (s *serverTask) setExpiry(key grantKey, expiryUptime time.Duration) {
	s.term.mu.Lock()
	defer s.term.mu.Unlock()
	s.grants[key].expiryUptime = expiryUptime
}

// pruneGrants removes grants that have expired, except refused ones and those whose fences the server still has in the table: a
// later start must not accept them. The caller holds mu.
func (s *serverTask) pruneGrants() {
	now := s.term.Uptime.Uptime()
	for key, state := range s.grants {
		if state.expiryUptime < now && !state.refused && !s.assigned(key) {
			delete(s.grants, key)
		}
	}
}

// assigned reports whether the table assigns keys of a grant to the server with the fence of the grant. The caller holds mu.
func (s *serverTask) assigned(key grantKey) bool {
	return slices.ContainsFunc(s.term.table.Assignments, func(assignment ranges.Assignment) bool {
		return assignment.Owner.SameProcess(s.owner) && key.covers(grantKey{keys: assignment.Range, fence: assignment.Fence})
	})
}

// handleResponse records the response to a grant. It returns false if no grants reach the server, so that its other assignments
// are not tried.
func (s *serverTask) handleResponse(ctx context.Context, a ranges.Assignment, sent, duration time.Duration, resp Response) bool {
	key := grantKey{keys: a.Range, fence: a.Fence}
	s.countResponse(resp)
	switch resp := resp.(type) {
	case Accepted:
		s.lastResponse = s.term.Uptime.Uptime()
		first := s.recordAccepted(key, sent, duration)
		if first && len(a.FormerOwners) > 0 {
			s.term.notifyMoveEnded()
		}
		return true
	case Superseded:
		s.lastResponse = s.term.Uptime.Uptime()
		s.term.Log.Warn().Str("server", string(s.owner.ID)).Stringer("range", a.Range).
			Uint64("fence", uint64(a.Fence)).Msg("server refused a grant because it has seen a higher fence")
		s.term.mu.Lock()
		s.grants[key].refused = true
		s.term.mu.Unlock()
		s.term.requestReplan()
		return true
	case Reconnected:
		s.term.Log.Info().Str("server", string(s.owner.ID)).Stringer("range", a.Range).Uint64("fence", uint64(a.Fence)).
			Msg("connection to the server ended, it may have started again: its range gets a new fence")
		s.term.mu.Lock()
		s.grants[key].refused = true // the next regular plan issues the fence, so that many are written together
		s.term.mu.Unlock()
		return true
	case AddressTaken:
		if s.takenCount > 1 {
			s.recordProcessEnded()
			s.term.markDown(ctx, s.owner, true, "another server has its address")
		} else if timer.Wait(ctx, s.term.Clock, confirmDelay) == nil {
			s.wakeUp()
		}
	case Unavailable:
		s.term.Log.Warn().Err(resp.Err).Str("server", string(s.owner.ID)).Msg("server did not take a grant")
		if s.unavailableCount > 1 {
			s.term.markDown(ctx, s.owner, false, "it takes no grants; its grants may still be in force")
		} else if timer.Wait(ctx, s.term.Clock, confirmDelay) == nil {
			s.wakeUp()
		}
	case NoResponse:
		silence := s.term.Uptime.Uptime() - s.lastResponse
		s.term.Log.Warn().Err(resp.Err).Str("server", string(s.owner.ID)).Dur("silent", silence).
			Msg("server did not answer a grant")
		s.refenceUnanswered(key, resp)
		if silence > maxSilence {
			s.term.markDown(ctx, s.owner, false, "it does not respond")
		} else {
			s.wakeUp()
		}
	}
	return false
}

// refenceUnanswered makes a range get a new fence if its first grant had no response: the server may have accepted it and then
// started again, and the next attempt could be accepted by the later start. While servers that the table does not name may own
// keys, the fence stays: the owner that accepts it is the right one.
func (s *serverTask) refenceUnanswered(key grantKey, resp NoResponse) {
	s.term.mu.Lock()
	state := s.grants[key]
	refence := !resp.NotSent && !state.accepted && !s.term.unsure()
	state.refused = state.refused || refence
	s.term.mu.Unlock()
	if refence {
		s.term.requestReplan()
	}
}

// unsure reports whether servers that the table does not name may own keys. The caller holds mu.
func (t *term) unsure() bool {
	return t.Store.Reading().Earliest(t.Uptime.Uptime()) < t.table.UnsureUntil
}

// countResponse counts consecutive responses after which the server is taken as down.
func (s *serverTask) countResponse(resp Response) {
	switch resp.(type) {
	case AddressTaken:
		s.takenCount, s.unavailableCount = s.takenCount+1, 0
	case Unavailable:
		s.takenCount, s.unavailableCount = 0, s.unavailableCount+1
	case Reconnected: // nothing was sent
	case Accepted, Superseded, NoResponse:
		s.takenCount, s.unavailableCount = 0, 0
	}
}

// recordAccepted records that the server accepted a grant, and reports whether it is the first acceptance.
func (s *serverTask) recordAccepted(key grantKey, sendTime, duration time.Duration) bool {
	s.term.mu.Lock()
	defer s.term.mu.Unlock()
	state := s.grants[key]
	first := !state.accepted
	state.acceptedAt = s.term.Clock.Now()
	state.accepted, state.sentAt, state.outageDuration = true, sendTime, duration > s.term.GrantDuration
	return first
}

// recordProcessEnded records that the server's process has ended, and that its grants ended with it.
func (s *serverTask) recordProcessEnded() {
	s.term.mu.Lock()
	defer s.term.mu.Unlock()
	for _, state := range s.grants {
		state.expiryUptime, state.accepted = 0, false
	}
}

// markDown excludes a server from the plan until it responds to a probe. ended is set if its process is known to have ended.
func (t *term) markDown(ctx context.Context, owner ranges.Owner, ended bool, why string) {
	t.mu.Lock()
	_, alreadyDown := t.down[owner]
	t.down[owner] = ended
	t.mu.Unlock()
	if alreadyDown {
		return
	}
	t.Log.Warn().Str("server", string(owner.ID)).Str("why", why).Msg("server is down; its ranges are reassigned")
	t.requestReplan()
	t.tasks.Go(func() { t.probeUntilBack(ctx, owner) })
}

// probeUntilBack probes a server that is down until it responds, and then makes it available again.
func (t *term) probeUntilBack(ctx context.Context, owner ranges.Owner) {
	for timer.Wait(ctx, t.Clock, probeInterval) == nil {
		if t.Paused != nil && t.Paused(owner) {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, requestTimeout)
		responded := t.Client.Probe(callCtx, owner)
		cancel()
		if !responded {
			continue
		}
		t.mu.Lock()
		t.back[owner] = true
		t.mu.Unlock()
		t.Log.Info().Str("server", string(owner.ID)).Msg("server is back")
		t.requestReplan()
		return
	}
}

// granted reports whether the owner has accepted the grant of an assignment.
func (t *term) granted(assignment ranges.Assignment) bool {
	return t.grantStateOf(assignment).accepted
}

// refused reports whether the owner refused the grant of an assignment, or may have started again since it accepted the grant.
func (t *term) refused(assignment ranges.Assignment) bool {
	return t.grantStateOf(assignment).refused
}

// grantStateOf returns the state of the grant of an assignment to its owner. It is zero if no grant was sent.
func (t *term) grantStateOf(assignment ranges.Assignment) grantState {
	t.mu.Lock()
	defer t.mu.Unlock()
	if task := t.serverTasks[assignment.Owner]; task != nil {
		if state := task.grants[grantKey{keys: assignment.Range, fence: assignment.Fence}]; state != nil {
			return *state
		}
	}
	return grantState{}
}
