package entry

import (
	"rosemarywick.example/rosemarywick/internal/core/document"
	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/ownership/ranges"
)

// measuredKeys is the number of neighbouring keys whose owner is measured together. Ranges come and go as they are cut and
// merged, so that churn and time without an owner are counted in parts of the key space that stay.
const keysPerPartition = 64

// measure makes the configuration, the map of owners and the load reports known to the metrics.
func (d *Daemon) connectMetrics() {
	d.configuration.onAdopted = func(declared *document.Document) { d.observer.metrics.Configure(declared) }
	d.ownershipMap.onAdopted = d.observeOwners
	d.loadTracker.onCollected = d.observeLoad
}

// measureOwners counts churn and time without an owner from a new table.
func (d *Daemon) observeOwners(service fleet.ServiceName, table *ranges.Table) {
	for first := 0; first <= int(fleet.MaxNumericKey); first += keysPerPartition {
		assignment := fleet.Assignment{Partition: fleet.PartitionID(first)}
		if holding := table.Locate(fleet.NumericKey(first)); holding != nil {
			assignment.Owner, assignment.Moving = holding.Owner.ID, len(holding.FormerOwners) > 0
			assignment.Fence = fleet.Fence{Counter: uint64(holding.Fence)}
		}
		d.observer.metrics.ObserveAssignment(service, assignment)
	}
}

// measureLoad measures the imbalance of the owners. Only the daemon that assigns the ranges of the service knows the load.
func (d *Daemon) observeLoad(service fleet.ServiceName, load *ranges.Load) {
	table := d.ownershipMap.table(service)
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
