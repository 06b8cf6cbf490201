// Package keymap holds what a daemon knows about the owners of a service's keys. A Map is immutable, so that requests
// read it without a lock, and merging never replaces an assignment by an older one, in whatever order changes arrive.
package keymap

import (
	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// ChunkSize is the number of hash ranges that are copied together by a merge and spread together between daemons.
const ChunkSize = 256

// Map is a snapshot of the assignments of one service. A nil Map knows no assignment.
type Map struct {
	// partitions is the number of hash ranges.
	partitions int
	// chunks hold ChunkSize assignments each, the last one possibly fewer. A chunk is never changed once it is part
	// of a map.
	chunks [][]fleet.Assignment
	// entries holds the assignments of hot keys. An entry without owner was removed; it is kept for its fence.
	entries map[fleet.KeyHash]fleet.Assignment
}

// New returns a map in which no partition has an owner.
func New(partitions int) *Map {
	m := &Map{partitions: partitions, entries: make(map[fleet.KeyHash]fleet.Assignment)}
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

// Locate returns the assignment of a key: that of its entry if it has one, else that of its hash range. The assignment
// has no owner if none is known.
func (m *Map) Locate(key fleet.KeyHash) fleet.Assignment {
	if m == nil || m.partitions == 0 {
		return fleet.Assignment{}
	}
	if entry, found := m.entries[key]; found && entry.Owner != "" {
		return entry
	}
	partition := int(key.Partition(m.partitions))
	return m.chunks[partition/ChunkSize][partition%ChunkSize]
}

// Merge returns a map with those changes applied whose fence is higher than the one known, and the changes that were
// applied. If none was, it returns m itself.
func (m *Map) Merge(changes []fleet.Assignment) (*Map, []fleet.Assignment) {
	var applied []fleet.Assignment
	next, copied := m, map[int]bool{}
	for _, change := range changes {
		if !next.advances(change) {
			continue
		}
		if next == m {
			next = m.clone(changes)
		}
		next.apply(change, copied)
		applied = append(applied, change)
	}
	return next, applied
}

// advances reports whether a change is newer than what the map contains.
func (m *Map) advances(change fleet.Assignment) bool {
	if m == nil {
		return false
	}
	if change.Key != 0 {
		return m.entries[change.Key].Fence.Less(change.Fence)
	}
	partition := int(change.Partition)
	return partition < m.partitions && m.chunks[partition/ChunkSize][partition%ChunkSize].Fence.Less(change.Fence)
}

// clone copies the parts of the map that a merge of changes always replaces.
func (m *Map) clone(changes []fleet.Assignment) *Map {
	next := &Map{partitions: m.partitions, entries: m.entries}
	next.chunks = append(next.chunks, m.chunks...)
	for _, change := range changes {
		if change.Key == 0 {
			continue
		}
		next.entries = make(map[fleet.KeyHash]fleet.Assignment, len(m.entries)+1)
		for key, entry := range m.entries {
			next.entries[key] = entry
		}
		break
	}
	return next
}

// apply puts a change into a map that is not shared yet; copied tells which chunks are its own.
func (m *Map) apply(change fleet.Assignment, copied map[int]bool) {
	if change.Key != 0 {
		m.entries[change.Key] = change
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

// Chunk returns the assignments of one chunk of hash ranges. The result must not be changed.
func (m *Map) Chunk(index int) []fleet.Assignment {
	return m.chunks[index]
}

// Entries returns the assignments of the hot keys, including those of removed entries, in the order of their partition
// numbers.
func (m *Map) HotKeys() []fleet.Assignment {
	if m == nil {
		return nil
	}
	entries := make([]fleet.Assignment, 0, len(m.entries))
	for _, entry := range m.entries {
		entries = append(entries, entry)
	}
	sortAssignments(entries)
	return entries
}

// Version returns the highest fence among assignments, which orders the states of one chunk.
func Version(assignments []fleet.Assignment) fleet.Fence {
	var highest fleet.Fence
	for _, assignment := range assignments {
		if highest.Less(assignment.Fence) {
			highest = assignment.Fence
		}
	}
	return highest
}
