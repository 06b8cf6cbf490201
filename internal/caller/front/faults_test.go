package front_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"rosemarywick.example/rosemarywick/internal/core/cause"
	"rosemarywick.example/rosemarywick/internal/upstream/standin"
)

// Guards against an outcome that contradicts what the only worker did with the request. Each fault occurs at every attempt.
func TestReportedOutcomeUnderFaults(t *testing.T) {
	cases := []struct {
		fault   standin.Fault
		path    string
		outcome cause.Outcome
		cause   cause.Cause
		effects int
	}{
		{standin.FaultNone, "/tasks/push", cause.Complete, cause.OK, 1},
		{standin.FaultNone, "/stock/push", cause.Complete, cause.OK, 1},
		{standin.FaultReject, "/tasks/push", cause.NotRun, cause.RetryBudget, 0},
		{standin.FaultNotOwner, "/stock/push", cause.NotRun, cause.NotOwner, 0},
		{standin.FaultResetBeforeBody, "/tasks/push", cause.Unknown, cause.UpstreamReset, 0},
		{standin.FaultResetAfterBody, "/tasks/push", cause.Unknown, cause.UpstreamReset, 0},
		{standin.FaultResetAfterRun, "/tasks/push", cause.Unknown, cause.UpstreamReset, 1},
		{standin.FaultResetAfterRun, "/tasks/pay", cause.Unknown, cause.UpstreamReset, 1},
		{standin.FaultTruncate, "/tasks/push", cause.Unknown, cause.ResponseTruncated, 1},
		{standin.FaultSlow, "/tasks/push", cause.Complete, cause.OK, 1},
		{standin.FaultNoResponse, "/tasks/push", cause.Unknown, cause.DeadlinePassed, 1},
	}
	for _, test := range cases {
		t.Run(string(test.fault)+test.path, func(t *testing.T) {
			is := is.New(t)
			fixture := newFixture(t, 1, 1, func(w *standin.Worker) { w.InjectFault = func(*http.Request) standin.Fault { return test.fault } })
			id := "r-1"
			response := fixture.call(0, http.MethodPost, test.path, id, "Key", "k", "Idempotency-Key", "i")
			is.NoErr(response.err)
			is.Equal(response.outcome, test.outcome)
			is.Equal(response.cause, test.cause)
			is.Equal(fixture.ran(id).Effects, test.effects)
			if test.outcome == cause.Complete {
				is.Equal(strings.TrimSpace(string(response.body)), "ran "+id) // the response to this request
			}
		})
	}
}
