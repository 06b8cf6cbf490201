// Package notices keeps what upstreams state about themselves in their responses to this daemon, such as a limit to the requests
// that they take. It is the one place from which the parts of a daemon learn that.
package notices

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/upstream/forward"
)

// Source identifies the process of an upstream. One that starts again under the same ID is another source.
type Source struct {
	ID          fleet.UpstreamID
	Incarnation fleet.Incarnation
}

// Exchange is a request of this daemon to an upstream, with what the upstream stated in its response.
type Exchange struct {
	Source Source
	// SentAt is when the request was sent. A response to a request that was sent before the latest notice arrived withdraws nothing.
	SentAt time.Time
	// Complete is set if the response was received whole, so that what it does not state is withdrawn.
	Complete bool
	Notices  []forward.Notice
}

// Book holds the latest notices of each upstream. The exported fields are set before use.
type Book struct {
	Log zerolog.Logger
	Now func() time.Time

	mu sync.Mutex
	// entries is guarded by mu. It holds only upstreams with a notice in force.
	entries map[fleet.UpstreamID]entry
}

// entry is the notice of one upstream. It has no other kind yet.
type entry struct {
	incarnation fleet.Incarnation
	// rateLimit is the number of requests a second that the upstream takes from all daemons. It is at least 0.
	rateLimit float64
	// statedAt is when the upstream last named it.
	statedAt time.Time
}

// Record adopts the notices of a response.
func (b *Book) Record(exchange Exchange) {
	b.mu.Lock()
	defer b.mu.Unlock()
	current, known := b.entries[exchange.Source.ID]
	known = known && current.incarnation == exchange.Source.Incarnation
	for _, notice := range exchange.Notices {
		limit, ok := notice.(forward.RateLimit)
		if !ok {
			continue
		}
		if !known || current.rateLimit != limit.PerSecond {
			b.Log.Info().Str("upstream", string(exchange.Source.ID)).Float64("per-second", limit.PerSecond).
				Float64("before", current.rateLimit).Msg("upstream limits the requests that it takes")
		}
		if b.entries == nil {
			b.entries = make(map[fleet.UpstreamID]entry)
		}
		b.entries[exchange.Source.ID] = entry{
			incarnation: exchange.Source.Incarnation, rateLimit: limit.PerSecond, statedAt: b.Now(),
		}
		return
	}
	if known && exchange.Complete && exchange.SentAt.After(current.statedAt) {
		delete(b.entries, exchange.Source.ID)
		b.Log.Info().Str("upstream", string(exchange.Source.ID)).Msg("upstream no longer limits the requests that it takes")
	}
}

// RateLimit returns the number of requests a second that an upstream takes from all daemons together, or false if it has named
// none.
func (b *Book) RateLimit(source Source) (float64, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	current, known := b.entries[source.ID]
	return current.rateLimit, known && current.incarnation == source.Incarnation
}

// LatestRateLimit returns the limit of whichever process of an upstream named one last.
func (b *Book) LatestRateLimit(id fleet.UpstreamID) (float64, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	current, known := b.entries[id]
	return current.rateLimit, known
}

// Retain removes the notices of all upstreams but those given, by their present processes.
func (b *Book) Retain(present map[fleet.UpstreamID]fleet.Incarnation) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, current := range b.entries {
		if incarnation, ok := present[id]; !ok || incarnation != current.incarnation {
			delete(b.entries, id)
		}
	}
}

// Limited returns the number of upstreams that limit the requests that they take.
func (b *Book) Limited() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.entries)
}
