package entry

import (
	"rosemarywick.example/rosemarywick/internal/core/document"
	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/ownership/ranges"
)

// measuredKeys is the number of neighbouring keys whose owner is measured together. Ranges come and go as they are cut and
// merged, so that churn and time without an owner are counted in parts of the key space that stay.
const measuredKeys = 64

// measure makes the configuration, the map of owners and the load reports known to the metrics.
func (d *Daemon) measure() {
	d.configuration.adopted = func(declared *document.Document) { d.observer.metrics.Configure(declared) }
	d.owners.adopted = d.measureOwners
	d.loads.collected = d.measureLoad
}

// measureOwners counts churn and time without an owner from a new table.
func (d *Daemon) measureOwners(service fleet.ServiceName, table *ranges.Table) {
	for first := 0; first <= int(fleet.MaxNumericKey); first += measuredKeys {
		assignment := fleet.Assignment{Partition: fleet.PartitionID(first)}
		if holding := table.Locate(fleet.NumericKey(first)); holding != nil {
			assignment.Owner, assignment.Moving = holding.Owner.ID, len(holding.FormerOwners) > 0
			assignment.Fence = fleet.Fence{Counter: uint64(holding.Fence)}
		}
		d.observer.metrics.ObserveAssignment(service, assignment)
	}
}

// measureLoad measures the imbalance of the owners. Only the daemon that assigns the ranges of the service knows the load.
func (d *Daemon) measureLoad(service fleet.ServiceName, load *ranges.Load) {
	table := d.owners.table(service)
	if table == nil {
		return
	}
	load.BuildPrefixSums()
	owned := make(map[fleet.UpstreamID]float64)
	for _, holding := range table.Assignments {
		owned[holding.Owner.ID] += load.RangeSum(holding.Range)
	}
	d.observer.metrics.ObserveLoad(service, owned)
}
