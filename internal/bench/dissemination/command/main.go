// Command command measures the gossip protocol between daemons on loopback and prints tables.
package main

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"rosemarywick.example/rosemarywick/internal/bench/dissemination"
)

// changesPerDay is the number of configuration changes for which the system is designed.
const changesPerDay = 3500

func main() {
	if err := run(context.Background(), os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// options are the command-line options.
type options struct {
	settings dissemination.Settings
	sizes    string
	changes  int
	span     time.Duration
	factor   float64
}

func run(ctx context.Context, arguments []string) error {
	var o options
	flags := flag.NewFlagSet("run", flag.ContinueOnError)
	flags.StringVar(&o.sizes, "daemons", "12,50,100,200", "numbers of daemons, separated by commas")
	flags.IntVar(&o.changes, "changes", 20, "number of changes whose propagation is measured")
	flags.DurationVar(&o.span, "span", 20*time.Second, "time for which the cost is measured, once idle and once with changes")
	flags.Float64Var(&o.factor, "factor", 10, "rate of changes as a multiple of 3,500 per day")
	flags.IntVar(&o.settings.PeerCount, "peers", 6, "mean number of connections of each daemon")
	flags.DurationVar(&o.settings.DigestInterval, "round", 0, "interval at which daemons exchange digests (default 1s)")
	flags.DurationVar(&o.settings.FlushInterval, "report", 0, "interval at which daemons send adopted versions (default 200ms)")
	flags.IntVar(&o.settings.ItemBytes, "bytes", 1000, "size of the published item")
	if err := flags.Parse(arguments); err != nil {
		return errors.Wrap(err, "arguments")
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "daemons\tstart s\theld median ms\theld worst ms\tcounted median ms\tcounted worst ms\t"+
		"load\tsent B/s\treceived B/s\tmost B/s\tpackets/s\tcore %\theap MB\tresident MB\tlinks\tmost links\t")
	kinds := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(kinds, "daemons\tload\tkind\tmessages/s\tpayload B/s\t")
	for _, size := range strings.Split(o.sizes, ",") {
		count, err := strconv.Atoi(size)
		if err != nil {
			return errors.Wrap(err, "numbers of daemons")
		}
		o.settings.Daemons = count
		if err := measure(ctx, o, table, kinds); err != nil {
			return errors.Wrapf(err, "%d daemons", count)
		}
	}
	return errors.Wrap(errors.CombineErrors(table.Flush(), kinds.Flush()), "print")
}

// measure measures a fleet of one size and writes its rows to both tables.
func measure(ctx context.Context, o options, table, kinds *tabwriter.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Minute)
	defer cancel()
	fleet := &dissemination.Fleet{Settings: o.settings}
	begin := time.Now()
	if err := fleet.Start(ctx); err != nil {
		return err
	}
	defer fleet.Stop()
	startTime := time.Since(begin)
	delays, err := fleet.MeasureDelays(ctx, o.changes, 2)
	if err != nil {
		return err
	}
	idle, err := fleet.MeasureCost(ctx, o.span, 0, 0)
	if err != nil {
		return err
	}
	interval := time.Duration(float64(24*time.Hour) / changesPerDay / o.factor)
	loaded, err := fleet.MeasureCost(ctx, o.span, interval, uint64(o.changes)+2)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(table, "%d\t%.1f\t%s\t%s\t%s\t%s\t", o.settings.Daemons, startTime.Seconds(),
		median(delays.HeldByAll), worst(delays.HeldByAll), median(delays.AdoptedByAll), worst(delays.AdoptedByAll))
	writeCost(table, "idle", idle)
	writeKinds(kinds, o.settings.Daemons, "idle", idle)
	_, _ = fmt.Fprint(table, "\t\t\t\t\t\t")
	writeCost(table, fmt.Sprintf("%g x", o.factor), loaded)
	writeKinds(kinds, o.settings.Daemons, fmt.Sprintf("%g x", o.factor), loaded)
	return nil
}

// writeCost writes the columns of a cost and ends the row.
func writeCost(table *tabwriter.Writer, load string, cost dissemination.Cost) {
	_, _ = fmt.Fprintf(table, "%s\t%.0f\t%.0f\t%.0f\t%.1f\t%.2f\t%.2f\t%.2f\t%.1f\t%d\t\n", load, cost.SentBytes,
		cost.ReceivedBytes, cost.MaxBytes, cost.SentPackets, 100*cost.CPUCores, cost.HeapBytes/1e6,
		cost.ResidentBytes/1e6, cost.Connections, cost.MaxConnections)
}

// writeKinds writes a row for each kind of message.
func writeKinds(table *tabwriter.Writer, daemons int, load string, cost dissemination.Cost) {
	for _, kind := range slices.Sorted(maps.Keys(cost.ByKind)) {
		kindCost := cost.ByKind[kind]
		_, _ = fmt.Fprintf(table, "%d\t%s\t%s\t%.2f\t%.0f\t\n", daemons, load, kind, kindCost.Messages, kindCost.Bytes)
	}
}

func median(delays []time.Duration) string {
	return milliseconds(delays[len(delays)/2])
}

func worst(delays []time.Duration) string {
	return milliseconds(delays[len(delays)-1])
}

func milliseconds(delay time.Duration) string {
	return fmt.Sprintf("%.0f", float64(delay)/float64(time.Millisecond))
}
