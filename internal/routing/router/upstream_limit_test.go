package router

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"rosemarywick.example/rosemarywick/internal/core/cause"
	"rosemarywick.example/rosemarywick/internal/core/document"
	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/routing/ratelimit"
	"rosemarywick.example/rosemarywick/internal/upstream/forward"
	"rosemarywick.example/rosemarywick/internal/upstream/notices"
)

// movingOwner is an ownership map with one owner of all keys.
type movingOwner struct{ assignment fleet.Assignment }

func (o *movingOwner) Locate(fleet.ServiceName, fleet.KeyHash) (fleet.Assignment, bool) {
	return o.assignment, true
}
func (*movingOwner) Changed() <-chan struct{} { return nil }

// reserveFunc decides about each request.
type reserveFunc func(maxWait time.Duration) ratelimit.Decision

func (f reserveFunc) Reserve(_ context.Context, _ fleet.UpstreamID, _ ratelimit.Limit, maxWait time.Duration) ratelimit.Decision {
	return f(maxWait)
}

// configuration is a document that stays in force.
type configuration struct{ current *document.Document }

func (c configuration) Current() *document.Document { return c.current }

// Guards against a request that is sent to a server from which its key moved while the request waited because of the server's
// limit, and against one that waits longer than its target allows.
func TestKeyMovesWhileRequestWaitsForLimit(t *testing.T) {
	for name, test := range map[string]struct {
		moves bool
		want  fleet.UpstreamID
	}{"stays": {false, "a"}, "moves": {true, "b"}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			owner := &movingOwner{fleet.Assignment{Owner: "a", Fence: fleet.Fence{Counter: 1}}}
			book := &notices.Book{Log: zerolog.Nop(), Now: time.Now}
			var upstreams []document.Upstream
			for _, id := range []fleet.UpstreamID{"a", "b"} {
				// Nothing listens at the zero address, so that the attempt shows where the request is sent.
				upstreams = append(upstreams, document.Upstream{ID: id})
				book.Record(notices.Exchange{
					Source: notices.Source{ID: id}, Complete: true, Notices: []forward.Notice{forward.RateLimit{PerSecond: 1}},
				})
			}
			asked := 0
			r := &Router{
				Clock: timer.System{}, OwnershipMap: owner, Notices: book,
				Config: configuration{&document.Document{Services: []document.Service{{
					Name: "s", Guard: fleet.GuardHold, Key: document.KeyNumericHeader{Name: "k"}, Timeout: 100 * time.Millisecond, QueueLimit: 9,
					Slots: 2, Upstreams: upstreams,
				}}}},
				RateLimits: reserveFunc(func(maxWait time.Duration) ratelimit.Decision {
					is.True(maxWait <= 100*time.Millisecond)
					if asked++; asked == 1 && test.moves {
						owner.assignment = fleet.Assignment{Owner: "b", Fence: fleet.Fence{Counter: 2}}
					}
					return ratelimit.Granted{Wait: time.Millisecond}
				}),
			}
			var record cause.Record
			r.Recorder = recorderFunc(func(ended cause.Record) { record = ended })
			r.Do(t.Context(), &Request{
				ID: "r", Service: "s", Method: http.MethodGet, Target: "/", Key: "7", LatencyTarget: 200 * time.Millisecond, MaxAttempts: 1,
			})
			is.True(len(record.Attempts) > 0)
			is.Equal(record.Attempts[0].Upstream, test.want)
		})
	}
}

type recorderFunc func(cause.Record)

func (f recorderFunc) Record(record cause.Record) { f(record) }
