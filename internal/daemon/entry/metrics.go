package entry

import (
	"rosemarywick.example/rosemarywick/internal/core/document"
	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/observe/metrics"
	"rosemarywick.example/rosemarywick/internal/ownership/ranges"
	"rosemarywick.example/rosemarywick/internal/routing/balance"
	"rosemarywick.example/rosemarywick/internal/routing/ratelimit"
)

// keysPerPartition is the number of adjacent keys that the metrics count as one partition. Ranges are split and merged, so
// churn and time without an owner are measured for fixed parts of the key space instead.
const keysPerPartition = 64

// connectMetrics feeds the metrics from the configuration, the ownership map and the load reports.
func (d *Daemon) connectMetrics() {
	d.configuration.onAdopted = func(declared *document.Document) { d.observer.metrics.Configure(declared) }
	d.ownershipMap.onAdopted = d.observeOwners
	d.loadTracker.onCollected = d.observeLoad
	if d.node != nil {
		d.observer.metrics.ExposeTableAges(d.node.Age, d.node.GreatestAge)
	}
	if d.evacuations != nil {
		d.observer.metrics.ExposeEvacuations(d.evacuations.set)
	}
	if d.notices != nil {
		d.observer.metrics.ExposeNotices(d.notices)
	}
	if d.limits != nil {
		d.observer.metrics.ExposeDenials(map[string]func() int{
			string(ratelimit.Stated): func() int { return d.limits.Denied(ratelimit.Stated) },
			string(ratelimit.Cold):   func() int { return d.limits.Denied(ratelimit.Cold) },
		})
	}
}

// observeOwners updates churn and time without an owner from a new range table.
func (d *Daemon) observeOwners(service fleet.ServiceName, rangeTable *ranges.Table) {
	for first := 0; first <= int(fleet.MaxNumericKey); first += keysPerPartition {
		assignment := fleet.Assignment{Partition: fleet.PartitionID(first)}
		if entry := rangeTable.Locate(fleet.NumericKey(first)); entry != nil {
			assignment.Owner, assignment.Moving = entry.Owner.ID, len(entry.FormerOwners) > 0
			assignment.Fence = fleet.Fence{Counter: uint64(entry.Fence)}
		}
		d.observer.metrics.ObserveAssignment(service, assignment)
	}
}

// observeLoad updates the load imbalance across owners. Only the acting assigner of the service collects the load of the
// fleet.
func (d *Daemon) observeLoad(service fleet.ServiceName, load *ranges.Load) {
	table := d.ownershipMap.table(service)
	if table == nil {
		return
	}
	load.BuildPrefixSums()
	owned := make(map[fleet.UpstreamID]float64)
	for _, entry := range table.Assignments {
		owned[entry.Owner.ID] += load.RangeSum(entry.Range)
	}
	d.observer.metrics.ObserveLoad(service, owned)
}

// observePlan updates the utilization of the servers of a service and counts the ranges that a plan moves.
func (d *Daemon) observePlan(service fleet.ServiceName, moves []ranges.MoveSum, highest, mean float64) {
	d.observer.metrics.ObserveUtilization(service, highest, mean)
	for _, sum := range moves {
		d.observer.metrics.ObserveMoves(service, metrics.Moves{
			Reason: string(sum.Reason), Moves: sum.Moves, Splits: sum.Splits, Keys: sum.Keys,
		})
	}
}

// observeFleetLoads updates the utilization of the upstreams of a service without keys.
func (d *Daemon) observeFleetLoads(service fleet.ServiceName, loads map[fleet.UpstreamID]balance.FleetLoad) {
	current := d.configuration.Current()
	if current == nil {
		return
	}
	declared := current.FindService(service)
	if declared == nil || len(declared.Upstreams) == 0 {
		return
	}
	highest, sum := 0.0, 0.0
	for _, upstream := range declared.Upstreams {
		slots := upstream.Slots
		if slots == 0 {
			slots = declared.Slots
		}
		used := loads[upstream.ID].InFlight / float64(max(1, slots))
		highest, sum = max(highest, used), sum+used
	}
	d.observer.metrics.ObserveUtilization(service, highest, sum/float64(len(declared.Upstreams)))
}
