package assigner

import (
	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/ownership/lease"
)

// Version is the version of a row in the table; zero means that the row does not exist.
type Version uint64

// Row is the content of the group row.
type GroupRow struct {
	// Epoch is the holder's. Only a write of the row hands it out.
	Epoch fleet.Epoch
	// Reserve is the epoch that the deputy may use without a write. It is above Epoch, and every later row hands out
	// only numbers above it.
	ReservedEpoch fleet.Epoch
	Holder        fleet.HostID
	// Deputy is empty when no other host was alive.
	Deputy fleet.HostID
	// Members are the servers that count towards the majority and may receive grants.
	Members []lease.Member
	// Previous are the members before the last change. A majority of them is needed too.
	PreviousMembers []lease.Member
	// Token identifies the write, so that its writer recognises it when the answer was lost.
	Token string
}

// Place is the place of one partition.
type PartitionPlacement struct {
	Partition fleet.PartitionID
	Owner     fleet.UpstreamID
	Standby   fleet.UpstreamID
	Fence     fleet.Fence
	// Load is the measured load of the partition; zero when none is known.
	Load float64
	// Key is the key of a hot-key entry, whose partition number is at or above the partition count.
	Key fleet.KeyHash
}

// PlacementSize is the number of partitions in one placement row. It keeps a row of 256 owners and standbys within the
// size limits of the table.
const PartitionsPerRow = 256

// StoredPlacement is one placement row. Row 0 contains the partitions from 0, and so on; hot-key entries are in the rows
// after those of the hash ranges.
type PlacementRow struct {
	Index int
	// Version is the version read, or the one expected by a write.
	Version    Version
	Placements []PartitionPlacement
}

// Server is a server that may own partitions.
type Server struct {
	ID     fleet.UpstreamID
	Domain fleet.FailureDomain
	// Weight is the share of the load that the server can take, relative to others.
	Weight float64
}

// Placer decides where partitions should be.
type Placer interface {
	// Place returns the desired owner and standby of each partition in places, whose owners are the present ones.
	// It moves as few as possible. The servers are alive and do not leave.
	Place(places []PartitionPlacement, servers []Server) []PartitionPlacement
}

// WriteResult says how a write to the table ended.
type WriteResult string

const (
	// WriteDone means that the write took effect.
	WriteDone WriteResult = "done"
	// WriteConflict means that the row had another version and nothing was written.
	WriteConflict WriteResult = "conflict"
	// WriteFailed means that nothing was written.
	WriteFailed WriteResult = "failed"
	// WriteUnknown means that the write may or may not have taken effect, or may still take effect.
	WriteUnknown WriteResult = "unknown"
)
