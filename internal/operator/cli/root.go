// Package cli implements the command line of the rosemarywick program. It parses arguments, calls the operator API of a
// daemon and prints the response. The functions that run daemons are passed in by the main package.
package cli

import (
	"context"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"rosemarywick.example/rosemarywick/internal/core/settings"
	"rosemarywick.example/rosemarywick/internal/core/timer"
)

// Shape is the name of a fleet topology that the dev command can start.
type Shape string

const (
	// ShapeCeibal has the size and composition of Ceibal's fleet.
	ShapeCeibal Shape = "ceibal"
	// ShapeNadif has the size and composition of Nadif's fleet.
	ShapeNadif Shape = "nadif"
)

// DevOptions are the arguments of the dev command.
type DevOptions struct {
	Shape Shape
	// Daemons is the number of daemons to run in this process.
	Daemons int
	// SettingsFiles is the number of additional settings files to write, each for a daemon that runs in its own process.
	SettingsFiles int
	// LogLevel is the lowest level to log: "debug", "info", "warn" or "error".
	LogLevel string
	// Out receives information for the user, such as the addresses of the daemons.
	Out io.Writer
}

// Root is the root of the command tree. Its exported fields must be set before Run.
type Root struct {
	// Serve runs one daemon with the given settings until ctx ends.
	Serve func(ctx context.Context, settings *settings.Settings) error
	// Dev runs a fleet of daemons with fake upstreams and a fake platform in this process until ctx ends.
	Dev func(ctx context.Context, options DevOptions) error
	// Entry runs one daemon on the users' platform until ctx ends. It logs events of the given level or above.
	Entry func(ctx context.Context, logLevel string) error
	// In is read for the file argument "-".
	In io.Reader
	// Out receives results.
	Out io.Writer
	// Err receives errors, progress and logs.
	Err io.Writer
	// Clock schedules the progress messages.
	Clock timer.Clock

	// errMu serializes writes to Err from the command and from the goroutine that calls a daemon.
	errMu sync.Mutex
}

// Run executes the command line given by args and returns its exit code. It returns soon after ctx ends.
func (r *Root) Run(ctx context.Context, args []string) ExitCode {
	command := r.newRootCommand()
	command.SetArgs(args)
	command.SetIn(r.In)
	command.SetOut(r.Out)
	command.SetErr(r.Err)
	err := command.ExecuteContext(ctx)
	if err == nil {
		return ExitOK
	}
	r.printError(err)
	return exitCodeOf(err)
}

func (r *Root) newRootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "rosemarywick",
		Short:         "Route requests to servers that own their keys exclusively",
		Long:          "Route requests to servers that own their keys exclusively.\n\n" + exitCodeHelp,
		Args:          usageArgs(cobra.NoArgs),
		RunE:          func(command *cobra.Command, _ []string) error { return command.Help() },
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return &usageError{err: err} })
	root.AddCommand(
		r.newServeCommand(), r.newEntryCommand(), r.newDevCommand(), r.newConfigCommand(),
		r.newHostsCommand(), r.newUpstreamsCommand(), r.newPartitionsCommand(), r.newOwnerCommand(),
		r.newChangeCommand("drain UPSTREAM", "Give an upstream no new work", drainUpstream),
		r.newChangeCommand("undrain UPSTREAM", "Give an upstream new work again", undrainUpstream),
		r.newChangeCommand("pin SERVICE KEY UPSTREAM", "Keep a key on one server", pinKey),
		r.newChangeCommand("unpin SERVICE KEY", "End the pin of a key", unpinKey),
		r.newExplainCommand(), r.newRecordsCommand(),
	)
	return root
}

func (r *Root) newServeCommand() *cobra.Command {
	var path string
	command := &cobra.Command{
		Use:   "serve --settings FILE",
		Short: "Run one daemon until SIGINT or SIGTERM; a SIGINT after that stops it at once",
		Args:  usageArgs(cobra.NoArgs),
		RunE: func(command *cobra.Command, _ []string) error {
			SurviveSignals()
			if path == "" {
				return usageErrorf("serve: the flag --settings is required")
			}
			loaded, err := settings.Load(path)
			if err != nil {
				return err
			}
			return r.Serve(command.Context(), loaded)
		},
	}
	command.Flags().StringVar(&path, "settings", "", "settings `file` of the daemon (TOML)")
	return command
}

func (r *Root) newEntryCommand() *cobra.Command {
	level := choiceFlag{value: settings.DefaultLogLevel, allowed: []string{"debug", "info", "warn", "error"}}
	command := &cobra.Command{
		Use:   "entry",
		Short: "Run one daemon on the platform, whose settings file is named by ROSEMARYWICK_SETTINGS",
		Args:  usageArgs(cobra.NoArgs),
		RunE: func(command *cobra.Command, _ []string) error {
			SurviveSignals()
			return r.Entry(command.Context(), level.value)
		},
	}
	command.Flags().Var(&level, "log-level", "lowest level to log: "+level.describeAllowed())
	return command
}

const (
	// defaultDaemons is the number of daemons of a development fleet.
	defaultDaemons = 3
	// maxDaemons limits a development fleet to a size that one machine can run.
	maxDaemons = 50
)

func (r *Root) newDevCommand() *cobra.Command {
	options := DevOptions{Out: r.Out}
	shape := choiceFlag{value: string(ShapeCeibal), allowed: []string{string(ShapeCeibal), string(ShapeNadif)}}
	level := choiceFlag{value: settings.DefaultLogLevel, allowed: []string{"debug", "info", "warn", "error"}}
	command := &cobra.Command{
		Use:   "dev",
		Short: "Run a fleet of daemons, upstreams and a platform in this process, for trials",
		Args:  usageArgs(cobra.NoArgs),
		RunE: func(command *cobra.Command, _ []string) error {
			if options.Daemons < 0 || options.SettingsFiles < 0 || options.Daemons+options.SettingsFiles > maxDaemons {
				return &usageError{err: errors.Newf("dev: expected 0 to %d daemons and settings files together", maxDaemons)}
			}
			options.Shape, options.LogLevel = Shape(shape.value), level.value
			return r.Dev(command.Context(), options)
		},
	}
	command.Flags().Var(&shape, "shape", "fleet to start: "+shape.describeAllowed())
	command.Flags().IntVar(&options.Daemons, "daemons", defaultDaemons, "number of daemons in this process")
	command.Flags().IntVar(&options.SettingsFiles, "settings-files", 1,
		"number of further settings files to write for \"serve\" in processes of their own")
	command.Flags().Var(&level, "log-level", "lowest level to log: "+level.describeAllowed())
	return command
}
