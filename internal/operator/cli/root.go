// Package cli holds the commands of the rosemarywick program. It parses arguments, calls the operator API of a daemon
// and prints what it answers; what a daemon does is passed in by the program that uses the package.
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

// Shape names the fleet that the dev command starts.
type Shape string

const (
	// ShapeCeibal is a fleet of the size and composition that Ceibal runs.
	ShapeCeibal Shape = "ceibal"
	// ShapeNadif is a fleet of the size and composition that Nadif runs.
	ShapeNadif Shape = "nadif"
)

// DevOptions are the arguments of the dev command.
type DevOptions struct {
	Shape Shape
	// Daemons is the number of daemons in the process of the command.
	Daemons int
	// SettingsFiles is the number of further settings files to write, for daemons in processes of their own.
	SettingsFiles int
	// LogLevel is one of "debug", "info", "warn" and "error".
	LogLevel string
	// Out receives what the fleet tells its user, such as the addresses of its daemons.
	Out io.Writer
}

// Root is the command tree. All fields are set before Run.
type Root struct {
	// Serve runs one daemon until ctx ends.
	Serve func(ctx context.Context, settings *settings.Settings) error
	// Dev runs a fleet of daemons and fakes in this process until ctx ends.
	Dev func(ctx context.Context, options DevOptions) error
	// Entry runs one daemon on the users' platform until ctx ends, and logs from a level on.
	Entry func(ctx context.Context, logLevel string) error
	// In is read when a file argument is "-".
	In io.Reader
	// Out receives results.
	Out io.Writer
	// Err receives errors, progress and logs.
	Err io.Writer
	// Timer wakes the command that shows its progress.
	Clock timer.Clock

	// errMu guards writes to Err, which come from the command and from the goroutine that calls a daemon.
	errMu sync.Mutex
}

// Run executes the command that args name and returns its exit code. It returns soon after ctx ends.
func (r *Root) Run(ctx context.Context, args []string) ExitCode {
	command := r.command()
	command.SetArgs(args)
	command.SetIn(r.In)
	command.SetOut(r.Out)
	command.SetErr(r.Err)
	err := command.ExecuteContext(ctx)
	if err == nil {
		return ExitOK
	}
	r.report(err)
	return exitCode(err)
}

func (r *Root) command() *cobra.Command {
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
		r.serveCommand(), r.entryCommand(), r.devCommand(), r.configCommand(),
		r.hostsCommand(), r.upstreamsCommand(), r.partitionsCommand(), r.ownerCommand(),
		r.changeCommand("drain UPSTREAM", "Give an upstream no new work", drain),
		r.changeCommand("undrain UPSTREAM", "Give an upstream new work again", undrain),
		r.changeCommand("pin SERVICE KEY UPSTREAM", "Keep a key on one server", pin),
		r.changeCommand("unpin SERVICE KEY", "End the pin of a key", unpin),
		r.explainCommand(), r.recordsCommand(),
	)
	return root
}

func (r *Root) serveCommand() *cobra.Command {
	var path string
	command := &cobra.Command{
		Use:   "serve --settings FILE",
		Short: "Run one daemon until SIGINT or SIGTERM; a second signal stops it at once",
		Args:  usageArgs(cobra.NoArgs),
		RunE: func(command *cobra.Command, _ []string) error {
			if path == "" {
				return usage("serve: the flag --settings is required")
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

func (r *Root) entryCommand() *cobra.Command {
	level := choice{value: settings.DefaultLogLevel, allowed: []string{"debug", "info", "warn", "error"}}
	command := &cobra.Command{
		Use:   "entry",
		Short: "Run one daemon on the platform, whose settings file is named by ROSEMARYWICK_SETTINGS",
		Args:  usageArgs(cobra.NoArgs),
		RunE: func(command *cobra.Command, _ []string) error {
			return r.Entry(command.Context(), level.value)
		},
	}
	command.Flags().Var(&level, "log-level", "lowest level to log: "+level.list())
	return command
}

const (
	// defaultDaemons is the number of daemons of a development fleet.
	defaultDaemons = 3
	// maxDaemons bounds a development fleet to what one machine runs with ease.
	maxDaemons = 50
)

func (r *Root) devCommand() *cobra.Command {
	options := DevOptions{Out: r.Out}
	shape := choice{value: string(ShapeCeibal), allowed: []string{string(ShapeCeibal), string(ShapeNadif)}}
	level := choice{value: settings.DefaultLogLevel, allowed: []string{"debug", "info", "warn", "error"}}
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
	command.Flags().Var(&shape, "shape", "fleet to start: "+shape.list())
	command.Flags().IntVar(&options.Daemons, "daemons", defaultDaemons, "number of daemons in this process")
	command.Flags().IntVar(&options.SettingsFiles, "settings-files", 1,
		"number of further settings files to write for \"serve\" in processes of their own")
	command.Flags().Var(&level, "log-level", "lowest level to log: "+level.list())
	return command
}
