// Package retry decides what to do after each attempt to send a request: pass the response on, send the request again, wait
// for a newer ownership map, or stop and report what is known. It is separate from the router so that the rules can be
// tested without connections.
package retry

import (
	"net/http"

	"rosemarywick.example/rosemarywick/internal/core/cause"
	"rosemarywick.example/rosemarywick/internal/core/document"
	"rosemarywick.example/rosemarywick/internal/upstream/forward"
)

// Decision is what to do after an attempt. It is one of PassThrough, Resend, AwaitMap and Stop.
type Decision interface {
	decision()
}

// PassThrough passes the response on to the caller.
type PassThrough struct {
	Response forward.Responded
}

// Resend sends the request again, to another upstream if there is one.
type Resend struct {
	// Cause is why the previous attempt failed.
	Cause cause.Cause
}

// AwaitMap sends a keyed request again once the ownership map has a newer assignment for its key.
type AwaitMap struct {
	// Cause is why the previous attempt failed.
	Cause cause.Cause
}

// Stop ends the request and reports what is known about its effect.
type Stop struct {
	Outcome cause.Outcome
	Cause   cause.Cause
}

func (PassThrough) decision() {}
func (Resend) decision()      {}
func (AwaitMap) decision()    {}
func (Stop) decision()        {}

// Request holds the properties of a request that the decision depends on.
type Request struct {
	Delivery document.Delivery
	Keyed    bool
	// CallerGone is set if the caller disconnected, Expired if the deadline has passed.
	CallerGone, Expired bool
	// AttemptsExhausted is set once the request has been sent as often as its entry allows.
	AttemptsExhausted bool
}

// Decide returns what to do after an attempt. A Resend is charged to the budget, unless the budget is strict and the
// request cannot have reached the upstream. An AwaitMap is charged only if the budget is strict: the router holds back the
// requests for a server or partition that failed, so that each of them gets at most one trial in 250 ms.
func Decide(request Request, result forward.Result, budget *Budget) Decision {
	decision := decideByResult(request, result)
	switch decision := decision.(type) {
	case PassThrough, Stop:
		return decision
	case AwaitMap:
		if !budget.Strict || !MayHaveReached(result) || budget.Take() {
			return decision
		}
	case Resend:
		if _, rejected := result.(forward.Rejected); rejected && request.Keyed && budget.scarce() {
			break // the server has just been full, and another request may have more use of the retry
		}
		if budget.Strict && !MayHaveReached(result) || budget.Take() {
			return decision
		}
	}
	if response, ok := result.(forward.Responded); ok {
		return PassThrough{Response: response}
	}
	return Stop{Outcome: OutcomeOf(result), Cause: cause.RetryBudget}
}

// MayHaveReached reports whether any byte of the request may have reached the upstream.
func MayHaveReached(result forward.Result) bool {
	_, notSent := result.(forward.NotSent)
	return !notSent
}

// decideByResult returns the decision for the result of an attempt without regard to the budget.
func decideByResult(request Request, result forward.Result) Decision {
	reason := CauseOf(request, result)
	stop := Stop{Outcome: OutcomeOf(result), Cause: reason}
	resendOrStop := Decision(Resend{Cause: reason})
	if request.CallerGone || request.Expired || request.AttemptsExhausted {
		resendOrStop = stop
	}
	switch result := result.(type) {
	case forward.Responded:
		// Other upstreams may succeed.
		if result.Status >= http.StatusInternalServerError && request.Delivery == document.Idempotent && resendOrStop != stop {
			return resendOrStop
		}
		return PassThrough{Response: result}
	case forward.Rejected:
		if result.Draining { // a keyed server that is shutting down rejects requests until its keys have moved
			return awaitMapIfKeyed(request, resendOrStop, reason)
		}
		return resendOrStop
	case forward.NotOwner:
		return awaitMapIfKeyed(request, resendOrStop, reason)
	case forward.NotSent:
		if result.Full { // the upstream is not lost, so that waiting for the map would not help
			return resendOrStop
		}
		return awaitMapIfKeyed(request, resendOrStop, reason)
	case forward.NoResponse, forward.Truncated:
		if request.Delivery == document.Idempotent {
			return resendOrStop
		}
	}
	return stop
}

// awaitMapIfKeyed replaces a Resend of a keyed request by AwaitMap, since a Resend would go to the same server again.
func awaitMapIfKeyed(request Request, resendOrStop Decision, reason cause.Cause) Decision {
	if _, stopped := resendOrStop.(Stop); request.Keyed && !stopped {
		return AwaitMap{Cause: reason}
	}
	return resendOrStop
}

// OutcomeOf returns what the result of an attempt shows about the effect of the request.
func OutcomeOf(result forward.Result) cause.Outcome {
	switch result.(type) {
	case forward.Rejected, forward.NotOwner, forward.NotSent:
		return cause.NotRun
	case forward.Responded:
		return cause.Complete
	}
	return cause.Unknown
}

// CauseOf returns the cause that describes the result of an attempt.
func CauseOf(request Request, result forward.Result) cause.Cause {
	localCause := cause.NotOwner // the attempt was canceled because the ownership map names another owner
	switch {
	case request.CallerGone:
		localCause = cause.CallerGone
	case request.Expired:
		localCause = cause.DeadlinePassed
	}
	switch result := result.(type) {
	case forward.Responded:
		if result.Status >= http.StatusInternalServerError {
			return cause.UpstreamFailed
		}
		return cause.OK
	case forward.Rejected:
		if result.Draining {
			return cause.UpstreamDraining
		}
		return cause.UpstreamRefused
	case forward.NotOwner:
		return cause.NotOwner
	case forward.NotSent:
		if result.ContextDone {
			return localCause
		}
		if result.Full {
			return cause.UpstreamFull
		}
		return cause.UpstreamUnreachable
	case forward.NoResponse:
		if result.ContextDone {
			return localCause
		}
		return cause.UpstreamReset
	}
	return cause.ResponseTruncated
}
