package ratelimit_test

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/routing/ratelimit"
)

// window and slack are those of the platform: within a window an upstream may get one and a half times its limit, and slack requests.
const (
	window = 4 * time.Second
	slack  = 5
)

// Guards against more requests to an upstream than it takes, whenever they arrive and however its limit changes.
func TestRateIsKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limiter, now := &ratelimit.Limiter{}, time.Unix(1000, 0)
		rate := rapid.Float64Range(0.3, 60).Draw(t, "rate")
		var sent []time.Time
		for range 400 {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "step")) * time.Millisecond)
			maxWait := time.Duration(rapid.IntRange(0, 800).Draw(t, "wait")) * time.Millisecond
			if granted, ok := limiter.Reserve(now, "u", ratelimit.Rate{Reason: ratelimit.Stated, PerSecond: rate}, maxWait).(ratelimit.Granted); ok {
				if granted.Wait > maxWait {
					t.Fatalf("waits for %v of %v", granted.Wait, maxWait)
				}
				sent = append(sent, now.Add(granted.Wait))
			}
		}
		for _, start := range sent {
			count := 0
			for _, at := range sent {
				if !at.Before(start) && at.Before(start.Add(window)) {
					count++
				}
			}
			if float64(count) > 1.5*rate*window.Seconds()+slack {
				t.Fatalf("%d requests within %v at %v a second", count, window, rate)
			}
		}
	})
}

// Guards against requests that are refused although the upstream gets fewer than it takes.
func TestRateBelowLimitIsGranted(t *testing.T) {
	is := is.New(t)
	limiter, now := &ratelimit.Limiter{}, time.Unix(1000, 0)
	limiter.Reserve(now, "u", ratelimit.Rate{PerSecond: 8}, 0)
	now = now.Add(time.Second) // an upstream that is not known yet gets nothing at first
	for range 100 {
		now = now.Add(125 * time.Millisecond)
		_, granted := limiter.Reserve(now, "u", ratelimit.Rate{PerSecond: 8}, 200*time.Millisecond).(ratelimit.Granted)
		is.True(granted)
	}
}

// Guards against an upstream that named a limit of zero and gets no request ever, so that no response can lift it.
func TestZeroRateIsTried(t *testing.T) {
	is := is.New(t)
	limiter, now, count := &ratelimit.Limiter{}, time.Unix(1000, 0), 0
	for range 200 {
		now = now.Add(100 * time.Millisecond)
		if _, ok := limiter.Reserve(now, "u", ratelimit.Rate{}, 0).(ratelimit.Granted); ok {
			count++
		}
	}
	is.True(count >= 3 && count <= 6)
}

// Guards against schedules of upstreams that are gone, which would fill the memory over weeks.
func TestIdleSchedulesAreRemoved(t *testing.T) {
	is := is.New(t)
	limiter, now := &ratelimit.Limiter{}, time.Unix(1000, 0)
	for i := range 1000 {
		now = now.Add(10 * time.Second)
		limiter.Reserve(now, fleet.UpstreamID(rune('a'+i)), ratelimit.Rate{PerSecond: 1}, 0)
	}
	is.True(limiter.Size() <= 15)
}

// Guards against a process that ends because an upstream names a limit without sense.
func TestExtremeRates(t *testing.T) {
	allowance := ratelimit.Allowance{Factor: 1.5, Extra: slack, Window: window}
	for _, limit := range []float64{0, 1e-300, 1e9, 1e300, math.MaxFloat64} {
		for _, staggered := range []bool{false, true} {
			limiter := &ratelimit.Limiter{Staggered: staggered}
			rate := ratelimit.Limit{PerSecond: limit, Allowance: allowance}.Rate()
			limiter.Reserve(time.Unix(1000, 0), "u", rate, 0)
			limiter.Reserve(time.Unix(1001, 0), "u", ratelimit.Share(rate, 295), time.Second)
		}
	}
}
