package host

import (
	"rosemarywick.example/rosemarywick/internal/core/document"
	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/ownership/assigner"
	"rosemarywick.example/rosemarywick/internal/ownership/placement"
)

// placer lets the assigner ask the placement policy.
type placer struct {
	partitions int
	policy     placement.Policy
	// pins returns the pins of the service that are in force.
	pins func() []document.Pin
}

// Place returns the desired owner and standby of each partition.
func (p *placer) Place(spots []assigner.Spot, servers []assigner.Server) []assigner.Spot {
	state := placement.State{Partitions: p.partitions, Load: make(map[fleet.PartitionID]float64)}
	for _, spot := range spots {
		state.Current = append(state.Current, placement.Entry{
			Partition: spot.Partition, Owner: spot.Owner, Standby: spot.Standby,
		})
		if spot.Load > 0 {
			state.Load[spot.Partition] = spot.Load
		}
	}
	for _, server := range servers {
		state.Servers = append(state.Servers, placement.Server{ID: server.ID, Domain: server.Domain, Weight: server.Weight})
	}
	state.Pins = p.pinned(spots)
	desired := make(map[fleet.PartitionID]placement.Entry, len(spots))
	for _, entry := range p.policy.Rebalance(state) {
		desired[entry.Partition] = entry
	}
	placed := make([]assigner.Spot, 0, len(spots))
	for _, spot := range spots {
		entry := desired[spot.Partition]
		spot.Owner, spot.Standby = entry.Owner, entry.Standby
		placed = append(placed, spot)
	}
	return placed
}

// pinned returns the server of each pinned key's entry.
func (p *placer) pinned(spots []assigner.Spot) map[fleet.PartitionID]fleet.UpstreamID {
	servers := make(map[fleet.KeyHash]fleet.UpstreamID)
	for _, pin := range p.pins() {
		servers[fleet.HashKey(pin.Key)] = pin.Upstream
	}
	pinned := make(map[fleet.PartitionID]fleet.UpstreamID)
	for _, spot := range spots {
		if server, found := servers[spot.Key]; found && spot.Key != 0 {
			pinned[spot.Partition] = server
		}
	}
	return pinned
}
