package router

import (
	"context"
	"net/http"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/cause"
	"rosemarywick.example/rosemarywick/internal/core/document"
	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/routing/admission"
	"rosemarywick.example/rosemarywick/internal/routing/balance"
	"rosemarywick.example/rosemarywick/internal/routing/idempotency"
	"rosemarywick.example/rosemarywick/internal/routing/retry"
	"rosemarywick.example/rosemarywick/internal/upstream/forward"
)

// pending is the state of one request. It belongs to the goroutine of the request.
type pending struct {
	router  *Router
	service *service
	request *Request
	// caller ends when the caller goes away, ctx also at the deadline.
	caller, ctx context.Context
	cancel      context.CancelFunc
	started     time.Time
	deadline    time.Time
	key         fleet.KeyHash
	record      cause.Record
	// claimed is set when the idempotency key was taken for this request.
	claimed bool
	// mayHaveRun is set when an attempt may have taken effect without an answer.
	mayHaveRun bool
	avoid      fleet.UpstreamID
	sent       int
	// reached counts the sendings of which a byte may have reached an upstream.
	reached int
}

// usedSlot is a slot at an upstream.
type usedSlot struct {
	upstream   *upstream
	queue      *waitQueue
	assignment fleet.Assignment
	began      time.Time
}

// claim takes the idempotency key of a request that must run at most once.
func (p *pending) claim() *refusal {
	if p.request.Delivery != document.AtMostOnce || p.request.IdempotencyKey == "" {
		return nil
	}
	if p.router.Claims == nil {
		return &refusal{outcome: cause.NotRun, cause: cause.ClaimUnavailable}
	}
	switch verdict := p.router.Claims.Claim(p.ctx, p.claimKey(), p.request.ID).(type) {
	case idempotency.Claimed:
		p.claimed = true
		return nil
	case idempotency.Duplicate:
		return &refusal{outcome: verdict.Result.Outcome, cause: cause.DuplicateRequest, status: verdict.Result.Status}
	}
	return &refusal{outcome: cause.NotRun, cause: cause.ClaimUnavailable}
}

func (p *pending) claimKey() idempotency.Key {
	return idempotency.Key{Service: p.request.Service, Tenant: p.request.Tenant, Value: p.request.IdempotencyKey}
}

// run sends the request until it has an answer or must stop.
func (p *pending) run() Response {
	for {
		slot, refused := p.acquire()
		if refused != nil {
			return p.refuse(p.explain(*refused))
		}
		result := p.send(slot)
		if retry.OutcomeOf(result) == cause.Unknown {
			p.mayHaveRun = true
		}
		if retry.MayHaveReached(result) {
			p.reached++
		}
		p.avoid = slot.upstream.ID
		switch verdict := retry.Decide(p.facts(), result, p.service.budget).(type) {
		case retry.PassThrough:
			return p.answer(slot, verdict.Response)
		case retry.Stop:
			p.release(slot, result)
			return p.refuse(refusal{outcome: verdict.Outcome, cause: verdict.Cause})
		case retry.Resend, retry.AwaitMap:
			if failed, ok := result.(forward.Responded); ok {
				_ = failed.Body.Close()
			}
			p.release(slot, result)
		}
	}
}

// mostSends bounds the attempts at one request, those at unreachable upstreams included.
const mostSends = 8

// explain names the failed attempt as the cause if the deadline leaves no time for another one.
func (p *pending) explain(refused refusal) refusal {
	late := refused.cause == cause.DeadlineUnmeetable || refused.cause == cause.DeadlinePassed
	if late && len(p.record.Attempts) > 0 {
		refused.cause = p.lastCause()
	}
	return refused
}

func (p *pending) facts() retry.Request {
	return retry.Request{
		Delivery: p.request.Delivery, Keyed: p.service.Keyed(),
		CallerGone: p.caller.Err() != nil, Expired: !p.router.Clock.Now().Before(p.deadline),
		AttemptsExhausted: p.request.MaxAttempts > 0 && (p.reached >= p.request.MaxAttempts || p.sent >= mostSends),
	}
}

// acquire waits for a slot at an upstream that may serve the request.
func (p *pending) acquire() (*usedSlot, *refusal) {
	asked := p.router.Clock.Now()
	defer func() { p.record.Queued += p.router.Clock.Now().Sub(asked) }()
	if p.service.Keyed() {
		return p.acquireOwner()
	}
	if len(p.service.upstreams) == 0 {
		return nil, &refusal{outcome: cause.NotRun, cause: cause.NoUpstream}
	}
	id, refused := p.enter(p.ctx, p.service.queue)
	if refused != nil {
		return nil, refused
	}
	one := p.service.upstreams[id]
	if one == nil { // the configuration dropped the upstream meanwhile
		p.service.queue.leave(id, admission.Abandoned{})
		return nil, &refusal{outcome: cause.NotRun, cause: cause.NoUpstream}
	}
	return &usedSlot{upstream: one, queue: p.service.queue}, nil
}

