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
	"rosemarywick.example/rosemarywick/internal/routing/once"
	"rosemarywick.example/rosemarywick/internal/routing/retry"
	"rosemarywick.example/rosemarywick/internal/upstream/forward"
)

// flight is the state of one request. It belongs to the goroutine of the request.
type flight struct {
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

// visit is a slot at an upstream.
type visit struct {
	upstream   *upstream
	station    *station
	assignment fleet.Assignment
	began      time.Time
}

// claim takes the idempotency key of a request that must run at most once.
func (f *flight) claim() *refusal {
	if f.request.Delivery != document.AtMostOnce || f.request.IdempotencyKey == "" {
		return nil
	}
	if f.router.Claims == nil {
		return &refusal{outcome: cause.NotRun, cause: cause.ClaimUnavailable}
	}
	switch verdict := f.router.Claims.Claim(f.ctx, f.claimKey(), f.request.ID).(type) {
	case once.Claimed:
		f.claimed = true
		return nil
	case once.Duplicate:
		return &refusal{outcome: verdict.Ending.Outcome, cause: cause.DuplicateRequest, status: verdict.Ending.Status}
	}
	return &refusal{outcome: cause.NotRun, cause: cause.ClaimUnavailable}
}

func (f *flight) claimKey() once.Key {
	return once.Key{Service: f.request.Service, Tenant: f.request.Tenant, Value: f.request.IdempotencyKey}
}

// fly sends the request until it has an answer or must stop.
func (f *flight) fly() Answer {
	for {
		visit, refused := f.acquire()
		if refused != nil {
			return f.refuse(f.explain(*refused))
		}
		result := f.send(visit)
		if retry.Outcome(result) == cause.Unknown {
			f.mayHaveRun = true
		}
		if retry.Reached(result) {
			f.reached++
		}
		f.avoid = visit.upstream.ID
		switch verdict := retry.Decide(f.facts(), result, f.service.budget).(type) {
		case retry.Pass:
			return f.answer(visit, verdict.Answer)
		case retry.Stop:
			f.release(visit, result)
			return f.refuse(refusal{outcome: verdict.Outcome, cause: verdict.Cause})
		case retry.Again, retry.AwaitMap:
			if failed, ok := result.(forward.Responded); ok {
				_ = failed.Body.Close()
			}
			f.release(visit, result)
		}
	}
}

// mostSends bounds the attempts at one request, those at unreachable upstreams included.
const mostSends = 8

// explain names the failed attempt as the cause if the deadline leaves no time for another one.
func (f *flight) explain(refused refusal) refusal {
	late := refused.cause == cause.DeadlineUnmeetable || refused.cause == cause.DeadlinePassed
	if late && len(f.record.Attempts) > 0 {
		refused.cause = f.lastCause()
	}
	return refused
}

func (f *flight) facts() retry.Request {
	return retry.Request{
		Delivery: f.request.Delivery, Keyed: f.service.Keyed(),
		CallerGone: f.caller.Err() != nil, Expired: !f.router.Clock.Now().Before(f.deadline),
		Last: f.request.Attempts > 0 && (f.reached >= f.request.Attempts || f.sent >= mostSends),
	}
}

// acquire waits for a slot at an upstream that may serve the request.
func (f *flight) acquire() (*visit, *refusal) {
	asked := f.router.Clock.Now()
	defer func() { f.record.Queued += f.router.Clock.Now().Sub(asked) }()
	if f.service.Keyed() {
		return f.acquireOwner()
	}
	if len(f.service.upstreams) == 0 {
		return nil, &refusal{outcome: cause.NotRun, cause: cause.NoUpstream}
	}
	id, refused := f.enter(f.ctx, f.service.lobby)
	if refused != nil {
		return nil, refused
	}
	one := f.service.upstreams[id]
	if one == nil { // the configuration dropped the upstream meanwhile
		f.service.lobby.leave(id, admission.Abandoned{})
		return nil, &refusal{outcome: cause.NotRun, cause: cause.NoUpstream}
	}
	return &visit{upstream: one, station: f.service.lobby}, nil
}

// enter passes the admission of a station.
func (f *flight) enter(ctx context.Context, station *station) (fleet.UpstreamID, *refusal) {
	ticket := &admission.Ticket{
		Tenant: f.request.Tenant, Arrived: f.router.Clock.Now(), Deadline: f.deadline, Avoid: f.avoid,
		Repeatable: f.request.Delivery == document.Idempotent, Bulk: f.request.Bulk,
	}
	switch verdict := station.enter(ctx, ticket).(type) {
	case admission.Admitted:
		return verdict.Upstream, nil
	case admission.Refused:
		refused := refusalOf(verdict)
		if f.caller.Err() != nil {
			refused.cause = cause.CallerGone
		}
		return "", &refused
	}
	return "", &refusal{outcome: cause.NotRun, cause: cause.QueueFull}
}

// send sends the request once.
func (f *flight) send(visit *visit) forward.Result {
	visit.began = f.router.Clock.Now()
	outgoing := &forward.Request{
		ID: f.request.ID, Method: f.request.Method, Target: f.request.Target, Header: f.request.Header,
		Body: f.request.Body, Deadline: f.deadline, Hostname: f.request.Hostname, Upstream: visit.upstream.ID,
	}
	ctx, cancel := f.ctx, context.CancelFunc(nil)
	if f.service.Keyed() {
		outgoing.Keyed, outgoing.Key = true, f.key
		outgoing.Partition, outgoing.Fence = visit.assignment.Partition, visit.assignment.Fence
		ctx, cancel = f.router.flights.add(f, visit.assignment, false)
		defer f.router.flights.drop(f)
	}
	f.service.pool.Started(visit.began, visit.upstream.ID)
	if f.sent++; f.sent == 1 {
		f.service.budget.First()
	}
	result := visit.upstream.client.Send(ctx, outgoing)
	if _, passed := result.(forward.Responded); cancel != nil && !passed {
		cancel()
	}
	f.record.Attempts = append(f.record.Attempts, cause.Attempt{
		Upstream: visit.upstream.ID, Started: visit.began, Connect: outgoing.Connect, Duration: f.router.Clock.Now().Sub(visit.began),
		Cause: retry.Cause(f.facts(), result),
	})
	return result
}

// release ends a visit and takes in what it showed.
func (f *flight) release(visit *visit, result forward.Result) {
	now := f.router.Clock.Now()
	var seen balance.Observation = balance.Unreachable{}
	var learned admission.Feedback = admission.Abandoned{}
	switch result := result.(type) {
	case forward.Responded:
		seen = balance.Answered{Latency: result.FirstByte}
		if result.Status >= http.StatusInternalServerError {
			seen = balance.Refused{}
		}
		learned = admission.Served{Latency: result.FirstByte}
		f.service.holds.reached(visit.assignment)
		if f.router.Loads != nil && f.service.Keyed() {
			f.router.Loads.Served(f.service.Name, visit.upstream.ID, f.key, result.FirstByte)
		}
	case forward.Truncated:
		seen = balance.Refused{}
	case forward.Rejected:
		seen, learned = balance.Refused{}, admission.Shed{}
		if result.Misplaced {
			seen, learned = balance.Unreachable{}, admission.Abandoned{}
		}
		if result.Draining {
			seen, learned = balance.Leaving{}, admission.Abandoned{} // says nothing of the slots
			f.service.holds.denied(now, visit.assignment)
		}
	case forward.NotOwner:
		seen = balance.Answered{Latency: now.Sub(visit.began)}
		f.service.holds.denied(now, visit.assignment)
	case forward.NotSent:
		if result.Local {
			seen = balance.Silent{}
		} else if f.service.Keyed() {
			f.service.holds.unreachable(now, visit.upstream.ID)
		}
	case forward.Lost:
		if result.Local {
			seen = balance.Silent{}
		}
	}
	f.service.pool.Ended(now, visit.upstream.ID, seen)
	visit.station.leave(visit.upstream.ID, learned)
}

// refuse ends the request without an answer of an upstream.
func (f *flight) refuse(refused refusal) Answer {
	if f.mayHaveRun && refused.outcome == cause.NotRun {
		refused.outcome = cause.Unknown
	}
	f.end(refused.outcome, refused.cause, refused.status)
	return Rejected{
		Outcome: refused.outcome, Cause: refused.cause, RetryAfter: refused.retryAfter, Recorded: refused.status,
	}
}

// end closes the books of the request.
func (f *flight) end(outcome cause.Outcome, why cause.Cause, status int) {
	if f.cancel != nil {
		f.cancel()
	}
	if f.claimed {
		f.router.Claims.Finish(f.claimKey(), once.Ending{Outcome: outcome, Cause: why, Status: status})
	}
	f.record.Total = f.router.Clock.Now().Sub(f.started)
	f.record.Outcome, f.record.Cause = outcome, why
	if f.router.Recorder != nil {
		f.router.Recorder.Record(f.record)
	}
}
