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

var changesGenerator = rapid.SliceOf(rapid.Custom(func(t *rapid.T) fleet.Assignment {
	change := fleet.Assignment{
		Partition: fleet.PartitionID(rapid.IntRange(0, 5).Draw(t, "partition")),
		Fence:     fleet.Fence{Epoch: fleet.Epoch(rapid.IntRange(1, 3).Draw(t, "epoch")), Counter: uint64(rapid.IntRange(0, 3).Draw(t, "counter"))},
	}
	if rapid.Bool().Draw(t, "hot") {
		change.Key = fleet.KeyHash(change.Partition) + 1
		change.Partition += partitions
	}
	// One fence of a partition stands for one assignment, as an assigner never uses a fence twice.
	change.Owner = fleet.UpstreamID(change.Fence.String())
	change.Moving = change.Fence.Counter == 1
	return change
}))

// Guards against a map that depends on the order or the repetition of changes, and against a merge that goes back or
// alters a snapshot in use.
func TestMergeConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		changes := changesGenerator.Draw(t, "changes")
		shuffled := append(rapid.Permutation(changes).Draw(t, "shuffled"), changes...)
		forward, backward := keymap.New(partitions), keymap.New(partitions)
		for _, change := range changes {
			before, old := forward, forward.Locate(change.Key)
			forward, _ = forward.Merge([]fleet.Assignment{change})
			if before.Locate(change.Key) != old {
				t.Fatal("merge altered the snapshot before it")
			}
			if forward.Locate(change.Key).Fence.Less(old.Fence) && change.Key == 0 {
				t.Fatal("fence went back")
			}
		}
		backward, _ = backward.Merge(shuffled)
		if !slices.Equal(forward.Chunk(0), backward.Chunk(0)) || !slices.Equal(forward.HotKeys(), backward.HotKeys()) {
			t.Fatal("maps differ after the same changes in another order")
		}
	})
}

// Guards against a removed hot-key entry that still answers for its key, and an entry that does not.
func TestLocate(t *testing.T) {
	is := is.New(t)
	key := fleet.HashKey("plan-7")
	parent := key.Partition(partitions)
	fence := func(counter uint64) fleet.Fence { return fleet.Fence{Epoch: 1, Counter: counter} }
	steps := []struct {
		change fleet.Assignment
		owner  fleet.UpstreamID
	}{
		{fleet.Assignment{Partition: parent, Owner: "a", Fence: fence(1)}, "a"},
		{fleet.Assignment{Partition: partitions, Key: key, Owner: "b", Fence: fence(2)}, "b"},
		{fleet.Assignment{Partition: parent, Owner: "c", Fence: fence(3)}, "b"},
		{fleet.Assignment{Partition: partitions, Key: key, Fence: fence(4)}, "c"},
		{fleet.Assignment{Partition: partitions, Key: key, Owner: "b", Fence: fence(2)}, "c"},
	}
	m := keymap.New(partitions)
	for _, step := range steps {
		m, _ = m.Merge([]fleet.Assignment{step.change})
		is.Equal(m.Locate(key).Owner, step.owner)
	}
	var none *keymap.Map
	is.Equal(none.Locate(key), fleet.Assignment{}) // a daemon that knows no map yet
}

// Guards against an encoding that loses a field, and a decoder that fails on foreign bytes by panic.
func TestChunkEncoding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, _ := keymap.New(partitions).Merge(changesGenerator.Draw(t, "changes"))
		for index, part := range [][]fleet.Assignment{m.Chunk(0), m.Chunk(1), m.HotKeys()} {
			encoded, version, err := keymap.EncodeChunk(index, part)
			if err != nil || version != keymap.Version(part) {
				t.Fatal(version, err)
			}
			got, decoded, err := keymap.DecodeChunk(encoded)
			if err != nil || got != index || !slices.Equal(decoded, part) {
				t.Fatal(got, err)
			}
		}
		_, _, _ = keymap.DecodeChunk(rapid.SliceOf(rapid.Byte()).Draw(t, "foreign"))
	})
}
