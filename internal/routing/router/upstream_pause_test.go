package router

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"rosemarywick.example/rosemarywick/internal/core/cause"
	"rosemarywick.example/rosemarywick/internal/core/document"
	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/routing/admission"
	"rosemarywick.example/rosemarywick/internal/upstream/forward"
	"rosemarywick.example/rosemarywick/internal/upstream/notices"
)

// Guards against a request that is sent to an upstream in a pause, that waits for the end of one which comes too late for it, or that is
// refused although it could wait or another upstream could run it.
func TestPauseOfUpstreams(t *testing.T) {
	const target = time.Second
	for name, test := range map[string]struct {
		keyed bool
		// pauses holds the pause of each upstream, if it has one.
		pauses map[fleet.UpstreamID]time.Duration
		// sentTo is empty if the request is refused at once.
		sentTo fleet.UpstreamID
		waits  bool
	}{
		"owner, short":        {true, map[fleet.UpstreamID]time.Duration{"a": 300 * time.Millisecond}, "a", true},
		"owner, long":         {true, map[fleet.UpstreamID]time.Duration{"a": 2 * time.Second}, "", false},
		"another server":      {true, map[fleet.UpstreamID]time.Duration{"b": 2 * time.Second}, "a", false},
		"one of two":          {false, map[fleet.UpstreamID]time.Duration{"a": 2 * time.Second}, "b", false},
		"all for a long time": {false, map[fleet.UpstreamID]time.Duration{"a": 2 * time.Second, "b": 3 * time.Second}, "", false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				book := &notices.Book{Log: zerolog.Nop(), Now: time.Now}
				service := document.Service{Name: "s", Timeout: 3 * time.Second, QueueLimit: 9, Slots: 2}
				if test.keyed {
					service.Guard, service.Key = fleet.GuardHold, document.KeyNumericHeader{Name: "k"}
				}
				for _, id := range []fleet.UpstreamID{"a", "b"} {
					// Nothing listens at the zero address, so that the attempt shows where the request is sent.
					service.Upstreams = append(service.Upstreams, document.Upstream{ID: id})
					if pause := test.pauses[id]; pause > 0 {
						book.Record(notices.Exchange{
							Source: notices.Source{ID: id}, Notices: []forward.Notice{forward.Pause{Duration: pause}},
						})
					}
				}
				var record cause.Record
				r := &Router{
					Clock: timer.System{}, OwnershipMap: &movingOwner{fleet.Assignment{Owner: "a"}}, Notices: book,
					Config:   configuration{&document.Document{Services: []document.Service{service}}},
					Recorder: recorderFunc(func(ended cause.Record) { record = ended }),
				}
				response, ok := r.Do(t.Context(), &Request{
					ID: "r", Service: "s", Method: http.MethodGet, Target: "/", Key: "7", LatencyTarget: target, MaxAttempts: 1,
				}).(Rejected)
				is.True(ok)
				is.Equal(response.Outcome, cause.NotRun)
				if test.sentTo == "" {
					is.Equal(response.Cause, cause.UpstreamPaused)
					is.True(response.RetryAfter >= 2*time.Second)
					is.Equal(len(record.Attempts), 0)
					is.Equal(record.TotalTime, time.Duration(0))
					return
				}
				is.True(len(record.Attempts) > 0)
				is.Equal(record.Attempts[0].Upstream, test.sentTo)
				is.Equal(record.Attempts[0].Started.Sub(record.Started) >= 300*time.Millisecond, test.waits)
			})
		})
	}
}

// Guards against requests that wait in a queue until their deadline although all upstreams have asked for a pause meanwhile.
func TestWaitingRequestsAreRefused(t *testing.T) {
	is := is.New(t)
	queue := newAdmissionQueue(timer.System{})
	queue.configure(func(controller *admission.Controller) {
		controller.QueueLimit = 9
		controller.NewLimit = func(fleet.UpstreamID) admission.Limit { return admission.StaticLimit{Slots: 1, Hosts: 1} }
		controller.ChooseUpstream = func(time.Time, *admission.Request, func(fleet.UpstreamID) bool) (fleet.UpstreamID, bool) {
			return "", false
		}
	})
	decided := make(chan admission.Decision)
	now := time.Now()
	go func() {
		decided <- queue.admit(t.Context(), &admission.Request{Arrived: now, Deadline: now.Add(time.Hour)})
	}()
	refusal := admission.Refused{Cause: cause.UpstreamPaused, RetryAfter: time.Second}
	for !queue.hasWaiting() {
		is.NoErr(timer.Wait(t.Context(), timer.System{}, time.Millisecond))
	}
	queue.refuseWaiting(refusal)
	is.Equal(<-decided, admission.Decision(refusal))
}
