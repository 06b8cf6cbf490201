package timer

import (
	"sync"
	"time"
)

// Manual is a timer service whose time moves only when a test advances it.
type Manual struct {
	mu sync.Mutex
	// now is guarded by mu and never goes back.
	now time.Time
	// waiting is guarded by mu and holds the subscriptions that are not stopped.
	waiting map[*wakeup]struct{}
}

// wakeup is one subscription of a manual clock. Its fields are guarded by the clock's mutex.
type wakeup struct {
	due      time.Time
	interval time.Duration
	channel  chan time.Time
}

var _ Clock = (*Manual)(nil)

// NewManual returns a manual clock that stands at start.
func NewManual(start time.Time) *Manual {
	return &Manual{now: start, waiting: make(map[*wakeup]struct{})}
}

// Now returns the time to which the clock was last advanced.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Every subscribes to each multiple of interval from the clock's present time on.
func (m *Manual) Every(interval time.Duration) *Subscription {
	return m.subscribe(interval, interval)
}

// After subscribes to the time that lies delay after the clock's present time.
func (m *Manual) After(delay time.Duration) *Subscription {
	return m.subscribe(delay, 0)
}

func (m *Manual) subscribe(delay, interval time.Duration) *Subscription {
	m.mu.Lock()
	defer m.mu.Unlock()
	entry := &wakeup{due: m.now.Add(delay), interval: interval, channel: make(chan time.Time, 1)}
	m.waiting[entry] = struct{}{}
	m.wake(entry)
	return &Subscription{C: entry.channel, stop: func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.waiting, entry)
	}}
}

// Advance moves the clock forward and wakes every subscription that has become due.
func (m *Manual) Advance(step time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(step)
	for entry := range m.waiting {
		m.wake(entry)
	}
}

// wake delivers a due wake-up. The caller holds mu.
func (m *Manual) wake(entry *wakeup) {
	if entry.due.After(m.now) {
		return
	}
	select {
	case entry.channel <- m.now:
	default:
	}
	if entry.interval <= 0 {
		delete(m.waiting, entry)
		return
	}
	missed := m.now.Sub(entry.due)/entry.interval + 1
	entry.due = entry.due.Add(missed * entry.interval)
}
