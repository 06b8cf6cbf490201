package table

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"rosemarywick.example/rosemarywick/internal/core/timer"
)

// Feed reports the changes of a table as they happen. A call fails if its response does not begin soon after it is due, so that
// a store can be followed again within a second of its recovery, or if the response stops arriving. One that goes on arriving may
// take as long as ctx allows.
type Feed interface {
	// Snapshot returns all rows of a table, and the version after which Changes continues.
	Snapshot(ctx context.Context, name string) (Changes, error)
	// Changes is a long poll: it returns the rows that changed after a version as soon as there are any, or none after wait.
	Changes(ctx context.Context, name string, after Version, wait time.Duration) (Changes, error)
}

const (
	// defaultPollWait is used if Follower.PollWait is zero.
	defaultPollWait = 20 * time.Second
	// responseTimeout bounds the transfer of a response that goes on arriving: a large configuration takes seconds over a slow link.
	// It serves no promise; a feed notices earlier that a response stops arriving.
	responseTimeout = 8 * time.Second
	// minBackoff and maxBackoff bound the delay after a failure, which doubles with each further one.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 300 * time.Millisecond
)

// errOutageSuspected marks the error of a call that SuspectOutage has cancelled. Run does not call OnOutage for it: whoever
// called SuspectOutage has observed the failure and notifies the other followers.
var errOutageSuspected = errors.New("table: call cancelled because the store did not respond to another one")

// Follower passes the rows of one table and all their changes to a consumer. The exported fields are set before Run.
type Follower struct {
	Feed  Feed
	Table string
	Clock timer.Clock
	Log   zerolog.Logger
	// Reset is called with all rows of the table, first of all and after each ErrCompacted.
	Reset func([]Row)
	// Apply is called with the rows that changed. A deleted row has a nil value.
	Apply func([]Row)
	// PollWait is how long one call waits for changes. Zero means 20 s, which keeps the number of calls low. A store that stops
	// responding is detected at the end of a call, or earlier by SuspectOutage after a failure of another call.
	PollWait time.Duration
	// OnOutage is called at the first failure after a response, unless SuspectOutage caused it. It may be nil.
	OnOutage func()
	// OnRecovery is called at the first response after a failure. It may be nil.
	OnRecovery func()
	// BatchDelay returns the time between a change and the next call, so that a burst of changes costs one call. It may be
	// nil, which means no delay. PollNow ends the delay early.
	BatchDelay func() time.Duration

	// failing is set while the store does not respond. Only Run uses it.
	failing bool

	mu sync.Mutex
	// cancelPoll is guarded by mu and cancels the call that waits for changes. It is nil between calls.
	cancelPoll context.CancelFunc
	// outageSuspected is guarded by mu and set by SuspectOutage until the next call.
	outageSuspected bool
	// endDelay is guarded by mu and ends the delay after a change. It is nil outside of a delay.
	endDelay context.CancelFunc
}

// PollNow ends a BatchDelay, so that the next call for changes is made at once. Callers use it when the rows that they have
// seem to be out of date.
func (f *Follower) PollNow() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.endDelay != nil {
		f.endDelay()
	}
}

// SuspectOutage reports that the store did not respond to another call. The call that waits for changes may then never get a
// response, so it is cancelled and made again.
func (f *Follower) SuspectOutage() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outageSuspected = true
	if f.cancelPoll != nil {
		f.cancelPoll()
	}
}

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	var version Version
	hasSnapshot, backoff := false, minBackoff
	for ctx.Err() == nil {
		next, err := f.poll(ctx, version, hasSnapshot)
		switch {
		case err == nil:
			version, hasSnapshot, backoff = next, true, minBackoff
			continue
		case errors.Is(err, ErrCompacted):
			f.Log.Info().Str("table", f.Table).Msg("history of the table was lost; reading all rows")
			hasSnapshot = false
			continue
		case !f.failing && ctx.Err() == nil:
			f.Log.Warn().Err(err).Str("table", f.Table).Msg("table cannot be followed")
			f.failing = true
			if f.OnOutage != nil && !errors.Is(err, errOutageSuspected) {
				f.OnOutage()
			}
		}
		// An error means that ctx has ended, which ends the loop.
		_ = timer.Wait(ctx, f.Clock, backoff)
		backoff = min(2*backoff, maxBackoff)
	}
	return nil
}

// poll makes one call for a snapshot or for the changes after version, and passes the rows to the consumer. It returns the
// version after which the next call continues.
func (f *Follower) poll(ctx context.Context, version Version, hasSnapshot bool) (Version, error) {
	if !hasSnapshot {
		callCtx, cancel := context.WithTimeout(ctx, responseTimeout)
		defer cancel()
		snapshot, err := f.Feed.Snapshot(callCtx, f.Table)
		if err != nil {
			return 0, err
		}
		f.markAvailable()
		f.Reset(snapshot.Rows)
		return snapshot.Version, nil
	}
	wait := f.PollWait
	if wait == 0 {
		wait = defaultPollWait
	}
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.mu.Lock()
	if f.outageSuspected || f.failing {
		wait, f.outageSuspected = 0, false
	} else {
		f.cancelPoll = cancel
	}
	f.mu.Unlock()
	callCtx, cancelTimeout := context.WithTimeout(callCtx, wait+responseTimeout)
	defer cancelTimeout()
	changes, err := f.Feed.Changes(callCtx, f.Table, version, wait)
	f.mu.Lock()
	f.cancelPoll = nil
	outageSuspected := f.outageSuspected
	f.mu.Unlock()
	if err != nil && outageSuspected {
		return 0, errors.Mark(err, errOutageSuspected)
	}
	if err != nil {
		return 0, err
	}
	f.markAvailable()
	if len(changes.Rows) == 0 {
		return changes.Version, nil
	}
	f.Apply(changes.Rows)
	f.delay(ctx)
	return changes.Version, nil
}

// delay waits for BatchDelay or until PollNow is called.
func (f *Follower) delay(ctx context.Context) {
	if f.BatchDelay == nil {
		return
	}
	delayCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.mu.Lock()
	f.endDelay = cancel
	f.mu.Unlock()
	// An error means that the delay was ended early, and the next call is made at once.
	_ = timer.Wait(delayCtx, f.Clock, f.BatchDelay())
	f.mu.Lock()
	f.endDelay = nil
	f.mu.Unlock()
}

// markAvailable ends an outage when the store has responded. It runs before the rows of the response are passed on, so that
// the consumer gets OnRecovery first.
func (f *Follower) markAvailable() {
	if !f.failing {
		return
	}
	f.failing = false
	f.Log.Info().Str("table", f.Table).Msg("table is followed again")
	if f.OnRecovery != nil {
		f.OnRecovery()
	}
}
