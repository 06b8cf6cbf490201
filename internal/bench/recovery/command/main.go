// Command command prints how long partitions are without an owner in each scenario, and whether the targets are met.
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
	runs := flag.Int("runs", 20, "number of runs of each scenario")
	scenario := flag.String("kind", "", "the only scenario to run (default all)")
	verbose := flag.Bool("verbose", false, "log role changes of the assigners")
	partitions := flag.Int("partitions", recovery.DefaultPartitions, "number of hash ranges")
	flag.Parse()
	log := zerolog.New(zerolog.ConsoleWriter{Out: os.Stderr, NoColor: true, TimeFormat: time.StampMilli}).With().Timestamp().Logger()
	if !*verbose {
		log = log.Level(zerolog.ErrorLevel)
	}
	benchmark := recovery.Benchmark{Partitions: *partitions, Log: log}
	if err := measure(context.Background(), os.Stdout, benchmark, *runs, recovery.Scenario(*scenario)); err != nil {
		log.Error().Err(err).Msg("measurement failed")
		os.Exit(1)
	}
}

// measure runs all scenarios, or the given one only, and prints a line for each.
func measure(ctx context.Context, out io.Writer, benchmark recovery.Benchmark, runs int, only recovery.Scenario) error {
	for _, scenario := range recovery.Scenarios() {
		if only != "" && scenario != only {
			continue
		}
		var results []recovery.Result
		affected, unownedAtEnd := 0, 0
		for range runs {
			result, err := benchmark.Run(ctx, scenario)
			if err != nil {
				return err
			}
			results = append(results, result)
			affected, unownedAtEnd = max(affected, result.Affected), max(unownedAtEnd, result.UnownedAtEnd)
		}
		median, worst := recovery.MedianAndWorst(results)
		verdict := "met"
		if worst > scenario.Target() || unownedAtEnd > 0 {
			verdict = "missed"
		}
		_, err := fmt.Fprintf(out, "kind=%s runs=%d median=%v worst=%v target=%v partitions=%d unserved=%d target-%s\n",
			scenario, runs, median.Round(100*time.Microsecond), worst.Round(100*time.Microsecond), scenario.Target(), affected,
			unownedAtEnd, verdict)
		if err != nil {
			return err
		}
	}
	return nil
}
