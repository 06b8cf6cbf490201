// Package registry tracks the upstreams that register themselves in a shared store. It decides how long an upstream may still
// be used after it began to drain or its entry disappeared.
package registry

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/core/timer"
)

// Entry is the registration of an upstream, written by the upstream itself.
type Entry struct {
	ID       fleet.UpstreamID
	Service  fleet.ServiceName
	Address  netip.AddrPort
	Locality fleet.Locality
	Slots    int
	// Draining is set by an upstream that is about to stop.
	Draining bool
	// Incarnation identifies one start of the upstream.
	Incarnation fleet.Incarnation
	// ColdFor is how long the upstream stays cold, at the time of writing. Revision orders the entries of one start.
	ColdFor  time.Duration
	Revision uint64
}

const (
	// massLossFraction and massLossMin are the fraction and the number of entries that must disappear within massLossWindow
	// to be treated as a fault of the store instead of as losses of that many upstreams.
	massLossFraction = 0.2
	massLossMin      = 3
	massLossWindow   = time.Second
)

// Registry holds the known entries. Set the exported fields before use.
type Registry struct {
	Clock timer.Clock
	Log   zerolog.Logger
	// DrainTimeout is the time from the start of draining after which an upstream must not get new requests.
	DrainTimeout time.Duration
	// OutageGrace is the time after an outage of the store within which upstreams register again.
	OutageGrace time.Duration
	// LeavingSince returns when an upstream stated in a response, or in an entry that was passed to NoteDraining, that it
	// leaves. It is zero for one that has not, and counts whatever the present entry says. Nil means that none has.
	LeavingSince func(fleet.UpstreamID, fleet.Incarnation) time.Time
	// NoteDraining, if set, is called with each upstream whose entry says that it leaves.
	NoteDraining func(fleet.UpstreamID, fleet.Incarnation)
	// NoteCold, if set, is called with each entry that is not of an earlier start, before Upstreams returns it.
	NoteCold func(Entry)
	// EvacuatedSince returns when the evacuation of a failure domain began, or zero if it is not evacuated. Nil means that none is.
	// EvacuationTimeout is the time from the order to evacuate a domain after which no upstream there may get requests.
	EvacuatedSince    func(fleet.FailureDomain) time.Time
	EvacuationTimeout time.Duration

	mu sync.Mutex
	// records is guarded by mu.
	records map[fleet.UpstreamID]*record
	// former is guarded by mu. It holds the latest start of the upstreams whose records were deleted within lateWriteTime.
	former map[fleet.UpstreamID]formerStart
	// changed is guarded by mu and closed at the next change.
	changed chan struct{}
	// recoveredAt is guarded by mu. It is the time at which the store was reached again after its last outage.
	recoveredAt time.Time
	// changesSince is guarded by mu. It is a time before which the store had not acknowledged the changes that are passed to Put
	// and Remove, or zero if none is known.
	changesSince time.Time
	// restoredAt is guarded by mu. It is the time at which the store came back from an older copy, or zero.
	restoredAt time.Time
}

// record is an entry with the times at which it began to drain, went missing, and expires.
type record struct {
	Entry
	// drainingSince is when the upstream was first seen draining. It is zero for one that is not draining.
	drainingSince time.Time
	// missingSince is when the entry disappeared. It is zero while the entry exists.
	missingSince time.Time
	// acknowledgedAfter is a time before which the store had not acknowledged that the upstream leaves or is missing, or zero if
	// none is known.
	acknowledgedAfter time.Time
	// expires is when the record of a missing entry is deleted.
	expires time.Time
}

// formerStart is the latest known start of an upstream whose record was deleted, and when it was.
type formerStart struct {
	incarnation fleet.Incarnation
	deletedAt   time.Time
}

// lateWriteTime exceeds the time after which the store may still apply a write that its sender has given up.
const lateWriteTime = time.Minute

// NoteLeaving notes that LeavingSince has changed.
func (r *Registry) NoteLeaving() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notify()
}

