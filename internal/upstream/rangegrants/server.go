package rangegrants

import (
	"context"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/ownership/ranges"
)

// server is the task that grants and renews the ranges of one run of a server.
type server struct {
	term  *term
	owner ranges.Owner
	wake  chan struct{}

	// grants is guarded by the term's mu.
	grants map[grantKey]*granted
	// heard belongs to the task: the uptime of the last answer.
	heard time.Duration
	// absences belongs to the task and counts the refused connections in a row.
	absences int
}

type grantKey struct {
	keys  fleet.KeyRange
	fence ranges.Fence
}

// granted is what is known of one grant.
type granted struct {
	// taken is set once the server has the grant.
	taken bool
	// refused is set when the server had seen a higher fence.
	refused bool
	// renewed is the uptime at which the last grant was sent that the server took.
	renewed time.Duration
	// long is set when that grant was a long one.
	long bool
	// until is the uptime at which every hold by this grant has run out.
	until time.Duration
}

// serverOf returns the task of a server, which is started if need be. The caller holds mu.
func (t *term) serverOf(ctx context.Context, owner ranges.Owner) *server {
	if one := t.servers[owner]; one != nil {
		return one
	}
	one := &server{
		term: t, owner: owner, wake: make(chan struct{}, 1), grants: make(map[grantKey]*granted), heard: t.Uptime.Uptime(),
	}
	t.servers[owner] = one
	t.tasks.Go(func() { one.run(ctx) })
	return one
}

func (s *server) poke() { notify(s.wake) }

// run grants and renews until the term ends.
func (s *server) run(ctx context.Context) {
	tick := s.term.Clock.Every(s.term.GrantDuration / renewalsPerHold)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-s.wake:
		case <-ctx.Done():
			return
		}
		for _, one := range s.term.orders(s.owner) {
			if !s.renew(ctx, one) {
				break
			}
		}
	}
}

// renew sends one grant if it is due, and returns false if the server did not answer.
func (s *server) renew(ctx context.Context, one ranges.Assignment) bool {
	if !s.term.valid() || ctx.Err() != nil {
		return false
	}
	call, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	hold := s.term.GrantDuration
	if s.term.shaky() {
		hold = s.term.OutageGrantDuration
	}
	key := grantKey{keys: one.Range, fence: one.Fence}
	sent := s.term.Uptime.Uptime()
	known, due := s.prepare(one, sent, hold)
	if !due {
		return true
	}
	answer := s.term.Client.Grant(call, s.owner, Grant{
		Range: one.Range, Fence: one.Fence, Duration: hold, Handover: s.term.handover(one),
	})
	// The hold begins no later than the answer, or than the end of the connection if there was none.
	until := max(known.until, s.term.Uptime.Uptime()+freeAfter(hold))
	if silent, ok := answer.(NoResponse); ok && silent.NotSent {
		until = known.until
	}
	s.bound(key, until)
	return s.learn(ctx, one, sent, hold, answer)
}

// prepare decides whether a grant is to be sent now. If it is, its bound is noted at the same time as the table is looked at,
// so that a plan which is made meanwhile either sees the bound or keeps the grant from being sent.
func (s *server) prepare(one ranges.Assignment, sent, hold time.Duration) (granted, bool) {
	key := grantKey{keys: one.Range, fence: one.Fence}
	s.term.mu.Lock()
	defer s.term.mu.Unlock()
	if !s.term.current(s.owner, one) {
		return granted{}, false
	}
	if s.grants[key] == nil {
		s.prune()
		s.grants[key] = &granted{}
	}
	known := s.grants[key]
	// Ticks come a little early or late. A lease that may not be renewed again calls for long holds at once.
	due := sent-known.renewed >= s.term.GrantDuration/renewalsPerHold*3/4 || hold > s.term.GrantDuration && !known.long
	if known.refused || known.taken && !due {
		return *known, false
	}
	before := *known
	known.until = max(known.until, sent+orderTimeout+freeAfter(hold))
	return before, true
}

// bound notes until when a grant may hold at most.
func (s *server) bound(key grantKey, until time.Duration) {
	s.term.mu.Lock()
	defer s.term.mu.Unlock()
	s.grants[key].until = until
}

// prune forgets grants that were replaced and have run out. The caller holds mu.
func (s *server) prune() {
	now := s.term.Uptime.Uptime()
	for key, known := range s.grants {
		if known.until < now && !known.refused {
			delete(s.grants, key)
		}
	}
}

