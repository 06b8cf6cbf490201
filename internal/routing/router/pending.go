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

// pendingRequest is the state of one request while it is being routed. Only the goroutine of the request uses it.
type pendingRequest struct {
	router  *Router
	service *serviceState
	request *Request
	// callerCtx ends when the caller disconnects. ctx ends then and at the deadline.
	callerCtx, ctx context.Context
	cancel         context.CancelFunc
	started        time.Time
	deadline       time.Time
	// endsWithStop is set if the deadline is that of the daemon's stop.
	endsWithStop bool
	key          fleet.KeyHash
	record       cause.Record
	// claimed is set if this request holds the claim on its idempotency key.
	claimed bool
	// mayHaveRun is set if an attempt ended without a response but may have taken effect.
	mayHaveRun bool
	// avoidUpstream is the upstream of the previous attempt. It is used again only if no other is available.
	avoidUpstream fleet.UpstreamID
	// sends counts all sends, including those to unreachable upstreams.
	sends int
	// reachedSends counts the sends of which at least one byte may have reached an upstream.
	reachedSends int
}

// acquiredSlot is a slot for one request at an upstream.
type acquiredSlot struct {
	upstream   *upstreamState
	queue      *admissionQueue
	assignment fleet.Assignment
	// waited is set if the request waited because of the upstream's own limit after it had the slot.
	waited bool
	// limitCause is the cause of a refusal because of the upstream's limit.
	limitCause cause.Cause
	startedAt  time.Time
}

// claimIdempotencyKey claims the idempotency key of a request that must run at most once.
func (p *pendingRequest) claimIdempotencyKey() *rejection {
	if p.request.Delivery != document.AtMostOnce || p.request.IdempotencyKey == "" {
		return nil
	}
	if p.router.Claims == nil {
		return &rejection{outcome: cause.NotRun, cause: cause.ClaimUnavailable}
	}
	switch claim := p.router.Claims.Claim(p.ctx, p.idempotencyKey(), p.request.ID).(type) {
	case idempotency.Claimed:
		p.claimed = true
		return nil
	case idempotency.Duplicate:
		return &rejection{outcome: claim.Result.Outcome, cause: cause.DuplicateRequest, status: claim.Result.Status}
	}
	return &rejection{outcome: cause.NotRun, cause: cause.ClaimUnavailable}
}

func (p *pendingRequest) idempotencyKey() idempotency.Key {
	return idempotency.Key{Service: p.request.Service, Tenant: p.request.Tenant, Value: p.request.IdempotencyKey}
}

// runAttempts sends the request until it has a response or must not be sent again.
func (p *pendingRequest) runAttempts() Response {
	for {
		slot, rejected := p.acquire()
		if rejected != nil {
			return p.reject(p.preferAttemptCause(*rejected))
		}
		if retryAfter, ok := p.awaitLimit(slot); !ok {
			if rejected := p.refuseForLimit(slot, retryAfter); rejected != nil {
				return p.reject(*rejected)
			}
			continue
		}
		if p.isSuperseded(slot) {
			slot.queue.release(slot.upstream.ID, abandoned)
			continue
		}
		result := p.send(slot)
		if isWithheld(result) && p.ctx.Err() == nil {
			p.withdraw(slot)
			continue
		}
		if retry.OutcomeOf(result) == cause.Unknown {
			p.mayHaveRun = true
		}
		if retry.MayHaveReached(result) {
			p.reachedSends++
		}
		p.avoidUpstream = slot.upstream.ID
		if rejected := p.rejectFull(slot, result); rejected != nil {
			return p.reject(*rejected)
		}
		switch decision := retry.Decide(p.retryRequest(), result, p.service.budget).(type) {
		case retry.PassThrough:
			return p.respond(slot, decision.Response)
		case retry.Stop:
			p.release(slot, result)
			return p.reject(rejection{outcome: decision.Outcome, cause: decision.Cause, retryAfter: p.retryDelay(slot)})
		case retry.Resend, retry.AwaitMap:
			if response, ok := result.(forward.Responded); ok {
				_ = response.Body.Close()
			}
			p.release(slot, result)
		}
	}
}

// maxSends is the maximum number of sends of one request, including those to unreachable upstreams.
const maxSends = 8

