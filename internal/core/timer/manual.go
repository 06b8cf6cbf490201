package timer

import (
	"sync"
	"time"
)

// Manual is a clock for tests. Its time changes only when Advance is called.
type Manual struct {
	mu sync.Mutex
	// now is guarded by mu and never decreases.
	now time.Time
	// subscriptions is guarded by mu and holds the subscriptions that have not been stopped.
	subscriptions map[*manualSubscription]struct{}
}

// manualSubscription is one subscription to a Manual clock. Its fields are guarded by the mutex of the clock.
type manualSubscription struct {
	due      time.Time
	interval time.Duration
	channel  chan time.Time
}

var _ Clock = (*Manual)(nil)

// NewManual returns a manual clock that is set to start.
func NewManual(start time.Time) *Manual {
	return &Manual{now: start, subscriptions: make(map[*manualSubscription]struct{})}
}

// Now returns the current time of the clock.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Every returns a subscription that is woken at each multiple of interval after the current time of the clock.
func (m *Manual) Every(interval time.Duration) *Subscription {
	return m.subscribe(interval, interval)
}

// After returns a subscription that is woken once, when the clock has advanced by delay.
func (m *Manual) After(delay time.Duration) *Subscription {
	return m.subscribe(delay, 0)
}

func (m *Manual) subscribe(delay, interval time.Duration) *Subscription {
	m.mu.Lock()
	defer m.mu.Unlock()
	subscription := &manualSubscription{due: m.now.Add(delay), interval: interval, channel: make(chan time.Time, 1)}
	m.subscriptions[subscription] = struct{}{}
	m.wake(subscription)
	return &Subscription{C: subscription.channel, stop: func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.subscriptions, subscription)
	}}
}

// Advance moves the clock forward and wakes every subscription that is due.
func (m *Manual) Advance(step time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(step)
	for subscription := range m.subscriptions {
		m.wake(subscription)
	}
}

// wake wakes the subscription if it is due. The caller must hold mu.
func (m *Manual) wake(subscription *manualSubscription) {
	if subscription.due.After(m.now) {
		return
	}
	select {
	case subscription.channel <- m.now:
	default:
	}
	if subscription.interval <= 0 {
		delete(m.subscriptions, subscription)
		return
	}
	missed := m.now.Sub(subscription.due)/subscription.interval + 1
	subscription.due = subscription.due.Add(missed * subscription.interval)
}
