package retry

import "sync"

const (
	// defaultShare is the number of retries that each first attempt pays for.
	defaultShare = 0.1
	// defaultReserve is the number of unused retries that are kept for a burst, such as the requests in flight at an upstream
	// that is lost. With 50, eleven daemons of a small service sent 1.33 times as many requests as they had received.
	defaultReserve = 10
)

// Budget bounds the retries of one service to a share of its first attempts, beyond a reserve. The zero value allows a tenth
// and has its whole reserve, so that a daemon that has just started can retry too. The exported fields are set before use.
type Budget struct {
	// Share is the number of retries that each first attempt pays for; zero stands for a tenth.
	Ratio float64
	// Reserve returns the number of unused retries that are kept; nil stands for 10. It may change with the number of
	// daemons that share a common reserve.
	Burst func() float64
	// Strict counts every sending after the first that reached an upstream, also one that waited for the map before.
	Strict bool

	mu sync.Mutex
	// spent is guarded by mu and lies between 0 and reserve.
	spent float64
}

// First counts a first attempt.
func (b *Budget) RecordFirstAttempt() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent = max(b.spent-b.ratio(), 0)
}

// Take takes the token of one retry, and returns false if there is none.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.spent+1 > b.burst() {
		return false
	}
	b.spent++
	return true
}

func (b *Budget) ratio() float64 {
	if b.Ratio > 0 {
		return b.Ratio
	}
	return defaultShare
}

func (b *Budget) burst() float64 {
	if b.Burst != nil {
		return b.Burst()
	}
	return defaultReserve
}
