// Command command runs the benchmarks of the request path and prints their results as tables.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"runtime"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"rosemarywick.example/rosemarywick/internal/bench/requests"
	"rosemarywick.example/rosemarywick/internal/core/document"
)

// options are the command-line options that all measurements share.
type options struct {
	runs             int
	warmup, duration time.Duration
}

func main() {
	var o options
	only := flag.String("only", "throughput,overload,retries,policies", "measurements to run, separated by commas")
	procs := flag.Int("procs", 4, "value of GOMAXPROCS")
	flag.IntVar(&o.runs, "runs", 5, "number of runs of each measurement")
	flag.DurationVar(&o.warmup, "warmup", time.Second, "time before requests are counted")
	flag.DurationVar(&o.duration, "duration", 4*time.Second, "time for which requests are counted")
	flag.Parse()
	runtime.GOMAXPROCS(*procs)
	measurements := map[string]func(context.Context, printer, options) error{
		"throughput": throughput, "overload": overload, "retries": retries, "policies": policies,
	}
	for name := range strings.SplitSeq(*only, ",") {
		run := measurements[name]
		if run == nil {
			fatal("unknown measurement: " + name)
		}
		out := printer{Writer: tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)}
		out.row(fmt.Sprintf("%s: median (lowest to highest) of %d runs, GOMAXPROCS=%d", name, o.runs, *procs))
		if err := run(context.Background(), out, o); err != nil {
			fatal(err.Error())
		}
		_ = out.Flush()
	}
}

func fatal(reason string) {
	_, _ = io.WriteString(os.Stderr, reason+"\n")
	os.Exit(1)
}

// figures holds the values of each named figure, one for each run.
type figures map[string][]float64

func (f figures) add(name string, value float64) { f[name] = append(f[name], value) }

// summary formats the median and the range of a figure.
func (f figures) summary(name string, digits int) string {
	sorted := slices.Sorted(slices.Values(f[name]))
	return fmt.Sprintf("%.*f (%.*f to %.*f)", digits, sorted[len(sorted)/2], digits, sorted[0], digits, sorted[len(sorted)-1])
}

// printer prints a table. It ignores write errors, since there is nowhere to report a failure of the standard output.
type printer struct {
	*tabwriter.Writer
}

func (p printer) row(cells ...string) { _, _ = io.WriteString(p, strings.Join(cells, "\t")+"\n") }

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// throughput prints the throughput and the latency that a daemon adds.
func throughput(ctx context.Context, out printer, o options) error {
	out.row("service", "offered/s", "served/s", "not served", "added median ms", "added 99th ms", "direct median ms",
		"direct 99th ms")
	for _, keyed := range []bool{false, true} {
		for _, rate := range []float64{4100, 8200} {
			values := figures{}
			for run := range o.runs {
				direct, routed, err := requests.ThroughputBenchmark{
					Rate: rate, Warmup: o.warmup, Duration: o.duration, Keyed: keyed,
				}.Run(ctx, uint64(run))
				if err != nil {
					return err
				}
				values.add("served", routed.Goodput())
				values.add("lost", float64(routed.Rejected+routed.Failed+routed.Overrun))
				for _, q := range []float64{50, 99} {
					routedLatency, directLatency := requests.Quantile(routed.ServedLatency, q), requests.Quantile(direct.ServedLatency, q)
					values.add(fmt.Sprint("added", q), milliseconds(routedLatency-directLatency))
					values.add(fmt.Sprint("direct", q), milliseconds(directLatency))
				}
			}
			out.row(serviceKind(keyed), fmt.Sprintf("%.0f", rate), values.summary("served", 0), values.summary("lost", 0),
				values.summary("added50", 2), values.summary("added99", 2), values.summary("direct50", 2), values.summary("direct99", 2))
		}
	}
	return nil
}

// serviceKind returns the label of a service in a table.
func serviceKind(keyed bool) string {
	if keyed {
		return "keyed"
	}
	return "unkeyed"
}

const (
	hosts       = 11
	serviceTime = 20 * time.Millisecond
)

func serviceSizes() []requests.ServiceSize {
	return []requests.ServiceSize{
		{Workers: 15, Slots: 6, Connections: 130, Keyed: true, ServiceTime: serviceTime},
		{Workers: 10, Slots: 6, Connections: 130, ServiceTime: serviceTime},
		{Workers: 15, Slots: 2, Connections: 45, Keyed: true, ServiceTime: serviceTime},
	}
}

// overload prints the behavior under overload and under skewed arrivals, with each limit.
func overload(ctx context.Context, out printer, o options) error {
	out.row(overloadColumns...)
	for _, size := range serviceSizes() {
		// The last case is not an overload: most requests arrive at one host, as after a failure of the load balancer.
		for _, load := range []struct{ factor, skew float64 }{{2, 0}, {2, 0.5}, {0.8, 0.9}} {
			for _, static := range []bool{false, true} {
				if err := overloadRow(ctx, out, o, requests.OverloadBenchmark{
					ServiceSize: size, Hosts: hosts, LoadFactor: load.factor, Skew: load.skew, StaticLimit: static,
					Delivery: document.NonIdempotent, Warmup: o.warmup, Duration: o.duration,
				}); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// retries prints the behavior with one stopped worker, when requests may be retried.
func retries(ctx context.Context, out printer, o options) error {
	out.row(overloadColumns...)
	for _, size := range serviceSizes() {
		for _, factor := range []float64{0.6, 2} {
			benchmark := requests.OverloadBenchmark{
				ServiceSize: size, Hosts: hosts, LoadFactor: factor, Delivery: document.Idempotent, StoppedWorkers: 1,
				Warmup: o.warmup, Duration: o.duration,
			}
			if err := overloadRow(ctx, out, o, benchmark); err != nil {
				return err
			}
		}
	}
	return nil
}

// overloadColumns are the columns that overloadRow prints.
var overloadColumns = []string{
	"shape", "limit", "skew", "goodput/capacity", "served 99th ms", "rejected 50th ms", "rejected 99th ms",
	"rejected in 5 ms %", "shed %", "failed", "attempts",
}

// overloadRow runs one measurement and prints its row under overloadColumns.
func overloadRow(ctx context.Context, out printer, o options, benchmark requests.OverloadBenchmark) error {
	values := figures{}
	for run := range o.runs {
		result, err := benchmark.Run(ctx, uint64(run))
		if err != nil {
			return err
		}
		values.add("share", result.RelativeGoodput)
		values.add("served", milliseconds(requests.Quantile(result.ServedLatency, 99)))
		values.add("rejected50", milliseconds(requests.Quantile(result.RejectedLatency, 50)))
		values.add("shed", 100*float64(result.Shed)/float64(result.Shed+result.Rejected+result.Served+result.Failed))
		values.add("prompt", 100*float64(result.PromptlyRejected)/float64(max(1, result.Rejected)))
		values.add("rejected99", milliseconds(requests.Quantile(result.RejectedLatency, 99)))
		values.add("failed", float64(result.Failed+result.Overrun))
		values.add("attempts", result.MeanAttempts)
	}
	limit := "adaptive"
	if benchmark.StaticLimit {
		limit = "static"
	}
	out.row(fmt.Sprintf("%s, %.1f x, %d down", benchmark.ServiceSize, benchmark.LoadFactor, benchmark.StoppedWorkers), limit,
		fmt.Sprint(benchmark.Skew), values.summary("share", 3), values.summary("served", 0), values.summary("rejected50", 1),
		values.summary("rejected99", 1), values.summary("prompt", 1), values.summary("shed", 1), values.summary("failed", 0),
		values.summary("attempts", 3))
	return nil
}
