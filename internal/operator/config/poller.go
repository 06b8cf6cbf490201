package config

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"rosemarywick.example/rosemarywick/internal/core/timer"
)

const (
	// DefaultPollInterval is the default time between two reads of the table. A daemon that stores a change sends it to its
	// peers at once; polling finds the changes whose daemon failed before it could do so.
	DefaultPollInterval = 500 * time.Millisecond
	// readTimeout limits one read, so that a table service that hangs is reported as unavailable.
	readTimeout = 2 * time.Second
)

// Poller periodically reads the latest revision from the table, offers it to the daemon's Adopter and announces adopted
// revisions to the peers. The exported fields must be set before Run.
type Poller struct {
	Store   *Store
	Adopter *Adopter
	Clock   timer.Clock
	Log     zerolog.Logger
	// Interval is the time between two reads. Zero means DefaultPollInterval.
	Interval time.Duration
	// ShouldPoll reports whether this daemon currently has to read the table. Only a few daemons read it for the whole fleet.
	ShouldPoll func() bool
	// OnAdopted is called with each revision that the Adopter adopted. It announces the revision to the peers.
	OnAdopted func(*Revision)

	// unavailable and rejectedVersion are used only by the goroutine of Run. They suppress
	// repeated log lines while the state is unchanged.
	unavailable     bool
	rejectedVersion uint64
}

// Run polls the table until ctx ends and returns the cause of its end.
func (p *Poller) Run(ctx context.Context) error {
	interval := p.Interval
	if interval <= 0 {
		interval = DefaultPollInterval
	}
	ticker := p.Clock.Every(interval)
	defer ticker.Stop()
	for {
		if p.ShouldPoll() {
			p.poll(ctx)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// poll reads the table once and offers the latest revision.
func (p *Poller) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	revision, err := p.Store.Latest(ctx)
	var notFound *NotFoundError
	failed := err != nil && !errors.As(err, &notFound)
	if failed != p.unavailable {
		p.unavailable = failed
		p.Log.Warn().Err(err).Bool("readable", !failed).Msg("configuration table changed state")
	}
	if err != nil {
		return
	}
	switch result := p.Adopter.Offer(revision).(type) {
	case Adopted:
		p.Log.Info().Uint64("version", revision.Version).Str("author", revision.Author).Msg("configuration adopted")
		p.OnAdopted(revision)
	case Rejected:
		if p.rejectedVersion != result.Version {
			p.rejectedVersion = result.Version
			p.Log.Error().Err(result.Reason).Uint64("version", result.Version).Msg("configuration rejected")
		}
	case Outdated:
	}
}
