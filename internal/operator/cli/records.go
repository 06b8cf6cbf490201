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
	// maxNames and maxAttempts keep an explanation on a screen of 24 lines.
	maxNames    = 5
	maxAttempts = 6
)

var errNoRecord = errors.New("no record of the request")

func showHash(hash uint64) string {
	return fmt.Sprintf("%016x", hash)
}

func (r *Root) explainCommand() *cobra.Command {
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
	remote := r.withRemote(command)
	command.RunE = func(command *cobra.Command, args []string) error {
		if len(logs) > 0 {
			return r.explainFromLogs(args[0], logs)
		}
		request.RequestId = args[0]
		if at != "" {
			received, err := time.Parse(time.RFC3339, at)
			if err != nil {
				return usage("--at: expected a time such as 2026-12-04T08:00:00Z, not %q", at)
			}
			request.At = timestamppb.New(received)
		}
		return remote.call(command.Context(), func(ctx context.Context, client apiconnect.OperatorServiceClient) error {
			response, err := client.Explain(ctx, connect.NewRequest(request))
			if err != nil {
				return err
			}
			if err := remote.print(response.Msg, func(out io.Writer) { printExplanation(out, response.Msg) }); err != nil {
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

// printExplanation shows the newest record in full and the others, of which a request has few, in a line each.
func printExplanation(out io.Writer, explanation *api.ExplainResponse) {
	for i, record := range explanation.GetRecords() {
		if i == 0 {
			printRecord(out, record)
			continue
		}
		writef(out, "also:      %s on %s: %s, %s\n", showTime(record.GetStarted()), record.GetHost(), record.GetOutcome(),
			record.GetCause())
	}
	if len(explanation.GetRecords()) > 0 {
		writef(out, "found in:  %s\n", foundIn(explanation))
		return
	}
	writef(out, "no record of request %s\n", explanation.GetRequestId())
	printGaps(out, explanation)
}

func foundIn(explanation *api.ExplainResponse) string {
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

func sinceStart(record *api.Record, attempt *api.Attempt) *durationpb.Duration {
	return durationpb.New(attempt.GetStarted().AsTime().Sub(record.GetStarted().AsTime()))
}

func printRecord(out io.Writer, record *api.Record) {
	writef(out, "request:   %s\n", record.GetRequestId())
	writef(out, "outcome:   %s\n", record.GetOutcome())
	writef(out, "cause:     %s (%s)\n", record.GetCause(), record.GetMeaning())
	if record.GetDetail() != "" {
		writef(out, "detail:    %s\n", record.GetDetail())
	}
	writef(out, "received:  %s on %s\n", showTime(record.GetStarted()), record.GetHost())
	writef(out, "took:      %s, of which %s in the queue\n", showDuration(record.GetTotal()), showDuration(record.GetQueued()))
	writef(out, "service:   %s, tenant %s, configuration %d\n", record.GetService(), orNone(record.GetTenant()),
		record.GetConfigVersion())
	if record.GetKeyHash() != 0 {
		writef(out, "key hash:  %s in partition %d by fence %s\n", showHash(record.GetKeyHash()), record.GetPartition(),
			showFence(record.GetFence()))
	}
	attempts := record.GetAttempts()
	for i, attempt := range attempts[:min(len(attempts), maxAttempts)] {
		writef(out, "attempt %d: %s after %s, took %s: %s\n", i+1, attempt.GetUpstream(),
			showDuration(sinceStart(record, attempt)), showDuration(attempt.GetDuration()), attempt.GetCause())
	}
	if more := len(attempts) - maxAttempts; more > 0 {
		writef(out, "           and %d more attempts\n", more)
	}
}

// printGaps says where the search could not look, since a record may be there.
func printGaps(out io.Writer, explanation *api.ExplainResponse) {
	if explanation.GetOldest() != nil {
		writef(out, "searched:  hosts, and %d batches back to %s\n", explanation.GetBatches(),
			showTime(explanation.GetOldest()))
	}
	if hosts := explanation.GetUnreachable(); len(hosts) > 0 {
		writef(out, "not asked: %s\n", someOf(hosts))
	}
	if explanation.GetStoreError() != "" {
		writef(out, "not read:  the object store: %s\n", explanation.GetStoreError())
	}
	if names := explanation.GetDamaged(); len(names) > 0 {
		writef(out, "damaged:   %s\n", someOf(names))
	}
	if explanation.GetTruncated() {
		writef(out, "truncated: there are more batches; search by --at and --host\n")
	}
	if explanation.GetDropped() > 0 {
		writef(out, "dropped:   hosts dropped %d records while the object store was unavailable\n", explanation.GetDropped())
	}
	writef(out, "A request that ran as expected and in time leaves no record.\n")
}

func someOf(names []string) string {
	text := strings.Join(names[:min(len(names), maxNames)], ", ")
	if more := len(names) - maxNames; more > 0 {
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

func (r *Root) recordsCommand() *cobra.Command {
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
	remote := r.withRemote(command)
	command.RunE = func(command *cobra.Command, _ []string) error {
		return remote.call(command.Context(), func(ctx context.Context, client apiconnect.OperatorServiceClient) error {
			response, err := client.RecentRecords(ctx, connect.NewRequest(request))
			if err != nil {
				return err
			}
			return remote.print(response.Msg, func(out io.Writer) { printRecords(out, response.Msg.GetRecords()) })
		})
	}
	return command
}

func printRecords(out io.Writer, found []*api.Record) {
	rows := newTable(out, "RECEIVED", "REQUEST", "SERVICE", "TENANT", "OUTCOME", "CAUSE", "TOTAL", "ATTEMPTS")
	for _, record := range found {
		rows.row(showTime(record.GetStarted()), record.GetRequestId(), record.GetService(), record.GetTenant(),
			record.GetOutcome(), record.GetCause(), showDuration(record.GetTotal()), len(record.GetAttempts()))
	}
	rows.flush()
}
