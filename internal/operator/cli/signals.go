package cli

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// Interruptible returns a context that ends with the first SIGINT or SIGTERM. From then on the signals have their
// default effect, so that a second one ends the process at once.
func Interruptible(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, stop := signal.NotifyContext(parent, os.Interrupt, syscall.SIGTERM)
	context.AfterFunc(ctx, stop)
	return ctx, stop
}
