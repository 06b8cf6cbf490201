package entry

import (
	"context"
	"sync/atomic"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/peer/relay"
	"rosemarywick.example/rosemarywick/internal/routing/ratelimit"
	"rosemarywick.example/rosemarywick/internal/routing/router"
)

// keeper asks the relay that keeps the limit of an upstream.
type keeper interface {
	Reserve(
		ctx context.Context, upstream fleet.UpstreamID, rate ratelimit.Rate, maxWait time.Duration,
	) (ratelimit.Decision, error)
}

// upstreamLimits admits requests to upstreams that take a limited number of requests from all daemons. One relay decides for all
// daemons. While it can't be asked, this daemon uses its own share, which may be a request in minutes; requests that are denied
// return when the relay is asked again.
type upstreamLimits struct {
	keeper keeper
	// daemonCount returns the number of daemons, or false if it is not known.
	daemonCount func() (int, bool)
	clock       timer.Clock
	// own admits requests while the keeper can't be asked.
	own ratelimit.Limiter
	// deniedStated and deniedCold count the requests that were denied, by the reason of the limit.
	deniedStated, deniedCold atomic.Int64
}

var _ router.RateLimits = (*upstreamLimits)(nil)

// Reserve admits a request, as router.RateLimits says.
func (l *upstreamLimits) Reserve(
	ctx context.Context, upstream fleet.UpstreamID, limit ratelimit.Limit, maxWait time.Duration,
) ratelimit.Decision {
	rate := limit.Rate()
	decision, err := l.keeper.Reserve(ctx, upstream, rate, maxWait)
	if err != nil {
		decision = l.reserveShare(upstream, rate, maxWait)
	}
	if _, denied := decision.(ratelimit.Denied); denied {
		l.countDenied(rate.Reason)
	}
	return decision
}

// reserveShare admits a request under this daemon's share of the rate. The share of a cold upstream is nothing while the number
// of daemons is not known, because each of many daemons would take all of it.
func (l *upstreamLimits) reserveShare(upstream fleet.UpstreamID, rate ratelimit.Rate, maxWait time.Duration) ratelimit.Decision {
	daemons, known := l.daemonCount()
	if rate.Reason == ratelimit.Cold && !known {
		return ratelimit.Denied{RetryAfter: relay.ReservePause}
	}
	decision := l.own.Reserve(l.clock.Now(), upstream, ratelimit.Share(rate, daemons), maxWait)
	if denied, ok := decision.(ratelimit.Denied); ok {
		return ratelimit.Denied{RetryAfter: min(denied.RetryAfter, relay.ReservePause)}
	}
	return decision
}

func (l *upstreamLimits) countDenied(reason ratelimit.Reason) {
	if reason == ratelimit.Cold {
		l.deniedCold.Add(1)
	} else {
		l.deniedStated.Add(1)
	}
}

// Denied returns the number of requests that were denied so far.
func (l *upstreamLimits) Denied(reason ratelimit.Reason) int {
	if reason == ratelimit.Cold {
		return int(l.deniedCold.Load())
	}
	return int(l.deniedStated.Load())
}
