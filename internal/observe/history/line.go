// Package history reconstructs from the logs of daemons what happened to one request and which events led to it, for operators
// who have only the logs. It parses log lines in the logfmt format and knows the events that daemons log.
package history

import (
	"bytes"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logfmt/logfmt"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// ErrMalformed means that a line is not a log line of a daemon.
var ErrMalformed = errors.New("history: not a log line")

// Line is a parsed log line.
type Line struct {
	// Time is the time of the event by the clock of the host.
	Time  time.Time
	Host  fleet.HostID
	Event string
	// Fields are all other fields except the level, in the order of the line.
	Fields []Field
}

// Field is one key=value pair of a log line.
type Field struct {
	Name, Value string
}

// Value returns the value of a field, or an empty string if the line does not have it.
func (l *Line) Value(name string) string {
	index := slices.IndexFunc(l.Fields, func(field Field) bool { return field.Name == name })
	if index < 0 {
		return ""
	}
	return l.Fields[index].Value
}

// hasAnyValue reports whether any field has one of the values.
func (l *Line) hasAnyValue(values []string) bool {
	return slices.ContainsFunc(l.Fields, func(field Field) bool { return slices.Contains(values, field.Value) })
}

// String returns the event and the fields of Fields.
func (l *Line) String() string {
	var text strings.Builder
	text.WriteString(l.Event)
	for _, field := range l.Fields {
		text.WriteString(" " + field.Name + "=" + field.Value)
	}
	return text.String()
}

// Parse parses a log line. It skips any prefix that a log collector has added before the time.
func Parse(text []byte) (Line, error) {
	start := bytes.Index(text, []byte("time="))
	if start < 0 {
		return Line{}, errors.Wrap(ErrMalformed, "no time")
	}
	var line Line
	decoder := logfmt.NewDecoder(bytes.NewReader(text[start:]))
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			name, value := string(decoder.Key()), string(decoder.Value())
			switch name {
			case "time":
				parsed, err := time.Parse(time.RFC3339, value)
				if err != nil {
					return Line{}, errors.Mark(errors.Wrap(err, "history: time"), ErrMalformed)
				}
				line.Time = parsed
			case "host":
				line.Host = fleet.HostID(value)
			case "event":
				line.Event = value
			case "level":
			default:
				line.Fields = append(line.Fields, Field{Name: name, Value: value})
			}
		}
	}
	if err := decoder.Err(); err != nil {
		return Line{}, errors.Mark(errors.Wrap(err, "history: log line"), ErrMalformed)
	}
	if line.Event == "" {
		return Line{}, errors.Wrap(ErrMalformed, "no event")
	}
	return line, nil
}
