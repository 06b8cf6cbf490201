package cli

import (
	"fmt"
	"io"
	"strconv"

	"github.com/rs/zerolog"

	"rosemarywick.example/rosemarywick/internal/core/timer"
)

// Logger returns a logger that writes one line of key=value pairs for each event. An unknown level counts as "info".
func Logger(out io.Writer, level string) zerolog.Logger {
	lowest, err := zerolog.ParseLevel(level)
	if err != nil || lowest == zerolog.NoLevel {
		lowest = zerolog.InfoLevel
	}
	writer := zerolog.ConsoleWriter{
		Out:             out,
		NoColor:         true,
		FormatTimestamp: func(value any) string { return fmt.Sprintf("time=%v", value) },
		FormatLevel:     func(value any) string { return fmt.Sprintf("level=%v", value) },
		FormatMessage:   formatMessage,
		FormatFieldName: func(name any) string { return fmt.Sprintf("%v=", name) },
	}
	return zerolog.New(writer).Level(lowest).Hook(timestamp{})
}

// timestamp adds the time to each event. The library's own has a precision of seconds unless a global is changed.
type timestamp struct{}

// Run adds the time to an event.
func (timestamp) Run(event *zerolog.Event, _ zerolog.Level, _ string) {
	event.Str(zerolog.TimestampFieldName, timer.System{}.Now().UTC().Format("2006-01-02T15:04:05.000Z"))
}

func formatMessage(value any) string {
	if value == nil {
		return "event=\"\""
	}
	return "event=" + strconv.Quote(fmt.Sprint(value))
}
