package records

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"rosemarywick.example/rosemarywick/internal/core/cause"
	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/platform/objects"
)

const (
	// DefaultInterval is the time between two batches. At 2,200 hosts a batch a minute makes 37 writes a second, of the
	// several hundred that the platform takes.
	DefaultInterval = time.Minute
	// DefaultBuffer is the number of records that wait for the store at most.
	DefaultBuffer = 8192
	// DefaultRetention is the age at which batches are deleted.
	DefaultRetention = 7 * 24 * time.Hour

	// sweepWindow is how far beyond the retention a sweep looks. Older batches are found only if no host swept for
	// that long.
	sweepWindow = 48 * time.Hour
	// sweepInterval is the time between two sweeps. Names are grouped by the hour.
	sweepInterval = time.Hour
	// putTimeout bounds one call to the store, so that a store that hangs does not stop the archive for good.
	putTimeout = 10 * time.Second
	// flushTimeout bounds the last batch of a daemon that is being stopped.
	flushTimeout = 3 * time.Second
)

// Archive writes the records of one host to the object store in batches. While the store is unavailable it keeps a
// bounded number of records and counts those that it drops. It drops the newest, because the ring of the host still has
// them. The exported fields are set before Run.
type Archive struct {
	Host  fleet.HostID
	Store objects.Store
	Clock timer.Clock
	Log   zerolog.Logger
	// Interval, Buffer and Retention have defaults that are used when they are zero.
	Interval  time.Duration
	Buffer    int
	Retention time.Duration
	// Sweeps reports whether this host deletes old batches at present. Nil stands for a host that always does; several
	// hosts doing so at the same time costs calls and has no other effect.
	ShouldSweep func() bool

	mu sync.Mutex
	// waiting is guarded by mu and holds at most Buffer records.
	waiting []cause.Record
	// dropped is guarded by mu and counts the records dropped since the daemon started.
	dropped uint64
	// reported is guarded by mu and is the part of dropped that an earlier batch has stated.
	reported uint64

	// unsent belongs to Run. It is the batch whose storing failed; it keeps its name, so that a Put that took effect
	// although its response was lost is overwritten by the same content.
	unsent *object
}

type object struct {
	name    string
	content []byte
	records int
}

// Add hands a record to the archive. It never blocks on the store.
func (a *Archive) Add(record cause.Record) {
	a.mu.Lock()
	defer a.mu.Unlock()
	buffer := a.Buffer
	if buffer <= 0 {
		buffer = DefaultBuffer
	}
	if len(a.waiting) >= buffer {
		a.dropped++
		return
	}
	a.waiting = append(a.waiting, record)
}

// Dropped returns the number of records that were dropped because the store was unavailable for too long.
func (a *Archive) Dropped() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.dropped
}

// Run writes batches and deletes old ones until ctx ends, and then writes what is left.
func (a *Archive) Run(ctx context.Context) error {
	batches := a.Clock.Every(orDuration(a.Interval, DefaultInterval))
	defer batches.Stop()
	sweeps := a.Clock.Every(sweepInterval)
	defer sweeps.Stop()
	for {
		select {
		case <-batches.C:
			a.flush(ctx, putTimeout)
		case <-sweeps.C:
			a.sweep(ctx)
		case <-ctx.Done():
			a.finish(context.WithoutCancel(ctx))
			return context.Cause(ctx)
		}
	}
}

// finish stores what is left when the daemon is being stopped.
func (a *Archive) finish(ctx context.Context) {
	a.flush(ctx, flushTimeout)
	a.mu.Lock()
	lost := len(a.waiting)
	a.mu.Unlock()
	if a.unsent != nil {
		lost += a.unsent.records
	}
	if lost > 0 {
		a.Log.Error().Int("records", lost).Msg("records lost, object store unavailable at stop")
	}
}

// flush stores the unsent batch and the records that wait.
func (a *Archive) flush(ctx context.Context, limit time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	if a.unsent != nil && !a.put(ctx, a.unsent) {
		return
	}
	a.unsent = a.nextBatch()
	if a.unsent != nil {
		a.put(ctx, a.unsent)
	}
}

func (a *Archive) put(ctx context.Context, batch *object) bool {
	if err := a.Store.Put(ctx, batch.name, batch.content); err != nil {
		a.Log.Warn().Err(err).Str("object", batch.name).Int("records", batch.records).
			Uint64("dropped", a.Dropped()).Msg("records not stored")
		return false
	}
	a.unsent = nil
	return true
}

// nextBatch takes the records that wait, or returns nil if there is nothing to store.
func (a *Archive) nextBatch() *object {
	a.mu.Lock()
	records, dropped := a.waiting, a.dropped-a.reported
	a.waiting, a.reported = nil, a.dropped
	a.mu.Unlock()
	if len(records) == 0 && dropped == 0 {
		return nil
	}
	batch := Batch{Host: a.Host, Written: a.Clock.Now(), Dropped: dropped, Records: records}
	content, err := batch.Encode()
	if err != nil {
		a.Log.Error().Err(err).Int("records", len(records)).Msg("records lost, batch cannot be encoded")
		a.mu.Lock()
		a.dropped += uint64(len(records))
		a.mu.Unlock()
		return nil
	}
	if dropped > 0 {
		a.Log.Warn().Uint64("dropped", dropped).Msg("records dropped while the object store was unavailable")
	}
	return &object{name: objectName(batch.Written, a.Host), content: content, records: len(records)}
}

// sweep deletes the batches of all hosts that are older than the retention, since the hosts that wrote them may be gone.
func (a *Archive) sweep(ctx context.Context) {
	if a.ShouldSweep != nil && !a.ShouldSweep() {
		return
	}
	// A batch of the hour of the limit may be younger than the limit, so that the sweep ends with the hour before.
	limit := a.Clock.Now().Add(-orDuration(a.Retention, DefaultRetention)).Truncate(time.Hour)
	for hour := limit.Add(-sweepWindow); hour.Before(limit); hour = hour.Add(time.Hour) {
		if err := a.deleteHour(ctx, hour); err != nil {
			a.Log.Warn().Err(err).Time("hour", hour).Msg("old records not deleted")
			return
		}
	}
}

func (a *Archive) deleteHour(ctx context.Context, hour time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, sweepInterval/2)
	defer cancel()
	names, err := a.Store.List(ctx, hourPrefix(hour))
	if err != nil {
		return err
	}
	for _, name := range names {
		if err := a.Store.Delete(ctx, name); err != nil {
			return err
		}
	}
	return nil
}

func orDuration(value, standard time.Duration) time.Duration {
	if value <= 0 {
		return standard
	}
	return value
}
