package cli

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"

	"rosemarywick.example/rosemarywick/internal/observe/records"
	"rosemarywick.example/rosemarywick/internal/operator/api"
	"rosemarywick.example/rosemarywick/internal/operator/api/apiconnect"
)

const (
	// maxListedNames and maxListedAttempts keep the output of explain within a terminal of 24 lines.
	maxListedNames    = 5
	maxListedAttempts = 6
)

var errNoRecord = errors.New("no record of the request")

func formatHash(hash uint64) string {
	return fmt.Sprintf("%016x", hash)
}

func (r *Root) newExplainCommand() *cobra.Command {
	command := &cobra.Command{
		Use:   "explain REQUEST-ID",
		Short: "Say what became of a request and why; the id is in the header Rosemarywick-Request-Id",
		Args:  usageArgs(cobra.ExactArgs(1)),
	}
	request := &api.ExplainRequest{}
	var at string
	command.Flags().StringVar(&request.Host, "host", "", "search only the records of this host")
	command.Flags().StringVar(&at, "at", "",
		"about when the request was received, as `TIME` such as 2026-12-04T08:00:00Z; speeds the search of stored records up")
	var logs []string
	command.Flags().StringArrayVar(&logs, "log", nil,
		"log `file` of a daemon, or - for standard input; no daemon is asked then, and logs of several can be given")
	remote := r.addRemoteFlags(command)
	command.RunE = func(command *cobra.Command, args []string) error {
		if len(logs) > 0 {
			return r.explainFromLogs(args[0], logs)
		}
		request.RequestId = args[0]
		if at != "" {
			received, err := time.Parse(time.RFC3339, at)
			if err != nil {
				return usageErrorf("--at: expected a time such as 2026-12-04T08:00:00Z, not %q", at)
			}
			request.At = timestamppb.New(received)
		}
		return remote.call(command.Context(), func(ctx context.Context, client apiconnect.OperatorServiceClient) error {
			response, err := client.Explain(ctx, connect.NewRequest(request))
			if err != nil {
				return err
			}
			if err := remote.printMessage(response.Msg, func(out io.Writer) { printExplanation(out, response.Msg) }); err != nil {
				return err
			}
			if len(response.Msg.GetRecords()) == 0 {
				return connect.NewError(connect.CodeNotFound, errNoRecord)
			}
			return nil
		})
	}
	return command
}

// printExplanation prints the newest record in full and each further record, of which a request has few, on one line.
func printExplanation(out io.Writer, explanation *api.ExplainResponse) {
	for i, record := range explanation.GetRecords() {
		if i == 0 {
			printRecord(out, record)
			continue
		}
		writef(out, "also:      %s on %s: %s, %s\n", formatTime(record.GetStarted()), record.GetHost(), record.GetOutcome(),
			record.GetCause())
	}
	if len(explanation.GetRecords()) > 0 {
		writef(out, "found in:  %s\n", describeSource(explanation))
		return
	}
	writef(out, "no record of request %s\n", explanation.GetRequestId())
	printSearchGaps(out, explanation)
}

// describeSource says in words where the records were found.
func describeSource(explanation *api.ExplainResponse) string {
	switch records.Source(explanation.GetSource()) {
	case records.SourceRing:
		return "the memory of the daemon that was asked"
	case records.SourcePeer:
		return "the memory of another daemon"
	case records.SourceBatch:
		return fmt.Sprintf("the object store, after %d batches", explanation.GetBatches())
	case records.SourceNone:
	}
	return explanation.GetSource()
}

// attemptDelay returns the time from the start of the request to the start of the attempt.
func attemptDelay(record *api.Record, attempt *api.Attempt) *durationpb.Duration {
	return durationpb.New(attempt.GetStarted().AsTime().Sub(record.GetStarted().AsTime()))
}