// enter passes the admission of a queue.
func (p *pending) enter(ctx context.Context, queue *waitQueue) (fleet.UpstreamID, *refusal) {
	ticket := &admission.Request{
		Tenant: p.request.Tenant, Arrived: p.router.Clock.Now(), Deadline: p.deadline, Avoid: p.avoid,
		Idempotent: p.request.Delivery == document.Idempotent, Bulk: p.request.Bulk,
	}
	switch verdict := queue.enter(ctx, ticket).(type) {
	case admission.Admitted:
		return verdict.Upstream, nil
	case admission.Refused:
		refused := refusalOf(verdict)
		if p.caller.Err() != nil {
			refused.cause = cause.CallerGone
		}
		return "", &refused
	}
	return "", &refusal{outcome: cause.NotRun, cause: cause.QueueFull}
}

// send sends the request once.
func (p *pending) send(slot *usedSlot) forward.Result {
	slot.began = p.router.Clock.Now()
	outgoing := &forward.Request{
		ID: p.request.ID, Method: p.request.Method, Target: p.request.Target, Header: p.request.Header,
		Body: p.request.Body, Deadline: p.deadline, Hostname: p.request.Hostname, Upstream: slot.upstream.ID,
	}
	ctx, cancel := p.ctx, context.CancelFunc(nil)
	if p.service.Keyed() {
		outgoing.Keyed, outgoing.Key = true, p.key
		outgoing.Partition, outgoing.Fence = slot.assignment.Partition, slot.assignment.Fence
		ctx, cancel = p.router.inProgress.add(p, slot.assignment, false)
		defer p.router.inProgress.drop(p)
	}
	p.service.pool.RequestStarted(slot.began, slot.upstream.ID)
	if p.sent++; p.sent == 1 {
		p.service.budget.RecordFirstAttempt()
	}
	result := slot.upstream.client.Send(ctx, outgoing)
	if _, passed := result.(forward.Responded); cancel != nil && !passed {
		cancel()
	}
	p.record.Attempts = append(p.record.Attempts, cause.Attempt{
		Upstream: slot.upstream.ID, Started: slot.began, Connect: outgoing.Connect, Duration: p.router.Clock.Now().Sub(slot.began),
		Cause: retry.CauseOf(p.facts(), result),
	})
	return result
}

// release ends a slot and takes in what it showed.
func (p *pending) release(slot *usedSlot, result forward.Result) {
	now := p.router.Clock.Now()
	var seen balance.Observation = balance.Unreachable{}
	var learned admission.Feedback = admission.Abandoned{}
	switch result := result.(type) {
	case forward.Responded:
		seen = balance.Responded{Latency: result.FirstByte}
		if result.Status >= http.StatusInternalServerError {
			seen = balance.Rejected{}
		}
		learned = admission.Served{Latency: result.FirstByte}
		p.service.suspects.reached(slot.assignment)
		if p.router.LoadObserver != nil && p.service.Keyed() {
			p.router.LoadObserver.Served(p.service.Name, slot.upstream.ID, p.key, result.FirstByte)
		}
	case forward.Truncated:
		seen = balance.Rejected{}
	case forward.Rejected:
		seen, learned = balance.Rejected{}, admission.Shed{}
		if result.Misplaced {
			p.stale()
			seen, learned = balance.Unreachable{}, admission.Abandoned{}
		}
		if result.Draining {
			seen, learned = balance.Leaving{}, admission.Abandoned{} // says nothing of the slots
			p.service.suspects.denied(now, slot.assignment)
		}
	case forward.NotOwner:
		p.stale()
		seen = balance.Responded{Latency: now.Sub(slot.began)}
		p.service.suspects.denied(now, slot.assignment)
	case forward.NotSent:
		p.stale()
		if result.Local {
			seen = balance.Abandoned{}
		} else if p.service.Keyed() {
			p.service.suspects.unreachable(now, slot.upstream.ID)
		}
	case forward.Lost:
		p.stale()
		if result.Local {
			seen = balance.Abandoned{}
		}
	}
	p.service.pool.RequestEnded(now, slot.upstream.ID, seen)
	slot.queue.leave(slot.upstream.ID, learned)
}

// refuse ends the request without an answer of an upstream.
func (p *pending) refuse(refused refusal) Response {
	if p.mayHaveRun && refused.outcome == cause.NotRun {
		refused.outcome = cause.Unknown
	}
	p.end(refused.outcome, refused.cause, refused.status)
	return Rejected{
		Outcome: refused.outcome, Cause: refused.cause, RetryAfter: refused.retryAfter, RecordedStatus: refused.status,
	}
}

// end closes the books of the request.
func (p *pending) end(outcome cause.Outcome, why cause.Cause, status int) {
	if p.cancel != nil {
		p.cancel()
	}
	if p.claimed {
		p.router.Claims.Finish(p.claimKey(), idempotency.RequestResult{Outcome: outcome, Cause: why, Status: status})
	}
	p.record.Total = p.router.Clock.Now().Sub(p.started)
	p.record.Outcome, p.record.Cause = outcome, why
	if p.router.Recorder != nil {
		p.router.Recorder.Record(p.record)
	}
}
