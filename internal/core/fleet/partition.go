package fleet

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// PartitionID identifies one partition of the keys of a service. IDs below the partition count of the service are hash
// ranges; higher ones are partitions of a single hot key.
type PartitionID uint32

// KeyHash is the 64-bit hash of a key. Records and load statistics contain the hash and never the key itself.
type KeyHash uint64

// HashKey returns the hash that determines the partition of a key.
func HashKey(key string) KeyHash {
	return KeyHash(xxhash.Sum64String(key))
}

// Partition returns the hash range to which the key belongs, if there are count of them. count must be positive.
func (h KeyHash) Partition(count int) PartitionID {
	return PartitionID(uint64(h) % uint64(count))
}

// Epoch orders the assigners of a group. The table service issues each epoch at most once.
type Epoch uint64

// Sequence numbers the orders that one assigner sends to one server within an epoch.
type Sequence uint64

// Fence is a fencing token. It orders the assignments of a partition, first by the epoch of the assigner and then by a
// counter of that assigner.
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

// IsZero reports whether f is the zero fence, which belongs to no assignment.
func (f Fence) IsZero() bool {
	return f == Fence{}
}

// String returns the fence as "epoch.counter".
func (f Fence) String() string {
	return fmt.Sprintf("%d.%d", f.Epoch, f.Counter)
}
