package placement

import (
	"slices"
	"sync"
)

// MedianAndWorst is the median and the highest of several values.
type MedianAndWorst struct {
	Median, Worst float64
}

// MedianAndWorstOf returns the median and the highest of the values, or zeros if there are none.
func MedianAndWorstOf(values []float64) MedianAndWorst {
	if len(values) == 0 {
		return MedianAndWorst{}
	}
	sorted := slices.Sorted(slices.Values(values))
	return MedianAndWorst{Median: sorted[len(sorted)/2], Worst: sorted[len(sorted)-1]}
}

// LoadSummary aggregates the runs of one scheme with the same options. Each field aggregates one figure of each run.
type LoadSummary struct {
	// MedianWindow, P95Window and MaxWindow are the median, the 95th percentile and the maximum of the DivisibleImbalance of the
	// windows of a run.
	MedianWindow, P95Window, MaxWindow MedianAndWorst
	// MedianWindowAllServers is the median of the Imbalance of the windows of a run.
	MedianWindowAllServers MedianAndWorst
	// AboveTarget is the part of the windows of a run whose DivisibleImbalance exceeds TargetImbalance.
	AboveTarget MedianAndWorst
	// MovesPerMinute is the rate of moves in a run.
	MovesPerMinute MedianAndWorst
}

// TargetImbalance is the release target for the load of the most loaded server divided by the mean.
const TargetImbalance = 1.25

// Summarize aggregates the windows of several runs, which must not be empty.
func Summarize(runs [][]Window, o LoadOptions) LoadSummary {
	var median, p95, highest, allServers, aboveTarget, moves []float64
	for _, run := range runs {
		var divisible, imbalances []float64
		var moved, above int
		for _, w := range run {
			divisible = append(divisible, w.DivisibleImbalance)
			imbalances = append(imbalances, w.Imbalance)
			moved += w.Moves
			if w.DivisibleImbalance > TargetImbalance {
				above++
			}
		}
		slices.Sort(divisible)
		median = append(median, MedianAndWorstOf(divisible).Median)
		p95 = append(p95, divisible[len(divisible)*95/100])
		highest = append(highest, MedianAndWorstOf(divisible).Worst)
		allServers = append(allServers, MedianAndWorstOf(imbalances).Median)
		aboveTarget = append(aboveTarget, float64(above)/float64(len(run)))
		moves = append(moves, float64(moved)/(float64(len(run))*o.Window.Minutes()))
	}
	return LoadSummary{
		MedianWindow: MedianAndWorstOf(median), P95Window: MedianAndWorstOf(p95), MaxWindow: MedianAndWorstOf(highest),
		MedianWindowAllServers: MedianAndWorstOf(allServers), AboveTarget: MedianAndWorstOf(aboveTarget),
		MovesPerMinute: MedianAndWorstOf(moves),
	}
}

// MeasureLoadRuns runs one simulation for each of the seeds 1 to seeds, at most parallel at a time.
func MeasureLoadRuns(scheme Scheme, o LoadOptions, seeds, parallel int) [][]Window {
	runs := make([][]Window, seeds)
	slots := make(chan struct{}, parallel)
	var tasks sync.WaitGroup
	for i := range runs {
		slots <- struct{}{}
		tasks.Go(func() {
			defer func() { <-slots }()
			options := o
			options.Seed = uint64(i + 1)
			runs[i] = MeasureLoad(scheme, options)
		})
	}
	tasks.Wait()
	return runs
}
