package keymap_test

import (
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/ownership/keymap"
)

const partitions = 300

var assignmentsGenerator = rapid.SliceOf(rapid.Custom(func(t *rapid.T) fleet.Assignment {
	change := fleet.Assignment{
		Partition: fleet.PartitionID(rapid.IntRange(0, 5).Draw(t, "partition")),
		Fence:     fleet.Fence{Epoch: fleet.Epoch(rapid.IntRange(1, 3).Draw(t, "epoch")), Counter: uint64(rapid.IntRange(0, 3).Draw(t, "counter"))},
	}
	if rapid.Bool().Draw(t, "hot") {
		change.Key = fleet.KeyHash(change.Partition) + 1
		change.Partition += partitions
	}
	// The owner follows from the fence, since an assigner never uses a fence for two assignments.
	change.Owner = fleet.UpstreamID(change.Fence.String())
	change.Moving = change.Fence.Counter == 1
	return change
}))

// Guards against a merge whose result depends on the order or the repetition of changes, that lowers a fence, or that modifies
// the previous snapshot.
func TestMergeConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		changes := assignmentsGenerator.Draw(t, "changes")
		shuffled := append(rapid.Permutation(changes).Draw(t, "shuffled"), changes...)
		forward, backward := keymap.New(partitions), keymap.New(partitions)
		for _, change := range changes {
			before, old := forward, forward.Locate(change.Key)
			forward, _ = forward.Merge([]fleet.Assignment{change})
			if before.Locate(change.Key) != old {
				t.Fatal("merge modified the previous snapshot")
			}
			if forward.Locate(change.Key).Fence.Less(old.Fence) && change.Key == 0 {
				t.Fatal("merge lowered a fence")
			}
		}
		backward, _ = backward.Merge(shuffled)
		if !slices.Equal(forward.Chunk(0), backward.Chunk(0)) || !slices.Equal(forward.HotKeys(), backward.HotKeys()) {
			t.Fatal("maps differ after the same changes in another order")
		}
	})
}

// Guards against a removed hot key that Locate still returns, and a hot key that it does not return.
func TestLocate(t *testing.T) {
	is := is.New(t)
	key := fleet.HashKey("plan-7")
	hashRange := key.Partition(partitions)
	fence := func(counter uint64) fleet.Fence { return fleet.Fence{Epoch: 1, Counter: counter} }
	steps := []struct {
		change fleet.Assignment
		owner  fleet.UpstreamID
	}{
		{fleet.Assignment{Partition: hashRange, Owner: "a", Fence: fence(1)}, "a"},
		{fleet.Assignment{Partition: partitions, Key: key, Owner: "b", Fence: fence(2)}, "b"},
		{fleet.Assignment{Partition: hashRange, Owner: "c", Fence: fence(3)}, "b"},
		{fleet.Assignment{Partition: partitions, Key: key, Fence: fence(4)}, "c"},
		{fleet.Assignment{Partition: partitions, Key: key, Owner: "b", Fence: fence(2)}, "c"},
	}
	m := keymap.New(partitions)
	for _, step := range steps {
		m, _ = m.Merge([]fleet.Assignment{step.change})
		is.Equal(m.Locate(key).Owner, step.owner)
	}
	var empty *keymap.Map
	is.Equal(empty.Locate(key), fleet.Assignment{}) // a daemon that has not received a map yet
}

// Guards against an encoding that loses a field, and a decoder that panics on arbitrary bytes.
func TestChunkEncoding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, _ := keymap.New(partitions).Merge(assignmentsGenerator.Draw(t, "changes"))
		for index, assignments := range [][]fleet.Assignment{m.Chunk(0), m.Chunk(1), m.HotKeys()} {
			encoded, version, err := keymap.EncodeChunk(index, assignments)
			if err != nil || version != keymap.Version(assignments) {
				t.Fatal(version, err)
			}
			decodedIndex, decoded, err := keymap.DecodeChunk(encoded)
			if err != nil || decodedIndex != index || !slices.Equal(decoded, assignments) {
				t.Fatal(decodedIndex, err)
			}
		}
		_, _, _ = keymap.DecodeChunk(rapid.SliceOf(rapid.Byte()).Draw(t, "foreign"))
	})
}
