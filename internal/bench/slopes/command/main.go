// Command command prints what one unit of each kind of state and work costs a daemon.
package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/rs/zerolog"

	"rosemarywick.example/rosemarywick/internal/bench/slopes"
)

func main() {
	if err := report(context.Background(), os.Stdout); err != nil {
		log := zerolog.New(os.Stderr)
		log.Error().Err(err).Msg("measurement failed")
		os.Exit(1)
	}
}

// report measures all costs and prints a line for each.
func report(ctx context.Context, out io.Writer) error {
	costs, err := slopes.MeasureAll(ctx)
	if err != nil {
		return err
	}
	for _, cost := range costs {
		if _, err := fmt.Fprintf(out, "%-60s %10.3f %s\n", cost.Name, cost.Value, cost.Unit); err != nil {
			return err
		}
	}
	return nil
}
