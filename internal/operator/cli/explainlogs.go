package cli

import (
	"io"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"rosemarywick.example/rosemarywick/internal/core/cause"
	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/observe/history"
	"rosemarywick.example/rosemarywick/internal/observe/records"
)

// explainFromLogs prints what the log files of daemons contain about a request.
func (r *Root) explainFromLogs(id string, files []string) error {
	search := &history.Search{Request: fleet.RequestID(id)}
	for _, name := range files {
		if err := r.searchLogFile(search, name); err != nil {
			return err
		}
	}
	timeline, found := search.Timeline()
	if !found {
		writef(r.Out, "no line about request %s; daemons log only late, rejected and repeated requests, 20 a second each\n", id)
		printUnreadable(r.Out, timeline)
		return connect.NewError(connect.CodeNotFound, errNoRecord)
	}
	printLogExplanation(r.Out, id, &timeline)
	return nil
}

// searchLogFile adds the lines of a log file to the search.
func (r *Root) searchLogFile(search *history.Search, path string) error {
	name, file, err := r.openInput(path)
	if err != nil {
		return usageErrorf("--log: %v", err)
	}
	defer func() { _ = file.Close() }() // the file is only read
	return errors.Wrap(search.Read(file), name)
}

// logTimeLayout is the layout of times in the output. Daemons log times in milliseconds.
const logTimeLayout = "2006-01-02T15:04:05.000Z"

// printLogExplanation prints the outcome of a request and the events around it.
func printLogExplanation(out io.Writer, id string, timeline *history.Timeline) {
	request := &timeline.RequestLine
	requestCause := cause.Cause(request.Value("cause"))
	writef(out, "request:   %s\n", id)
	writef(out, "outcome:   %s\n", request.Value("outcome"))
	writef(out, "cause:     %s (%s)\n", requestCause, records.Meaning(requestCause))
	writef(out, "received:  %s on %s\n", timeline.StartedAt.UTC().Format(logTimeLayout), request.Host)
	writef(out, "took:      %s, of which %s in the queue\n", timeline.EndedAt.Sub(timeline.StartedAt).Round(time.Millisecond),
		history.ParseMilliseconds(request.Value("queued")).Round(time.Millisecond))
	writef(out, "service:   %s, class %s, configuration %s\n", request.Value("service"), orNone(request.Value("class")),
		request.Value("config"))
	if key := request.Value("key"); key != "" {
		writef(out, "key:       %s by fence %s\n", key, request.Value("fence"))
	}
	for _, field := range request.Fields {
		if number, found := strings.CutPrefix(field.Name, "attempt-"); found {
			writef(out, "attempt %s: %s\n", number, field.Value)
		}
	}
	for i := range timeline.OtherRequestLines {
		writef(out, "also:      %s on %s: %s\n", timeline.OtherRequestLines[i].Time.UTC().Format(logTimeLayout),
			timeline.OtherRequestLines[i].Host, timeline.OtherRequestLines[i].Value("outcome"))
	}
	if timeline.OmittedEvents > 0 {
		writef(out, "           %d older events omitted\n", timeline.OmittedEvents)
	}
	for i := range timeline.Events {
		event := &timeline.Events[i]
		writef(out, "%+8.3f s %s: %s\n", event.Time.Sub(timeline.StartedAt).Seconds(), event.Host, event)
	}
	for _, host := range timeline.UnalignedHosts {
		writef(out, "clock:     that of %s could not be compared with that of %s\n", host, request.Host)
	}
	printUnreadable(out, *timeline)
}

// printUnreadable prints the number of lines that could not be parsed, if there are any.
func printUnreadable(out io.Writer, timeline history.Timeline) {
	if timeline.UnreadableLines > 0 {
		writef(out, "skipped:   %d lines that are not a daemon's\n", timeline.UnreadableLines)
	}
}
