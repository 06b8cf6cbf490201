package cli

import (
	"io"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"rosemarywick.example/rosemarywick/internal/core/timer"
)

const (
	// maxBufferedLines is the number of lines, about 300 kB, that are buffered for a slow reader of the log. If more lines
	// wait, the oldest are dropped.
	maxBufferedLines = 1000
	// flushTimeout limits how long the end of the program is delayed to write the buffered lines.
	flushTimeout = time.Second
)

// WithLogger calls run with a logger that never blocks. Lines are buffered in memory and written to out in the background;
// if the reader of out is too slow, lines are dropped, and the log tells how many. When run returns, the buffered lines are
// flushed, for at most flushTimeout.
func WithLogger(out io.Writer, level string, run func(log zerolog.Logger) error) error {
	// The diode writer would close out if it were an io.Closer. The wrapper hides that method.
	writer := diode.NewWriter(struct{ io.Writer }{out}, maxBufferedLines, 0, func(dropped int) {
		log := Logger(out, level)
		log.Warn().Int("lines", dropped).Msg("log lines dropped; the reader of the log is too slow")
	})
	defer closeWithTimeout(writer)
	return run(Logger(writer, level))
}

// closeWithTimeout flushes and closes the writer, but gives up after flushTimeout.
func closeWithTimeout(writer diode.Writer) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = writer.Close() // out is not an io.Closer, so Close has nothing that could fail
	}()
	limit := timer.System{}.After(flushTimeout)
	defer limit.Stop()
	select {
	case <-done:
	case <-limit.C:
	}
}
