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

// Await records whether the connection waits for something that its caller is to send. It returns false if the connection was
// chosen to be closed before.
func (h *Holder) Await(waiting bool) bool {
	if h == nil {
		return true
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.reading = waiting
	h.placeLocked()
	return !h.closing
}

// BeginWrite records that the connection waits for its caller to take something, until EndWrite. While the daemon itself waits
// for the rest of a response, nothing is owed by the caller.
func (h *Holder) BeginWrite() {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.writing = true
	h.placeLocked()
}

// EndWrite ends what BeginWrite began.
func (h *Holder) EndWrite() {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.writing = false
	h.placeLocked()
}

// placeLocked puts the holder behind all that wait for their callers, as one that has just made progress, or takes it out if it
// does not wait.
func (h *Holder) placeLocked() {
	b := h.budget
	if h.place != nil {
		b.waiting.Remove(h.place)
		h.place = nil
	}
	if (h.reading || h.writing) && !h.closing {
		h.progressed = b.Clock.Now()
		h.place = b.waiting.PushBack(h)
	}
}

// Progressed records that the caller has sent something.
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
