package hotkeys

import (
	"container/heap"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// counterHeap is a min-heap of counts by weight with an index of the position of each key. It implements heap.Interface.
type counterHeap struct {
	counts   []Count
	position map[fleet.KeyHash]int
}

// Len implements heap.Interface.
func (h *counterHeap) Len() int { return len(h.counts) }

// Less implements heap.Interface.
func (h *counterHeap) Less(i, j int) bool { return h.counts[i].Weight < h.counts[j].Weight }

// Swap implements heap.Interface.
func (h *counterHeap) Swap(i, j int) {
	h.counts[i], h.counts[j] = h.counts[j], h.counts[i]
	h.position[h.counts[i].Key] = i
	h.position[h.counts[j].Key] = j
}

// Push implements heap.Interface.
func (h *counterHeap) Push(x any) {
	c, ok := x.(Count)
	if !ok {
		return
	}
	h.position[c.Key] = len(h.counts)
	h.counts = append(h.counts, c)
}

// Pop implements heap.Interface.
func (h *counterHeap) Pop() any {
	last := h.counts[len(h.counts)-1]
	h.counts = h.counts[:len(h.counts)-1]
	delete(h.position, last.Key)
	return last
}

// replaceLowest replaces the key with the lowest weight by another key. The new key inherits that weight, which is also its
// error, as the space-saving algorithm requires.
func (h *counterHeap) replaceLowest(key fleet.KeyHash, weight float64) {
	lowest := h.counts[0]
	delete(h.position, lowest.Key)
	h.position[key] = 0
	h.counts[0] = Count{Key: key, Weight: lowest.Weight + weight, Error: lowest.Weight}
	heap.Fix(h, 0)
}
