// Command run measures a fleet under planned and unplanned change on loopback and prints a table.
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

// shownFailures bounds the failed requests of one run that are printed.
const shownFailures = 3

func main() {
	zerolog.TimeFieldFormat = time.RFC3339Nano
	if err := run(context.Background(), os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(ctx context.Context, arguments []string) error {
	flags := flag.NewFlagSet("run", flag.ContinueOnError)
	runs := flags.Int("runs", 20, "runs of each scenario at most")
	span := flags.Duration("span", 90*time.Second, "time for each scenario, after which no further run begins")
	daemons := flags.Int("daemons", 4, "number of daemons")
	only := flags.String("scenario", "", "the only scenario to measure (default all)")
	logged := flags.Bool("log", false, "write the log of the daemons to standard error")
	shape := flags.String("shape", string(dev.Ceibal), "deployment; the services of ceibal are used")
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
		bench := &rolling.Benchmark{Shape: dev.Shape(*shape), Daemons: *daemons, Log: zerolog.Nop()}
		if *logged {
			bench.Log = zerolog.New(os.Stderr).With().Timestamp().Logger()
		}
		results, err := measure(ctx, bench, scenario, *runs, *span)
		if err != nil {
			return errors.Wrapf(err, "%s", scenario)
		}
		write(table, scenario, results)
		if err := table.Flush(); err != nil {
			return errors.Wrap(err, "print")
		}
	}
	return nil
}

// measure repeats a scenario on one fleet.
func measure(
	ctx context.Context, bench *rolling.Benchmark, scenario rolling.Scenario, runs int, span time.Duration,
) ([]rolling.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, span+time.Minute)
	defer cancel()
	if err := bench.Start(ctx); err != nil {
		return nil, err
	}
	var results []rolling.Result
	for began := time.Now(); len(results) < runs && time.Since(began) < span; {
		result, err := bench.Run(ctx, scenario)
		if err != nil {
			return nil, errors.CombineErrors(err, bench.Stop())
		}
		for i, failure := range result.Failures {
			if i < shownFailures {
				_, _ = fmt.Fprintf(os.Stderr, "%s, run %d: %s\n", scenario, len(results)+1, failure)
			}
		}
		if result.LongestOwnerGap.For > 0 {
			bench.Log.Info().Str("gap", fmt.Sprintf("%+v", result.LongestOwnerGap)).Msg("run ended")
		}
		results = append(results, result)
	}
	return results, bench.Stop()
}

func write(table *tabwriter.Writer, scenario rolling.Scenario, results []rolling.Result) {
	var sum rolling.Result
	for _, one := range results {
		sum.Requests += one.Requests
		sum.Rejected += one.Rejected
		sum.RejectedByStopping += one.RejectedByStopping
		sum.UnknownOutcome += one.UnknownOutcome
		sum.Contradictions += one.Contradictions
		sum.DoubleOwnerSamples += one.DoubleOwnerSamples
	}
	_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t", scenario, len(results), sum.Requests, sum.Rejected,
		sum.RejectedByStopping, sum.UnknownOutcome, sum.Contradictions, sum.DoubleOwnerSamples)
	for _, of := range []func(rolling.Result) time.Duration{
		func(r rolling.Result) time.Duration { return r.LongestResponseGap },
		func(r rolling.Result) time.Duration { return r.LongestUnowned },
		func(r rolling.Result) time.Duration { return r.MaxLatency },
		func(r rolling.Result) time.Duration { return r.DrainDelay },
		func(r rolling.Result) time.Duration { return r.LongestWatchStall },
	} {
		values := make([]time.Duration, 0, len(results))
		for _, one := range results {
			values = append(values, of(one))
		}
		slices.Sort(values)
		_, _ = fmt.Fprintf(table, "%.1f\t%.1f\t", milliseconds(values[len(values)/2]), milliseconds(values[len(values)-1]))
	}
	_, _ = fmt.Fprintln(table)
}

func milliseconds(value time.Duration) float64 {
	return float64(value) / float64(time.Millisecond)
}
