// Package notices keeps what upstreams state about themselves in their responses, such as a limit to the requests that they
// take, or that they leave. It is the one place from which the parts of a daemon learn that.
package notices

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/upstream/forward"
)

const (
	// leavingMemory is how long it is remembered that an upstream leaves after its entry has disappeared. An outdated copy of the
	// entry may come back meanwhile.
	leavingMemory = 5 * time.Minute
	// leavingNewsTime is how long peers are told that an upstream leaves. Reports may be lost.
	leavingNewsTime = 5 * time.Second
	// maxPause bounds a pause. An upstream that wants a longer one says so again when it is tried then.
	maxPause = time.Minute
	// pauseSpread is the fraction of a pause over which the daemons that were told at the same time return, at most
	// maxPauseSpread.
	pauseSpread    = 0.25
	maxPauseSpread = time.Second
	// maxMalformedLogged is the number of malformed statements that are logged. All are counted.
	maxMalformedLogged = 20
)

// Source identifies the process of an upstream. One that starts again under the same ID is another source.
type Source struct {
	ID          fleet.UpstreamID  `json:"id"`
	Incarnation fleet.Incarnation `json:"run"`
}

// Exchange is a request of this daemon to an upstream, with what the upstream stated in its response.
type Exchange struct {
	Source Source
	// SentAt is when the request was sent. A response to a request that was sent before the latest notice arrived withdraws
	// nothing.
	// It is zero if the notices were not made in a response to this daemon, but in an entry or to a peer.
	SentAt time.Time
	// ConnectedAt is when the connection was opened on which the response came. It is zero if that is not known.
	ConnectedAt time.Time
	// Revision orders the entries of one process if the notices were made in an entry. It is zero if they were not.
	Revision uint64
	// Complete is set if the response was received whole, so that what it does not state is withdrawn.
	Complete bool
	Notices  []forward.Notice
}

// Book holds the latest notices of each upstream. The exported fields are set before use.
type Book struct {
	Log zerolog.Logger
	Now func() time.Time
	// OnLeaving is called when an upstream first states that it leaves. It may be nil.
	OnLeaving func()

	mu sync.Mutex
	// entries is guarded by mu. It holds only upstreams with a notice in force.
	entries map[Source]entry
	// cold is guarded by mu. It holds each process whose cold time was reported or assumed.
	cold    map[Source]coldState
	coldLog coldLog
	// malformed is guarded by mu and counts the statements that could not be understood.
	malformed int
}

// entry holds the notices of one process of an upstream.
type entry struct {
	// limit is nil if the upstream names no limit.
	limit *namedLimit
	// leavingSince is when the upstream first stated that it leaves, in a response or in its entry, or zero. It is not withdrawn.
	leavingSince time.Time
	// told is when the upstream first stated it in a response to this daemon, or zero. Other daemons need not know it then.
	told time.Time
	// pausedUntil is until when the upstream wants nothing from this daemon.
	pausedUntil time.Time
	// absentSince is since when the upstream is not registered. It is zero while it is.
	absentSince time.Time
}

// namedLimit is the number of requests a second that an upstream takes from all daemons, at least 0, and when it last named it.
type namedLimit struct {
	perSecond float64
	statedAt  time.Time
}

// Record adopts the notices of a response.
func (b *Book) Record(exchange Exchange) {
	b.mu.Lock()
	current, leaves := b.entries[exchange.Source], false
	var limit *forward.RateLimit
	for _, notice := range exchange.Notices {
		switch notice := notice.(type) {
		case forward.RateLimit:
			limit = &notice
		case forward.Leaving:
			leaves = current.leavingSince.IsZero()
			if current.told.IsZero() && !exchange.SentAt.IsZero() {
				current.told = b.Now()
			}
		case forward.Pause:
			current.pausedUntil = b.pause(exchange.Source, current.pausedUntil, notice)
		case forward.Cold:
			b.recordCold(exchange, notice)
		case forward.Load: // the balancer keeps it
		case forward.Malformed:
			b.countMalformed(exchange.Source, notice)
		}
	}
	if leaves {
		current.leavingSince = b.Now()
		b.log(exchange.Source).Msg("upstream states that it leaves")
	}
	switch {
	case limit != nil:
		if current.limit == nil || current.limit.perSecond != limit.PerSecond {
			b.log(exchange.Source).Float64("per-second", limit.PerSecond).Msg("upstream limits the requests that it takes")
		}
		current.limit = &namedLimit{perSecond: limit.PerSecond, statedAt: b.Now()}
	case current.limit != nil && exchange.Complete && exchange.SentAt.After(current.limit.statedAt):
		current.limit = nil
		b.log(exchange.Source).Msg("upstream no longer limits the requests that it takes")
	}
	b.store(exchange.Source, current)
	b.noteAnswer(exchange)
	b.mu.Unlock()
	if leaves && b.OnLeaving != nil {
		b.OnLeaving()
	}
}

