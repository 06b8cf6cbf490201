package retry

import "sync"

const (
	// share is the number of retries that each first attempt pays for.
	share = 0.1
	// reserve is the number of unused retries that are kept for a burst, such as the requests in flight at an upstream
	// that is lost. With 50, eleven daemons of a small service sent 1.33 times as many requests as they had received.
	reserve = 10
)

// Budget bounds the retries of one service to a tenth of its first attempts, beyond a reserve. The zero value has its
// whole reserve, so that a daemon that has just started can retry too.
type Budget struct {
	mu sync.Mutex
	// spent is guarded by mu and lies between 0 and reserve.
	spent float64
}

// First counts a first attempt.
func (b *Budget) First() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent = max(b.spent-share, 0)
}

// Take takes the token of one retry, and returns false if there is none.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.spent+1 > reserve {
		return false
	}
	b.spent++
	return true
}
