package router

import (
	"time"

	"rosemarywick.example/rosemarywick/internal/core/cause"
	"rosemarywick.example/rosemarywick/internal/core/document"
	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/routing/ratelimit"
	"rosemarywick.example/rosemarywick/internal/upstream/forward"
	"rosemarywick.example/rosemarywick/internal/upstream/notices"
)

// limitsCold reports whether the cold upstreams of a service get a limited number of requests.
func (r *Router) limitsCold(declared *document.Service) bool {
	return declared.ColdRate > 0 && r.ColdAllowance != (ratelimit.Allowance{}) && r.Notices != nil && r.RateLimits != nil
}

// coldLeft returns for how long a process of an upstream is cold. It is not positive for one that is not cold.
func (s *serviceState) coldLeft(now time.Time, source notices.Source) time.Duration {
	if !s.coldLimited {
		return 0
	}
	return s.notices.ColdUntilAssuming(source, s.ColdStart).Sub(now)
}

// coldTest returns the test for cold upstreams, or nil if they are not limited.
func (s *serviceState) coldTest(now time.Time) func(fleet.UpstreamID) bool {
	if !s.coldLimited {
		return nil
	}
	return func(id fleet.UpstreamID) bool {
		upstream := s.upstreams[id]
		return upstream != nil && s.coldLeft(now, upstream.noticeSource()) > 0
	}
}

// coldSource returns the process that a request in the slot is meant for. A range table may name a later one than the entry.
func (s *acquiredSlot) coldSource() notices.Source {
	source := s.upstream.noticeSource()
	if run := s.assignment.Incarnation; source.Incarnation.Precedes(run) {
		source.Incarnation = run
	}
	return source
}

// limitOf returns the limit of the requests to the upstream of a slot, or false if there is none. If the upstream names a limit
// and is cold too, the lower rate holds.
func (p *pendingRequest) limitOf(slot *acquiredSlot, now time.Time) (ratelimit.Limit, bool) {
	perSecond, stated := p.router.Notices.RateLimit(slot.upstream.noticeSource())
	limit := ratelimit.Limit{Reason: ratelimit.Stated, PerSecond: perSecond, Allowance: p.router.StatedAllowance}
	if p.service.coldLeft(now, slot.coldSource()) <= 0 {
		return limit, stated
	}
	cold := ratelimit.Limit{Reason: ratelimit.Cold, PerSecond: p.service.ColdRate, Allowance: p.router.ColdAllowance}
	if !stated {
		return cold, true
	}
	return cold.Lower(limit), true
}

func causeOfLimit(limit ratelimit.Limit) cause.Cause {
	if limit.Reason == ratelimit.Cold {
		return cause.UpstreamCold
	}
	return cause.UpstreamLimit
}

// noteUnreachable notes that the upstream of a slot could not be reached. When it answers again it may be another process, of
// which this daemon has no entry. An upstream that has been replaced by another one says so itself.
func (p *pendingRequest) noteUnreachable(slot *acquiredSlot, result forward.Result) {
	switch result.(type) {
	case forward.NotSent, forward.NoResponse:
		if p.service.coldLimited {
			p.router.Notices.NoteUnreachable(slot.coldSource(), p.service.ColdStart)
			p.router.wakeTrials()
		}
	}
}
