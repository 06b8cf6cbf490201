package host

import (
	"rosemarywick.example/rosemarywick/internal/core/document"
	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/ownership/assigner"
	"rosemarywick.example/rosemarywick/internal/ownership/placement"
)

// placer adapts the placement policy to the interface of the assigner, for one service.
type placer struct {
	partitions int
	policy     placement.Policy
	// pins returns the pins of the service that are in force.
	pins func() []document.Pin
}

// Place returns the desired owner and standby of each partition.
func (p *placer) Place(placements []assigner.PartitionPlacement, servers []assigner.Server) []assigner.PartitionPlacement {
	input := placement.Input{Partitions: p.partitions, Loads: make(map[fleet.PartitionID]float64)}
	for _, current := range placements {
		input.Current = append(input.Current, placement.Assignment{
			Partition: current.Partition, Owner: current.Owner, Standby: current.Standby,
		})
		if current.Load > 0 {
			input.Loads[current.Partition] = current.Load
		}
	}
	for _, server := range servers {
		input.Servers = append(input.Servers, placement.Server{ID: server.ID, Domain: server.Domain, Weight: server.Weight})
	}
	input.Pins = p.pinnedOwners(placements)
	desired := make(map[fleet.PartitionID]placement.Assignment, len(placements))
	for _, entry := range p.policy.Rebalance(input) {
		desired[entry.Partition] = entry
	}
	placed := make([]assigner.PartitionPlacement, 0, len(placements))
	for _, current := range placements {
		entry := desired[current.Partition]
		current.Owner, current.Standby = entry.Owner, entry.Standby
		placed = append(placed, current)
	}
	return placed
}

// pinnedOwners returns the server to which each pinned hot key is assigned, by the partition of its entry.
func (p *placer) pinnedOwners(placements []assigner.PartitionPlacement) map[fleet.PartitionID]fleet.UpstreamID {
	servers := make(map[fleet.KeyHash]fleet.UpstreamID)
	for _, pin := range p.pins() {
		servers[fleet.HashKey(pin.Key)] = pin.Upstream
	}
	pinned := make(map[fleet.PartitionID]fleet.UpstreamID)
	for _, current := range placements {
		if server, found := servers[current.Key]; found && current.Key != 0 {
			pinned[current.Partition] = server
		}
	}
	return pinned
}
