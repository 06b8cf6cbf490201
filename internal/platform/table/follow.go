package table

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"rosemarywick.example/rosemarywick/internal/core/timer"
)

// Feed is a store that tells of changes as they happen. A call fails if its answer does not begin soon after it is due, since a
// store that was away has to be followed again within a second; an answer that has begun may take as long as ctx allows.
type Feed interface {
	// Snapshot returns all rows of a table, and the version from which Changes goes on.
	Snapshot(ctx context.Context, name string) (Changes, error)
	// Changes returns the rows of a table that changed after a version, as soon as there is one, or none after wait.
	Changes(ctx context.Context, name string, after Version, wait time.Duration) (Changes, error)
}

const (
	// feedWait is how long one call for changes waits. Each call costs; a store that is silent is noticed at the end of the
	// call, or by the Doubt that any other failure casts on it.
	feedWait = 20 * time.Second
	// bodyLimit bounds an answer with all that it brings: a large configuration takes seconds over a slow link.
	bodyLimit = 8 * time.Second
	// feedPauseFirst and feedPauseMost bound the pause after a failure, which doubles.
	feedPauseFirst = 100 * time.Millisecond
	feedPauseMost  = 300 * time.Millisecond
)

// errDoubted marks the error of a call that Doubt has ended. The doubt is passed on by whoever had it.
var errDoubted = errors.New("table: call given up because the store failed to answer another one")

// Follower keeps a consumer up to date with one table. The exported fields are set before Run.
type Follower struct {
	Feed  Feed
	Table string
	Clock timer.Clock
	Log   zerolog.Logger
	// Reset is called with all rows, at first and whenever the history was lost.
	Reset func([]Row)
	// Apply is called with the rows that changed; one that was deleted has a nil value.
	Apply func([]Row)
	// Lost is called at the first failure after an answer, unless Doubt caused it. It may be nil.
	OnOutage func()
	// Regained is called when the store answers after a failure. It may be nil.
	OnRecovery func()
	// Pause returns the time between a change and the next call, so that changes that come together cost one call. It may
	// be nil. Hurry ends it early.
	BatchDelay func() time.Duration

	// failing belongs to Run and is set while the store does not answer.
	failing bool

	mu sync.Mutex
	// abort is guarded by mu and ends the call that waits for changes; it is nil between calls.
	abort context.CancelFunc
	// doubted is guarded by mu and set when the store failed to answer another call.
	doubted bool
	// hurry is guarded by mu and ends the pause after a change; it is nil outside of one.
	hurry context.CancelFunc
}

// Hurry takes in that the rows seem to be out of date: the next call for changes is made at once.
func (f *Follower) PollNow() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.hurry != nil {
		f.hurry()
	}
}

// Doubt takes in that the store failed to answer another call. The call that waits for changes may be silent for good then,
// so it is made anew.
func (f *Follower) SuspectOutage() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.doubted = true
	if f.abort != nil {
		f.abort()
	}
}

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	var version Version
	known, pause := false, feedPauseFirst
	for ctx.Err() == nil {
		next, err := f.step(ctx, version, known)
		switch {
		case err == nil:
			version, known, pause = next, true, feedPauseFirst
			continue
		case errors.Is(err, ErrCompacted):
			f.Log.Info().Str("table", f.Table).Msg("history of the table was lost; reading all rows")
			known = false
			continue
		case !f.failing && ctx.Err() == nil:
			f.Log.Warn().Err(err).Str("table", f.Table).Msg("table cannot be followed")
			f.failing = true
			if f.OnOutage != nil && !errors.Is(err, errDoubted) {
				f.OnOutage()
			}
		}
		// The loop ends with ctx.
		_ = timer.Wait(ctx, f.Clock, pause)
		pause = min(2*pause, feedPauseMost)
	}
	return nil
}

// step makes one call and passes on what it brought.
func (f *Follower) step(ctx context.Context, version Version, known bool) (Version, error) {
	if !known {
		call, cancel := context.WithTimeout(ctx, bodyLimit)
		defer cancel()
		all, err := f.Feed.Snapshot(call, f.Table)
		if err != nil {
			return 0, err
		}
		f.regain()
		f.Reset(all.Rows)
		return all.Version, nil
	}
	wait := feedWait
	call, cancel := context.WithCancel(ctx)
	defer cancel()
	f.mu.Lock()
	if f.doubted || f.failing {
		wait, f.doubted = 0, false
	} else {
		f.abort = cancel
	}
	f.mu.Unlock()
	call, end := context.WithTimeout(call, wait+bodyLimit)
	defer end()
	changes, err := f.Feed.Changes(call, f.Table, version, wait)
	f.mu.Lock()
	f.abort = nil
	doubted := f.doubted
	f.mu.Unlock()
	if err != nil && doubted {
		return 0, errors.Mark(err, errDoubted)
	}
	if err != nil {
		return 0, err
	}
	f.regain()
	if len(changes.Rows) == 0 {
		return changes.Version, nil
	}
	f.Apply(changes.Rows)
	f.rest(ctx)
	return changes.Version, nil
}

// rest waits for the pause after a change, unless it is ended early.
func (f *Follower) rest(ctx context.Context) {
	if f.BatchDelay == nil {
		return
	}
	pause, end := context.WithCancel(ctx)
	defer end()
	f.mu.Lock()
	f.hurry = end
	f.mu.Unlock()
	// A pause that ends early only makes the next call earlier.
	_ = timer.Wait(pause, f.Clock, f.BatchDelay())
	f.mu.Lock()
	f.hurry = nil
	f.mu.Unlock()
}

// regain takes in that the store has answered. Consumers learn it before the rows that follow.
func (f *Follower) regain() {
	if !f.failing {
		return
	}
	f.failing = false
	f.Log.Info().Str("table", f.Table).Msg("table is followed again")
	if f.OnRecovery != nil {
		f.OnRecovery()
	}
}
