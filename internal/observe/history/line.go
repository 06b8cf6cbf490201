// Package history finds in the logs of daemons what became of one request and what led to it, for operators who have
// nothing but logs. It reads lines of key=value pairs and knows the events that daemons log; it does not decide anything.
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

// ErrMalformed means that a text is not a log line of a daemon.
var ErrMalformed = errors.New("history: not a log line")

// Line is one log line.
type Line struct {
	// Time is by the clock of the host.
	Time  time.Time
	Host  fleet.HostID
	Event string
	// Fields are the other fields in the order in which they were written.
	Fields []Field
}

// Field is one key=value pair.
type Field struct {
	Name, Value string
}

// Value returns the value of a field, or nothing.
func (l *Line) Value(name string) string {
	index := slices.IndexFunc(l.Fields, func(one Field) bool { return one.Name == name })
	if index < 0 {
		return ""
	}
	return l.Fields[index].Value
}

// mentions reports whether a field has one of the values.
func (l *Line) mentions(values []string) bool {
	return slices.ContainsFunc(l.Fields, func(one Field) bool { return slices.Contains(values, one.Value) })
}

// String returns the event and its fields.
func (l *Line) String() string {
	var text strings.Builder
	text.WriteString(l.Event)
	for _, one := range l.Fields {
		text.WriteString(" " + one.Name + "=" + one.Value)
	}
	return text.String()
}

// Parse reads a log line. Whatever a collector of logs has put before the time is skipped.
func Parse(text []byte) (Line, error) {
	begin := bytes.Index(text, []byte("time="))
	if begin < 0 {
		return Line{}, errors.Wrap(ErrMalformed, "no time")
	}
	var line Line
	decoder := logfmt.NewDecoder(bytes.NewReader(text[begin:]))
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			name, value := string(decoder.Key()), string(decoder.Value())
			switch name {
			case "time":
				at, err := time.Parse(time.RFC3339, value)
				if err != nil {
					return Line{}, errors.Mark(errors.Wrap(err, "history: time"), ErrMalformed)
				}
				line.Time = at
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
