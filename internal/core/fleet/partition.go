package fleet

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// PartitionID numbers one partition of a service's keys. Numbers below the service's partition count are hash ranges;
// numbers at or above it are entries of single hot keys.
type PartitionID uint32

// KeyHash is the 64-bit hash of a key. Records and sketches carry the hash and never the key itself.
type KeyHash uint64

// HashKey returns the hash by which a key is assigned to a partition.
func HashKey(key string) KeyHash {
	return KeyHash(xxhash.Sum64String(key))
}

// Partition returns the hash range among count to which the key belongs. count must be positive.
func (h KeyHash) Partition(count int) PartitionID {
	return PartitionID(uint64(h) % uint64(count))
}

// Epoch orders the assigners of a group. The table hands out each epoch at most once.
type Epoch uint64

// Sequence orders the orders that one assigner sends to one server within an epoch.
type Sequence uint64

// Fence orders the assignments of a partition, first by the assigner's epoch and then by a counter of that assigner.
type Fence struct {
	Epoch   Epoch
	Counter uint64
}

// Less reports whether f is older than other.
func (f Fence) Less(other Fence) bool {
	if f.Epoch != other.Epoch {
		return f.Epoch < other.Epoch
	}
	return f.Counter < other.Counter
}

// IsZero reports whether f stands for no assignment at all.
func (f Fence) IsZero() bool {
	return f == Fence{}
}

// String returns the fence as "epoch.counter".
func (f Fence) String() string {
	return fmt.Sprintf("%d.%d", f.Epoch, f.Counter)
}
