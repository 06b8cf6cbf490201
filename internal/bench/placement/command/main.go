// Command command prints the churn and the load imbalance of each placement scheme as tables.
package main

import (
	"flag"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"rosemarywick.example/rosemarywick/internal/bench/placement"
	"rosemarywick.example/rosemarywick/internal/ownership/hotkeys"
	placer "rosemarywick.example/rosemarywick/internal/ownership/placement"
)

func main() {
	seeds := flag.Int("seeds", 20, "number of seeds, from 1 on")
	parallel := flag.Int("parallel", 4, "number of simulations that run at a time")
	part := flag.String("part", "all", "tables to print: churn, load or all")
	moveCost := flag.Float64("move-cost", placer.DefaultMoveCost, "cost of a move as a fraction of a server's mean load")
	halfLife := flag.Duration("half-life", hotkeys.DefaultHalfLife, "half-life with which the measured load decays")
	duration := flag.Duration("duration", 10*time.Minute, "simulated time of the load measurement")
	flag.Parse()

	out := &printer{tab: tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)}
	if *part != "load" {
		printChurn(out, *seeds)
	}
	if *part != "churn" {
		printLoad(out, placement.LoadOptions{
			Partitions: 4096, Servers: 15, Domains: 3, Daemons: 12, Keys: 1_800_000_000, HotKeys: 170,
			HotKeyInterval: 3 * time.Minute, Duration: *duration, RequestsPerSecond: 10_000, Window: 10 * time.Second, HalfLife: *halfLife,
			Policy: placer.Policy{MoveCost: *moveCost},
		}, *seeds, *parallel)
	}
	out.flush()
	if out.err != nil {
		os.Exit(1)
	}
}

// printer writes aligned tables and records the first error.
type printer struct {
	tab *tabwriter.Writer
	err error
}

func (p *printer) line(format string, args ...any) {
	if _, err := fmt.Fprintf(p.tab, format+"\n", args...); err != nil && p.err == nil {
		p.err = err
	}
}

// flush ends a table, so that the next one has its own column widths.
func (p *printer) flush() {
	if err := p.tab.Flush(); err != nil && p.err == nil {
		p.err = err
	}
}

// printChurn prints a row for each scheme and event.
func printChurn(out *printer, seeds int) {
	out.line("4096 partitions, 15 servers, 3 domains, %d seeds; median and worst", seeds)
	out.line("scheme\tevent\tmoved\tworst\tminimum\tmoved/minimum\tworst\tfair share\tmoved/fair share\tworst\t" +
		"fullest/mean\tworst\t")
	for _, scheme := range placement.Schemes {
		byEvent := map[placement.Event][]placement.Churn{}
		for seed := range seeds {
			for _, c := range placement.MeasureChurn(scheme, placement.ChurnOptions{
				Partitions: 4096, Servers: 15, Domains: 3, PriorLosses: 10, Seed: uint64(seed + 1),
			}) {
				byEvent[c.Event] = append(byEvent[c.Event], c)
			}
		}
		for _, event := range placement.Events {
			var moved, minimum, ratio, fair, fullest []float64
			for _, c := range byEvent[event] {
				moved = append(moved, float64(c.Moved))
				minimum = append(minimum, float64(c.MinimumMoves))
				ratio = append(ratio, quotient(c.Moved, c.MinimumMoves))
				fair = append(fair, quotient(c.Moved, c.FairShare))
				fullest = append(fullest, c.FullestOverMean)
			}
			movedStats, minimumStats, ratioStats := placement.MedianAndWorstOf(moved), placement.MedianAndWorstOf(minimum),
				placement.MedianAndWorstOf(ratio)
			fairStats, fullestStats := placement.MedianAndWorstOf(fair), placement.MedianAndWorstOf(fullest)
			out.line("%s\t%s\t%.0f\t%.0f\t%.0f\t%.2f\t%.2f\t%d\t%.2f\t%.2f\t%.3f\t%.3f\t", scheme, event,
				movedStats.Median, movedStats.Worst, minimumStats.Median, ratioStats.Median, ratioStats.Worst, byEvent[event][0].FairShare,
				fairStats.Median, fairStats.Worst, fullestStats.Median, fullestStats.Worst)
		}
	}
}

// quotient returns moved divided by minimum. It is 1 if both are zero: nothing had to move and nothing moved.
func quotient(moved, minimum int) float64 {
	if moved == minimum {
		return 1
	}
	return float64(moved) / float64(minimum)
}

// printLoad prints a row for each Zipf exponent and scheme.
func printLoad(out *printer, o placement.LoadOptions, seeds, parallel int) {
	out.flush()
	out.line("\n%d servers, %d partitions, %d keys, the hottest %d change every %v, %v simulated, windows of %v, %d seeds; "+
		"each column median and worst over the seeds", o.Servers, o.Partitions, o.Keys, o.HotKeys, o.HotKeyInterval, o.Duration,
		o.Window, seeds)
	out.line("s\tscheme\tmedian window\tworst\t95th window\tworst\thighest window\tworst\twindows above 1.25\tworst\t" +
		"with indivisible keys\tworst\tmoves/min\tworst\t")
	for _, exponent := range []float64{1.01, 1.05, 1.1, 1.2} {
		o.ZipfExponent = exponent
		for _, scheme := range placement.Schemes {
			summary := placement.Summarize(placement.MeasureLoadRuns(scheme, o, seeds, parallel), o)
			out.line("%.2f\t%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.1f\t%.1f\t", exponent, scheme,
				summary.MedianWindow.Median, summary.MedianWindow.Worst, summary.P95Window.Median, summary.P95Window.Worst,
				summary.MaxWindow.Median, summary.MaxWindow.Worst, summary.AboveTarget.Median, summary.AboveTarget.Worst,
				summary.MedianWindowAllServers.Median, summary.MedianWindowAllServers.Worst,
				summary.MovesPerMinute.Median, summary.MovesPerMinute.Worst)
		}
	}
}
