// Package retry decides what follows one sending of a request: pass the answer on, send again, wait for a newer map, or
// tell the caller what is known. It exists apart from the router so that the rules can be tested without connections.
package retry

import (
	"net/http"

	"rosemarywick.example/rosemarywick/internal/core/cause"
	"rosemarywick.example/rosemarywick/internal/core/document"
	"rosemarywick.example/rosemarywick/internal/upstream/forward"
)

// Verdict is what follows one sending. It is one of Pass, Again, AwaitMap and Stop.
type Decision interface {
	decision()
}

// Pass hands the answer to the caller.
type PassThrough struct {
	Response forward.Responded
}

// Again sends the request once more, to another upstream if there is one.
type Resend struct {
	// Cause says what went wrong with the sending before.
	Cause cause.Cause
}

// AwaitMap sends a keyed request again when the map names a newer assignment.
type AwaitMap struct {
	// Cause says what went wrong with the sending before.
	Cause cause.Cause
}

// Stop tells the caller what is known.
type Stop struct {
	Outcome cause.Outcome
	Cause   cause.Cause
}

func (PassThrough) decision() {}
func (Resend) decision()      {}
func (AwaitMap) decision()    {}
func (Stop) decision()        {}

// Request is what the rules need to know of a request.
type Request struct {
	Delivery document.Delivery
	Keyed    bool
	// CallerGone and Expired say why an attempt ended on this side.
	CallerGone, Expired bool
	// Last is set when the request has been sent to as many upstreams as its entry allows.
	AttemptsExhausted bool
}

// Decide returns what follows a sending. Sending again takes a token from the budget. Waiting for the map takes none
// unless the budget is strict: the router holds back the requests for a server or partition that is known to be useless,
// so that at most one trial for each follows in 250 ms.
func Decide(request Request, result forward.Result, budget *Budget) Decision {
	verdict := rule(request, result)
	switch verdict := verdict.(type) {
	case PassThrough, Stop:
		return verdict
	case AwaitMap:
		if !budget.Strict || !MayHaveReached(result) || budget.Take() {
			return verdict
		}
	case Resend:
		if budget.Strict && !MayHaveReached(result) || budget.Take() {
			return verdict
		}
	}
	if answer, ok := result.(forward.Responded); ok {
		return PassThrough{Response: answer}
	}
	return Stop{Outcome: OutcomeOf(result), Cause: cause.RetryBudget}
}

// Reached reports whether a byte of the request may have reached the upstream.
func MayHaveReached(result forward.Result) bool {
	_, unsent := result.(forward.NotSent)
	return !unsent
}

func rule(request Request, result forward.Result) Decision {
	why := CauseOf(request, result)
	stop := Stop{Outcome: OutcomeOf(result), Cause: why}
	again := Decision(Resend{Cause: why})
	if request.CallerGone || request.Expired || request.AttemptsExhausted {
		again = stop
	}
	switch result := result.(type) {
	case forward.Responded:
		// An upstream that fails may be the only one that does.
		if result.Status >= http.StatusInternalServerError && request.Delivery == document.Idempotent && again != stop {
			return again
		}
		return PassThrough{Response: result}
	case forward.Rejected:
		if result.Draining { // a keyed server that is leaving rejects until its keys have moved
			return awaitOr(request, again, why)
		}
		return again
	case forward.NotOwner:
		return awaitOr(request, again, why)
	case forward.NotSent:
		return awaitOr(request, again, why)
	case forward.Lost, forward.Truncated:
		if request.Delivery == document.Idempotent {
			return again
		}
	}
	return stop
}

// awaitOr waits for the map instead of sending a keyed request to the same server at once.
func awaitOr(request Request, again Decision, why cause.Cause) Decision {
	if _, stopped := again.(Stop); request.Keyed && !stopped {
		return AwaitMap{Cause: why}
	}
	return again
}

// Outcome returns what is known about the effect of a sending that brought no answer.
func OutcomeOf(result forward.Result) cause.Outcome {
	switch result.(type) {
	case forward.Rejected, forward.NotOwner, forward.NotSent:
		return cause.NotRun
	case forward.Responded:
		return cause.Complete
	}
	return cause.Unknown
}

// Cause returns the cause that describes the result of a sending.
func CauseOf(request Request, result forward.Result) cause.Cause {
	local := cause.NotOwner // the attempt was given up because the map names another owner
	switch {
	case request.CallerGone:
		local = cause.CallerGone
	case request.Expired:
		local = cause.DeadlinePassed
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
		if result.Local {
			return local
		}
		return cause.UpstreamUnreachable
	case forward.Lost:
		if result.Local {
			return local
		}
		return cause.UpstreamReset
	}
	return cause.AnswerCut
}
