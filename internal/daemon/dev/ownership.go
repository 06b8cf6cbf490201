package dev

import (
	"context"
	"math"
	"time"

	"github.com/cockroachdb/errors"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/core/timer"
)

// watchInterval is the pause between two looks at all partitions. It limits how short a gap can be seen.
const sampleInterval = 2 * time.Millisecond

// balanceCap is the largest share of partitions of a server as a multiple of the mean, by the rule of the placement.
const maxPartitionRatio = 1.05

// OwnerWatch looks at the guards of the servers of a service and finds partitions that no server, or more than one, holds.
// The fields are set before Run and read after it.
type OwnershipMonitor struct {
	Fleet   *Fleet
	Service fleet.ServiceName

	// Longest is the longest time for which a partition was held by no running server, from the last look that found a
	// holder to the first look that found one again.
	LongestGap time.Duration
	// Unheld is the number of partitions that were without a holder at any look.
	UnownedPartitions int
	// Gaps are the times without a holder that have ended.
	Gaps []Gap
	// Stalled is the longest time between two looks. Gaps of about that length may be those of a machine that is too busy
	// to run this process.
	LongestSampleInterval time.Duration
	// Doubles is the number of looks at a partition that found two holders at the same moment.
	DoubleOwnerSamples int

	servers []*worker
	states  [devPartitions]partitionState
}

// Gap is a time in which a partition had no holder.
type Gap struct {
	Partition fleet.PartitionID
	// From and To are the servers that held the partition before and after.
	From, To fleet.UpstreamID
	Began    time.Time
	For      time.Duration
}

// observation is what the watch remembers of a partition.
type partitionState struct {
	owner       *worker
	lastOwnedAt time.Time
	// missing is set while no holder is found, and ever once none was found.
	missing, wasMissing bool
}

// Run looks until ctx ends. Each partition should have a holder when it begins.
func (w *OwnershipMonitor) Run(ctx context.Context) {
	for _, one := range w.Fleet.workers {
		if one.upstream.Service == w.Service {
			w.servers = append(w.servers, one)
		}
	}
	ticks := w.Fleet.Timer.Every(sampleInterval)
	defer ticks.Stop()
	last := w.Fleet.Timer.Now()
	for {
		now := w.Fleet.Timer.Now()
		w.LongestSampleInterval, last = max(w.LongestSampleInterval, now.Sub(last)), now
		for partition := range w.states {
			w.sample(fleet.PartitionID(partition), &w.states[partition])
		}
		select {
		case <-ctx.Done():
			w.finish()
			return
		case <-ticks.C:
		}
	}
}

func (w *OwnershipMonitor) sample(partition fleet.PartitionID, seen *partitionState) {
	if seen.owner != nil && seen.owner.owns(partition) {
		w.recordOwner(partition, seen, seen.owner)
		return
	}
	for _, one := range w.servers {
		if one.owns(partition) {
			w.recordOwner(partition, seen, one)
			return
		}
	}
	if !seen.lastOwnedAt.IsZero() {
		seen.missing, seen.wasMissing = true, true
	}
}

func (w *OwnershipMonitor) recordOwner(partition fleet.PartitionID, seen *partitionState, holder *worker) {
	now := w.Fleet.Timer.Now()
	if seen.missing {
		gap := Gap{
			Partition: partition, From: seen.owner.upstream.ID, To: holder.upstream.ID, Began: seen.lastOwnedAt, For: now.Sub(seen.lastOwnedAt),
		}
		w.LongestGap, w.Gaps = max(w.LongestGap, gap.For), append(w.Gaps, gap)
	}
	if seen.owner != holder {
		w.countOtherOwners(partition, holder)
	}
	seen.owner, seen.lastOwnedAt, seen.missing = holder, now, false
}

// compare counts another server that holds the partition while the holder does, before and after the look at it.
func (w *OwnershipMonitor) countOtherOwners(partition fleet.PartitionID, holder *worker) {
	first := holder.currentRun().server
	for _, one := range w.servers {
		other := one.currentRun().server
		if other != first && first.Holds(partition) && other.Holds(partition) && first.Holds(partition) {
			w.DoubleOwnerSamples++
		}
	}
}

// finish counts the gaps that have not ended.
func (w *OwnershipMonitor) finish() {
	for i := range w.states {
		if w.states[i].missing {
			w.LongestGap = max(w.LongestGap, w.Fleet.Timer.Now().Sub(w.states[i].lastOwnedAt))
		}
		if w.states[i].wasMissing {
			w.UnownedPartitions++
		}
	}
}

// holds reports whether the upstream runs and its guard says that it holds the partition.
func (w *worker) owns(partition fleet.PartitionID) bool {
	return !w.notRunning.Load() && w.currentRun().server.Holds(partition)
}

// Holder returns the running server that holds the partition of a key, or nothing.
func (f *Fleet) OwnerOf(service fleet.ServiceName, key string) fleet.UpstreamID {
	partition := fleet.HashKey(key).Partition(devPartitions)
	for _, one := range f.workers {
		if one.upstream.Service == service && one.owns(partition) {
			return one.upstream.ID
		}
	}
	return ""
}

// Holds returns the number of partitions that an upstream holds.
func (f *Fleet) OwnedPartitions(id fleet.UpstreamID) int {
	count := 0
	one, err := f.worker(id)
	if err != nil || one.currentRun().server == nil {
		return 0
	}
	for partition := range fleet.PartitionID(devPartitions) {
		if one.owns(partition) {
			count++
		}
	}
	return count
}

// WaitBalanced waits until each partition of a service is held by a running server and none holds more than its cap, so
// that no partition has to be moved.
func (f *Fleet) WaitBalanced(ctx context.Context, service fleet.ServiceName) error {
	servers := f.Upstreams(service)
	most := int(math.Ceil(maxPartitionRatio * devPartitions / float64(len(servers))))
	for {
		held, capped := 0, true
		for _, id := range servers {
			count := f.OwnedPartitions(id)
			held, capped = held+count, capped && count <= most
		}
		if capped && held == devPartitions {
			return nil
		}
		if err := timer.Wait(ctx, f.Timer, readyInterval); err != nil {
			return errors.Wrap(err, "dev: partitions are not spread over the servers")
		}
	}
}