// preferAttemptCause reports that the daemon stops if that ended the wait of a request that was not sent. It reports the
// cause of the last failed attempt instead of the deadline, if it was that attempt which left no time for another one.
func (p *pendingRequest) preferAttemptCause(rejected rejection) rejection {
	stopped := p.router.lifetime().Err() != nil || p.endsWithStop && !p.router.Clock.Now().Before(p.deadline)
	if stopped && len(p.record.Attempts) == 0 {
		return rejection{outcome: cause.NotRun, cause: cause.DaemonStopping, retryAfter: admission.StoppingRetryAfter}
	}
	deadlineRelated := rejected.cause == cause.DeadlineUnmeetable || rejected.cause == cause.DeadlinePassed
	if deadlineRelated && len(p.record.Attempts) > 0 {
		rejected.cause = p.lastAttemptCause()
	}
	return rejected
}

// retryRequest returns what package retry needs to know about the request.
func (p *pendingRequest) retryRequest() retry.Request {
	return retry.Request{
		Delivery: p.request.Delivery, Keyed: p.service.Keyed(),
		CallerGone: p.callerCtx.Err() != nil, Expired: p.expired(),
		AttemptsExhausted: p.request.MaxAttempts > 0 && (p.reachedSends >= p.request.MaxAttempts || p.sends >= maxSends),
	}
}

// expired reports whether the deadline of the request has passed, or the daemon stops now.
func (p *pendingRequest) expired() bool {
	return !p.router.Clock.Now().Before(p.deadline) || p.router.lifetime().Err() != nil
}

// acquire waits for a slot at an upstream that may serve the request.
func (p *pendingRequest) acquire() (*acquiredSlot, *rejection) {
	started := p.router.Clock.Now()
	defer func() { p.record.QueueTime += p.router.Clock.Now().Sub(started) }()
	if p.service.Keyed() {
		return p.acquireOwner()
	}
	if len(p.service.upstreams) == 0 {
		return nil, &rejection{outcome: cause.NotRun, cause: cause.NoUpstream}
	}
	id, rejected := p.admitToAny()
	if rejected != nil {
		return nil, rejected
	}
	upstream := p.service.upstreams[id]
	if upstream == nil { // a newer configuration no longer has the upstream
		p.service.queue.release(id, admission.Abandoned{})
		return nil, &rejection{outcome: cause.NotRun, cause: cause.NoUpstream}
	}
	return &acquiredSlot{upstream: upstream, queue: p.service.queue}, nil
}

// admitToAny waits for admission to any upstream of a service without keys. If all of them ask for a pause meanwhile, it
// decides anew.
func (p *pendingRequest) admitToAny() (fleet.UpstreamID, *rejection) {
	for {
		if rejected := p.refuseEvacuated(); rejected != nil {
			return "", rejected
		}
		if rejected := p.awaitPauses(); rejected != nil {
			return "", rejected
		}
		if rejected := p.rejectIfFull(p.service.upstreams); rejected != nil {
			return "", rejected
		}
		id, rejected := p.admit(p.ctx, p.service.queue)
		if rejected == nil || rejected.cause != cause.UpstreamPaused {
			return id, rejected
		}
	}
}

// admit waits for admission by a queue and returns the upstream that was selected.
func (p *pendingRequest) admit(ctx context.Context, queue *admissionQueue) (fleet.UpstreamID, *rejection) {
	switch decision := queue.admit(ctx, p.newCandidate()).(type) {
	case admission.Admitted:
		return decision.Upstream, nil
	case admission.Refused:
		rejected := rejectionFor(decision)
		if p.callerCtx.Err() != nil {
			rejected.cause = cause.CallerGone
		}
		return "", &rejected
	}
	return "", &rejection{outcome: cause.NotRun, cause: cause.QueueFull}
}

