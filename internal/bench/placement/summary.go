package placement

import (
	"slices"
	"sync"
)

// Spread is the median and the worst of several runs.
type MedianAndWorst struct {
	Median, Worst float64
}

// SpreadOf returns the median and the highest of the values.
func MedianAndWorstOf(values []float64) MedianAndWorst {
	if len(values) == 0 {
		return MedianAndWorst{}
	}
	sorted := slices.Sorted(slices.Values(values))
	return MedianAndWorst{Median: sorted[len(sorted)/2], Worst: sorted[len(sorted)-1]}
}

// LoadSummary sums up the runs of one scheme and exponent, each value over the runs.
type LoadSummary struct {
	// Median, High and Highest are the median, the 95th percentile and the maximum of the windows of a run, of the
	// imbalance without the servers on which one key exceeds the mean.
	MedianWindow, P95Window, MaxWindow MedianAndWorst
	// All is the median of the windows with all servers.
	MedianWindowAllServers MedianAndWorst
	// Above is the part of the windows above the target.
	AboveTarget MedianAndWorst
	// MovesPerMinute is the churn that the balance cost.
	MovesPerMinute MedianAndWorst
}

// TargetImbalance is the highest load over the mean that the release aims at.
const TargetImbalance = 1.25

// Summarize reduces the windows of several runs.
func Summarize(runs [][]Window, o LoadOptions) LoadSummary {
	var median, high, highest, all, above, moves []float64
	for _, run := range runs {
		var divisible, total []float64
		var moved, missed int
		for _, w := range run {
			divisible = append(divisible, w.DivisibleImbalance)
			total = append(total, w.Imbalance)
			moved += w.Moves
			if w.DivisibleImbalance > TargetImbalance {
				missed++
			}
		}
		slices.Sort(divisible)
		median = append(median, MedianAndWorstOf(divisible).Median)
		high = append(high, divisible[len(divisible)*95/100])
		highest = append(highest, MedianAndWorstOf(divisible).Worst)
		all = append(all, MedianAndWorstOf(total).Median)
		above = append(above, float64(missed)/float64(len(run)))
		moves = append(moves, float64(moved)/(float64(len(run))*o.Window.Minutes()))
	}
	return LoadSummary{
		MedianWindow: MedianAndWorstOf(median), P95Window: MedianAndWorstOf(high), MaxWindow: MedianAndWorstOf(highest), MedianWindowAllServers: MedianAndWorstOf(all),
		AboveTarget: MedianAndWorstOf(above), MovesPerMinute: MedianAndWorstOf(moves),
	}
}

// LoadRuns runs one simulation for each seed from 1 on, several at a time.
func MeasureLoadRuns(scheme Scheme, o LoadOptions, seeds, parallel int) [][]Window {
	runs := make([][]Window, seeds)
	slots := make(chan struct{}, parallel)
	var group sync.WaitGroup
	for i := range runs {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			options := o
			options.Seed = uint64(i + 1)
			runs[i] = MeasureLoad(scheme, options)
		})
	}
	group.Wait()
	return runs
}
