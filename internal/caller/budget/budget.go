package budget

import (
	"container/list"
	"sync"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/timer"
)

// Purpose is what bytes are held for.
type Purpose string

// The purposes. Each has a label value of the metrics.
const (
	Connection Purpose = "connection"
	Body       Purpose = "body"
	Response   Purpose = "response"
	Ahead      Purpose = "ahead"
)

// Purposes lists all purposes.
var Purposes = []Purpose{Connection, Body, Response, Ahead}

// Budget decides who may hold how much. Set the exported fields before use. A nil Budget allows everything.
type Budget struct {
	Limits Limits
	Clock  timer.Clock
	// OnClosed, if set, is called when a connection is to be closed for lack of room.
	OnClosed func(purpose Purpose, held int64)

	mu sync.Mutex
	// used is guarded by mu: the bytes held by all holders that are not closing. large is the part held by those above
	// SmallSize.
	used, large int64
	// byPurpose is guarded by mu.
	byPurpose map[Purpose]int64
	// waiting is guarded by mu and lists the holders that wait for their callers, the one whose last progress is oldest first.
	waiting list.List
	// connections, refusals and closed are guarded by mu. connections counts the open holders; the others are counters.
	connections, refusals, closed int
	// toClose is guarded by mu and holds what unlock calls.
	toClose []func()
}

// unlock unlocks mu and closes the connections that were chosen meanwhile.
func (b *Budget) unlock() {
	chosen := b.toClose
	b.toClose = nil
	b.mu.Unlock()
	for _, closeConn := range chosen {
		closeConn()
	}
}

// Holder is a connection of a caller, which holds room. Its methods may be called by any goroutine. A nil Holder holds
// nothing and is allowed everything.
type Holder struct {
	budget *Budget
	// close makes the connection end. It must not block.
	close func()

	// The fields below are guarded by the budget's mu. total is the sum of held.
	held  map[Purpose]int64
	total int64
	// reading and writing are set while the caller is to send or to take something. Only then the holder may be closed: it has a
	// place among the waiting holders, which is nil otherwise. progressed is the time of the last progress.
	reading, writing bool
	place            *list.Element
	progressed       time.Time
	// closing is set once the holder was chosen to be closed, or has been closed. What it holds no longer counts.
	closing bool
}

// Open returns the holder for a new connection, or nil and false if there is no room for one. The connection waits for its
// caller.
func (b *Budget) Open(closeConn func()) (*Holder, bool) {
	if b == nil {
		return nil, true
	}
	b.mu.Lock()
	defer b.unlock()
	holder := &Holder{budget: b, close: closeConn, held: make(map[Purpose]int64)}
	if b.Limits.Connections > 0 && b.connections >= b.Limits.Connections && !b.closeStalledLocked(nil, 0) ||
		!b.reserveLocked(holder, Connection, connectionCost) {
		b.refusals++
		return nil, false
	}
	b.connections++
	holder.reading = true
	holder.placeLocked()
	return holder, true
}

// Reserve takes room for n bytes. If room is short, connections that wait for their callers and have made no progress for
// stallTimeout are closed for it, the one that holds most first. It returns false if that does not suffice.
func (h *Holder) Reserve(purpose Purpose, n int64) bool {
	if h == nil {
		return true
	}
	b := h.budget
	b.mu.Lock()
	defer b.unlock()
	if h.closing {
		return false
	}
	if !b.reserveLocked(h, purpose, n) {
		b.refusals++
		return false
	}
	return true
}

// reserveLocked takes room for n bytes, and closes connections without progress if necessary.
func (b *Budget) reserveLocked(h *Holder, purpose Purpose, n int64) bool {
	if b.Limits.Room > 0 {
		if h.total+n > b.Limits.Room-b.Limits.SmallRoom && h.total+n > SmallSize {
			return false // not even if nothing else were held
		}
		for !b.fitsLocked(h, n) {
			// The many idle connections, which hold little, are not closed for a large body.
			if !b.closeStalledLocked(h, connectionCost) && (n > SmallSize || !b.closeStalledLocked(h, 0)) {
				return false
			}
		}
	}
	b.addLocked(h, purpose, n)
	return true
}

// fitsLocked reports whether a holder may hold n further bytes.
func (b *Budget) fitsLocked(h *Holder, n int64) bool {
	if b.used+n > b.Limits.Room {
		return false
	}
	if h.total+n <= SmallSize {
		return true
	}
	large := b.large + n
	if h.total <= SmallSize {
		large += h.total
	}
	return large <= b.Limits.Room-b.Limits.SmallRoom
}

// addLocked adds n bytes, which may be negative, to what a holder holds.
func (b *Budget) addLocked(h *Holder, purpose Purpose, n int64) {
	if h.total > SmallSize {
		b.large -= h.total
	}
	h.total += n
	h.held[purpose] += n
	if h.total > SmallSize {
		b.large += h.total
	}
	b.used += n
	if b.byPurpose == nil {
		b.byPurpose = make(map[Purpose]int64)
	}
	b.byPurpose[purpose] += n
}

// closeStalledLocked makes the connection end that holds most, and more than least bytes, among those that wait for their callers
// and have made no progress for stallTimeout. Of several that hold as much, it is the one without progress for the longest time.
// What it holds counts as free at once, since its goroutine ends within milliseconds. It returns false if there is none beside h.
func (b *Budget) closeStalledLocked(h *Holder, least int64) bool {
	now := b.Clock.Now()
	var chosen *Holder
	for place := b.waiting.Front(); place != nil; place = place.Next() {
		stalled, _ := place.Value.(*Holder)
		if now.Sub(stalled.progressed) < stallTimeout {
			break
		}
		if stalled != h && stalled.total > least && (chosen == nil || stalled.total > chosen.total) {
			chosen = stalled
		}
	}
	if chosen == nil {
		return false
	}
	b.closeLocked(chosen)
	return true
}

// closeLocked makes a connection end.
func (b *Budget) closeLocked(stalled *Holder) {
	purpose := Connection
	for _, candidate := range Purposes {
		if stalled.held[candidate] > stalled.held[purpose] {
			purpose = candidate
		}
	}
	held := stalled.total
	b.closed++
	b.dropLocked(stalled)
	b.toClose = append(b.toClose, stalled.close)
	if b.OnClosed != nil {
		b.toClose = append(b.toClose, func() { b.OnClosed(purpose, held) })
	}
}

// dropLocked stops counting a holder.
func (b *Budget) dropLocked(h *Holder) {
	for _, purpose := range Purposes {
		b.addLocked(h, purpose, -h.held[purpose])
	}
	b.connections--
	h.closing = true
	if h.place != nil {
		b.waiting.Remove(h.place)
		h.place = nil
	}
}
