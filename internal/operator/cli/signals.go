package cli

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// Interruptible returns a context that ends with the first SIGINT or SIGTERM. A second one ends the process at once. The
// returned function ends the context and gives the signals back their default effect.
func SignalContext(parent context.Context) (context.Context, context.CancelFunc) {
	return signalContext(parent, os.Exit)
}

// interruptible does not leave the second signal to its default effect, since a shell that starts a program in the
// background may have set SIGINT to be ignored.
func signalContext(parent context.Context, exit func(code int)) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	quit, end := context.WithCancel(context.Background())
	go func() {
		for count := 1; ; count++ {
			select {
			case <-signals:
			case <-quit.Done():
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
		end()
	}
}
