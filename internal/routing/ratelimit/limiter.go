// Package ratelimit admits requests to upstreams at the rates that these upstreams name for all daemons together. It does no
// I/O: whoever holds the limiter of an upstream decides for all daemons that ask it.
package ratelimit

import (
	"math/rand/v2"
	"sync"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// Decision is what the limiter decided about a request. It is one of Granted and Denied.
type Decision interface {
	decision()
}

// Granted means that the request may be sent after a wait.
type Granted struct{ Wait time.Duration }

// Denied means that the request would have to wait for too long. RetryAfter is that wait.
type Denied struct{ RetryAfter time.Duration }

func (Granted) decision() {}
func (Denied) decision()  {}

const (
	// burstTime is the time for which an unused rate is kept, beyond one request. It absorbs chance: requests at a rate below the
	// limit rarely wait, and any span gets at most the limit of that span and of burstTime, and one request.
	burstTime = 400 * time.Millisecond
	// startDelay is the time for which an upstream that was not known gets nothing. What it got until now, from daemons that did not
	// know of its limit or by another limiter, counts towards the same span.
	startDelay = 500 * time.Millisecond
	// maxBurstAge is how long an upstream may be without requests here until no rate is kept for a burst: another limiter may have
	// admitted requests meanwhile.
	maxBurstAge = time.Second
	// minRate is the lowest rate in requests a second. An upstream that takes none at all would never be heard to take some again.
	minRate = 0.25
	// minInterval and maxInterval bound the time between two requests, whatever rate is named.
	minInterval = time.Microsecond
	maxInterval = 10 * time.Minute
	// idleTime is how long the schedule of an upstream is kept after its last request.
	idleTime = time.Minute
)

// Limiter admits requests to any number of upstreams. The zero value is ready for use.
type Limiter struct {
	// Staggered is set for a limiter that admits one daemon's share. Its first request to an upstream is due at a random time within
	// the interval of its share, so that many daemons do not use theirs at the same moment.
	Staggered bool

	mu sync.Mutex
	// schedules is guarded by mu.
	schedules map[fleet.UpstreamID]*schedule
	// cleanedAt is guarded by mu: when idle schedules were last removed.
	cleanedAt time.Time
}

// schedule is the state of one upstream.
type schedule struct {
	// next is the time at which the next request would be due if requests were sent at even intervals.
	next time.Time
	// interval is the time between two requests at the latest rate.
	interval time.Duration
	// usedAt is the time of the latest request, admitted or not.
	usedAt time.Time
}

// Reserve admits a request to an upstream that takes rate requests a second, if it can be sent within maxWait. An upstream that
// is not known gets nothing for startDelay, or for a random time if the limiter is staggered.
func (l *Limiter) Reserve(now time.Time, upstream fleet.UpstreamID, rate float64, maxWait time.Duration) Decision {
	if !l.Staggered {
		rate = max(rate, minRate)
	}
	interval := max(minInterval, time.Duration(min(float64(time.Second)/rate, float64(maxInterval))))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removeIdle(now)
	current := l.schedules[upstream]
	if current == nil {
		delay := startDelay
		if l.Staggered {
			delay = rand.N(interval)
		}
		current = &schedule{next: now.Add(burstTime + delay), interval: interval, usedAt: now}
		l.schedules[upstream] = current
	}
	if ahead := current.next.Sub(now); ahead > 0 && interval < current.interval { // the rate has risen
		current.next = now.Add(time.Duration(float64(ahead) * float64(interval) / float64(current.interval)))
	}
	if now.Sub(current.usedAt) > maxBurstAge {
		current.next = maxTime(current.next, now.Add(burstTime))
	}
	current.interval, current.usedAt = interval, now
	wait := max(0, current.next.Sub(now)-burstTime)
	if wait > maxWait {
		return Denied{RetryAfter: wait}
	}
	if current.next.Before(now) {
		current.next = now
	}
	current.next = current.next.Add(interval)
	return Granted{Wait: wait}
}

// removeIdle removes the schedules without recent requests. The caller holds mu.
func (l *Limiter) removeIdle(now time.Time) {
	if l.schedules == nil {
		l.schedules = make(map[fleet.UpstreamID]*schedule)
	}
	if now.Sub(l.cleanedAt) < idleTime {
		return
	}
	l.cleanedAt = now
	for upstream, current := range l.schedules {
		if now.Sub(current.next) > idleTime {
			delete(l.schedules, upstream)
		}
	}
}

// Size returns the number of upstreams with a schedule.
func (l *Limiter) Size() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.schedules)
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
