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

// print writes a message as JSON, or lets write print it for people.
func (c *caller) print(message proto.Message, write func(out io.Writer)) error {
	if c.output.value == outputJSON {
		return writeJSON(c.root.Out, message)
	}
	var text bytes.Buffer
	write(&text)
	_, err := c.root.Out.Write(text.Bytes())
	return errors.Wrap(err, "write result")
}

// writeJSON writes a message in the JSON mapping of protobuf, with kebab-case names as in the project's other formats
// and with all fields, so that programs need not tell absent fields from empty ones.
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
	return errors.Wrap(encoder.Encode(kebab(value)), "write result")
}

func kebab(value any) any {
	switch value := value.(type) {
	case map[string]any:
		result := make(map[string]any, len(value))
		for name, element := range value {
			result[strings.ReplaceAll(name, "_", "-")] = kebab(element)
		}
		return result
	case []any:
		for i := range value {
			value[i] = kebab(value[i])
		}
	}
	return value
}

// table aligns the columns of its rows.
type table struct{ writer *tabwriter.Writer }

func newTable(out io.Writer, headings ...any) *table {
	t := &table{writer: tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)}
	t.row(headings...)
	return t
}

func (t *table) row(cells ...any) {
	for i, cell := range cells {
		if cell == "" {
			cell = "-"
		}
		end := "\t"
		if i == len(cells)-1 {
			end = "\n"
		}
		_, _ = fmt.Fprintf(t.writer, "%v%s", cell, end) // writes to memory
	}
}

func (t *table) flush() {
	_ = t.writer.Flush() // writes to memory
}

func writef(out io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(out, format, args...) // writes to memory
}

func showTime(at *timestamppb.Timestamp) string {
	return at.AsTime().UTC().Format("2006-01-02 15:04:05.000Z")
}

func showDuration(duration *durationpb.Duration) string {
	value := duration.AsDuration()
	switch {
	case value >= 10*time.Second:
		return value.Round(time.Second).String()
	case value >= 10*time.Millisecond:
		return value.Round(time.Millisecond).String()
	}
	return value.Round(10 * time.Microsecond).String()
}

func showFence(fence *api.Fence) string {
	return fmt.Sprintf("%d.%d", fence.GetEpoch(), fence.GetCounter())
}

func showRevision(revision *api.Revision) string {
	return fmt.Sprintf("version %d by %s of %s", revision.GetVersion(), revision.GetAuthor(), showTime(revision.GetTime()))
}
