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
	// coldBurstTime is that time for a cold upstream, whose limit holds within spans of a second instead of several.
	coldBurstTime = 100 * time.Millisecond
	// maxCharge bounds how far the requests that were admitted for one reason delay those for another one, whose rate may be much
	// lower.
	maxCharge = time.Second
	// noRateRetry is the time after which a request to an upstream that takes none at all may return.
	noRateRetry = time.Second
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
	schedules map[scheduleKey]*schedule
	// cleanedAt is guarded by mu: when idle schedules were last removed.
	cleanedAt time.Time
}

// scheduleKey names a schedule. Limits of different reasons differ in rate and burst, so that each has its own.
type scheduleKey struct {
	upstream fleet.UpstreamID
	reason   Reason
}

// schedule is the state of one limit of an upstream.
type schedule struct {
	// next is the time at which the next request would be due if requests were sent at even intervals.
	next time.Time
	// interval is the time between two requests at the latest rate.
	interval time.Duration
	// usedAt is the time of the latest request, admitted or not.
	usedAt time.Time
}

// Reserve admits a request to an upstream that takes requests at a rate, if it can be sent within maxWait. An upstream that is
// not known gets nothing for startDelay, or for a random time if the limiter is staggered. A request that is admitted for one
// reason counts towards the schedules of the others.
func (l *Limiter) Reserve(now time.Time, upstream fleet.UpstreamID, rate Rate, maxWait time.Duration) Decision {
	perSecond, burst := rate.PerSecond, rate.Reason.burst()
	if rate.Reason == Cold && perSecond <= 0 {
		return Denied{RetryAfter: noRateRetry} // the cold time ends without a request
	}
	if rate.Reason != Cold && !l.Staggered {
		perSecond = max(perSecond, minRate)
	}
	interval := max(minInterval, time.Duration(min(float64(time.Second)/perSecond, float64(maxInterval))))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removeIdle(now)
	key := scheduleKey{upstream, rate.Reason}
	current := l.schedules[key]
	if current == nil {
		delay := startDelay
		if l.Staggered {
			delay = rand.N(interval)
		}
		current = &schedule{next: now.Add(burst + delay), interval: interval, usedAt: now}
		l.schedules[key] = current
	}
	if ahead := current.next.Sub(now); ahead > 0 && interval < current.interval { // the rate has risen
		current.next = now.Add(time.Duration(float64(ahead) * float64(interval) / float64(current.interval)))
	}
	if now.Sub(current.usedAt) > maxBurstAge && current.next.Before(now.Add(burst)) {
		current.next = now.Add(burst)
		if l.Staggered && rate.Reason == Cold {
			// The shares of many daemons may be due since an earlier time at which the upstream was cold.
			current.next = current.next.Add(rand.N(interval))
		}
	}
	current.interval, current.usedAt = interval, now
	wait := max(0, current.next.Sub(now)-burst)
	if wait > maxWait {
		return Denied{RetryAfter: wait}
	}
	current.next = maxTime(current.next, now).Add(interval)
	l.chargeOthers(now, key)
	return Granted{Wait: wait}
}

// chargeOthers counts an admitted request towards the other schedules of its upstream. The caller holds mu.
func (l *Limiter) chargeOthers(now time.Time, admitted scheduleKey) {
	for _, reason := range reasons {
		other := l.schedules[scheduleKey{admitted.upstream, reason}]
		if reason == admitted.reason || other == nil || other.next.Sub(now) > maxCharge {
			continue
		}
		other.next = maxTime(other.next, now).Add(min(other.interval, maxCharge))
	}
}

// removeIdle removes the schedules without recent requests. The caller holds mu.
func (l *Limiter) removeIdle(now time.Time) {
	if l.schedules == nil {
		l.schedules = make(map[scheduleKey]*schedule)
	}
	if now.Sub(l.cleanedAt) < idleTime {
		return
	}
	l.cleanedAt = now
	for key, current := range l.schedules {
		if now.Sub(current.next) > idleTime {
			delete(l.schedules, key)
		}
	}
}

// Size returns the number of schedules.
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
