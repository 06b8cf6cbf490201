package cli

// SignalContextWithExit is SignalContext with a replacement for os.Exit.
var SignalContextWithExit = signalContext
