// Package registry keeps the upstreams that describe themselves in a shared store. It decides until when one that leaves or
// whose entry has disappeared may be used.
package registry

import (
	"context"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"rosemarywick.example/rosemarywick/internal/core/document"
	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/core/timer"
)

// Entry is what an upstream says of itself.
type Entry struct {
	ID      fleet.UpstreamID
	Service fleet.ServiceName
	Address netip.AddrPort
	Place   fleet.Locality
	Slots   int
	// Draining is set by an upstream that is about to stop.
	Draining bool
	// Run identifies one start of the upstream.
	Incarnation fleet.Incarnation
}

const (
	// drainPart is the part of the drain time for which a leaving upstream may still be used where its keys have not moved.
	drainUseFraction = 0.75
	// lapseShare and lapseLeast are the part and the number of the entries that have to disappear at the same time to be
	// taken for a fault of the store instead of that many losses.
	massLossFraction = 0.2
	massLossMin      = 3
	// lapseWindow is the time that counts as the same time.
	massLossWindow = time.Second
)

// Registry holds the entries. The exported fields are set before use.
type Registry struct {
	Clock timer.Clock
	Log   zerolog.Logger
	// Drain is the time after which a leaving upstream must get no new work.
	DrainTimeout time.Duration
	// Return is the time within which entries that lapsed while the store was unavailable are back.
	OutageGrace time.Duration

	mu sync.Mutex
	// known is guarded by mu.
	records map[fleet.UpstreamID]*record
	// changed is guarded by mu and closed at the next change.
	changed chan struct{}
	// regained is guarded by mu: the time at which the store was reached again after an interruption.
	recoveredAt time.Time
}

// known is an entry with what was seen of its end.
type record struct {
	Entry
	// leaving is the time at which the upstream was seen to leave; zero for one that stays.
	drainingSince time.Time
	// gone is the time at which the entry disappeared; zero while it is there.
	missingSince time.Time
	// until is when a vanished entry is forgotten.
	expires time.Time
}

// Regained takes in that the store answers again.
func (r *Registry) StoreRecovered() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recoveredAt = r.Clock.Now()
}

// Put takes in an entry.
func (r *Registry) Put(entry Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.records[entry.ID]
	if before != nil && before.Entry == entry && before.missingSince.IsZero() {
		return
	}
	if r.records == nil {
		r.records = make(map[fleet.UpstreamID]*record)
	}
	next := &record{Entry: entry}
	if entry.Draining {
		next.drainingSince = r.Clock.Now()
		if before != nil && before.Incarnation == entry.Incarnation && !before.drainingSince.IsZero() {
			next.drainingSince = before.drainingSince
		}
	}
	r.records[entry.ID] = next
	r.logChange(entry, before)
	r.notify()
}

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

// Remove takes in that entries have disappeared.
func (r *Registry) Remove(ids ...fleet.UpstreamID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	for _, id := range ids {
		if one := r.records[id]; one != nil && one.missingSince.IsZero() {
			one.missingSince, one.expires = now, now
		}
	}
	r.setExpiry(now)
	r.notify()
}

// judge decides until when vanished entries count. Entries that vanish together may be back soon, just after the store was
// unavailable more so. A single one is gone: a daemon that was cut off learns late of upstreams that left long ago. The caller
// holds mu.
func (r *Registry) setExpiry(now time.Time) {
	lapsed := 0
	for _, one := range r.records {
		if !one.missingSince.IsZero() && one.drainingSince.IsZero() && now.Sub(one.missingSince) <= massLossWindow {
			lapsed++
		}
	}
	together := lapsed >= massLossMin && float64(lapsed) >= massLossFraction*float64(len(r.records))
	afterOutage := !r.recoveredAt.IsZero() && now.Sub(r.recoveredAt) < r.OutageGrace
	for _, one := range r.records {
		if one.missingSince.IsZero() || now.Sub(one.missingSince) > massLossWindow {
			continue
		}
		switch {
		case !one.drainingSince.IsZero() || !together:
		case afterOutage:
			one.expires = r.recoveredAt.Add(r.OutageGrace)
		default:
			one.expires = one.missingSince.Add(time.Duration(float64(r.DrainTimeout) * drainUseFraction))
		}
		r.Log.Info().Str("upstream", string(one.ID)).Str("service", string(one.Service)).Bool("draining", one.Draining).
			Bool("together", together).Bool("after-outage", afterOutage).Dur("kept", one.expires.Sub(now)).
			Msg("upstream's entry disappeared")
	}
}

// Reset takes in all entries of the store, after its history was lost.
func (r *Registry) Reset(entries []Entry) {
	present := make(map[fleet.UpstreamID]bool, len(entries))
	for _, entry := range entries {
		present[entry.ID] = true
		r.Put(entry)
	}
	var missing []fleet.UpstreamID
	r.mu.Lock()
	for id, one := range r.records {
		if !present[id] && one.missingSince.IsZero() {
			missing = append(missing, id)
		}
	}
	r.mu.Unlock()
	if len(missing) > 0 {
		r.Remove(missing...)
	}
}

// Run forgets vanished entries when their time is over, until ctx ends.
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

// idleWait is how long Run sleeps when nothing is due.
const maxSleep = time.Minute

// expire forgets what is due, and returns how long until more is.
func (r *Registry) expire() (<-chan struct{}, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now, next, forgot := r.Clock.Now(), maxSleep, false
	for id, one := range r.records {
		switch {
		case one.missingSince.IsZero():
		case !now.Before(one.expires):
			r.Log.Info().Str("upstream", string(id)).Dur("missing", now.Sub(one.missingSince)).Msg("upstream is gone")
			delete(r.records, id)
			forgot = true
		default:
			next = min(next, one.expires.Sub(now))
		}
	}
	if forgot {
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

func (r *Registry) changedChannel() chan struct{} {
	if r.changed == nil {
		r.changed = make(chan struct{})
	}
	return r.changed
}

func (r *Registry) notify() {
	if r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
}

// Upstreams returns the upstreams of each service, ordered by id.
func (r *Registry) Upstreams() map[fleet.ServiceName][]document.Upstream {
	r.mu.Lock()
	defer r.mu.Unlock()
	result := make(map[fleet.ServiceName][]document.Upstream)
	for _, one := range r.records {
		upstream := document.Upstream{
			ID: one.ID, Address: one.Address, Locality: one.Place, Incarnation: one.Incarnation, Slots: one.Slots,
		}
		if !one.drainingSince.IsZero() {
			upstream.DrainDeadline = one.drainingSince.Add(time.Duration(float64(r.DrainTimeout) * drainUseFraction))
		}
		result[one.Service] = append(result[one.Service], upstream)
	}
	for _, upstreams := range result {
		slices.SortFunc(upstreams, func(a, b document.Upstream) int { return strings.Compare(string(a.ID), string(b.ID)) })
	}
	return result
}
