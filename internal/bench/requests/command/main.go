// Command print runs the measurements of the request path and prints them as tables.
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

// options are the arguments of the command.
type options struct {
	runs             int
	warmup, duration time.Duration
}

func main() {
	var o options
	only := flag.String("only", "throughput,overload,retries,policies", "measurements to run, separated by commas")
	procs := flag.Int("procs", 4, "processors to use")
	flag.IntVar(&o.runs, "runs", 5, "runs of each measurement")
	flag.DurationVar(&o.warmup, "warmup", time.Second, "time before counting")
	flag.DurationVar(&o.duration, "duration", 4*time.Second, "time of counting")
	flag.Parse()
	runtime.GOMAXPROCS(*procs)
	measurements := map[string]func(context.Context, printer, options) error{
		"throughput": throughput, "overload": overload, "retries": retries, "policies": policies,
	}
	for name := range strings.SplitSeq(*only, ",") {
		run := measurements[name]
		if run == nil {
			exit("unknown measurement: " + name)
		}
		out := printer{Writer: tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)}
		out.row(fmt.Sprintf("%s: median (lowest to highest) of %d runs, GOMAXPROCS=%d", name, o.runs, *procs))
		if err := run(context.Background(), out, o); err != nil {
			exit(err.Error())
		}
		_ = out.Flush()
	}
}

func exit(reason string) {
	_, _ = io.WriteString(os.Stderr, reason+"\n")
	os.Exit(1)
}

// figures collects the values of several runs by name.
type figures map[string][]float64

func (f figures) add(name string, value float64) { f[name] = append(f[name], value) }

// spread formats the median and the range of a figure.
func (f figures) spread(name string, digits int) string {
	values := slices.Sorted(slices.Values(f[name]))
	return fmt.Sprintf("%.*f (%.*f to %.*f)", digits, values[len(values)/2], digits, values[0], digits, values[len(values)-1])
}

// printer prints a table. A failure to write to the standard output has nobody to be told to.
type printer struct {
	*tabwriter.Writer
}

func (p printer) row(cells ...string) { _, _ = io.WriteString(p, strings.Join(cells, "\t")+"\n") }

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func throughput(ctx context.Context, out printer, o options) error {
	out.row("service", "offered/s", "served/s", "not served", "added median ms", "added 99th ms", "direct median ms",
		"direct 99th ms")
	for _, keyed := range []bool{false, true} {
		for _, rate := range []float64{4100, 8200} {
			c := figures{}
			for run := range o.runs {
				direct, routed, err := requests.ThroughputBenchmark{
					Rate: rate, Warmup: o.warmup, Duration: o.duration, Keyed: keyed,
				}.Run(ctx, uint64(run))
				if err != nil {
					return err
				}
				c.add("served", routed.Goodput())
				c.add("lost", float64(routed.Rejected+routed.Failed+routed.Overrun))
				for _, q := range []float64{50, 99} {
					through, without := requests.Quantile(routed.ServedLatency, q), requests.Quantile(direct.ServedLatency, q)
					c.add(fmt.Sprint("added", q), millis(through-without))
					c.add(fmt.Sprint("direct", q), millis(without))
				}
			}
			out.row(kind(keyed), fmt.Sprintf("%.0f", rate), c.spread("served", 0), c.spread("lost", 0), c.spread("added50", 2),
				c.spread("added99", 2), c.spread("direct50", 2), c.spread("direct99", 2))
		}
	}
	return nil
}

func kind(keyed bool) string {
	if keyed {
		return "keyed"
	}
	return "unkeyed"
}

const (
	hosts = 11
	work  = 20 * time.Millisecond
)

func shapes() []requests.ServiceSize {
	return []requests.ServiceSize{
		{Workers: 15, Slots: 6, Connections: 130, Keyed: true, ServiceTime: work},
		{Workers: 10, Slots: 6, Connections: 130, ServiceTime: work},
		{Workers: 15, Slots: 2, Connections: 45, Keyed: true, ServiceTime: work},
	}
}

func overload(ctx context.Context, out printer, o options) error {
	out.row(overloadColumns...)
	for _, shape := range shapes() {
		// The last case is no overload: most requests enter at one host, as after a fault of the load balancer.
		for _, load := range []struct{ times, skew float64 }{{2, 0}, {2, 0.5}, {0.8, 0.9}} {
			for _, static := range []bool{false, true} {
				if err := overloadRow(ctx, out, o, requests.OverloadBenchmark{
					ServiceSize: shape, Hosts: hosts, LoadFactor: load.times, Skew: load.skew, StaticLimit: static,
					Delivery: document.NonIdempotent, Warmup: o.warmup, Duration: o.duration,
				}); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

func retries(ctx context.Context, out printer, o options) error {
	out.row(overloadColumns...)
	for _, shape := range shapes() {
		for _, times := range []float64{0.6, 2} {
			measured := requests.OverloadBenchmark{
				ServiceSize: shape, Hosts: hosts, LoadFactor: times, Delivery: document.Idempotent, StoppedWorkers: 1,
				Warmup: o.warmup, Duration: o.duration,
			}
			if err := overloadRow(ctx, out, o, measured); err != nil {
				return err
			}
		}
	}
	return nil
}

var overloadColumns = []string{
	"shape", "limit", "skew", "goodput/capacity", "served 99th ms", "rejected 50th ms", "rejected 99th ms",
	"rejected in 5 ms %", "shed %", "failed", "attempts",
}

func overloadRow(ctx context.Context, out printer, o options, measured requests.OverloadBenchmark) error {
	c := figures{}
	for run := range o.runs {
		result, err := measured.Run(ctx, uint64(run))
		if err != nil {
			return err
		}
		c.add("share", result.RelativeGoodput)
		c.add("served", millis(requests.Quantile(result.ServedLatency, 99)))
		c.add("rejected50", millis(requests.Quantile(result.RejectedLatency, 50)))
		c.add("shed", 100*float64(result.Shed)/float64(result.Shed+result.Rejected+result.Served+result.Failed))
		c.add("prompt", 100*float64(result.PromptlyRejected)/float64(max(1, result.Rejected)))
		c.add("rejected99", millis(requests.Quantile(result.RejectedLatency, 99)))
		c.add("failed", float64(result.Failed+result.Overrun))
		c.add("attempts", result.AttemptsPerRequest)
	}
	limit := "adaptive"
	if measured.StaticLimit {
		limit = "static"
	}
	out.row(fmt.Sprintf("%s, %.1f x, %d down", measured.ServiceSize, measured.LoadFactor, measured.StoppedWorkers), limit,
		fmt.Sprint(measured.Skew), c.spread("share", 3), c.spread("served", 0), c.spread("rejected50", 1),
		c.spread("rejected99", 1), c.spread("prompt", 1), c.spread("shed", 1), c.spread("failed", 0), c.spread("attempts", 3))
	return nil
}
