package entry

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/peer/relay"
	"rosemarywick.example/rosemarywick/internal/routing/ratelimit"
)

// silentKeeper can't be asked.
type silentKeeper struct{}

func (silentKeeper) Reserve(context.Context, fleet.UpstreamID, ratelimit.Rate, time.Duration) (ratelimit.Decision, error) {
	return nil, errors.New("no response")
}

// Guards against an upstream that a daemon avoids for minutes, and callers that are told to return then, because the relay that
// keeps the upstream's limit did not respond once.
func TestDeniedShareIsShort(t *testing.T) {
	is := is.New(t)
	limits := &upstreamLimits{
		keeper: silentKeeper{}, daemonCount: func() (int, bool) { return 295, true }, clock: timer.System{}, own: ratelimit.Limiter{Staggered: true},
	}
	for range 10 {
		if denied, ok := limits.Reserve(t.Context(), "u", ratelimit.Limit{PerSecond: 2}, 0).(ratelimit.Denied); ok {
			is.True(denied.RetryAfter <= relay.ReservePause)
		}
	}
}