// send sends the request to the upstream of the slot and records the attempt.
func (p *pendingRequest) send(slot *acquiredSlot) forward.Result {
	slot.startedAt = p.router.Clock.Now()
	outgoing := &forward.Request{
		ID: p.request.ID, Method: p.request.Method, Target: p.request.Target, Header: p.request.Header,
		Body: p.request.Body, Room: p.request.Room, Deadline: p.deadline, Hostname: p.request.Hostname, Upstream: slot.upstream.ID,
		NonIdempotent: p.request.Delivery != document.Idempotent,
		MayStart:      func() bool { return p.mayReceive(slot.upstream.ID) },
	}
	ctx, cancel := p.ctx, context.CancelFunc(nil)
	if p.service.Keyed() {
		outgoing.Keyed, outgoing.Key = true, p.key
		outgoing.Partition, outgoing.Fence = slot.assignment.Partition, slot.assignment.Fence
		ctx, cancel = p.router.attempts.track(p, slot.assignment, false)
		defer p.router.attempts.untrack(p)
	}
	p.service.pool.RequestStarted(slot.startedAt, slot.upstream.ID)
	if p.sends++; p.sends == 1 {
		p.service.budget.RecordFirstAttempt()
	}
	result := slot.upstream.client.Send(ctx, outgoing)
	p.recordNotices(slot, outgoing, result)
	if _, responded := result.(forward.Responded); cancel != nil && !responded {
		cancel()
	}
	if isWithheld(result) {
		return result
	}
	p.record.Attempts = append(p.record.Attempts, cause.Attempt{
		Upstream: slot.upstream.ID, Started: slot.startedAt, ConnectTime: outgoing.ConnectTime,
		Duration: p.router.Clock.Now().Sub(slot.startedAt),
		Cause:    retry.CauseOf(p.retryRequest(), result),
	})
	return result
}

// release releases a slot and updates the estimates of the upstream by the result.
func (p *pendingRequest) release(slot *acquiredSlot, result forward.Result) {
	if isFull(result) {
		p.releaseFull(slot)
		return
	}
	now := p.router.Clock.Now()
	var observation balance.Observation = balance.Unreachable{}
	var feedback admission.Feedback = admission.Abandoned{}
	switch result := result.(type) {
	case forward.Responded:
		observation = balance.Responded{Latency: result.TimeToFirstByte}
		if result.Status >= http.StatusInternalServerError {
			observation = balance.Rejected{}
		}
		feedback = admission.Served{Latency: result.TimeToFirstByte}
		p.service.breaker.markServed(slot.assignment)
		p.observeResponse(slot, result)
	case forward.Truncated:
		observation = balance.Rejected{}
	case forward.Rejected:
		observation, feedback = balance.Rejected{}, admission.Shed{}
		if p.service.pauseLeft(now, slot.upstream.ID) > 0 {
			observation = balance.Paused{}
		}
		p.observeRejection(slot, result)
		if result.WrongUpstream {
			p.reportStaleMap()
			observation, feedback = balance.Unreachable{}, admission.Abandoned{}
		}
		if result.Draining {
			observation, feedback = balance.Leaving{}, admission.Abandoned{} // shutting down says nothing about capacity
			p.service.breaker.markDenied(now, slot.assignment)
		}
	case forward.NotOwner:
		p.reportStaleMap()
		observation = balance.Responded{Latency: now.Sub(slot.startedAt)}
		p.service.breaker.markDenied(now, slot.assignment)
	case forward.NotSent:
		p.reportStaleMap()
		if result.ContextDone {
			observation = balance.Abandoned{}
		} else if p.service.Keyed() {
			p.service.breaker.markUnreachable(now, slot.upstream.ID)
		}
	case forward.NoResponse:
		p.reportStaleMap()
		if result.ContextDone {
			observation = balance.Abandoned{}
		}
	}
	p.service.pool.RequestEnded(now, slot.upstream.ID, observation)
	if _, unreachable := observation.(balance.Unreachable); unreachable {
		p.noteUnreachable(slot, result)
	}
	slot.queue.release(slot.upstream.ID, feedback)
}

// reject ends the request without a response of an upstream.
func (p *pendingRequest) reject(rejected rejection) Response {
	if p.mayHaveRun && rejected.outcome == cause.NotRun {
		rejected.outcome = cause.Unknown
	}
	p.finish(rejected.outcome, rejected.cause, rejected.status)
	return Rejected{
		Outcome: rejected.outcome, Cause: rejected.cause, RetryAfter: p.capRetryAfter(rejected),
		RecordedStatus: rejected.status,
	}
}

// finish releases the context of the request, records the result of its claim, and writes its record.
func (p *pendingRequest) finish(outcome cause.Outcome, reason cause.Cause, status int) {
	if p.cancel != nil {
		p.cancel()
	}
	if p.claimed {
		p.router.Claims.Finish(p.idempotencyKey(), idempotency.RequestResult{Outcome: outcome, Cause: reason, Status: status})
	}
	p.record.TotalTime = p.router.Clock.Now().Sub(p.started)
	p.record.Outcome, p.record.Cause = outcome, reason
	if p.router.Recorder != nil {
		p.router.Recorder.Record(p.record)
	}
}
