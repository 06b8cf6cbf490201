package entry

import (
	"context"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/peer/relay"
	"rosemarywick.example/rosemarywick/internal/routing/ratelimit"
	"rosemarywick.example/rosemarywick/internal/routing/router"
)

// keeper asks the relay that keeps the limit of an upstream.
type keeper interface {
	Reserve(ctx context.Context, upstream fleet.UpstreamID, rate float64, maxWait time.Duration) (ratelimit.Decision, error)
}

// upstreamLimits admits requests to upstreams that take a limited number of requests from all daemons. One relay decides for all
// daemons. While it can't be asked, this daemon uses its own share, which may be a request in minutes; requests that are denied
// return when the relay is asked again.
type upstreamLimits struct {
	keeper keeper
	// allowance is what the deployment accepts as obeying a limit.
	allowance   ratelimit.Allowance
	daemonCount func() int
	clock       timer.Clock
	// own admits requests while the keeper can't be asked.
	own ratelimit.Limiter
}

var _ router.RateLimits = (*upstreamLimits)(nil)

// Reserve admits a request, as router.RateLimits says.
func (l *upstreamLimits) Reserve(
	ctx context.Context, upstream fleet.UpstreamID, limit float64, maxWait time.Duration,
) ratelimit.Decision {
	rate := l.allowance.Rate(limit)
	decision, err := l.keeper.Reserve(ctx, upstream, rate, maxWait)
	if err == nil {
		return decision
	}
	decision = l.own.Reserve(l.clock.Now(), upstream, ratelimit.Share(rate, l.daemonCount()), maxWait)
	if denied, ok := decision.(ratelimit.Denied); ok {
		return ratelimit.Denied{RetryAfter: min(denied.RetryAfter, relay.ReservePause)}
	}
	return decision
}