// leavingSince returns when an upstream was first known to leave, or zero. The caller holds mu.
func (r *Registry) leavingSince(rec *record) time.Time {
	if r.LeavingSince == nil {
		return rec.drainingSince
	}
	stated := r.LeavingSince(rec.ID, rec.Incarnation)
	if stated.IsZero() || !rec.drainingSince.IsZero() && rec.drainingSince.Before(stated) {
		return rec.drainingSince
	}
	return stated
}

// StoreRecovered notes that the store can be reached again after an outage.
func (r *Registry) StoreRecovered() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recoveredAt = r.Clock.Now()
}

// StoreRestored notes that the store has come back from an older copy, in which entries may be missing until the upstreams write
// them again.
func (r *Registry) StoreRestored() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.restoredAt = r.Clock.Now()
}

// Put adds or replaces an entry.
func (r *Registry) Put(entry Entry) {
	r.noteCold(entry)
	if r.put(entry) && entry.Draining && r.NoteDraining != nil {
		r.NoteDraining(entry.ID, entry.Incarnation)
	}
}

// put adds or replaces an entry, and reports whether it differs from the known one.
func (r *Registry) put(entry Entry) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.records[entry.ID]
	if before != nil && before.sameRegistration(entry) && before.missingSince.IsZero() {
		return false
	}
	if latest := r.latestStart(entry.ID); entry.Incarnation.Precedes(latest) {
		r.Log.Warn().Str("upstream", string(entry.ID)).Str("service", string(entry.Service)).Str("run", string(entry.Incarnation)).
			Str("latest-run", string(latest)).Msg("entry of an earlier start of the upstream ignored")
		return false
	}
	if r.records == nil {
		r.records = make(map[fleet.UpstreamID]*record)
	}
	next := &record{Entry: entry}
	if entry.Draining {
		next.drainingSince, next.acknowledgedAfter = r.Clock.Now(), r.changesSince
		if before != nil && before.Incarnation == entry.Incarnation && !before.drainingSince.IsZero() {
			next.drainingSince, next.acknowledgedAfter = before.drainingSince, before.acknowledgedAfter
		}
	}
	r.records[entry.ID] = next
	r.logChange(entry, before)
	r.notify()
	return true
}

// latestStart returns the latest known start of an upstream, or "". The caller holds mu.
func (r *Registry) latestStart(id fleet.UpstreamID) fleet.Incarnation {
	if rec := r.records[id]; rec != nil {
		return rec.Incarnation
	}
	return r.former[id].incarnation
}

// logChange logs that an entry was added or changed.
func (r *Registry) logChange(entry Entry, before *record) {
	event := r.Log.Info().Str("upstream", string(entry.ID)).Str("service", string(entry.Service)).
		Str("address", entry.Address.String()).Bool("draining", entry.Draining).Str("run", string(entry.Incarnation))
	switch {
	case before == nil:
		event.Msg("upstream registered")
	case !before.missingSince.IsZero():
		event.Dur("missing", r.Clock.Now().Sub(before.missingSince)).Msg("upstream registered again")
	default:
		event.Msg("upstream changed its entry")
	}
}

// Remove marks entries as missing. They expire at once or, if many are missing, after a grace period.
func (r *Registry) Remove(ids ...fleet.UpstreamID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	for _, id := range ids {
		if rec := r.records[id]; rec != nil && rec.missingSince.IsZero() {
			rec.missingSince, rec.expires = now, now
			if rec.drainingSince.IsZero() {
				rec.acknowledgedAfter = r.changesSince
			}
		}
	}
	r.setExpiry(now)
	r.notify()
}

