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
	// DefaultInterval is the time between two batches of a host. With 2,200 hosts, one batch a minute makes 37 writes a
	// second, of the several hundred that the platform accepts.
	DefaultInterval = time.Minute
	// DefaultBuffer is the largest number of records that are buffered until the next batch.
	DefaultBuffer = 8192
	// DefaultRetention is the age at which batches are deleted.
	DefaultRetention = 7 * 24 * time.Hour

	// sweepWindow is how far beyond the retention a sweep looks for batches. Older ones stay, and exist only if no host
	// has swept for that long.
	sweepWindow = 48 * time.Hour
	// sweepInterval is the time between two sweeps. It is an hour because object names are grouped by the hour.
	sweepInterval = time.Hour
	// flushTimeout bounds one flush, so that a store that hangs does not block the archive forever.
	flushTimeout = 10 * time.Second
	// finalFlushTimeout bounds the last flush of a daemon that is being stopped.
	finalFlushTimeout = 3 * time.Second
)

// Archive writes the records of one host to the object store in batches. While the store is unavailable it buffers a
// bounded number of records and counts those that it drops. It drops the newest ones, because the ring of the host still
// has them. The exported fields are set before Run.
type Archive struct {
	Host  fleet.HostID
	Store objects.Store
	Clock timer.Clock
	Log   zerolog.Logger
	// Interval, Buffer and Retention default to DefaultInterval, DefaultBuffer and DefaultRetention if they are zero.
	Interval  time.Duration
	Buffer    int
	Retention time.Duration
	// ShouldSweep reports whether this host currently deletes old batches; nil means always. If several hosts delete them
	// at the same time, it costs calls and has no other effect.
	ShouldSweep func() bool

	mu sync.Mutex
	// pending is guarded by mu and holds the records for the next batch, at most Buffer of them.
	pending []cause.Record
	// dropped is guarded by mu and counts the records dropped since the daemon started.
	dropped uint64
	// reportedDropped is guarded by mu and is the part of dropped that earlier batches have reported.
	reportedDropped uint64

	// unsent is the batch that could not be stored. Only Run uses it. The batch keeps its name, so that a Put that took
	// effect although its response was lost is overwritten with the same content.
	unsent *encodedBatch
}

// encodedBatch is a batch as it is put into the object store.
type encodedBatch struct {
	name    string
	content []byte
	// records is the number of records in the batch.
	records int
}

// Add buffers a record for the next batch, or drops it if the buffer is full. It never waits for the store.
func (a *Archive) Add(record cause.Record) {
	a.mu.Lock()
	defer a.mu.Unlock()
	buffer := a.Buffer
	if buffer <= 0 {
		buffer = DefaultBuffer
	}
	if len(a.pending) >= buffer {
		a.dropped++
		return
	}
	a.pending = append(a.pending, record)
}

// Dropped returns the number of records dropped since the daemon started.
func (a *Archive) Dropped() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.dropped
}

// Run periodically stores new batches and deletes old ones until ctx ends, and then stores the remaining records.
func (a *Archive) Run(ctx context.Context) error {
	flushes := a.Clock.Every(durationOrDefault(a.Interval, DefaultInterval))
	defer flushes.Stop()
	sweeps := a.Clock.Every(sweepInterval)
	defer sweeps.Stop()
	for {
		select {
		case <-flushes.C:
			a.flush(ctx, flushTimeout)
		case <-sweeps.C:
			a.sweep(ctx)
		case <-ctx.Done():
			a.finish(context.WithoutCancel(ctx))
			return context.Cause(ctx)
		}
	}
}

// finish stores the remaining records when the daemon is being stopped, and logs how many are lost if it cannot.
func (a *Archive) finish(ctx context.Context) {
	a.flush(ctx, finalFlushTimeout)
	a.mu.Lock()
	lost := len(a.pending)
	a.mu.Unlock()
	if a.unsent != nil {
		lost += a.unsent.records
	}
	if lost > 0 {
		a.Log.Error().Int("records", lost).Msg("records lost, object store unavailable at stop")
	}
}

// flush stores the unsent batch, if there is one, and then the pending records.
func (a *Archive) flush(ctx context.Context, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if a.unsent != nil && !a.put(ctx, a.unsent) {
		return
	}
	a.unsent = a.nextBatch()
	if a.unsent != nil {
		a.put(ctx, a.unsent)
	}
}

// put stores a batch and reports whether it succeeded.
func (a *Archive) put(ctx context.Context, batch *encodedBatch) bool {
	if err := a.Store.Put(ctx, batch.name, batch.content); err != nil {
		a.Log.Warn().Err(err).Str("object", batch.name).Int("records", batch.records).
			Uint64("dropped", a.Dropped()).Msg("records not stored")
		return false
	}
	a.unsent = nil
	return true
}

// nextBatch removes the pending records and returns them as a batch, or nil if there is nothing to store.
func (a *Archive) nextBatch() *encodedBatch {
	a.mu.Lock()
	records, dropped := a.pending, a.dropped-a.reportedDropped
	a.pending, a.reportedDropped = nil, a.dropped
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
	return &encodedBatch{name: objectName(batch.Written, a.Host), content: content, records: len(records)}
}

// sweep deletes batches older than the retention, of all hosts, since the hosts that wrote them may no longer exist.
func (a *Archive) sweep(ctx context.Context) {
	if a.ShouldSweep != nil && !a.ShouldSweep() {
		return
	}
	// The hour of the cutoff may contain batches that are younger than the retention, so that the sweep ends before it.
	cutoff := a.Clock.Now().Add(-durationOrDefault(a.Retention, DefaultRetention)).Truncate(time.Hour)
	for hour := cutoff.Add(-sweepWindow); hour.Before(cutoff); hour = hour.Add(time.Hour) {
		if err := a.deleteHour(ctx, hour); err != nil {
			a.Log.Warn().Err(err).Time("hour", hour).Msg("old records not deleted")
			return
		}
	}
}

// deleteHour deletes all batches written in one hour.
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

func durationOrDefault(value, defaultValue time.Duration) time.Duration {
	if value <= 0 {
		return defaultValue
	}
	return value
}
