package cli

import (
	"fmt"
	"io"
	"strconv"

	"github.com/rs/zerolog"

	"rosemarywick.example/rosemarywick/internal/core/timer"
)

// Logger returns a logger that writes each event as one line of key=value pairs. An unknown level means "info".
func Logger(out io.Writer, level string) zerolog.Logger {
	minLevel, err := zerolog.ParseLevel(level)
	if err != nil || minLevel == zerolog.NoLevel {
		minLevel = zerolog.InfoLevel
	}
	writer := zerolog.ConsoleWriter{
		Out:             out,
		NoColor:         true,
		FormatTimestamp: func(value any) string { return fmt.Sprintf("time=%v", value) },
		FormatLevel:     func(value any) string { return fmt.Sprintf("level=%v", value) },
		FormatMessage:   formatMessage,
		FormatFieldName: func(name any) string { return fmt.Sprintf("%v=", name) },
	}
	return zerolog.New(writer).Level(minLevel).Hook(timestampHook{})
}

// timestampHook adds the time in milliseconds to each event. zerolog's own timestamps have a precision of seconds unless a
// global variable is changed.
type timestampHook struct{}

// Run adds the current time to an event.
func (timestampHook) Run(event *zerolog.Event, _ zerolog.Level, _ string) {
	event.Str(zerolog.TimestampFieldName, timer.System{}.Now().UTC().Format("2006-01-02T15:04:05.000Z"))
}

func formatMessage(value any) string {
	if value == nil {
		return "event=\"\""
	}
	return "event=" + strconv.Quote(fmt.Sprint(value))
}
