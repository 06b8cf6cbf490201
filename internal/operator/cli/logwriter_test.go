package cli_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/operator/cli"
)

// blockingWriter is a log output whose writes block until the channel unblocked is closed.
type blockingWriter struct {
	unblocked chan struct{}

	mu   sync.Mutex
	text bytes.Buffer
}

func (w *blockingWriter) Write(line []byte) (int, error) {
	<-w.unblocked
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(line)
}

func (w *blockingWriter) lines() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return strings.Split(strings.TrimSuffix(w.text.String(), "\n"), "\n")
}

// Guards against log calls that block while the output blocks, dropped lines that the log does not mention, and the loss of
// the last lines when the program ends normally.
func TestLogNeverBlocks(t *testing.T) {
	is := is.New(t)
	out := &blockingWriter{unblocked: make(chan struct{})}
	logged, returned := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(returned)
		_ = cli.WithLogger(out, "info", func(log zerolog.Logger) error {
			for i := range 5000 {
				log.Info().Int("number", i).Msg("line")
			}
			close(logged)
			return nil
		})
	}()
	waitFor(t, logged) // all log calls return although the output blocks
	close(out.unblocked)
	waitFor(t, returned)
	lines := out.lines()
	is.True(len(lines) < 5000)
	is.True(strings.Contains(lines[len(lines)-1], "number=4999"))
	is.True(strings.Contains(strings.Join(lines, "\n"), "log lines dropped"))
}

// Guards against a program that cannot end while its log output blocks.
func TestLogEndsWhileOutputBlocks(t *testing.T) {
	out := &blockingWriter{unblocked: make(chan struct{})}
	returned := make(chan struct{})
	go func() {
		defer close(returned)
		_ = cli.WithLogger(out, "info", func(log zerolog.Logger) error {
			log.Info().Msg("line")
			return nil
		})
	}()
	waitFor(t, returned)
	close(out.unblocked)
}

func waitFor(t *testing.T, done <-chan struct{}) {
	t.Helper()
	limit := timer.System{}.After(20 * time.Second)
	defer limit.Stop()
	select {
	case <-done:
	case <-limit.C:
		t.Fatal("blocked")
	}
}
