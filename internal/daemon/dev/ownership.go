package dev

import (
	"context"
	"math"
	"time"

	"github.com/cockroachdb/errors"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/core/timer"
)

// sampleInterval is the time between two samples of all partitions. Shorter gaps may go unnoticed.
const sampleInterval = 2 * time.Millisecond

// maxPartitionRatio is the highest number of partitions of a server that the placement allows, as a multiple of the mean.
const maxPartitionRatio = 1.05

// OwnershipMonitor samples the guards of the servers of a service and finds partitions that no server, or more than one, owns.
// Fleet and Service are set before Run. The results are read after it.
type OwnershipMonitor struct {
	Fleet   *Fleet
	Service fleet.ServiceName

	// LongestGap is the longest time for which no running server owned a partition, from the last sample that found an owner to
	// the first one that found an owner again.
	LongestGap time.Duration
	// UnownedPartitions is the number of partitions that had no owner in at least one sample.
	UnownedPartitions int
	// Gaps lists the times without an owner that have ended.
	Gaps []Gap
	// LongestSampleInterval is the longest time between two samples. Gaps of about that length may be artifacts of a machine
	// that is too busy to run this process.
	LongestSampleInterval time.Duration
	// DoubleOwnerSamples counts the samples of a partition that found two owners at the same moment.
	DoubleOwnerSamples int

	servers []*worker
	states  [devPartitions]partitionState
}

// Gap is a time in which a partition had no owner.
type Gap struct {
	Partition fleet.PartitionID
	// From and To are the servers that owned the partition before and after.
	From, To fleet.UpstreamID
	Began    time.Time
	For      time.Duration
}

// partitionState is what the monitor knows of a partition: its last owner and when it was last seen to own the partition.
type partitionState struct {
	owner       *worker
	lastOwnedAt time.Time
	// missing is set while the partition has no owner, and wasMissing once it has had none.
	missing, wasMissing bool
}

// Run takes samples until ctx ends. A partition is monitored from the first sample in which it has an owner.
func (m *OwnershipMonitor) Run(ctx context.Context) {
	for _, w := range m.Fleet.workers {
		if w.upstream.Service == m.Service {
			m.servers = append(m.servers, w)
		}
	}
	ticks := m.Fleet.Timer.Every(sampleInterval)
	defer ticks.Stop()
	last := m.Fleet.Timer.Now()
	for {
		now := m.Fleet.Timer.Now()
		m.LongestSampleInterval, last = max(m.LongestSampleInterval, now.Sub(last)), now
		for partition := range m.states {
			m.sample(fleet.PartitionID(partition), &m.states[partition])
		}
		select {
		case <-ctx.Done():
			m.finish()
			return
		case <-ticks.C:
		}
	}
}

// sample checks whether a partition has an owner. It asks the last known owner first.
func (m *OwnershipMonitor) sample(partition fleet.PartitionID, state *partitionState) {
	if state.owner != nil && state.owner.owns(partition) {
		m.recordOwner(partition, state, state.owner)
		return
	}
	for _, server := range m.servers {
		if server.owns(partition) {
			m.recordOwner(partition, state, server)
			return
		}
	}
	if !state.lastOwnedAt.IsZero() {
		state.missing, state.wasMissing = true, true
	}
}

// recordOwner records that a partition has an owner, and the end of a gap if there was one.
func (m *OwnershipMonitor) recordOwner(partition fleet.PartitionID, state *partitionState, newOwner *worker) {
	now := m.Fleet.Timer.Now()
	if state.missing {
		gap := Gap{
			Partition: partition, From: state.owner.upstream.ID, To: newOwner.upstream.ID,
			Began: state.lastOwnedAt, For: now.Sub(state.lastOwnedAt),
		}
		m.LongestGap, m.Gaps = max(m.LongestGap, gap.For), append(m.Gaps, gap)
	}
	if state.owner != newOwner {
		m.countOtherOwners(partition, newOwner)
	}
	state.owner, state.lastOwnedAt, state.missing = newOwner, now, false
}

// countOtherOwners counts the servers that own a partition at the same time as its owner. The owner is checked before and after
// the other server, so that a hand-over between the checks does not count.
func (m *OwnershipMonitor) countOtherOwners(partition fleet.PartitionID, owner *worker) {
	first := owner.currentRun().server
	for _, candidate := range m.servers {
		other := candidate.currentRun().server
		if other != first && first.Holds(partition) && other.Holds(partition) && first.Holds(partition) {
			m.DoubleOwnerSamples++
		}
	}
}

// finish evaluates the gaps that have not ended, and counts the partitions that had any.
func (m *OwnershipMonitor) finish() {
	for i := range m.states {
		if m.states[i].missing {
			m.LongestGap = max(m.LongestGap, m.Fleet.Timer.Now().Sub(m.states[i].lastOwnedAt))
		}
		if m.states[i].wasMissing {
			m.UnownedPartitions++
		}
	}
}

// owns reports whether the upstream runs and its guard has a valid grant of the partition.
func (w *worker) owns(partition fleet.PartitionID) bool {
	return !w.notRunning.Load() && w.currentRun().server.Holds(partition)
}

// OwnerOf returns the running server that owns the partition of a key, or the empty identifier.
func (f *Fleet) OwnerOf(service fleet.ServiceName, key string) fleet.UpstreamID {
	partition := fleet.HashKey(key).Partition(devPartitions)
	for _, w := range f.workers {
		if w.upstream.Service == service && w.owns(partition) {
			return w.upstream.ID
		}
	}
	return ""
}

// OwnedPartitions returns the number of partitions that an upstream owns.
func (f *Fleet) OwnedPartitions(id fleet.UpstreamID) int {
	count := 0
	w, err := f.worker(id)
	if err != nil || w.currentRun().server == nil {
		return 0
	}
	for partition := range fleet.PartitionID(devPartitions) {
		if w.owns(partition) {
			count++
		}
	}
	return count
}

// WaitBalanced waits until each partition of a service has a running owner and no server owns more than the placement allows, so
// that no partition has to be moved.
func (f *Fleet) WaitBalanced(ctx context.Context, service fleet.ServiceName) error {
	servers := f.Upstreams(service)
	limit := int(math.Ceil(maxPartitionRatio * devPartitions / float64(len(servers))))
	for {
		owned, withinLimit := 0, true
		for _, id := range servers {
			count := f.OwnedPartitions(id)
			owned, withinLimit = owned+count, withinLimit && count <= limit
		}
		if withinLimit && owned == devPartitions {
			return nil
		}
		if err := timer.Wait(ctx, f.Timer, readyInterval); err != nil {
			return errors.Wrap(err, "dev: wait until the partitions are balanced")
		}
	}
}
