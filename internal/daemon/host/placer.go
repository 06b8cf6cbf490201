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
func (p *placer) Place(places []assigner.PartitionPlacement, servers []assigner.Server) []assigner.PartitionPlacement {
	state := placement.Input{Partitions: p.partitions, Loads: make(map[fleet.PartitionID]float64)}
	for _, place := range places {
		state.Current = append(state.Current, placement.Assignment{
			Partition: place.Partition, Owner: place.Owner, Standby: place.Standby,
		})
		if place.Load > 0 {
			state.Loads[place.Partition] = place.Load
		}
	}
	for _, server := range servers {
		state.Servers = append(state.Servers, placement.Server{ID: server.ID, Domain: server.Domain, Weight: server.Weight})
	}
	state.Pins = p.pinnedOwners(places)
	desired := make(map[fleet.PartitionID]placement.Assignment, len(places))
	for _, entry := range p.policy.Rebalance(state) {
		desired[entry.Partition] = entry
	}
	placed := make([]assigner.PartitionPlacement, 0, len(places))
	for _, place := range places {
		entry := desired[place.Partition]
		place.Owner, place.Standby = entry.Owner, entry.Standby
		placed = append(placed, place)
	}
	return placed
}

// pinnedOwners returns the server to which each pinned hot key is assigned, by the partition of its entry.
func (p *placer) pinnedOwners(places []assigner.PartitionPlacement) map[fleet.PartitionID]fleet.UpstreamID {
	servers := make(map[fleet.KeyHash]fleet.UpstreamID)
	for _, pin := range p.pins() {
		servers[fleet.HashKey(pin.Key)] = pin.Upstream
	}
	pinned := make(map[fleet.PartitionID]fleet.UpstreamID)
	for _, place := range places {
		if server, found := servers[place.Key]; found && place.Key != 0 {
			pinned[place.Partition] = server
		}
	}
	return pinned
}
