// Command command prints how long partitions have no owner under each kind of loss, and whether the targets are met.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/rs/zerolog"

	"rosemarywick.example/rosemarywick/internal/bench/recovery"
)

func main() {
	runs := flag.Int("runs", 20, "number of runs of each kind")
	kind := flag.String("kind", "", "the only kind to run")
	verbose := flag.Bool("verbose", false, "log the changes of roles")
	partitions := flag.Int("partitions", recovery.DefaultPartitions, "number of hash ranges")
	flag.Parse()
	log := zerolog.New(zerolog.ConsoleWriter{Out: os.Stderr, NoColor: true, TimeFormat: time.StampMilli}).With().Timestamp().Logger()
	if !*verbose {
		log = log.Level(zerolog.ErrorLevel)
	}
	setup := recovery.Benchmark{Partitions: *partitions, Log: log}
	if err := measure(context.Background(), os.Stdout, setup, *runs, recovery.Scenario(*kind)); err != nil {
		log.Error().Err(err).Msg("measurement failed")
		os.Exit(1)
	}
}

// measure runs all kinds, or only one, and prints a line for each.
func measure(ctx context.Context, out io.Writer, setup recovery.Benchmark, runs int, only recovery.Scenario) error {
	for _, kind := range recovery.Scenarios() {
		if only != "" && kind != only {
			continue
		}
		var results []recovery.Result
		affected, unserved := 0, 0
		for range runs {
			result, err := setup.Run(ctx, kind)
			if err != nil {
				return err
			}
			results = append(results, result)
			affected, unserved = max(affected, result.Affected), max(unserved, result.UnownedAtEnd)
		}
		median, worst := recovery.MedianAndWorst(results)
		verdict := "met"
		if worst > kind.Target() || unserved > 0 {
			verdict = "missed"
		}
		_, err := fmt.Fprintf(out, "kind=%s runs=%d median=%v worst=%v target=%v partitions=%d unserved=%d target-%s\n",
			kind, runs, median.Round(100*time.Microsecond), worst.Round(100*time.Microsecond), kind.Target(), affected, unserved, verdict)
		if err != nil {
			return err
		}
	}
	return nil
}
