package fleet

// Assignment says which server owns a partition, as far as the reader knows.
type Assignment struct {
	Partition PartitionID
	// Key is the key of a hot-key entry, and zero for a hash range.
	Key KeyHash
	// Owner is empty while the partition has no owner.
	Owner UpstreamID
	// Standby is the server that is to own the partition when the owner is lost.
	Standby UpstreamID
	// Fence orders this assignment among all assignments of the partition; a reader never goes back to a lower one.
	Fence Fence
	// Moving is set from the revocation at the old owner until the grant to the new one.
	Moving bool
}