// learn takes in the answer to a grant.
func (s *server) learn(ctx context.Context, one ranges.Assignment, sent, hold time.Duration, answer Response) bool {
	key := grantKey{keys: one.Range, fence: one.Fence}
	if _, absent := answer.(ProcessGone); !absent {
		s.absences = 0
	}
	switch answer := answer.(type) {
	case Accepted:
		s.heard = s.term.Uptime.Uptime()
		first := s.taken(key, sent, hold)
		if first && len(one.FormerOwners) > 0 {
			s.term.settle()
		}
		return true
	case Superseded:
		s.heard = s.term.Uptime.Uptime()
		s.term.Log.Warn().Str("server", string(s.owner.ID)).Stringer("range", one.Range).Uint64("fence", uint64(one.Fence)).
			Msg("server refused a grant because it has seen a higher fence")
		s.term.mu.Lock()
		s.grants[key].refused = true
		s.term.mu.Unlock()
		s.term.poke()
		return true
	case ProcessGone:
		if s.absences++; s.absences > 1 {
			s.ended()
			s.term.fail(ctx, s.owner, true, "its process has ended")
		} else if timer.Wait(ctx, s.term.Clock, absentAgain) == nil {
			s.poke()
		}
		return false
	case NoResponse:
		silent := s.term.Uptime.Uptime() - s.heard
		s.term.Log.Warn().Err(answer.Err).Str("server", string(s.owner.ID)).Dur("silent", silent).
			Msg("server did not answer a grant")
		if silent > suspectAfter {
			s.term.fail(ctx, s.owner, false, "it does not answer")
		} else {
			s.poke()
		}
	}
	return false
}

func (s *server) taken(key grantKey, sent, hold time.Duration) bool {
	s.term.mu.Lock()
	defer s.term.mu.Unlock()
	one := s.grants[key]
	first := !one.taken
	one.taken, one.renewed, one.long = true, sent, hold > s.term.GrantDuration
	return first
}

// ended notes that the process of the server has ended, and its holds with it.
func (s *server) ended() {
	s.term.mu.Lock()
	defer s.term.mu.Unlock()
	for _, known := range s.grants {
		known.until, known.taken = 0, false
	}
}

// fail takes a server out of the plan until it answers a probe. ended is set if its process has certainly ended.
func (t *term) fail(ctx context.Context, owner ranges.Owner, ended bool, why string) {
	t.mu.Lock()
	_, known := t.down[owner]
	t.down[owner] = ended
	t.mu.Unlock()
	if known {
		return
	}
	t.Log.Warn().Str("server", string(owner.ID)).Str("why", why).Msg("server is down; its ranges get other owners")
	t.poke()
	t.tasks.Go(func() { t.probe(ctx, owner) })
}

// probe waits until a server answers again.
func (t *term) probe(ctx context.Context, owner ranges.Owner) {
	for timer.Wait(ctx, t.Clock, probeEvery) == nil {
		call, cancel := context.WithTimeout(ctx, orderTimeout)
		answered := t.Client.Probe(call, owner)
		cancel()
		if !answered {
			continue
		}
		t.mu.Lock()
		delete(t.down, owner)
		t.mu.Unlock()
		t.Log.Info().Str("server", string(owner.ID)).Msg("server is back")
		t.poke()
		return
	}
}

// granted reports whether the owner has taken the grant of a holding.
func (t *term) granted(one ranges.Assignment) bool {
	return t.known(one).taken
}

// refused reports whether the owner refused the grant of a holding.
func (t *term) refused(one ranges.Assignment) bool {
	return t.known(one).refused
}

// known returns what is known of the grant of a holding to its owner.
func (t *term) known(one ranges.Assignment) granted {
	t.mu.Lock()
	defer t.mu.Unlock()
	if server := t.servers[one.Owner]; server != nil {
		if known := server.grants[grantKey{keys: one.Range, fence: one.Fence}]; known != nil {
			return *known
		}
	}
	return granted{}
}

// heldUntil returns the uptime at which every hold of a server on any key of the range has run out. Grants that were meant for
// another run under the same id count, since the present one may have taken them. The caller holds mu.
func (t *term) heldUntil(owner ranges.Owner, keys fleet.KeyRange) time.Duration {
	// The assigner before this one may have granted until its lease ended, which was before this term began.
	until := t.began + orderTimeout + freeAfter(t.OutageGrantDuration)
	for _, server := range t.servers {
		if server.owner.ID != owner.ID || server.owner.Address != owner.Address {
			continue
		}
		for key, known := range server.grants {
			if key.keys.Overlaps(keys) {
				until = max(until, known.until)
			}
		}
	}
	return until
}
