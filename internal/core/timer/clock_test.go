package timer_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"rosemarywick.example/rosemarywick/internal/core/timer"
)

// Guards against a burst of outdated wake-ups for a subscriber that is late.
func TestManualDropsMissedWakeups(t *testing.T) {
	is := is.New(t)
	clock := timer.NewManual(time.Unix(0, 0))
	ticks := clock.Every(time.Second)
	defer ticks.Stop()

	clock.Advance(3500 * time.Millisecond)
	is.Equal(len(ticks.C), 1) // one wake-up for three missed intervals
	<-ticks.C
	clock.Advance(499 * time.Millisecond)
	is.Equal(len(ticks.C), 0) // the fourth second is not over
	clock.Advance(time.Millisecond)
	is.Equal(len(ticks.C), 1) // the next wake-up is still at a multiple of the interval
}

// Guards against waking a subscription that has been stopped.
func TestManualStop(t *testing.T) {
	is := is.New(t)
	clock := timer.NewManual(time.Unix(0, 0))
	wake := clock.After(time.Second)
	wake.Stop()
	clock.Advance(2 * time.Second)
	is.Equal(len(wake.C), 0) // stopped before it was due
}

// Guards against a Wait that continues after its context has ended.
func TestWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		is.NoErr(timer.Wait(ctx, timer.System{}, 500*time.Millisecond))
		err := timer.Wait(ctx, timer.System{}, time.Hour)
		is.Equal(err, context.DeadlineExceeded) // the context ended first
	})
}
