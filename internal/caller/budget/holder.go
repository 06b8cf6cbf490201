package budget

// Release gives up n bytes, or what is held for the purpose if that is less.
func (h *Holder) Release(purpose Purpose, n int64) {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if !h.closing {
		h.budget.addLocked(h, purpose, -min(n, h.held[purpose]))
	}
}

// ReleaseAll gives up all bytes of a purpose.
func (h *Holder) ReleaseAll(purpose Purpose) {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if !h.closing {
		h.budget.addLocked(h, purpose, -h.held[purpose])
	}
}

// Await records whether the connection waits for its caller, which is to send or to take something. Only such a connection is
// closed. It returns false if the connection was chosen to be closed before.
func (h *Holder) Await(waiting bool) bool {
	if h == nil {
		return true
	}
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.place != nil {
		b.waiting.Remove(h.place)
		h.place = nil
	}
	if waiting && !h.closing {
		h.progressed = b.Clock.Now()
		h.place = b.waiting.PushBack(h)
	}
	return !h.closing
}

// Progressed records that the caller has sent or taken something.
func (h *Holder) Progressed() {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if h.place != nil {
		h.progressed = h.budget.Clock.Now()
		h.budget.waiting.MoveToBack(h.place)
	}
}

// Close gives up everything. It may be called more than once.
func (h *Holder) Close() {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if !h.closing {
		h.budget.dropLocked(h)
	}
}
