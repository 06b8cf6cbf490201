package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"

	"rosemarywick.example/rosemarywick/internal/operator/api"
)

const (
	outputTable = "table"
	outputJSON  = "json"
)

// printMessage prints a message as JSON or calls writeText to print it as text, depending on the flag --output.
func (c *daemonClient) printMessage(message proto.Message, writeText func(out io.Writer)) error {
	if c.output.value == outputJSON {
		return writeJSON(c.root.Out, message)
	}
	var text bytes.Buffer
	writeText(&text)
	_, err := c.root.Out.Write(text.Bytes())
	return errors.Wrap(err, "write result")
}

// writeJSON writes a message in protobuf's JSON mapping, but with kebab-case names, as in the project's other formats. It
// writes fields that have the default value, too, so that programs don't have to handle absent fields.
func writeJSON(out io.Writer, message proto.Message) error {
	text, err := protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}.Marshal(message)
	if err != nil {
		return errors.Wrap(err, "encode result")
	}
	var value any
	if err := json.Unmarshal(text, &value); err != nil {
		return errors.Wrap(err, "encode result")
	}
	encoder := json.NewEncoder(out)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(toKebabCase(value)), "write result")
}

// toKebabCase replaces underscores by hyphens in all object keys of a decoded JSON value.
func toKebabCase(value any) any {
	switch value := value.(type) {
	case map[string]any:
		result := make(map[string]any, len(value))
		for name, element := range value {
			result[strings.ReplaceAll(name, "_", "-")] = toKebabCase(element)
		}
		return result
	case []any:
		for i := range value {
			value[i] = toKebabCase(value[i])
		}
	}
	return value
}

// tableWriter writes rows with aligned columns. An empty cell is written as "-".
type tableWriter struct{ writer *tabwriter.Writer }

func newTableWriter(out io.Writer, headings ...any) *tableWriter {
	t := &tableWriter{writer: tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)}
	t.writeRow(headings...)
	return t
}

func (t *tableWriter) writeRow(cells ...any) {
	for i, cell := range cells {
		if cell == "" {
			cell = "-"
		}
		separator := "\t"
		if i == len(cells)-1 {
			separator = "\n"
		}
		_, _ = fmt.Fprintf(t.writer, "%v%s", cell, separator) // the output is a buffer in memory
	}
}

func (t *tableWriter) flush() {
	_ = t.writer.Flush() // the output is a buffer in memory
}

// writef writes to a buffer in memory or, on a best-effort basis, to standard output.
func writef(out io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(out, format, args...)
}

func formatTime(at *timestamppb.Timestamp) string {
	return at.AsTime().UTC().Format("2006-01-02 15:04:05.000Z")
}

func formatDuration(duration *durationpb.Duration) string {
	value := duration.AsDuration()
	switch {
	case value >= 10*time.Second:
		return value.Round(time.Second).String()
	case value >= 10*time.Millisecond:
		return value.Round(time.Millisecond).String()
	}
	return value.Round(10 * time.Microsecond).String()
}

func formatFence(fence *api.Fence) string {
	return fmt.Sprintf("%d.%d", fence.GetEpoch(), fence.GetCounter())
}

func formatRevision(revision *api.Revision) string {
	return fmt.Sprintf("version %d by %s of %s", revision.GetVersion(), revision.GetAuthor(), formatTime(revision.GetTime()))
}
