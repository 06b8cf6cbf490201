package cli

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// SurviveSignals makes signals harmless, until the process ends, that would end a daemon by their default action: SIGHUP, which
// tells it that its settings have changed, and SIGPIPE, when nobody reads its log. Commands for a terminal keep the default
// action, since they are to end with the terminal.
func SurviveSignals() {
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP, syscall.SIGPIPE)
}

// SignalContext returns a context that is canceled by the first SIGINT or SIGTERM. A later SIGINT terminates the process at once
// with ExitFailure; a later SIGTERM changes nothing, since a supervisor may repeat it while the process finishes its work. The
// returned function cancels the context and restores the default behavior of the signals.
func SignalContext(parent context.Context) (context.Context, context.CancelFunc) {
	return signalContext(parent, os.Exit)
}

// signalContext handles the second signal itself instead of restoring the default behavior after the first one, since a shell
// that starts a program in the background may have set SIGINT to be ignored.
func signalContext(parent context.Context, exit func(code int)) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	stopped, stop := context.WithCancel(context.Background())
	go func() {
		for {
			var received os.Signal
			select {
			case received = <-signals:
			case <-stopped.Done():
				return
			}
			if ctx.Err() != nil && received == os.Interrupt {
				exit(int(ExitFailure))
				return
			}
			cancel()
		}
	}()
	return ctx, func() {
		signal.Stop(signals)
		cancel()
		stop()
	}
}
