// Package timer is the timer service that all parts of a daemon subscribe to. No other package reads the clock, sleeps
// or makes timers of its own, so that tests can run any part on a manual clock.
package timer

import (
	"context"
	"time"
)

// Service tells the time and wakes its subscribers.
type Clock interface {
	// Now returns the current time. Its monotonic part is what durations are measured by.
	Now() time.Time
	// Every returns a subscription that is woken at each multiple of interval from now on. A subscriber that is
	// late misses wake-ups instead of collecting them.
	Every(interval time.Duration) *Subscription
	// After returns a subscription that is woken once, when delay has passed.
	After(delay time.Duration) *Subscription
}

// Subscription delivers the wake-ups of one subscriber.
type Subscription struct {
	// C receives the time of each wake-up. It is never closed.
	C <-chan time.Time

	stop func()
}

// Stop ends the subscription. Calling it again has no effect.
func (s *Subscription) Stop() {
	s.stop()
}

// Wait blocks until delay has passed or ctx ends, and returns the context's error in the latter case.
func Wait(ctx context.Context, service Clock, delay time.Duration) error {
	wake := service.After(delay)
	defer wake.Stop()
	select {
	case <-wake.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// System is the timer service on the clock of the machine. Its zero value is ready for use.
type System struct{}

var _ Clock = System{}

// Now returns the time of the machine's clock.
func (System) Now() time.Time {
	return time.Now()
}

// Every subscribes to a ticker of the machine's clock.
func (System) Every(interval time.Duration) *Subscription {
	ticker := time.NewTicker(interval)
	return &Subscription{C: ticker.C, stop: ticker.Stop}
}

// After subscribes to a timer of the machine's clock.
func (System) After(delay time.Duration) *Subscription {
	wake := time.NewTimer(delay)
	return &Subscription{C: wake.C, stop: func() { wake.Stop() }}
}
