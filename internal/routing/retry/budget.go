package retry

import "sync"

const (
	// defaultRatio is the number of retries that each first attempt adds to the budget.
	defaultRatio = 0.1
	// defaultBurst is the number of unused retries that are kept for a burst, such as the requests in flight at an upstream
	// that is lost. With 50, the eleven daemons of a small service sent 1.33 times as many requests as they had received.
	defaultBurst = 10
)

// Budget limits the retries of one service to a ratio of its first attempts, plus a burst. The zero value uses the defaults
// and starts with a full burst, so that a daemon can retry right after its start. The exported fields must be set before
// use.
type Budget struct {
	// Ratio is the number of retries that each first attempt adds. Zero selects the default of 0.1.
	Ratio float64
	// Burst returns the number of unused retries that are kept. Nil selects the default of 10. The value may change, since
	// it depends on the number of daemons that share a burst.
	Burst func() float64
	// Strict charges every resend that may reach an upstream, including one that waited for the ownership map.
	Strict bool

	mu sync.Mutex
	// spent is guarded by mu and lies between 0 and the capacity. It counts from started on.
	spent   float64
	started bool
}

// smallShareRatio reduces the ratio of a budget whose share of the burst is less than one retry. Such a budget keeps up to one
// whole retry, since it could never take one otherwise: a burst of 64 for 87 daemons is 0.74 for each. What it keeps beyond its
// share is made up for by the lower ratio: 87 daemons keep at most 23 retries too many, which 1,150 requests outweigh at 0.2.
const smallShareRatio = 0.9

// start gives a budget its share of the burst, at its first use.
func (b *Budget) start() {
	if !b.started {
		b.started = true
		b.spent = b.capacity() - b.burst()
	}
}

// scarce reports whether the share of the burst is less than one retry.
func (b *Budget) scarce() bool { return b.burst() < 1 }

// capacity returns the number of unused retries that are kept.
func (b *Budget) capacity() float64 { return max(b.burst(), 1) }

// RecordFirstAttempt adds the ratio of one first attempt to the budget.
func (b *Budget) RecordFirstAttempt() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.start()
	ratio := b.ratio()
	if b.scarce() {
		ratio *= smallShareRatio
	}
	b.spent = max(b.spent-ratio, 0)
}

// Take takes one retry from the budget. It returns false if none is left.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.start()
	if b.spent+1 > b.capacity() {
		return false
	}
	b.spent++
	return true
}

func (b *Budget) ratio() float64 {
	if b.Ratio > 0 {
		return b.Ratio
	}
	return defaultRatio
}

func (b *Budget) burst() float64 {
	if b.Burst != nil {
		return b.Burst()
	}
	return defaultBurst
}