func printRecord(out io.Writer, record *api.Record) {
	writef(out, "request:   %s\n", record.GetRequestId())
	writef(out, "outcome:   %s\n", record.GetOutcome())
	writef(out, "cause:     %s (%s)\n", record.GetCause(), record.GetMeaning())
	if record.GetDetail() != "" {
		writef(out, "detail:    %s\n", record.GetDetail())
	}
	writef(out, "received:  %s on %s\n", formatTime(record.GetStarted()), record.GetHost())
	writef(out, "took:      %s, of which %s in the queue\n", formatDuration(record.GetTotal()), formatDuration(record.GetQueued()))
	writef(out, "service:   %s, tenant %s, configuration %d\n", record.GetService(), orNone(record.GetTenant()),
		record.GetConfigVersion())
	if record.GetKeyHash() != 0 {
		writef(out, "key hash:  %s in partition %d by fence %s\n", formatHash(record.GetKeyHash()), record.GetPartition(),
			formatFence(record.GetFence()))
	}
	attempts := record.GetAttempts()
	for i, attempt := range attempts[:min(len(attempts), maxListedAttempts)] {
		writef(out, "attempt %d: %s after %s, took %s: %s\n", i+1, attempt.GetUpstream(),
			formatDuration(attemptDelay(record, attempt)), formatDuration(attempt.GetDuration()), attempt.GetCause())
	}
	if more := len(attempts) - maxListedAttempts; more > 0 {
		writef(out, "           and %d more attempts\n", more)
	}
}

// printSearchGaps prints which hosts and batches the search could not cover, since the record may be there.
func printSearchGaps(out io.Writer, explanation *api.ExplainResponse) {
	if explanation.GetOldest() != nil {
		writef(out, "searched:  hosts, and %d batches back to %s\n", explanation.GetBatches(),
			formatTime(explanation.GetOldest()))
	}
	if hosts := explanation.GetUnreachable(); len(hosts) > 0 {
		writef(out, "not asked: %s\n", joinNames(hosts))
	}
	if explanation.GetStoreError() != "" {
		writef(out, "not read:  the object store: %s\n", explanation.GetStoreError())
	}
	if names := explanation.GetDamaged(); len(names) > 0 {
		writef(out, "damaged:   %s\n", joinNames(names))
	}
	if explanation.GetTruncated() {
		writef(out, "truncated: there are more batches; search by --at and --host\n")
	}
	if explanation.GetDropped() > 0 {
		writef(out, "dropped:   hosts dropped %d records while the object store was unavailable\n", explanation.GetDropped())
	}
	writef(out, "A request that ran as expected and in time leaves no record.\n")
}

// joinNames joins names with commas and replaces those beyond maxListedNames by their number.
func joinNames(names []string) string {
	text := strings.Join(names[:min(len(names), maxListedNames)], ", ")
	if more := len(names) - maxListedNames; more > 0 {
		text += fmt.Sprintf(" and %d more", more)
	}
	return text
}

func orNone(name string) string {
	if name == "" {
		return "none"
	}
	return name
}

func (r *Root) newRecordsCommand() *cobra.Command {
	request := &api.RecentRecordsRequest{}
	command := &cobra.Command{
		Use:   "records",
		Short: "List the newest records of the daemon that is asked",
		Args:  usageArgs(cobra.NoArgs),
	}
	flags := command.Flags()
	flags.StringVar(&request.Cause, "cause", "", "only records with this cause")
	flags.StringVar(&request.Service, "service", "", "only records of this service")
	flags.StringVar(&request.Tenant, "tenant", "", "only records of this tenant")
	flags.Uint32Var(&request.Limit, "limit", 0, "number of records to list at most; 0 is 50, the most is 1000")
	remote := r.addRemoteFlags(command)
	command.RunE = func(command *cobra.Command, _ []string) error {
		return remote.call(command.Context(), func(ctx context.Context, client apiconnect.OperatorServiceClient) error {
			response, err := client.RecentRecords(ctx, connect.NewRequest(request))
			if err != nil {
				return err
			}
			return remote.printMessage(response.Msg, func(out io.Writer) { printRecords(out, response.Msg.GetRecords()) })
		})
	}
	return command
}

func printRecords(out io.Writer, found []*api.Record) {
	table := newTableWriter(out, "RECEIVED", "REQUEST", "SERVICE", "TENANT", "OUTCOME", "CAUSE", "TOTAL", "ATTEMPTS")
	for _, record := range found {
		table.writeRow(formatTime(record.GetStarted()), record.GetRequestId(), record.GetService(), record.GetTenant(),
			record.GetOutcome(), record.GetCause(), formatDuration(record.GetTotal()), len(record.GetAttempts()))
	}
	table.flush()
}
