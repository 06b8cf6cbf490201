package router

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"rosemarywick.example/rosemarywick/internal/core/cause"
	"rosemarywick.example/rosemarywick/internal/core/document"
	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/routing/balance"
)

// Guards against a request that waits at the daemon or at a full server although it cannot be served in time, against a Retry-After
// that its caller does not honor, and against a change for configurations without priorities.
func TestRequestForFullServer(t *testing.T) {
	for name, priorities := range map[string][]document.Entry{
		"with priorities":    {{Priority: 0}, {Priority: 1}},
		"without priorities": {{}, {}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				service := document.Service{
					Name: "s", Timeout: 1200 * time.Millisecond, LatencyTarget: 400 * time.Millisecond, QueueLimit: 9, Slots: 3,
					Key: document.KeyNumericHeader{Name: "k"}, Guard: fleet.GuardHold, Upstreams: []document.Upstream{{ID: "a"}},
				}
				var record cause.Record
				r := &Router{
					Clock: timer.System{}, OwnershipMap: fixedOwners{fleet.Assignment{Owner: "a"}}, HostCount: func() int { return 87 },
					Config:   configuration{&document.Document{Services: []document.Service{service}, Entries: priorities}},
					Recorder: recorderFunc(func(ended cause.Record) { record = ended }),
				}
				defer r.Close()
				request := &Request{
					ID: "r", Service: "s", Method: http.MethodPost, Target: "/", Key: "7", Priority: 1, MaxAttempts: 1,
				}
				r.RecordLoad("s", "a", balance.Load{Running: 3, Waiting: 9}, time.Now())
				response, ok := r.Do(t.Context(), request).(Rejected)
				is.True(ok)
				is.Equal(response.Outcome, cause.NotRun)
				if priorities[1].Priority == 0 {
					is.True(len(record.Attempts) > 0) // nothing listens at the zero address
					return
				}
				is.Equal(response.Cause, cause.QueueFull)
				is.Equal(len(record.Attempts), 0)
				is.Equal(record.TotalTime, time.Duration(0))
				is.True(response.RetryAfter > 0 && response.RetryAfter <= 400*time.Millisecond)
				r.RecordLoad("s", "a", balance.Load{Running: 3}, time.Now())
				r.Do(t.Context(), request)
				is.True(len(record.Attempts) > 0) // the server is not full any longer
			})
		})
	}
}
