// Command command prints the cost of one unit of each kind of state and work.
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

func report(ctx context.Context, out io.Writer) error {
	list, err := slopes.MeasureAll(ctx)
	if err != nil {
		return err
	}
	for _, one := range list {
		if _, err := fmt.Fprintf(out, "%-60s %10.3f %s\n", one.Name, one.Value, one.Unit); err != nil {
			return err
		}
	}
	return nil
}
