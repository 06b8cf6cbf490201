// Package timer provides the clock that all parts of a daemon use. No other package reads the system clock, sleeps, or
// creates timers of its own, so that tests can run every part on a manual clock.
package timer

import (
	"context"
	"time"
)

// Clock tells the time and wakes its subscribers.
type Clock interface {
	// Now returns the current time. It includes a monotonic reading for measuring durations.
	Now() time.Time
	// Every returns a subscription that is woken at each multiple of interval from now on. A subscriber that is late misses
	// wake-ups; they are not queued.
	Every(interval time.Duration) *Subscription
	// After returns a subscription that is woken once, after delay.
	After(delay time.Duration) *Subscription
}

// Subscription delivers wake-ups to one subscriber.
type Subscription struct {
	// C receives the time of each wake-up. It is never closed.
	C <-chan time.Time

	stop func()
}

// Stop ends the subscription. Further calls have no effect.
func (s *Subscription) Stop() {
	s.stop()
}

// Wait blocks until delay has passed or ctx ends. If ctx ends first, it returns the cause.
func Wait(ctx context.Context, clock Clock, delay time.Duration) error {
	wake := clock.After(delay)
	defer wake.Stop()
	select {
	case <-wake.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// System is the system clock. The zero value is ready for use.
type System struct{}

var _ Clock = System{}

// Now returns the current time of the system clock.
func (System) Now() time.Time {
	return time.Now()
}

// Every returns a subscription to a time.Ticker.
func (System) Every(interval time.Duration) *Subscription {
	ticker := time.NewTicker(interval)
	return &Subscription{C: ticker.C, stop: ticker.Stop}
}

// After returns a subscription to a time.Timer.
func (System) After(delay time.Duration) *Subscription {
	wake := time.NewTimer(delay)
	return &Subscription{C: wake.C, stop: func() { wake.Stop() }}
}
