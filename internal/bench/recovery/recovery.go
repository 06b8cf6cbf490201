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

// Scenario is a fault or a planned change that is applied to the cluster.
type Scenario string

const (
	// ServerLost is the failure of one server.
	ServerLost Scenario = "server-lost"
	// AssignerLost is the failure of the host that acts as the assigner.
	AssignerLost Scenario = "assigner-lost"
	// DomainLost is the failure of all servers and hosts in the failure domain of the acting assigner.
	DomainLost Scenario = "failure-domain-lost"
	// ServerLostInOutage is the failure of one server while the table service is down.
	ServerLostInOutage Scenario = "server-lost-in-table-outage"
	// PlannedMove is a planned move of one partition of each server to another server.
	PlannedMove Scenario = "planned-move"
)

// Scenarios returns all scenarios in the order in which they are reported.
func Scenarios() []Scenario {
	return []Scenario{ServerLost, AssignerLost, DomainLost, ServerLostInOutage, PlannedMove}
}

// Target returns the longest time for which a partition may be without an owner, as stated on the design page.
func (s Scenario) Target() time.Duration {
	switch s {
	case AssignerLost:
		return 0
	case PlannedMove:
		return 50 * time.Millisecond
	default:
		return time.Second
	}
}

const (
	// startTimeout limits the time until every partition of a new cluster has an owner.
	startTimeout = 15 * time.Second
	// settleTime is how long a new cluster gets to complete what follows the first grants, such as the choice of a deputy.
	settleTime = 1500 * time.Millisecond
	// observationTime is how long the owners are sampled after the event. It is more than twice the longest target.
	observationTime = 2500 * time.Millisecond
)

// Result is the outcome of one run.
type Result struct {
	// LongestUnowned is the longest time for which a partition was without an owner. A partition has an owner while the map
	// names a server for it and that server admits its requests.
	LongestUnowned time.Duration
	// Affected is the number of partitions that were without an owner at any time.
	Affected int
	// UnownedAtEnd is the number of partitions that were without an owner at the end of the run.
	UnownedAtEnd int
}

// Benchmark configures the cluster on which the scenarios are measured.
type Benchmark struct {
	// Partitions is the number of hash ranges.
	Partitions int
	// Log receives the log lines of the assigners.
	Log zerolog.Logger
}

// DefaultPartitions is the number of hash ranges that a service has by default.
const DefaultPartitions = 4096

// Run starts a new cluster, applies the scenario and returns how long partitions were without an owner.
func (b Benchmark) Run(ctx context.Context, scenario Scenario) (Result, error) {
	c, err := newCluster(ctx, b)
	if err != nil {
		return Result{}, err
	}
	defer c.stopAll()
	if err := c.waitReady(ctx); err != nil {
		return Result{}, err
	}
	if scenario == ServerLostInOutage {
		c.table.down.Store(true)
		if err := timer.Wait(ctx, c.timer, settleTime); err != nil {
			return Result{}, err
		}
	}
	if err := c.applyScenario(scenario); err != nil {
		return Result{}, err
	}
	return c.observeOwners(ctx)
}

// waitReady waits until every partition has an owner, and then for settleTime.
func (c *cluster) waitReady(ctx context.Context) error {
	deadline := c.timer.Now().Add(startTimeout)
	for len(c.unownedPartitions()) > 0 {
		if c.timer.Now().After(deadline) {
			return errors.Newf("recovery: start cluster: %d partitions without an owner after %v",
				len(c.unownedPartitions()), startTimeout)
		}
		if err := timer.Wait(ctx, c.timer, 10*time.Millisecond); err != nil {
			return err
		}
	}
	return timer.Wait(ctx, c.timer, settleTime)
}

// applyScenario triggers the fault or change of a scenario.
func (c *cluster) applyScenario(scenario Scenario) error {
	assigner := c.actingAssigner()
	if assigner == nil {
		return errors.New("recovery: apply scenario: no daemon acts as the assigner")
	}
	switch scenario {
	case ServerLost, ServerLostInOutage:
		c.upstreams[0].lost.Store(true)
	case AssignerLost:
		assigner.lost.Store(true)
	case DomainLost:
		for _, h := range c.hosts {
			h.lost.Store(h.domain == assigner.domain)
		}
		for _, u := range c.upstreams {
			u.lost.Store(u.domain == assigner.domain)
		}
	case PlannedMove:
		c.placer.requestedMoves.Add(1)
		assigner.runner.SetLoads(nil)
	}
	return nil
}

// observeOwners samples the owners of all partitions for observationTime.
func (c *cluster) observeOwners(ctx context.Context) (Result, error) {
	var result Result
	unownedSince := make(map[fleet.PartitionID]time.Time)
	affected := make(map[fleet.PartitionID]struct{})
	end := c.timer.Now().Add(observationTime)
	ticks := c.timer.Every(sampleInterval)
	defer ticks.Stop()
	for now := c.timer.Now(); now.Before(end); now = c.timer.Now() {
		unowned := c.unownedPartitions()
		result.UnownedAtEnd = len(unowned)
		for partition := range unowned {
			affected[partition] = struct{}{}
			if _, found := unownedSince[partition]; !found {
				unownedSince[partition] = now
			}
		}
		for partition, start := range unownedSince {
			result.LongestUnowned = max(result.LongestUnowned, now.Sub(start))
			if _, stillUnowned := unowned[partition]; !stillUnowned {
				delete(unownedSince, partition)
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

// unownedPartitions returns the partitions for which the remote map names no server that admits their requests.
func (c *cluster) unownedPartitions() map[fleet.PartitionID]struct{} {
	ownershipMap := c.remoteMapSnapshot()
	upstreamByID := make(map[fleet.UpstreamID]*upstream, len(c.upstreams))
	for _, u := range c.upstreams {
		upstreamByID[u.ID] = u
	}
	unowned := make(map[fleet.PartitionID]struct{})
	for index := range ownershipMap.Chunks() {
		for _, assignment := range ownershipMap.Chunk(index) {
			u := upstreamByID[assignment.Owner]
			if u == nil || u.lost.Load() || !u.guard.Holds(assignment.Partition) {
				unowned[assignment.Partition] = struct{}{}
			}
		}
	}
	return unowned
}

// MedianAndWorst returns the median and the maximum of LongestUnowned over several runs.
func MedianAndWorst(results []Result) (median, worst time.Duration) {
	durations := make([]time.Duration, 0, len(results))
	for _, result := range results {
		durations = append(durations, result.LongestUnowned)
	}
	slices.Sort(durations)
	if len(durations) == 0 {
		return 0, 0
	}
	return durations[len(durations)/2], durations[len(durations)-1]
}
