package retry

import "sync"

const (
	// share is the number of retries that each first attempt pays for.
	share = 0.1
	// reserve is the number of unused retries that are kept for a burst, such as the requests in flight at an upstream
	// that is lost.
	reserve = 50
)

// Budget bounds the retries of one service to a tenth of its first attempts. The zero value is an empty budget.
type Budget struct {
	mu sync.Mutex
	// tokens is guarded by mu and lies between 0 and reserve.
	tokens float64
}

// First counts a first attempt.
func (b *Budget) First() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+share, reserve)
}

// Take takes the token of one retry, and returns false if there is none.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
