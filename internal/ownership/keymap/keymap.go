// Package keymap stores which server owns which keys of a service, as far as a daemon knows. A Map is immutable, so requests read
// it without a lock. Merging never replaces an assignment by an older one, so that maps converge in whatever order changes
// arrive.
package keymap

import (
	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// ChunkSize is the number of hash ranges in a chunk. A merge copies whole chunks, and daemons exchange whole chunks.
const ChunkSize = 256

// Map is an immutable snapshot of the assignments of one service. A nil Map is empty.
type Map struct {
	// partitions is the number of hash ranges.
	partitions int
	// chunks contain ChunkSize assignments each; the last one may contain fewer. A chunk is immutable once its map is shared.
	chunks [][]fleet.Assignment
	// hotKeys contains the assignments of the hot keys. One without an owner was removed; it is kept for its fence, so that an
	// older assignment cannot restore it.
	hotKeys map[fleet.KeyHash]fleet.Assignment
}

// New returns a map of hash ranges without owners.
func New(partitions int) *Map {
	m := &Map{partitions: partitions, hotKeys: make(map[fleet.KeyHash]fleet.Assignment)}
	for first := 0; first < partitions; first += ChunkSize {
		chunk := make([]fleet.Assignment, min(ChunkSize, partitions-first))
		for i := range chunk {
			chunk[i].Partition = fleet.PartitionID(first + i)
		}
		m.chunks = append(m.chunks, chunk)
	}
	return m
}

// Partitions returns the number of hash ranges.
func (m *Map) Partitions() int {
	if m == nil {
		return 0
	}
	return m.partitions
}

// Locate returns the assignment of a key: its own one if it is a hot key, otherwise that of its hash range. The assignment has no
// owner if none is known.
func (m *Map) Locate(key fleet.KeyHash) fleet.Assignment {
	if m == nil || m.partitions == 0 {
		return fleet.Assignment{}
	}
	if hotKey, found := m.hotKeys[key]; found && hotKey.Owner != "" {
		return hotKey
	}
	partition := int(key.Partition(m.partitions))
	return m.chunks[partition/ChunkSize][partition%ChunkSize]
}

// Merge returns a map to which those changes are applied whose fence is higher than that of the present assignment, and the
// changes that were applied. If there are none, it returns m itself.
func (m *Map) Merge(changes []fleet.Assignment) (*Map, []fleet.Assignment) {
	var applied []fleet.Assignment
	next, copied := m, map[int]bool{}
	for _, change := range changes {
		if !next.isNewer(change) {
			continue
		}
		if next == m {
			next = m.cloneForMerge(changes)
		}
		next.apply(change, copied)
		applied = append(applied, change)
	}
	return next, applied
}

// isNewer reports whether a change has a higher fence than the present assignment of its partition or hot key.
func (m *Map) isNewer(change fleet.Assignment) bool {
	if m == nil {
		return false
	}
	if change.Key != 0 {
		return m.hotKeys[change.Key].Fence.Less(change.Fence)
	}
	partition := int(change.Partition)
	return partition < m.partitions && m.chunks[partition/ChunkSize][partition%ChunkSize].Fence.Less(change.Fence)
}

// cloneForMerge returns a copy of the map that shares the chunks, and the hot keys unless a change concerns one.
func (m *Map) cloneForMerge(changes []fleet.Assignment) *Map {
	next := &Map{partitions: m.partitions, hotKeys: m.hotKeys}
	next.chunks = append(next.chunks, m.chunks...)
	for _, change := range changes {
		if change.Key == 0 {
			continue
		}
		next.hotKeys = make(map[fleet.KeyHash]fleet.Assignment, len(m.hotKeys)+1)
		for key, hotKey := range m.hotKeys {
			next.hotKeys[key] = hotKey
		}
		break
	}
	return next
}

// apply applies a change to a map that is not shared yet. copied contains the indexes of the chunks that were already copied.
func (m *Map) apply(change fleet.Assignment, copied map[int]bool) {
	if change.Key != 0 {
		m.hotKeys[change.Key] = change
		return
	}
	index := int(change.Partition) / ChunkSize
	if !copied[index] {
		m.chunks[index] = append([]fleet.Assignment(nil), m.chunks[index]...)
		copied[index] = true
	}
	m.chunks[index][int(change.Partition)%ChunkSize] = change
}

// Chunks returns the number of chunks of hash ranges.
func (m *Map) Chunks() int {
	if m == nil {
		return 0
	}
	return len(m.chunks)
}

// Chunk returns the assignments of one chunk of hash ranges. The caller must not modify the result.
func (m *Map) Chunk(index int) []fleet.Assignment {
	return m.chunks[index]
}

// HotKeys returns the assignments of the hot keys, including removed ones, in the order of their partition numbers.
func (m *Map) HotKeys() []fleet.Assignment {
	if m == nil {
		return nil
	}
	hotKeys := make([]fleet.Assignment, 0, len(m.hotKeys))
	for _, hotKey := range m.hotKeys {
		hotKeys = append(hotKeys, hotKey)
	}
	sortAssignments(hotKeys)
	return hotKeys
}

// Version returns the highest fence among the assignments. It orders the versions of one chunk.
func Version(assignments []fleet.Assignment) fleet.Fence {
	var highest fleet.Fence
	for _, assignment := range assignments {
		if highest.Less(assignment.Fence) {
			highest = assignment.Fence
		}
	}
	return highest
}
