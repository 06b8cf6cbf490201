package router

import (
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"rosemarywick.example/rosemarywick/internal/core/cause"
	"rosemarywick.example/rosemarywick/internal/core/document"
	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/routing/balance"
	"rosemarywick.example/rosemarywick/internal/upstream/standin"
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
					HoldFull: true,
					Clock:    timer.System{}, OwnershipMap: fixedOwners{fleet.Assignment{Owner: "a"}}, HostCount: func() int { return 87 },
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

// Guards against a request that is sent to a full server again and again, and against further requests that the server rejects as
// well: after a rejection, the daemon refuses at once. Without priorities, the request is repeated within the budget.
func TestRejectionByFullServer(t *testing.T) {
	for name, test := range map[string]struct {
		priority int
		repeated bool
	}{"with priorities": {1, false}, "without priorities": {0, true}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var arrived atomic.Int64
			worker := &standin.Worker{InjectFault: func(*http.Request) standin.Fault {
				arrived.Add(1)
				return standin.FaultReject
			}}
			is.NoErr(worker.Start(t.Context()))
			defer worker.Stop()
			service := document.Service{
				Name: "s", Timeout: 1200 * time.Millisecond, LatencyTarget: 400 * time.Millisecond, QueueLimit: 9, Slots: 3,
				MaxConnections: 580, Key: document.KeyNumericHeader{Name: "k"}, Guard: fleet.GuardHold,
				Upstreams: []document.Upstream{{ID: "a", Address: worker.Address()}},
			}
			r := &Router{
				HoldFull: true,
				Clock:    timer.System{}, OwnershipMap: fixedOwners{fleet.Assignment{Owner: "a"}}, HostCount: func() int { return 87 },
				Config: configuration{&document.Document{
					Services: []document.Service{service}, Entries: []document.Entry{{}, {Priority: test.priority}},
				}},
			}
			defer r.Close()
			request := &Request{
				ID: "r", Service: "s", Method: http.MethodPost, Target: "/", Key: "7", Priority: 1, MaxAttempts: 3,
			}
			for range 3 {
				response, ok := r.Do(t.Context(), request).(Rejected)
				is.True(ok)
				is.Equal(response.Outcome, cause.NotRun)
			}
			is.Equal(arrived.Load() > 1, test.repeated)
		})
	}
}
