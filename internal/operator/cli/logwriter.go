package cli

import (
	"io"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"rosemarywick.example/rosemarywick/internal/core/timer"
)

const (
	// logRoom is the number of lines that wait for a slow reader of the log, about 300 kB. Beyond that the oldest are dropped.
	logRoom = 1000
	// flushTime bounds the wait for the reader at the end of the program.
	flushTime = time.Second
)

// WithLogger runs a program with a logger that never blocks it: lines wait in memory for a reader of out that is slow or has
// stopped, and lines that are dropped are counted in the log. What waits at the end is still written if the reader takes it.
func WithLogger(out io.Writer, level string, run func(log zerolog.Logger) error) error {
	// Without the methods of a file, the end of the writer does not close it.
	writer := diode.NewWriter(struct{ io.Writer }{out}, logRoom, 0, func(missed int) {
		log := Logger(out, level)
		log.Warn().Int("lines", missed).Msg("log lines dropped; the reader of the log is too slow")
	})
	defer flush(writer)
	return run(Logger(writer, level))
}

func flush(writer diode.Writer) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = writer.Close() // it closes nothing and has no error
	}()
	limit := timer.System{}.After(flushTime)
	defer limit.Stop()
	select {
	case <-done:
	case <-limit.C:
	}
}
