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

// sink is a reader of the log that may stop reading.
type sink struct {
	stopped chan struct{}

	mu   sync.Mutex
	text bytes.Buffer
}

func (s *sink) Write(line []byte) (int, error) {
	<-s.stopped
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(line)
}

func (s *sink) lines() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Split(strings.TrimSuffix(s.text.String(), "\n"), "\n")
}

// Guards against a request that waits for a reader of the log which has stopped, lines that are dropped unseen, and last
// lines that are lost at a regular end.
func TestLogNeverBlocks(t *testing.T) {
	is := is.New(t)
	out := &sink{stopped: make(chan struct{})}
	logged, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		_ = cli.WithLogger(out, "info", func(log zerolog.Logger) error {
			for i := range 5000 {
				log.Info().Int("number", i).Msg("line")
			}
			close(logged)
			return nil
		})
	}()
	wait(t, logged) // although nobody reads
	close(out.stopped)
	wait(t, ended)
	lines := out.lines()
	is.True(len(lines) < 5000)
	is.True(strings.Contains(lines[len(lines)-1], "number=4999"))
	is.True(strings.Contains(strings.Join(lines, "\n"), "log lines dropped"))
}

// Guards against a program that cannot end because nobody reads its log.
func TestLogEndsWithoutReader(t *testing.T) {
	out := &sink{stopped: make(chan struct{})}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = cli.WithLogger(out, "info", func(log zerolog.Logger) error {
			log.Info().Msg("line")
			return nil
		})
	}()
	wait(t, ended)
	close(out.stopped)
}

func wait(t *testing.T, done <-chan struct{}) {
	t.Helper()
	limit := timer.System{}.After(20 * time.Second)
	defer limit.Stop()
	select {
	case <-done:
	case <-limit.C:
		t.Fatal("blocked")
	}
}
