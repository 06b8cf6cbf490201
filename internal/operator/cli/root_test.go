package cli_test

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"rosemarywick.example/rosemarywick/internal/core/settings"
	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/operator/cli"
)

const settingsText = `host = "entry-1"
region = "montevideo"
domain = "centro"
peer-address = "127.0.0.1:7001"
caller-address = "127.0.0.1:8001"
operator-address = "127.0.0.1:9001"
platform-address = "127.0.0.1:9900"
[tls]
certificate = "cert.pem"
key = "key.pem"
authority = "ca.pem"
`

// Guards against commands that run daemons but ignore their flags or return a wrong exit code.
func TestDaemonCommands(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.toml")
	if err := os.WriteFile(file, []byte(settingsText), 0o600); err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		name, args, called, message string
		code                        cli.ExitCode
	}{
		{"serve", "serve --settings " + file, "serve entry-1", "", cli.ExitOK},
		{"serve without settings", "serve", "", "--settings is required", cli.ExitUsage},
		{"serve with a missing file", "serve --settings " + file + ".x", "", "no such file", cli.ExitFailure},
		{"dev", "dev --shape nadif --log-level debug", "dev nadif debug", "", cli.ExitOK},
		{"dev that fails", "dev", "dev ceibal info", "out of ports", cli.ExitFailure},
		{"unknown shape", "dev --shape x", "", "expected ceibal or nadif", cli.ExitUsage},
		{"unknown flag", "serve --setings x", "", "unknown flag", cli.ExitUsage},
		{"unknown command", "sreve", "", "unknown command", cli.ExitUsage},
		{"completion", "completion bash", "", "bash completion V2 for rosemarywick", cli.ExitOK},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var called string
			var stderr bytes.Buffer
			root := cli.Root{
				Serve: func(_ context.Context, loaded *settings.Settings) error {
					called = "serve " + string(loaded.Host.ID)
					return nil
				},
				Dev: func(_ context.Context, options cli.DevOptions) error {
					called = "dev " + string(options.Shape) + " " + options.LogLevel
					if options.Shape == cli.ShapeCeibal {
						return errors.New("out of ports")
					}
					return nil
				},
				Out: &stderr, Err: &stderr, Clock: timer.System{},
			}
			is.Equal(root.Run(t.Context(), strings.Fields(test.args)), test.code)
			is.Equal(called, test.called)
			is.True(strings.Contains(stderr.String(), test.message))
		})
	}
}

// Guards against log events that span several lines or whose values contain unquoted spaces.
func TestLogger(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	logger := cli.Logger(&out, "warn")
	logger.Info().Msg("hidden")
	logger.Warn().Str("cause", "row\nhas another version").Int("version", 7).Msg("change refused")
	line := out.String()
	is.Equal(strings.Count(line, "\n"), 1)
	is.True(regexp.MustCompile(`^time=\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z ` +
		`level=warn event="change refused" cause="row\\nhas another version" version=7\n$`).MatchString(line))
}

// Guards against a first signal that does not cancel the context, against a repeated SIGTERM that ends a process which finishes its
// work, and against a process that cannot be ended at a terminal.
func TestSignalContext(t *testing.T) {
	is := is.New(t)
	exited := make(chan int, 1)
	ctx, stop := cli.SignalContextWithExit(t.Context(), func(code int) { exited <- code })
	defer stop()
	is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGTERM))
	<-ctx.Done()
	is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGTERM))
	is.NoErr(timer.Wait(t.Context(), timer.System{}, 50*time.Millisecond))
	is.Equal(len(exited), 0)
	is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGINT))
	is.Equal(<-exited, int(cli.ExitFailure))
	stop() // a CancelFunc may be called more than once
}
