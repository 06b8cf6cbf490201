package cli

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// SignalContext returns a context that is canceled by the first SIGINT or SIGTERM. A second signal terminates the process at
// once with ExitFailure. The returned function cancels the context and restores the default behavior of the signals.
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
		for count := 1; ; count++ {
			select {
			case <-signals:
			case <-stopped.Done():
				return
			}
			if count > 1 {
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
