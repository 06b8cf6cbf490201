package notices

import (
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/upstream/forward"
)

const (
	// coldMemory is how long the cold time of a process without an entry is remembered. Copies of its entry may come back meanwhile,
	// and a table of owners may name it before its entry arrives.
	coldMemory = time.Minute
	// maxColdLogged is the number of log lines about cold upstreams in coldLogInterval. A failure domain that comes back writes one
	// for each of its upstreams, up to about a hundred.
	maxColdLogged   = 150
	coldLogInterval = time.Minute
)

// coldState is what is known about the cold time of one process. Its remaining cold time is counted from the receipt of a report,
// so that it is never counted too short.
type coldState struct {
	// until is when the process stops being cold as it has reported, assumedUntil as was assumed since then, and answeredUntil as
	// was assumed because it has answered after it could not be reached. The latest holds.
	until, assumedUntil, answeredUntil time.Time
	// revision is that of the latest entry that was adopted, or zero.
	revision uint64
	// reportedAt is when the latest report arrived, in an entry or a response, or zero if the state is assumed.
	reportedAt time.Time
	// responded is set if the latest report or one before it, since the last assumption, came in a response.
	responded bool
	// assumedAt is when the state was last assumed, or the process last found unreachable. Only later reports count.
	assumedAt time.Time
	// unreachable is set from a failed attempt until the process answers. It is then cold for assumeFor, unless it says otherwise.
	unreachable bool
	assumeFor   time.Duration
	// failedAt is when the process first could not be reached since its latest report, or zero. A response on a connection that was
	// opened before is of the same process, and ends what was assumed.
	failedAt time.Time
	// logged is set while the process was last logged as cold.
	logged bool
	// absentSince is since when the process has no entry. It is zero while it has one.
	absentSince time.Time
}

// end returns when the process stops counting as cold.
func (c *coldState) end(now time.Time) time.Time {
	result := maxTime(c.until, maxTime(c.assumedUntil, c.answeredUntil))
	if c.unreachable {
		return maxTime(result, now.Add(c.assumeFor))
	}
	return result
}

// ColdUntil returns until when a process is cold. It is not after the present for one that is not cold, and zero for one of which
// nothing is known.
func (b *Book) ColdUntil(source Source) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	state := b.cold[source]
	return state.end(b.Now())
}

// ColdUntilAssuming returns until when a process is cold. One of which nothing is known counts as cold for a duration from now.
func (b *Book) ColdUntilAssuming(source Source, duration time.Duration) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, known := b.cold[source]; !known {
		b.assumeCold(source, duration)
	}
	state := b.cold[source]
	return state.end(b.Now())
}

// AssumeCold lets a process count as cold for a duration from now, unless an entry or a response that is newer says otherwise. It
// is called when the state of the process may have changed unnoticed, such as at the end of an evacuation.
func (b *Book) AssumeCold(source Source, duration time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.assumeCold(source, duration)
}

// assumeCold does what AssumeCold does. The caller holds mu.
func (b *Book) assumeCold(source Source, duration time.Duration) {
	now, state := b.Now(), b.cold[source]
	state.assumedUntil = maxTime(state.assumedUntil, now.Add(duration))
	state.assumedAt, state.reportedAt, state.responded = now, time.Time{}, false
	b.storeCold(source, state)
}

// NoteUnreachable notes that a process could not be reached, or broke a connection off. It counts as cold, for a duration from
// its next answer, since another process may answer under its address.
func (b *Book) NoteUnreachable(source Source, duration time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now, state := b.Now(), b.cold[source]
	if state.failedAt.IsZero() {
		state.failedAt = now
	}
	state.unreachable, state.assumeFor = true, duration
	state.assumedAt, state.reportedAt, state.responded = now, time.Time{}, false
	b.storeCold(source, state)
}

// noteAnswer notes that a process has responded. The caller holds mu.
func (b *Book) noteAnswer(exchange Exchange) {
	state := b.cold[exchange.Source]
	if state.failedAt.IsZero() || !exchange.SentAt.After(state.assumedAt) {
		return
	}
	switch {
	case !exchange.ConnectedAt.IsZero() && exchange.ConnectedAt.Before(state.failedAt):
		state.failedAt, state.answeredUntil = time.Time{}, time.Time{}
	case state.unreachable:
		state.answeredUntil = b.Now().Add(state.assumeFor)
	}
	state.unreachable = false
	b.storeCold(exchange.Source, state)
}

// recordCold adopts a report of the remaining cold time. The end of the cold time of a process does not change, and a report is
// never received before it was made, so that receipt plus remaining time is never too early: where the order of two reports is
// not known, the earlier end holds. A copy of an entry, or an older one, is ignored. The caller holds mu.
func (b *Book) recordCold(exchange Exchange, reported forward.Cold) {
	now, state := b.Now(), b.cold[exchange.Source]
	until, ordered := now.Add(reported.For), exchange.SentAt.After(state.reportedAt)
	if exchange.SentAt.IsZero() {
		if exchange.Revision <= state.revision {
			return
		}
		state.revision, ordered = exchange.Revision, !state.responded
	} else {
		if !exchange.SentAt.After(state.assumedAt) {
			return
		}
		state.responded = true
	}
	if !ordered && state.until.Before(until) {
		until = state.until
	}
	state.until, state.reportedAt, state.unreachable = until, now, false
	state.assumedUntil, state.answeredUntil, state.failedAt = time.Time{}, time.Time{}, time.Time{}
	b.storeCold(exchange.Source, state)
}

// storeCold stores the state of a process and logs if it has become cold or warm. The caller holds mu.
func (b *Book) storeCold(source Source, state coldState) {
	now := b.Now()
	if cold := now.Before(state.end(now)); cold != state.logged {
		state.logged = cold
		if event := b.coldLog.next(b, now, source); event != nil && cold {
			event.Dur("for", state.end(now).Sub(now)).Bool("assumed", state.reportedAt.IsZero()).Bool("unreachable", state.unreachable).
				Msg("upstream is cold; it gets a limited number of requests")
		} else if event != nil {
			event.Msg("upstream is no longer cold")
		}
	}
	if b.cold == nil {
		b.cold = make(map[Source]coldState)
	}
	b.cold[source] = state
}

// retainCold forgets the processes that have had no entry for coldMemory. The caller holds mu.
func (b *Book) retainCold(now time.Time, present map[fleet.UpstreamID]fleet.Incarnation) {
	for source, state := range b.cold {
		switch incarnation, registered := present[source.ID]; {
		case registered && incarnation == source.Incarnation:
			state.absentSince = time.Time{}
		case state.absentSince.IsZero():
			state.absentSince = now
		case now.Sub(state.absentSince) > coldMemory:
			delete(b.cold, source)
			continue
		}
		b.cold[source] = state
	}
}

// Cold returns the number of registered upstreams that count as cold, and logs those that have become warm.
func (b *Book) Cold() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	now, count := b.Now(), 0
	for source, state := range b.cold {
		switch cold := now.Before(state.end(now)); {
		case cold && state.absentSince.IsZero():
			count++
		case !cold && state.logged:
			b.storeCold(source, state)
		}
	}
	return count
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
