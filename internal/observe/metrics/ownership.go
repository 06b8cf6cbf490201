package metrics

import (
	"maps"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/core/timer"
)

var (
	movedDesc = prometheus.NewDesc("rosemarywick_partitions_moved_total",
		"Partitions whose owner has changed.", []string{labelService}, nil)
	unavailableDesc = prometheus.NewDesc("rosemarywick_unavailable_partition_seconds_total",
		"Time for which partitions had no owner, added up over the partitions.", []string{labelService}, nil)
	unownedDesc = prometheus.NewDesc("rosemarywick_partitions_without_owner",
		"Partitions that have no owner at present.", []string{labelService}, nil)
)

// ownership is a Prometheus collector that counts, for each service, changes of partition owners and the time for which
// partitions have no owner. A partition that is being moved has no owner between its revocation and its next grant. It is
// measured from its first observed assignment on.
type ownership struct {
	clock timer.Clock

	mu sync.Mutex
	// services is guarded by mu. Its keys come from the ownership map and are therefore declared services.
	services map[fleet.ServiceName]*serviceOwnership
}

// serviceOwnership holds the counts of one service.
type serviceOwnership struct {
	partitions map[fleet.PartitionID]*partitionOwnership
	moved      uint64
	// unowned is the number of partitions without an owner since updatedAt.
	unowned   int
	updatedAt time.Time
	// unavailable is the sum over all partitions of the time without an owner until updatedAt.
	unavailable time.Duration
}

// partitionOwnership is the latest known ownership of one partition.
type partitionOwnership struct {
	fence fleet.Fence
	// lastOwner is the server that owned the partition last. It is kept while the partition has no owner.
	lastOwner fleet.UpstreamID
	owned     bool
}

var _ prometheus.Collector = (*ownership)(nil)

func newOwnership(clock timer.Clock) *ownership {
	return &ownership{clock: clock, services: make(map[fleet.ServiceName]*serviceOwnership)}
}

// observe updates the counts with an assignment.
func (o *ownership) observe(service fleet.ServiceName, assignment fleet.Assignment) {
	o.mu.Lock()
	defer o.mu.Unlock()
	state := o.services[service]
	if state == nil {
		state = &serviceOwnership{partitions: make(map[fleet.PartitionID]*partitionOwnership), updatedAt: o.clock.Now()}
		o.services[service] = state
	}
	state.advance(o.clock.Now())
	partition, known := state.partitions[assignment.Partition]
	if !known {
		partition = &partitionOwnership{owned: true}
		state.partitions[assignment.Partition] = partition
	}
	if assignment.Fence.Less(partition.fence) {
		return
	}
	partition.fence = assignment.Fence
	state.setOwner(partition, assignment)
}

// setOwner updates the counts and the partition with an assignment of that partition. The caller has called advance.
func (s *serviceOwnership) setOwner(partition *partitionOwnership, assignment fleet.Assignment) {
	owned := assignment.Owner != "" && !assignment.Moving
	if partition.owned && !owned {
		s.unowned++
	}
	if !partition.owned && owned {
		s.unowned--
	}
	partition.owned = owned
	if !owned {
		return
	}
	if partition.lastOwner != "" && partition.lastOwner != assignment.Owner {
		s.moved++
	}
	partition.lastOwner = assignment.Owner
}

// advance adds the unavailable time since updatedAt.
func (s *serviceOwnership) advance(now time.Time) {
	s.unavailable += now.Sub(s.updatedAt) * time.Duration(s.unowned)
	s.updatedAt = now
}

// forget removes a partition from the counts.
func (o *ownership) forget(service fleet.ServiceName, id fleet.PartitionID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	state := o.services[service]
	if state == nil || state.partitions[id] == nil {
		return
	}
	state.advance(o.clock.Now())
	if !state.partitions[id].owned {
		state.unowned--
	}
	delete(state.partitions, id)
}

// retain removes all services except the declared ones.
func (o *ownership) retain(declared map[fleet.ServiceName]bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	maps.DeleteFunc(o.services, func(name fleet.ServiceName, _ *serviceOwnership) bool { return !declared[name] })
}

// Describe sends the descriptions of the ownership metrics.
func (o *ownership) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- movedDesc
	descriptions <- unavailableDesc
	descriptions <- unownedDesc
}

// Collect sends the current values of the ownership metrics of each service.
func (o *ownership) Collect(metrics chan<- prometheus.Metric) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock.Now()
	for name, state := range o.services {
		state.advance(now)
		send := func(desc *prometheus.Desc, kind prometheus.ValueType, value float64) {
			metrics <- prometheus.MustNewConstMetric(desc, kind, value, string(name))
		}
		send(movedDesc, prometheus.CounterValue, float64(state.moved))
		send(unavailableDesc, prometheus.CounterValue, state.unavailable.Seconds())
		send(unownedDesc, prometheus.GaugeValue, float64(state.unowned))
	}
}
