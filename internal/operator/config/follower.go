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
	DefaultPollInterval = 500 * time.Millisecond
	// readTimeout bounds one read, so that a table that hangs is noticed.
	readTimeout = 2 * time.Second
)

// Follower reads the table on behalf of the fleet and offers what it finds to the daemon's Keeper. Its fields are set
// before Run.
type Poller struct {
	Store   *Store
	Adopter *Adopter
	Clock   timer.Clock
	Log     zerolog.Logger
	// Poll is the time between two reads. Zero stands for DefaultPoll.
	Interval time.Duration
	// Reads reports whether this daemon reads the table at present. Only a few do so on behalf of all.
	ShouldPoll func() bool
	// Adopted passes a revision on to the peers.
	OnAdopted func(*Revision)

	// down and rejected belong to Run and keep an event from being logged at each read.
	unavailable     bool
	rejectedVersion uint64
}

// Run reads the table until ctx ends.
func (f *Poller) Run(ctx context.Context) error {
	poll := f.Interval
	if poll <= 0 {
		poll = DefaultPollInterval
	}
	wake := f.Clock.Every(poll)
	defer wake.Stop()
	for {
		if f.ShouldPoll() {
			f.poll(ctx)
		}
		select {
		case <-wake.C:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

func (f *Poller) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	revision, err := f.Store.Latest(ctx)
	var absent *NotFoundError
	failed := err != nil && !errors.As(err, &absent)
	if failed != f.unavailable {
		f.unavailable = failed
		f.Log.Warn().Err(err).Bool("readable", !failed).Msg("configuration table changed state")
	}
	if err != nil {
		return
	}
	switch verdict := f.Adopter.Offer(revision).(type) {
	case Adopted:
		f.Log.Info().Uint64("version", revision.Version).Str("author", revision.Author).Msg("configuration adopted")
		f.OnAdopted(revision)
	case Rejected:
		if f.rejectedVersion != verdict.Version {
			f.rejectedVersion = verdict.Version
			f.Log.Error().Err(verdict.Reason).Uint64("version", verdict.Version).Msg("configuration rejected")
		}
	case Outdated:
	}
}
