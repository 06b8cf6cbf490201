package config

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"rosemarywick.example/rosemarywick/internal/core/timer"
)

const (
	// DefaultPoll is the time between two reads of the table. A change is passed from daemon to daemon as soon as it is
	// stored; reading the table is what remains if the daemon that stored it is lost right away.
	DefaultPoll = 500 * time.Millisecond
	// readTimeout bounds one read, so that a table that hangs is noticed.
	readTimeout = 2 * time.Second
)

// Follower reads the table on behalf of the fleet and offers what it finds to the daemon's Keeper. Its fields are set
// before Run.
type Follower struct {
	Store   *Store
	Adopter *Adopter
	Clock   timer.Clock
	Log     zerolog.Logger
	// Poll is the time between two reads. Zero stands for DefaultPoll.
	Poll time.Duration
	// Reads reports whether this daemon reads the table at present. Only a few do so on behalf of all.
	Reads func() bool
	// Adopted passes a revision on to the peers.
	Adopted func(*Revision)

	// down and rejected belong to Run and keep an event from being logged at each read.
	down     bool
	rejected uint64
}

// Run reads the table until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	poll := f.Poll
	if poll <= 0 {
		poll = DefaultPoll
	}
	wake := f.Clock.Every(poll)
	defer wake.Stop()
	for {
		if f.Reads() {
			f.follow(ctx)
		}
		select {
		case <-wake.C:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

func (f *Follower) follow(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	revision, err := f.Store.Latest(ctx)
	var absent *NotFoundError
	failed := err != nil && !errors.As(err, &absent)
	if failed != f.down {
		f.down = failed
		f.Log.Warn().Err(err).Bool("readable", !failed).Msg("configuration table changed state")
	}
	if err != nil {
		return
	}
	switch verdict := f.Adopter.Offer(revision).(type) {
	case Adopted:
		f.Log.Info().Uint64("version", revision.Version).Str("author", revision.Author).Msg("configuration adopted")
		f.Adopted(revision)
	case Rejected:
		if f.rejected != verdict.Version {
			f.rejected = verdict.Version
			f.Log.Error().Err(verdict.Reason).Uint64("version", verdict.Version).Msg("configuration rejected")
		}
	case Outdated:
	}
}
