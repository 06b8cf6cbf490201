package retry_test

import (
	"testing"

	"github.com/matryer/is"

	"rosemarywick.example/rosemarywick/internal/core/cause"
	"rosemarywick.example/rosemarywick/internal/core/document"
	"rosemarywick.example/rosemarywick/internal/routing/retry"
	"rosemarywick.example/rosemarywick/internal/upstream/forward"
)

// Guards against a repetition of a request that may have run, and against a request that is given up too early.
func TestDecide(t *testing.T) {
	idempotent := retry.Request{Delivery: document.Idempotent}
	push := retry.Request{Delivery: document.NonIdempotent}
	pay := retry.Request{Delivery: document.AtMostOnce}
	keyed := retry.Request{Delivery: document.AtMostOnce, Keyed: true}
	expired := retry.Request{Delivery: document.Idempotent, Expired: true}
	gone := retry.Request{Delivery: document.Idempotent, CallerGone: true}
	cases := []struct {
		name    string
		request retry.Request
		result  forward.Result
		want    retry.Decision
	}{
		{"answer", pay, forward.Responded{Status: 500}, retry.PassThrough{Response: forward.Responded{Status: 500}}},
		{"rejected", pay, forward.Rejected{}, retry.Resend{Cause: cause.UpstreamRefused}},
		{"rejected keyed", keyed, forward.Rejected{}, retry.Resend{Cause: cause.UpstreamRefused}},
		{"draining", push, forward.Rejected{Draining: true}, retry.Resend{Cause: cause.UpstreamDraining}},
		{"draining keyed", keyed, forward.Rejected{Draining: true}, retry.AwaitMap{Cause: cause.UpstreamDraining}},
		{"not sent", pay, forward.NotSent{}, retry.Resend{Cause: cause.UpstreamUnreachable}},
		{"not sent keyed", keyed, forward.NotSent{}, retry.AwaitMap{Cause: cause.UpstreamUnreachable}},
		{"not owner", keyed, forward.NotOwner{}, retry.AwaitMap{Cause: cause.NotOwner}},
		{"superseded", keyed, forward.NotSent{Local: true}, retry.AwaitMap{Cause: cause.NotOwner}},
		{"lost idempotent", idempotent, forward.Lost{}, retry.Resend{Cause: cause.UpstreamReset}},
		{"lost", push, forward.Lost{}, retry.Stop{Outcome: cause.Unknown, Cause: cause.UpstreamReset}},
		{"lost once", pay, forward.Lost{}, retry.Stop{Outcome: cause.Unknown, Cause: cause.UpstreamReset}},
		{"truncated", push, forward.Truncated{}, retry.Stop{Outcome: cause.Unknown, Cause: cause.AnswerCut}},
		{"truncated idempotent", idempotent, forward.Truncated{}, retry.Resend{Cause: cause.AnswerCut}},
		{"late", expired, forward.Lost{Local: true}, retry.Stop{Outcome: cause.Unknown, Cause: cause.DeadlinePassed}},
		{"late unsent", expired, forward.NotSent{Local: true}, retry.Stop{Outcome: cause.NotRun, Cause: cause.DeadlinePassed}},
		{"gone", gone, forward.Lost{Local: true}, retry.Stop{Outcome: cause.Unknown, Cause: cause.CallerGone}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(retry.Decide(test.request, test.result, &retry.Budget{}), test.want)
			want := test.want
			if _, again := want.(retry.Resend); again { // the other verdicts take nothing from the budget
				want = retry.Stop{Outcome: retry.OutcomeOf(test.result), Cause: cause.RetryBudget}
			}
			is.Equal(retry.Decide(test.request, test.result, spent()), want)
		})
	}
}

// spent returns a budget that is used up.
func spent() *retry.Budget {
	budget := &retry.Budget{}
	for budget.Take() {
	}
	return budget
}

// Guards against more than one retry for ten first attempts, beyond the reserve of 10.
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
