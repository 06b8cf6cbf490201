// Package placement computes which server should own each partition of a service and which server is its standby. It is
// separate from the assigner, so that it can be tested and measured without the assignment protocol. It does no I/O and
// has no clock, and the same input gives the same output on every host.
package placement

import "rosemarywick.example/rosemarywick/internal/core/fleet"

// Defaults of a Policy.
const (
	// DefaultCapacityFactor bounds the partitions or the load of a server, as a multiple of its fair share.
	DefaultCapacityFactor = 1.05
	// DefaultMoveCost is the reduction of imbalance that a move for load must exceed, as a fraction of the mean load of
	// a server.
	DefaultMoveCost = 0.002
	// DefaultMaxRebalanceMoves bounds the moves for load that one call of Rebalance proposes.
	DefaultMaxRebalanceMoves = 64
)

// Server is a live member of the group that may own partitions.
type Server struct {
	ID     fleet.UpstreamID
	Domain fleet.FailureDomain
	// Weight is the capacity of the server relative to the others. Zero and negative values mean 1.
	Weight float64
}

// Assignment is the placement of one partition.
type Assignment struct {
	Partition fleet.PartitionID
	// Owner is empty only if there are no servers.
	Owner fleet.UpstreamID
	// Standby is the server that the partition goes to if the owner leaves. It is empty if there is no second server.
	Standby fleet.UpstreamID
}

// Input is everything that a placement depends on.
type Input struct {
	// Partitions is the number of hash ranges. Higher partition numbers in Current belong to single hot keys.
	Partitions int
	// Current is the current placement in any order. A hash range without an assignment has no owner. Of several
	// assignments for one partition the first one counts.
	Current []Assignment
	// Servers are the live members that may own partitions, without servers that are leaving.
	Servers []Server
	// Loads are the measured loads of the partitions in any unit. It is empty if nothing has been measured.
	Loads map[fleet.PartitionID]float64
	// Pins maps partitions to the server that must own them while that server is live.
	Pins map[fleet.PartitionID]fleet.UpstreamID
}

// Policy holds the limits of a placement. The zero value means the defaults.
type Policy struct {
	// CapacityFactor bounds the load of a server to CapacityFactor times its fair share. If no loads are known, it
	// bounds the number of its partitions in the same way, rounded up. Values below 1 mean DefaultCapacityFactor.
	CapacityFactor float64
	// MoveCost is the reduction of imbalance that a move for load must exceed, as a fraction of the mean load of a
	// server. Zero means DefaultMoveCost.
	MoveCost float64
	// MaxRebalanceMoves bounds the moves that one call of Rebalance proposes. Zero means DefaultMaxRebalanceMoves.
	MaxRebalanceMoves int
}

// Place returns the desired placement of all partitions, sorted by partition. It moves a partition only if its owner is
// not live, if the partition is pinned to another server, or if the owner exceeds its capacity. If loads are known,
// Place leaves such an excess to Rebalance, which weighs it against the cost of moving, and the capacity limits only
// what a server receives.
func (p Policy) Place(input Input) []Assignment {
	s := newSolver(input, p.withDefaults())
	if len(s.servers) == 0 {
		return s.assignments()
	}
	unowned, evicted := s.unownedPartitions(), []int(nil)
	if s.loadsKnown {
		s.setMinLoad()
	} else {
		evicted = s.evictExcess()
	}
	remaining := s.assignToStandbys(unowned)
	s.assignToLeastLoaded(remaining)
	s.assignToLeastLoaded(evicted)
	s.chooseStandbys()
	return s.assignments()
}

func (p Policy) withDefaults() Policy {
	if p.CapacityFactor < 1 {
		p.CapacityFactor = DefaultCapacityFactor
	}
	if p.MoveCost == 0 {
		p.MoveCost = DefaultMoveCost
	}
	if p.MaxRebalanceMoves == 0 {
		p.MaxRebalanceMoves = DefaultMaxRebalanceMoves
	}
	return p
}
