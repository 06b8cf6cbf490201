package cli

// InterruptibleWith is Interruptible with another way to end the process.
var SignalContextWithExit = signalContext