// store stores an entry, or removes it if it holds nothing. The caller holds mu.
func (b *Book) store(source Source, next entry) {
	if next.limit == nil && next.leavingSince.IsZero() && !b.Now().Before(next.pausedUntil) {
		delete(b.entries, source)
		return
	}
	if b.entries == nil {
		b.entries = make(map[Source]entry)
	}
	b.entries[source] = next
}

// pause returns until when an upstream gets nothing. A later statement does not shorten a pause, since responses overtake
// each other. The end is delayed by a random time, so that the daemons don't return all at once. The caller holds mu.
func (b *Book) pause(source Source, before time.Time, stated forward.Pause) time.Time {
	now := b.Now()
	duration := min(stated.Duration, maxPause)
	spread := min(time.Duration(float64(duration)*pauseSpread), maxPauseSpread)
	until := now.Add(duration + time.Duration(rand.Float64()*float64(spread)))
	if until.Before(before) {
		return before
	}
	if duration > 0 && !now.Before(before) {
		b.log(source).Dur("stated", stated.Duration).Dur("pause", until.Sub(now)).Msg("upstream asks for a pause")
	}
	return until
}

// log starts a log line about an upstream.
func (b *Book) log(source Source) *zerolog.Event {
	return b.Log.Info().Str("upstream", string(source.ID)).Str("run", string(source.Incarnation))
}

// countMalformed counts a statement that could not be understood. The caller holds mu.
func (b *Book) countMalformed(source Source, statement forward.Malformed) {
	if b.malformed++; b.malformed <= maxMalformedLogged {
		b.Log.Warn().Str("upstream", string(source.ID)).Str("header", statement.Header).Str("value", statement.Value).
			Msg("statement of an upstream cannot be understood; it is ignored")
	}
}

// RateLimit returns the number of requests a second that an upstream takes from all daemons together, or false if it has named
// none.
func (b *Book) RateLimit(source Source) (float64, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if current := b.entries[source]; current.limit != nil {
		return current.limit.perSecond, true
	}
	return 0, false
}

// LatestRateLimit returns the limit of whichever process of an upstream named one last.
func (b *Book) LatestRateLimit(id fleet.UpstreamID) (float64, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var latest *namedLimit
	for source, current := range b.entries {
		if source.ID == id && current.limit != nil && (latest == nil || current.limit.statedAt.After(latest.statedAt)) {
			latest = current.limit
		}
	}
	if latest == nil {
		return 0, false
	}
	return latest.perSecond, true
}

// PausedUntil returns until when an upstream wants nothing from this daemon. It is in the past or zero for one that has no pause.
func (b *Book) PausedUntil(source Source) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.entries[source].pausedUntil
}

// LeavingSince returns when an upstream first stated that it leaves. It is zero for one that has not.
func (b *Book) LeavingSince(source Source) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.entries[source].leavingSince
}

// LeavingNews returns the upstreams that have stated recently, in a response to this daemon, that they leave.
func (b *Book) LeavingNews() []Source {
	b.mu.Lock()
	defer b.mu.Unlock()
	var result []Source
	now := b.Now()
	for source, current := range b.entries {
		if !current.told.IsZero() && now.Sub(current.told) < leavingNewsTime {
			result = append(result, source)
		}
	}
	return result
}

// Retain removes the notices of all upstreams but those given, by their present processes. That one leaves is kept for
// leavingMemory, unless it has started again.
func (b *Book) Retain(present map[fleet.UpstreamID]fleet.Incarnation) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Now()
	for source, current := range b.entries {
		incarnation, registered := present[source.ID]
		switch {
		case registered && incarnation == source.Incarnation:
			current.absentSince = time.Time{}
		case registered:
			current = entry{}
		case current.absentSince.IsZero():
			current.limit, current.pausedUntil, current.absentSince = nil, time.Time{}, now
		case now.Sub(current.absentSince) > leavingMemory:
			current = entry{}
		}
		b.store(source, current)
	}
	b.retainCold(now, present)
}

// Limited returns the number of upstreams that limit the requests that they take.
func (b *Book) Limited() int {
	return b.count(func(current entry) bool { return current.limit != nil })
}

// Leaving returns the number of registered upstreams that have stated that they leave.
func (b *Book) Leaving() int {
	return b.count(func(current entry) bool { return !current.leavingSince.IsZero() && current.absentSince.IsZero() })
}

// Paused returns the number of upstreams that want nothing from this daemon at present.
func (b *Book) Paused() int {
	return b.count(func(current entry) bool { return b.Now().Before(current.pausedUntil) })
}

// Malformed returns the number of statements that could not be understood.
func (b *Book) Malformed() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.malformed
}

func (b *Book) count(matches func(entry) bool) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	count := 0
	for _, current := range b.entries {
		if matches(current) {
			count++
		}
	}
	return count
}
