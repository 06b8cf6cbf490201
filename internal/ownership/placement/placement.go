// Package placement decides which server is to own each partition of a service and which is its standby. It is kept
// apart from the assigner so that the decision can be tested and measured without a protocol around it: it does no I/O
// and has no clock, and the same input gives the same output on every host.
package placement

import "rosemarywick.example/rosemarywick/internal/core/fleet"

// Defaults of a Policy.
const (
	// DefaultCap bounds the partitions or the load of a server as a multiple of its fair share.
	DefaultCapacityFactor = 1.05
	// DefaultMoveCost is the reduction of imbalance, as a fraction of the mean load of a server, that a move for load
	// must exceed.
	DefaultMoveCost = 0.002
	// DefaultRebalanceMoves bounds the moves for load that one call proposes.
	DefaultMaxRebalanceMoves = 64
)

// Server is a live member of the group that may own partitions.
type Server struct {
	ID     fleet.UpstreamID
	Domain fleet.FailureDomain
	// Weight is the capacity of the server relative to the others. Zero and less mean 1.
	Weight float64
}

// Entry is the placement of one partition.
type Assignment struct {
	Partition fleet.PartitionID
	// Owner is empty only if there is no server at all.
	Owner fleet.UpstreamID
	// Standby is the server to which the partition goes when the owner leaves. It is empty if there is no second server.
	Standby fleet.UpstreamID
}

// State is everything that a placement is decided from.
type Input struct {
	// Partitions is the number of hash ranges. Ids at or above it in Current are entries of single hot keys.
	Partitions int
	// Current lists the present placement in any order. A hash range that is missing has no owner yet. Of several
	// entries for one partition the first one counts.
	Current []Assignment
	// Servers lists the live members that may own partitions; a server that is leaving is not among them.
	Servers []Server
	// Load is the measured load of each partition in any unit. It is empty when nothing has been measured.
	Loads map[fleet.PartitionID]float64
	// Pins names the server on which a partition has to stay for as long as that server is live.
	Pins map[fleet.PartitionID]fleet.UpstreamID
}

// Policy holds the limits of a placement. The zero value uses the defaults.
type Policy struct {
	// Cap bounds the partitions of a server to the ceiling of Cap times its fair share, or, where the load is known,
	// its load to Cap times its fair share. Values below 1 mean DefaultCap.
	CapacityFactor float64
	// MoveCost is the reduction of imbalance that a move for load must exceed, as a fraction of the mean load of a
	// server. Zero means DefaultMoveCost.
	MoveCost float64
	// RebalanceMoves bounds the moves that one call of Rebalance proposes. Zero means DefaultRebalanceMoves.
	MaxRebalanceMoves int
}

// Place returns the desired placement of all partitions, ordered by partition. It moves a partition only if its owner
// is not live, if it is pinned elsewhere, or if its owner exceeds the cap. Where the load is known, an excess is left to
// Rebalance, which weighs it against the cost of moving, and the cap limits only what a server receives.
func (p Policy) Place(state Input) []Assignment {
	b := newBoard(state, p.withDefaults())
	if len(b.servers) == 0 {
		return b.entries()
	}
	homeless, excess := b.orphans(), []int(nil)
	if b.loaded {
		b.setFloor()
	} else {
		excess = b.excess()
	}
	rest := b.toStandbys(homeless)
	b.toLeastFilled(rest)
	b.toLeastFilled(excess)
	b.chooseStandbys()
	return b.entries()
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
