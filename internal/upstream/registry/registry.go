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
	Run fleet.Incarnation
}

const (
	// drainPart is the part of the drain time for which a leaving upstream may still be used where its keys have not moved.
	drainPart = 0.75
	// lapseShare and lapseLeast are the part and the number of the entries that have to disappear at the same time to be
	// taken for a fault of the store instead of that many losses.
	lapseShare = 0.2
	lapseLeast = 3
	// lapseWindow is the time that counts as the same time.
	lapseWindow = time.Second
)

// Registry holds the entries. The exported fields are set before use.
type Registry struct {
	Clock timer.Clock
	Log   zerolog.Logger
	// Drain is the time after which a leaving upstream must get no new work.
	Drain time.Duration
	// Return is the time within which entries that lapsed while the store was unavailable are back.
	Return time.Duration

	mu sync.Mutex
	// known is guarded by mu.
	known map[fleet.UpstreamID]*known
	// changed is guarded by mu and closed at the next change.
	changed chan struct{}
	// regained is guarded by mu: the time at which the store was reached again after an interruption.
	regained time.Time
}

// known is an entry with what was seen of its end.
type known struct {
	Entry
	// leaving is the time at which the upstream was seen to leave; zero for one that stays.
	leaving time.Time
	// gone is the time at which the entry disappeared; zero while it is there.
	gone time.Time
	// until is when a vanished entry is forgotten.
	until time.Time
}

// Regained takes in that the store answers again.
func (r *Registry) Regained() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.regained = r.Clock.Now()
}

// Put takes in an entry.
func (r *Registry) Put(entry Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.known[entry.ID]
	if before != nil && before.Entry == entry && before.gone.IsZero() {
		return
	}
	if r.known == nil {
		r.known = make(map[fleet.UpstreamID]*known)
	}
	next := &known{Entry: entry}
	if entry.Draining {
		next.leaving = r.Clock.Now()
		if before != nil && before.Run == entry.Run && !before.leaving.IsZero() {
			next.leaving = before.leaving
		}
	}
	r.known[entry.ID] = next
	r.log(entry, before)
	r.notify()
}

func (r *Registry) log(entry Entry, before *known) {
	event := r.Log.Info().Str("upstream", string(entry.ID)).Str("service", string(entry.Service)).
		Str("address", entry.Address.String()).Bool("draining", entry.Draining).Str("run", string(entry.Run))
	switch {
	case before == nil:
		event.Msg("upstream registered")
	case !before.gone.IsZero():
		event.Dur("missing", r.Clock.Now().Sub(before.gone)).Msg("upstream registered again")
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
		if one := r.known[id]; one != nil && one.gone.IsZero() {
			one.gone, one.until = now, now
		}
	}
	r.judge(now)
	r.notify()
}

// judge decides until when vanished entries count. Entries that vanish together may be back soon, just after the store was
// unavailable more so. A single one is gone: a daemon that was cut off learns late of upstreams that left long ago. The caller
// holds mu.
func (r *Registry) judge(now time.Time) {
	lapsed := 0
	for _, one := range r.known {
		if !one.gone.IsZero() && one.leaving.IsZero() && now.Sub(one.gone) <= lapseWindow {
			lapsed++
		}
	}
	together := lapsed >= lapseLeast && float64(lapsed) >= lapseShare*float64(len(r.known))
	afterOutage := !r.regained.IsZero() && now.Sub(r.regained) < r.Return
	for _, one := range r.known {
		if one.gone.IsZero() || now.Sub(one.gone) > lapseWindow {
			continue
		}
		switch {
		case !one.leaving.IsZero() || !together:
		case afterOutage:
			one.until = r.regained.Add(r.Return)
		default:
			one.until = one.gone.Add(time.Duration(float64(r.Drain) * drainPart))
		}
		r.Log.Info().Str("upstream", string(one.ID)).Str("service", string(one.Service)).Bool("draining", one.Draining).
			Bool("together", together).Bool("after-outage", afterOutage).Dur("kept", one.until.Sub(now)).
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
	for id, one := range r.known {
		if !present[id] && one.gone.IsZero() {
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
const idleWait = time.Minute

// expire forgets what is due, and returns how long until more is.
func (r *Registry) expire() (<-chan struct{}, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now, next, forgot := r.Clock.Now(), idleWait, false
	for id, one := range r.known {
		switch {
		case one.gone.IsZero():
		case !now.Before(one.until):
			r.Log.Info().Str("upstream", string(id)).Dur("missing", now.Sub(one.gone)).Msg("upstream is gone")
			delete(r.known, id)
			forgot = true
		default:
			next = min(next, one.until.Sub(now))
		}
	}
	if forgot {
		r.notify()
	}
	return r.channel(), next
}

// Changed returns a channel that is closed at the next change.
func (r *Registry) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.channel()
}

func (r *Registry) channel() chan struct{} {
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
	for _, one := range r.known {
		upstream := document.Upstream{
			ID: one.ID, Address: one.Address, Locality: one.Place, Incarnation: one.Run, Slots: one.Slots,
		}
		if !one.leaving.IsZero() {
			upstream.DrainDeadline = one.leaving.Add(time.Duration(float64(r.Drain) * drainPart))
		}
		result[one.Service] = append(result[one.Service], upstream)
	}
	for _, upstreams := range result {
		slices.SortFunc(upstreams, func(a, b document.Upstream) int { return strings.Compare(string(a.ID), string(b.ID)) })
	}
	return result
}
