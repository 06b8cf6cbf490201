package budget

// Held returns the bytes held for a purpose.
func (b *Budget) Held(purpose Purpose) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.byPurpose[purpose]
}

// Refusals returns how often something was refused for lack of room.
func (b *Budget) Refusals() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.refusals
}

// Closed returns how many connections were closed for lack of room.
func (b *Budget) Closed() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.closed
}
