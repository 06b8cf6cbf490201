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
const watchInterval = 2 * time.Millisecond

// balanceCap is the largest share of partitions of a server as a multiple of the mean, by the rule of the placement.
const balanceCap = 1.05

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
	seen    [devPartitions]observation
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
type observation struct {
	holder *worker
	held   time.Time
	// missing is set while no holder is found, and ever once none was found.
	missing, ever bool
}

// Run looks until ctx ends. Each partition should have a holder when it begins.
func (w *OwnershipMonitor) Run(ctx context.Context) {
	for _, one := range w.Fleet.workers {
		if one.upstream.Service == w.Service {
			w.servers = append(w.servers, one)
		}
	}
	ticks := w.Fleet.Timer.Every(watchInterval)
	defer ticks.Stop()
	last := w.Fleet.Timer.Now()
	for {
		now := w.Fleet.Timer.Now()
		w.LongestSampleInterval, last = max(w.LongestSampleInterval, now.Sub(last)), now
		for partition := range w.seen {
			w.look(fleet.PartitionID(partition), &w.seen[partition])
		}
		select {
		case <-ctx.Done():
			w.finish()
			return
		case <-ticks.C:
		}
	}
}

func (w *OwnershipMonitor) look(partition fleet.PartitionID, seen *observation) {
	if seen.holder != nil && seen.holder.holds(partition) {
		w.found(partition, seen, seen.holder)
		return
	}
	for _, one := range w.servers {
		if one.holds(partition) {
			w.found(partition, seen, one)
			return
		}
	}
	if !seen.held.IsZero() {
		seen.missing, seen.ever = true, true
	}
}

func (w *OwnershipMonitor) found(partition fleet.PartitionID, seen *observation, holder *worker) {
	now := w.Fleet.Timer.Now()
	if seen.missing {
		gap := Gap{
			Partition: partition, From: seen.holder.upstream.ID, To: holder.upstream.ID, Began: seen.held, For: now.Sub(seen.held),
		}
		w.LongestGap, w.Gaps = max(w.LongestGap, gap.For), append(w.Gaps, gap)
	}
	if seen.holder != holder {
		w.compare(partition, holder)
	}
	seen.holder, seen.held, seen.missing = holder, now, false
}

// compare counts another server that holds the partition while the holder does, before and after the look at it.
func (w *OwnershipMonitor) compare(partition fleet.PartitionID, holder *worker) {
	first := holder.present().server
	for _, one := range w.servers {
		other := one.present().server
		if other != first && first.Holds(partition) && other.Holds(partition) && first.Holds(partition) {
			w.DoubleOwnerSamples++
		}
	}
}

// finish counts the gaps that have not ended.
func (w *OwnershipMonitor) finish() {
	for i := range w.seen {
		if w.seen[i].missing {
			w.LongestGap = max(w.LongestGap, w.Fleet.Timer.Now().Sub(w.seen[i].held))
		}
		if w.seen[i].ever {
			w.UnownedPartitions++
		}
	}
}

// holds reports whether the upstream runs and its guard says that it holds the partition.
func (w *worker) holds(partition fleet.PartitionID) bool {
	return !w.down.Load() && w.present().server.Holds(partition)
}

// Holder returns the running server that holds the partition of a key, or nothing.
func (f *Fleet) OwnerOf(service fleet.ServiceName, key string) fleet.UpstreamID {
	partition := fleet.HashKey(key).Partition(devPartitions)
	for _, one := range f.workers {
		if one.upstream.Service == service && one.holds(partition) {
			return one.upstream.ID
		}
	}
	return ""
}

// Holds returns the number of partitions that an upstream holds.
func (f *Fleet) OwnedPartitions(id fleet.UpstreamID) int {
	count := 0
	one, err := f.worker(id)
	if err != nil || one.present().server == nil {
		return 0
	}
	for partition := range fleet.PartitionID(devPartitions) {
		if one.holds(partition) {
			count++
		}
	}
	return count
}

// WaitBalanced waits until each partition of a service is held by a running server and none holds more than its cap, so
// that no partition has to be moved.
func (f *Fleet) WaitBalanced(ctx context.Context, service fleet.ServiceName) error {
	servers := f.Upstreams(service)
	most := int(math.Ceil(balanceCap * devPartitions / float64(len(servers))))
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
