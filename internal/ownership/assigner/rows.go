package assigner

import (
	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/ownership/lease"
)

// Version is the version of a row in the table; zero means that the row does not exist.
type Version uint64

// GroupRow is the content of the group row, which elects the assigner of a service.
type GroupRow struct {
	// Epoch is the epoch of the holder. Epochs are allocated only by writes of the row.
	Epoch fleet.Epoch
	// ReservedEpoch is the epoch that the deputy may use without a write. It is higher than Epoch, and every later row
	// allocates only higher epochs.
	ReservedEpoch fleet.Epoch
	Holder        fleet.HostID
	// Deputy is empty if no other host was alive.
	Deputy fleet.HostID
	// Members are the servers that count towards the majority and may receive grants.
	Members []lease.Member
	// PreviousMembers are the members before the last change. A majority of them is required too.
	PreviousMembers []lease.Member
	// Token identifies the write, so that its writer recognizes it in the row if the response was lost.
	Token string
}

// PartitionPlacement is the current or the desired placement of one partition.
type PartitionPlacement struct {
	Partition fleet.PartitionID
	Owner     fleet.UpstreamID
	Standby   fleet.UpstreamID
	Fence     fleet.Fence
	// Load is the measured load of the partition; zero if it is unknown.
	Load float64
	// Key is the hash of the hot key if the partition belongs to one; its number is then at or above the number of hash
	// ranges. It is zero for a hash range.
	Key fleet.KeyHash
}

// PartitionsPerRow is the number of partitions in one placement row. A row of 256 owners and standbys stays within the
// size limits of the table.
const PartitionsPerRow = 256

// PlacementRow is one placement row. Row i holds the partitions from i*PartitionsPerRow; the partitions of hot keys are in
// the rows after those of the hash ranges.
type PlacementRow struct {
	Index int
	// Version is the version that was read, or the version that a write expects.
	Version    Version
	Placements []PartitionPlacement
}

// Server is a server that may own partitions.
type Server struct {
	ID     fleet.UpstreamID
	Domain fleet.FailureDomain
	// Weight is the capacity of the server relative to other servers.
	Weight float64
}

// Placer computes the desired placement of partitions.
type Placer interface {
	// Place returns the desired owner and standby of each partition. The owners in placements are the current ones, and
	// as few partitions as possible should move. All servers are live and not leaving.
	Place(placements []PartitionPlacement, servers []Server) []PartitionPlacement
}

// WriteResult is the result of a write to the table.
type WriteResult string

const (
	// WriteDone means that the write took effect.
	WriteDone WriteResult = "done"
	// WriteConflict means that a row had another version than expected and nothing was written.
	WriteConflict WriteResult = "conflict"
	// WriteFailed means that nothing was written.
	WriteFailed WriteResult = "failed"
	// WriteUnknown means that the write may have taken effect or may still take effect.
	WriteUnknown WriteResult = "unknown"
)
