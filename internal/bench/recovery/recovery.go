package recovery

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/core/timer"
)

// Kind names what is done to the group.
type Scenario string

const (
	// ServerLost loses one server.
	ServerLost Scenario = "server-lost"
	// AssignerLost loses the host of the assigner.
	AssignerLost Scenario = "assigner-lost"
	// DomainLost loses the failure domain of the assigner with all its servers and hosts.
	DomainLost Scenario = "failure-domain-lost"
	// ServerLostInOutage loses one server while the table is down.
	ServerLostInOutage Scenario = "server-lost-in-table-outage"
	// PlannedMove moves one partition of each server.
	PlannedMove Scenario = "planned-move"
)

// Kinds lists all kinds in the order in which they are reported.
func Scenarios() []Scenario {
	return []Scenario{ServerLost, AssignerLost, DomainLost, ServerLostInOutage, PlannedMove}
}

// Target returns the longest time without an owner that the design page allows.
func (k Scenario) Target() time.Duration {
	switch k {
	case AssignerLost:
		return 0
	case PlannedMove:
		return 50 * time.Millisecond
	default:
		return time.Second
	}
}

const (
	// startLimit bounds the time until a new group has an owner for each partition.
	startTimeout = 15 * time.Second
	// settle is left to a new group for what follows the first grants, such as naming a deputy.
	settleTime = 1500 * time.Millisecond
	// watch is how long the owners are looked at after the event. It exceeds every target by a factor of two.
	observationTime = 2500 * time.Millisecond
)

// Result is what one run has shown.
type Result struct {
	// Longest is the longest time for which a partition had no owner that the map named and that admitted requests.
	LongestUnowned time.Duration
	// Affected is the number of partitions that had none for some time.
	Affected int
	// Unserved is the number of partitions that had none at the end.
	UnownedAtEnd int
}

// Setup says what is measured.
type Benchmark struct {
	// Partitions is the number of hash ranges.
	Partitions int
	// Log receives the log of the assigners.
	Log zerolog.Logger
}

// DefaultPartitions is the default of the configuration.
const DefaultPartitions = 4096

// Run starts a group, does what kind says and returns how long partitions had no owner.
func (s Benchmark) Run(ctx context.Context, kind Scenario) (Result, error) {
	w, err := newCluster(ctx, s)
	if err != nil {
		return Result{}, err
	}
	defer w.stopAll()
	if err := w.waitReady(ctx); err != nil {
		return Result{}, err
	}
	if kind == ServerLostInOutage {
		w.table.down.Store(true)
		if err := timer.Wait(ctx, w.timer, settleTime); err != nil {
			return Result{}, err
		}
	}
	if err := w.applyScenario(kind); err != nil {
		return Result{}, err
	}
	return w.observeOwners(ctx)
}

// ready waits until every partition has an owner and the group has settled.
func (w *cluster) waitReady(ctx context.Context) error {
	deadline := w.timer.Now().Add(startTimeout)
	for len(w.unownedPartitions()) > 0 {
		if w.timer.Now().After(deadline) {
			return errors.Newf("recovery: %d partitions without an owner after %v", len(w.unownedPartitions()), startTimeout)
		}
		if err := timer.Wait(ctx, w.timer, 10*time.Millisecond); err != nil {
			return err
		}
	}
	return timer.Wait(ctx, w.timer, settleTime)
}

// do lets the event of a kind happen.
func (w *cluster) applyScenario(kind Scenario) error {
	assigner := w.actingAssigner()
	if assigner == nil {
		return errors.New("recovery: no daemon acts as the assigner")
	}
	switch kind {
	case ServerLost, ServerLostInOutage:
		w.upstreams[0].lost.Store(true)
	case AssignerLost:
		assigner.lost.Store(true)
	case DomainLost:
		for _, h := range w.hosts {
			h.lost.Store(h.domain == assigner.domain)
		}
		for _, u := range w.upstreams {
			u.lost.Store(u.domain == assigner.domain)
		}
	case PlannedMove:
		w.placer.requestedMoves.Add(1)
		assigner.runner.SetLoads(nil)
	}
	return nil
}

// observe looks at the owners for the time of a watch.
func (w *cluster) observeOwners(ctx context.Context) (Result, error) {
	var result Result
	since := make(map[fleet.PartitionID]time.Time)
	affected := make(map[fleet.PartitionID]struct{})
	end := w.timer.Now().Add(observationTime)
	ticks := w.timer.Every(sampleInterval)
	defer ticks.Stop()
	for now := w.timer.Now(); now.Before(end); now = w.timer.Now() {
		unserved := w.unownedPartitions()
		result.UnownedAtEnd = len(unserved)
		for partition := range unserved {
			affected[partition] = struct{}{}
			if _, known := since[partition]; !known {
				since[partition] = now
			}
		}
		for partition, start := range since {
			result.LongestUnowned = max(result.LongestUnowned, now.Sub(start))
			if _, still := unserved[partition]; !still {
				delete(since, partition)
			}
		}
		select {
		case <-ticks.C:
		case <-ctx.Done():
			return result, context.Cause(ctx)
		}
	}
	result.Affected = len(affected)
	return result, nil
}

// unserved returns the partitions for which the map names no server that admits requests.
func (w *cluster) unownedPartitions() map[fleet.PartitionID]struct{} {
	known := w.remoteMapSnapshot()
	byID := make(map[fleet.UpstreamID]*upstream, len(w.upstreams))
	for _, u := range w.upstreams {
		byID[u.ID] = u
	}
	unserved := make(map[fleet.PartitionID]struct{})
	for index := range known.Chunks() {
		for _, assignment := range known.Chunk(index) {
			u := byID[assignment.Owner]
			if u == nil || u.lost.Load() || !u.guard.Holds(assignment.Partition) {
				unserved[assignment.Partition] = struct{}{}
			}
		}
	}
	return unserved
}

// Median returns the median and the worst of the longest times of several runs.
func MedianAndWorst(results []Result) (median, worst time.Duration) {
	times := make([]time.Duration, 0, len(results))
	for _, result := range results {
		times = append(times, result.LongestUnowned)
	}
	slices.Sort(times)
	if len(times) == 0 {
		return 0, 0
	}
	return times[len(times)/2], times[len(times)-1]
}