// setExpiry sets when the entries that disappeared within massLossWindow expire. Entries that are missing in a copy of the
// store get the time in which upstreams write them again. If many disappeared together, the upstreams are probably alive and
// register again soon, especially just after an outage of the store. A single one expires at once, even after an outage: a
// daemon that was cut off learns late of upstreams that left long ago. The caller holds mu.
func (r *Registry) setExpiry(now time.Time) {
	lost := 0
	for _, rec := range r.records {
		if !rec.missingSince.IsZero() && r.leavingSince(rec).IsZero() && now.Sub(rec.missingSince) <= massLossWindow {
			lost++
		}
	}
	massLoss := lost >= massLossMin && float64(lost) >= massLossFraction*float64(len(r.records))
	afterOutage := !r.recoveredAt.IsZero() && now.Sub(r.recoveredAt) < r.OutageGrace
	afterRestoration := !r.restoredAt.IsZero() && now.Sub(r.restoredAt) < r.OutageGrace
	for _, rec := range r.records {
		if rec.missingSince.IsZero() || now.Sub(rec.missingSince) > massLossWindow {
			continue
		}
		switch {
		case !r.leavingSince(rec).IsZero():
		case afterRestoration:
			rec.expires = r.restoredAt.Add(r.OutageGrace)
		case !massLoss:
		case afterOutage:
			rec.expires = r.recoveredAt.Add(r.OutageGrace)
		default:
			rec.expires = r.useUntil(rec, rec.missingSince)
		}
		r.Log.Info().Str("upstream", string(rec.ID)).Str("service", string(rec.Service)).Bool("draining", rec.Draining).
			Bool("together", massLoss).Bool("after-outage", afterOutage).Bool("after-restoration", afterRestoration).
			Dur("kept", rec.expires.Sub(now)).Msg("upstream's entry disappeared")
	}
}

// Reset replaces all entries by those of the store, after its change history was lost. Entries not listed become missing.
func (r *Registry) Reset(entries []Entry) {
	present := make(map[fleet.UpstreamID]bool, len(entries))
	for _, entry := range entries {
		present[entry.ID] = true
		r.Put(entry)
	}
	var missing []fleet.UpstreamID
	r.mu.Lock()
	for id, rec := range r.records {
		if !present[id] && rec.missingSince.IsZero() {
			missing = append(missing, id)
		}
	}
	r.mu.Unlock()
	if len(missing) > 0 {
		r.Remove(missing...)
	}
}

// Run deletes missing entries when they expire, until ctx ends.
func (r *Registry) Run(ctx context.Context) error {
	for {
		changed, next := r.expire()
		wake := r.Clock.After(next)
		select {
		case <-changed:
		case <-wake.C:
		case <-ctx.Done():
			wake.Stop()
			return nil
		}
		wake.Stop()
	}
}

// maxSleep is how long Run sleeps if no entry is about to expire.
const maxSleep = time.Minute

// expire deletes the expired entries. It returns a channel that is closed at the next change, and the time until the next
// entry expires, at most maxSleep.
func (r *Registry) expire() (<-chan struct{}, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now, next, deleted := r.Clock.Now(), maxSleep, false
	for id, rec := range r.records {
		switch {
		case rec.missingSince.IsZero():
		case !now.Before(rec.expires):
			r.Log.Info().Str("upstream", string(id)).Dur("missing", now.Sub(rec.missingSince)).Msg("upstream is gone")
			delete(r.records, id)
			if r.former == nil {
				r.former = make(map[fleet.UpstreamID]formerStart)
			}
			r.former[id] = formerStart{incarnation: rec.Incarnation, deletedAt: now}
			deleted = true
		default:
			next = min(next, rec.expires.Sub(now))
		}
	}
	for id, start := range r.former {
		if now.Sub(start.deletedAt) > lateWriteTime {
			delete(r.former, id)
		}
	}
	if deleted {
		r.notify()
	}
	return r.changedChannel(), next
}

// Changed returns a channel that is closed at the next change.
func (r *Registry) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changedChannel()
}

// changedChannel returns the channel that is closed at the next change. The caller holds mu.
func (r *Registry) changedChannel() chan struct{} {
	if r.changed == nil {
		r.changed = make(chan struct{})
	}
	return r.changed
}

// notify wakes those that wait for a change. The caller holds mu.
func (r *Registry) notify() {
	if r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
}
