// Command rosemarywick runs a router for fleets in which each server owns its keys exclusively.
package main

import (
	"context"
	"os"

	"github.com/cockroachdb/errors"

	"rosemarywick.example/rosemarywick/internal/core/settings"
	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/operator/cli"
)

func main() {
	os.Exit(int(run()))
}

func run() cli.ExitCode {
	ctx, stop := cli.Interruptible(context.Background())
	defer stop()
	root := &cli.Root{
		Serve: func(context.Context, *settings.Settings) error { return errNotWired },
		Dev:   func(context.Context, cli.DevOptions) error { return errNotWired },
		In:    os.Stdin,
		Out:   os.Stdout,
		Err:   os.Stderr,
		Timer: timer.System{},
	}
	return root.Run(ctx, os.Args[1:])
}

var errNotWired = errors.New("this build contains the operator commands only, not the daemon")
