package retry_test

import (
	"testing"

	"github.com/matryer/is"

	"rosemarywick.example/rosemarywick/internal/core/cause"
	"rosemarywick.example/rosemarywick/internal/core/document"
	"rosemarywick.example/rosemarywick/internal/routing/retry"
	"rosemarywick.example/rosemarywick/internal/upstream/forward"
)

// Guards against resending a request that may have run, and against stopping although the request can be sent again.
func TestDecide(t *testing.T) {
	idempotent := retry.Request{Delivery: document.Idempotent}
	nonIdempotent := retry.Request{Delivery: document.NonIdempotent}
	atMostOnce := retry.Request{Delivery: document.AtMostOnce}
	keyedAtMostOnce := retry.Request{Delivery: document.AtMostOnce, Keyed: true}
	expired := retry.Request{Delivery: document.Idempotent, Expired: true}
	callerGone := retry.Request{Delivery: document.Idempotent, CallerGone: true}
	cases := []struct {
		name    string
		request retry.Request
		result  forward.Result
		want    retry.Decision
	}{
		{"response", atMostOnce, forward.Responded{Status: 500}, retry.PassThrough{Response: forward.Responded{Status: 500}}},
		{"rejected", atMostOnce, forward.Rejected{}, retry.Resend{Cause: cause.UpstreamRefused}},
		{"rejected keyed", keyedAtMostOnce, forward.Rejected{}, retry.Resend{Cause: cause.UpstreamRefused}},
		{"draining", nonIdempotent, forward.Rejected{Draining: true}, retry.Resend{Cause: cause.UpstreamDraining}},
		{"draining keyed", keyedAtMostOnce, forward.Rejected{Draining: true}, retry.AwaitMap{Cause: cause.UpstreamDraining}},
		{"not sent", atMostOnce, forward.NotSent{}, retry.Resend{Cause: cause.UpstreamUnreachable}},
		{"not sent keyed", keyedAtMostOnce, forward.NotSent{}, retry.AwaitMap{Cause: cause.UpstreamUnreachable}},
		{"not owner", keyedAtMostOnce, forward.NotOwner{}, retry.AwaitMap{Cause: cause.NotOwner}},
		{"canceled because the map changed", keyedAtMostOnce, forward.NotSent{ContextDone: true}, retry.AwaitMap{Cause: cause.NotOwner}},
		{"connection lost, idempotent", idempotent, forward.NoResponse{}, retry.Resend{Cause: cause.UpstreamReset}},
		{"connection lost, non-idempotent", nonIdempotent, forward.NoResponse{}, retry.Stop{Outcome: cause.Unknown, Cause: cause.UpstreamReset}},
		{"connection lost, at most once", atMostOnce, forward.NoResponse{}, retry.Stop{Outcome: cause.Unknown, Cause: cause.UpstreamReset}},
		{"truncated, non-idempotent", nonIdempotent, forward.Truncated{}, retry.Stop{Outcome: cause.Unknown, Cause: cause.ResponseTruncated}},
		{"truncated, idempotent", idempotent, forward.Truncated{}, retry.Resend{Cause: cause.ResponseTruncated}},
		{"late, sent", expired, forward.NoResponse{ContextDone: true}, retry.Stop{Outcome: cause.Unknown, Cause: cause.DeadlinePassed}},
		{"late, not sent", expired, forward.NotSent{ContextDone: true}, retry.Stop{Outcome: cause.NotRun, Cause: cause.DeadlinePassed}},
		{"caller disconnected", callerGone, forward.NoResponse{ContextDone: true}, retry.Stop{Outcome: cause.Unknown, Cause: cause.CallerGone}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(retry.Decide(test.request, test.result, &retry.Budget{}), test.want)
			want := test.want
			if _, isResend := want.(retry.Resend); isResend { // the other decisions are not charged to the budget
				want = retry.Stop{Outcome: retry.OutcomeOf(test.result), Cause: cause.RetryBudget}
			}
			is.Equal(retry.Decide(test.request, test.result, usedUpBudget()), want)
		})
	}
}

// usedUpBudget returns a budget with no retry left.
func usedUpBudget() *retry.Budget {
	budget := &retry.Budget{}
	for budget.Take() {
	}
	return budget
}

// Guards against more than one retry for every ten first attempts, in addition to the burst of 10.
func TestBudget(t *testing.T) {
	is := is.New(t)
	budget := &retry.Budget{}
	taken := 0
	for range 10_000 {
		budget.RecordFirstAttempt()
		for budget.Take() {
			taken++
		}
	}
	is.True(taken <= 1010 && taken > 950)
}

// Guards against daemons that never retry, since each one's share of the fleet's burst is less than one retry, and against a
// fleet of them that retries more than it may. The load is that of 87 daemons with a ratio of 0.2 and a burst of 64.
func TestBudgetOfManyDaemons(t *testing.T) {
	is := is.New(t)
	const daemons, attempts, burst, ratio = 87, 200, 64.0, 0.2
	taken, startingWith := 0, 0
	for range daemons {
		budget := &retry.Budget{Ratio: ratio, Strict: true, Burst: func() float64 { return burst / daemons }}
		for budget.Take() {
			startingWith++
		}
		for range attempts {
			budget.RecordFirstAttempt()
			for budget.Take() {
				taken++
			}
		}
	}
	is.Equal(startingWith, 0)
	is.True(float64(taken) <= ratio*daemons*attempts+burst)
	is.True(float64(taken) >= 0.85*ratio*daemons*attempts)
}

// Guards against the few retries of a daemon among many being used up at servers that have just rejected a request. In a
// simulation of 87 daemons and one server with 1.5 times its load, such retries raised the rejections from 28 to 40 percent and
// served no more.
func TestScarceRetriesAreKept(t *testing.T) {
	is := is.New(t)
	budget := &retry.Budget{Burst: func() float64 { return 0.74 }}
	for range 20 {
		budget.RecordFirstAttempt()
	}
	_, resent := retry.Decide(retry.Request{Keyed: true}, forward.Rejected{}, budget).(retry.Resend)
	is.True(!resent)
	_, resent = retry.Decide(retry.Request{}, forward.Rejected{}, budget).(retry.Resend) // another upstream may run it
	is.True(resent)
}
