package placement_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"rosemarywick.example/rosemarywick/internal/bench/placement"
)

// Guards against an event that moves more partitions than the release target allows, and a server above the capacity limit.
func TestChurnMeetsTarget(t *testing.T) {
	for seed := range uint64(3) {
		for _, c := range placement.MeasureChurn(placement.SchemeMinimumMovement, placement.ChurnOptions{
			Partitions: 4096, Servers: 15, Domains: 3, PriorLosses: 5, Seed: seed,
		}) {
			is := is.New(t)
			is.True(float64(c.Moved) <= 1.1*float64(c.MinimumMoves)) // moves
			is.True(c.FullestOverMean <= 1.06)                       // the capacity factor of 1.05, rounded up to whole partitions
		}
	}
}

// Guards against rebalancing that does not keep up with changes of the hot keys: the median window must meet the release target.
func TestImbalanceMeetsTarget(t *testing.T) {
	is := is.New(t)
	o := placement.LoadOptions{
		Partitions: 1024, Servers: 15, Domains: 3, Daemons: 3, Keys: 1_800_000_000, HotKeys: 170, ZipfExponent: 1.1,
		HotKeyInterval: time.Minute, Duration: 3 * time.Minute, RequestsPerSecond: 2000, Window: 10 * time.Second,
		HalfLife: 2 * time.Second,
	}
	summary := placement.Summarize(placement.MeasureLoadRuns(placement.SchemeMinimumMovement, o, 2, 2), o)
	is.True(summary.MedianWindow.Worst <= placement.TargetImbalance) // imbalance
}
