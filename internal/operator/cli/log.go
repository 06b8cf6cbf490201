package cli

import (
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/rs/zerolog"
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
		TimeFormat:      time.RFC3339Nano,
		FormatTimestamp: func(value any) string { return fmt.Sprintf("time=%v", value) },
		FormatLevel:     func(value any) string { return fmt.Sprintf("level=%v", value) },
		FormatMessage:   formatMessage,
		FormatFieldName: func(name any) string { return fmt.Sprintf("%v=", name) },
	}
	return zerolog.New(writer).Level(lowest).With().Timestamp().Logger()
}

func formatMessage(value any) string {
	if value == nil {
		return "event=\"\""
	}
	return "event=" + strconv.Quote(fmt.Sprint(value))
}
