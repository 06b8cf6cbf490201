package dev

import (
	"bytes"
	"encoding/json"
	"io"
	"sync"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"rosemarywick.example/rosemarywick/internal/core/timer"
)

// logBuffer collects log lines and may be written to concurrently.
type logBuffer struct {
	mu sync.Mutex
	// content is guarded by mu.
	content bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.content.Write(p)
}

// Guards against log lines without a host, and against lines that repeat a field: JSON readers differ in which value they use.
func TestLogLinesHaveHostAndUniqueFields(t *testing.T) {
	is := is.New(t)
	lines := &logBuffer{}
	fleet := &Fleet{Shape: Nadif, Daemons: daemons, Timer: timer.System{}, Log: zerolog.New(lines), Out: io.Discard}
	is.NoErr(fleet.Start(t.Context()))
	is.NoErr(fleet.Stop())
	decoder := json.NewDecoder(&lines.content)
	for decoder.More() {
		var line json.RawMessage
		is.NoErr(decoder.Decode(&line))
		count := countFields(t, line)
		for name, times := range count {
			if times != 1 {
				t.Errorf("%s is there %d times in %s", name, times, line)
			}
		}
		if count["host"] == 0 {
			t.Errorf("no host in %s", line)
		}
	}
}

// countFields returns how often each field occurs in a JSON log line.
func countFields(t *testing.T, line []byte) map[string]int {
	t.Helper()
	count := make(map[string]int)
	decoder := json.NewDecoder(bytes.NewReader(line))
	_, err := decoder.Token() // the opening brace
	for err == nil && decoder.More() {
		var name json.Token
		var value json.RawMessage
		if name, err = decoder.Token(); err == nil {
			count[name.(string)]++
			err = decoder.Decode(&value)
		}
	}
	if err != nil {
		t.Fatalf("%s: %v", line, err)
	}
	return count
}
