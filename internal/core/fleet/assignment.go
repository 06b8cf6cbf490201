package fleet

import "time"

// Assignment is the owner of a partition, as far as the holder of the value knows.
type Assignment struct {
	Partition PartitionID
	// Key is the hash of the hot key if the partition belongs to one. It is zero for a hash range.
	Key KeyHash
	// Owner is empty while the partition has no owner.
	Owner UpstreamID
	// Incarnation identifies the process of the owner. It is empty if it is not known.
	Incarnation Incarnation
	// Standby is the server that takes over the partition if the owner is lost.
	Standby UpstreamID
	// Fence orders the assignments of a partition. A reader never replaces an assignment by one with a lower fence.
	Fence Fence
	// Moving is set from the revocation at the old owner until the grant to the new one.
	Moving bool
	// FreeIn is the time until the grants of the old owner end, if it cannot be reached. The partition is granted to the new owner
	// no earlier unless the old one comes back. It is zero if the old owner is expected to release the partition.
	FreeIn time.Duration
}
