// Command command measures how planned and unplanned changes affect a fleet on loopback, and prints a table.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"rosemarywick.example/rosemarywick/internal/bench/rolling"
	"rosemarywick.example/rosemarywick/internal/daemon/dev"
)

// maxShownFailures limits the failed requests that are printed for each run.
const maxShownFailures = 3

func main() {
	zerolog.TimeFieldFormat = time.RFC3339Nano
	if err := run(context.Background(), os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(ctx context.Context, arguments []string) error {
	flags := flag.NewFlagSet("run", flag.ContinueOnError)
	runs := flags.Int("runs", 20, "maximum number of runs of each scenario")
	span := flags.Duration("span", 90*time.Second, "time for each scenario, after which no new run starts")
	daemons := flags.Int("daemons", 4, "number of daemons")
	only := flags.String("scenario", "", "the only scenario to measure (default all)")
	logged := flags.Bool("log", false, "write the log of the daemons to standard error")
	shape := flags.String("shape", string(dev.Ceibal), "shape of the deployment, which must have the services of ceibal")
	if err := flags.Parse(arguments); err != nil {
		return errors.Wrap(err, "arguments")
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "scenario\truns\trequests\trejected\tby stopping daemon\tcut\tcontradictions\ttwo owners\t"+
		"silence ms\tworst\tunowned ms\tworst\tslowest ms\tworst\tlast work ms\tworst\tstall ms\tworst\t")
	for _, scenario := range rolling.Scenarios() {
		if *only != "" && *only != string(scenario) {
			continue
		}
		benchmark := &rolling.Benchmark{Shape: dev.Shape(*shape), Daemons: *daemons, Log: zerolog.Nop()}
		if *logged {
			benchmark.Log = zerolog.New(os.Stderr).With().Timestamp().Logger()
		}
		results, err := measure(ctx, benchmark, scenario, *runs, *span)
		if err != nil {
			return errors.Wrapf(err, "%s", scenario)
		}
		writeRow(table, scenario, results)
		if err := table.Flush(); err != nil {
			return errors.Wrap(err, "print")
		}
	}
	return nil
}

// measure runs a scenario on one fleet, until it has run the given number of times or the span has passed.
func measure(
	ctx context.Context, benchmark *rolling.Benchmark, scenario rolling.Scenario, runs int, span time.Duration,
) ([]rolling.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, span+time.Minute)
	defer cancel()
	if err := benchmark.Start(ctx); err != nil {
		return nil, err
	}
	var results []rolling.Result
	for began := time.Now(); len(results) < runs && time.Since(began) < span; {
		result, err := benchmark.Run(ctx, scenario)
		if err != nil {
			return nil, errors.CombineErrors(err, benchmark.Stop())
		}
		for i, failure := range result.Failures {
			if i < maxShownFailures {
				_, _ = fmt.Fprintf(os.Stderr, "%s, run %d: %s\n", scenario, len(results)+1, failure)
			}
		}
		if result.LongestOwnerGap.For > 0 {
			benchmark.Log.Info().Str("gap", fmt.Sprintf("%+v", result.LongestOwnerGap)).Msg("run ended")
		}
		results = append(results, result)
	}
	return results, benchmark.Stop()
}

// writeRow prints the row of a scenario: sums of the counts, then the median and the maximum of each duration.
func writeRow(table *tabwriter.Writer, scenario rolling.Scenario, results []rolling.Result) {
	var sum rolling.Result
	for _, result := range results {
		sum.Requests += result.Requests
		sum.Rejected += result.Rejected
		sum.RejectedByStopping += result.RejectedByStopping
		sum.UnknownOutcome += result.UnknownOutcome
		sum.Contradictions += result.Contradictions
		sum.DoubleOwnerSamples += result.DoubleOwnerSamples
	}
	_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t", scenario, len(results), sum.Requests, sum.Rejected,
		sum.RejectedByStopping, sum.UnknownOutcome, sum.Contradictions, sum.DoubleOwnerSamples)
	for _, duration := range []func(rolling.Result) time.Duration{
		func(r rolling.Result) time.Duration { return r.LongestResponseGap },
		func(r rolling.Result) time.Duration { return r.LongestUnowned },
		func(r rolling.Result) time.Duration { return r.MaxLatency },
		func(r rolling.Result) time.Duration { return r.DrainDelay },
		func(r rolling.Result) time.Duration { return r.LongestWatchStall },
	} {
		values := make([]time.Duration, 0, len(results))
		for _, result := range results {
			values = append(values, duration(result))
		}
		slices.Sort(values)
		_, _ = fmt.Fprintf(table, "%.1f\t%.1f\t", milliseconds(values[len(values)/2]), milliseconds(values[len(values)-1]))
	}
	_, _ = fmt.Fprintln(table)
}

func milliseconds(value time.Duration) float64 {
	return float64(value) / float64(time.Millisecond)
}
