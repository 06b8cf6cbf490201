// Command rosemarywick runs a request router for fleets in which each key is owned by exactly one server.
package main

import (
	"context"
	"os"

	"github.com/rs/zerolog"

	"rosemarywick.example/rosemarywick/internal/core/settings"
	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/daemon/dev"
	"rosemarywick.example/rosemarywick/internal/daemon/host"
	"rosemarywick.example/rosemarywick/internal/operator/cli"
	"rosemarywick.example/rosemarywick/platform"
)

func main() {
	os.Exit(int(run()))
}

// run executes the command line and returns the exit code of the process.
func run() cli.ExitCode {
	ctx, stop := cli.SignalContext(context.Background())
	defer stop()
	root := &cli.Root{
		Serve: serve,
		Dev:   runFleet,
		Entry: func(ctx context.Context, level string) error {
			return cli.WithLogger(os.Stdout, level, func(log zerolog.Logger) error { return platform.Run(ctx, log) })
		},
		In:    os.Stdin,
		Out:   os.Stdout,
		Err:   os.Stderr,
		Clock: timer.System{},
	}
	return root.Run(ctx, os.Args[1:])
}

// serve runs one daemon with the given settings until ctx ends.
func serve(ctx context.Context, loaded *settings.Settings) error {
	return cli.WithLogger(os.Stderr, loaded.LogLevel, func(log zerolog.Logger) error {
		daemon := &host.Daemon{Settings: loaded, Timer: timer.System{}, Log: log}
		return daemon.Run(ctx)
	})
}

// runFleet runs a development fleet in this process until ctx ends.
func runFleet(ctx context.Context, options cli.DevOptions) error {
	return cli.WithLogger(os.Stderr, options.LogLevel, func(log zerolog.Logger) error {
		fleet := &dev.Fleet{
			Shape: dev.Shape(options.Shape), Daemons: options.Daemons, SettingsFiles: options.SettingsFiles,
			Timer: timer.System{}, Log: log, Out: options.Out,
		}
		return fleet.Run(ctx)
	})
}
