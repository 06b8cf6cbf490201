package cli

import (
	"context"
	"io"
	"strings"

	"connectrpc.com/connect"
	"github.com/spf13/cobra"

	"rosemarywick.example/rosemarywick/internal/operator/api"
	"rosemarywick.example/rosemarywick/internal/operator/api/apiconnect"
)

func (r *Root) newHostsCommand() *cobra.Command {
	command := &cobra.Command{
		Use:   "hosts",
		Short: "List the daemons, their configuration and their assigner roles",
		Args:  usageArgs(cobra.NoArgs),
	}
	remote := r.addRemoteFlags(command)
	command.RunE = func(command *cobra.Command, _ []string) error {
		return remote.call(command.Context(), func(ctx context.Context, client apiconnect.OperatorServiceClient) error {
			response, err := client.ListHosts(ctx, connect.NewRequest(&api.ListHostsRequest{}))
			if err != nil {
				return err
			}
			return remote.printMessage(response.Msg, func(out io.Writer) { printHosts(out, response.Msg.GetHosts()) })
		})
	}
	return command
}

func printHosts(out io.Writer, hosts []*api.Host) {
	table := newTableWriter(out, "HOST", "REGION", "DOMAIN", "PEER ADDRESS", "STATE", "SEEN", "CONFIG", "REJECTED", "ASSIGNER OF")
	for _, host := range hosts {
		table.writeRow(host.GetId(), host.GetRegion(), host.GetDomain(), host.GetPeerAddress(), host.GetState(),
			formatDuration(host.GetLastSeen())+" ago", host.GetConfigVersion(), host.GetRejection(),
			strings.Join(host.GetAssignerOf(), " "))
	}
	table.flush()
}

func (r *Root) newUpstreamsCommand() *cobra.Command {
	request := &api.ListUpstreamsRequest{}
	command := &cobra.Command{
		Use:   "upstreams",
		Short: "List the upstreams as one daemon sees them",
		Args:  usageArgs(cobra.NoArgs),
	}
	command.Flags().StringVar(&request.Service, "service", "", "only upstreams of this service")
	remote := r.addRemoteFlags(command)
	command.RunE = func(command *cobra.Command, _ []string) error {
		return remote.call(command.Context(), func(ctx context.Context, client apiconnect.OperatorServiceClient) error {
			response, err := client.ListUpstreams(ctx, connect.NewRequest(request))
			if err != nil {
				return err
			}
			return remote.printMessage(response.Msg, func(out io.Writer) { printUpstreams(out, response.Msg.GetUpstreams()) })
		})
	}
	return command
}

func printUpstreams(out io.Writer, upstreams []*api.Upstream) {
	table := newTableWriter(out, "SERVICE", "UPSTREAM", "DOMAIN", "ADDRESS", "GUARD", "STATE", "DRAINED", "IN FLIGHT", "QUEUED",
		"LIMIT", "PARTITIONS")
	for _, upstream := range upstreams {
		table.writeRow(upstream.GetService(), upstream.GetId(), upstream.GetDomain(), upstream.GetAddress(), upstream.GetGuard(),
			upstream.GetState(), upstream.GetDrained(), upstream.GetInFlight(), upstream.GetQueued(), upstream.GetLimit(),
			upstream.GetPartitions())
	}
	table.flush()
}

func (r *Root) newPartitionsCommand() *cobra.Command {
	request := &api.ListPartitionsRequest{}
	command := &cobra.Command{
		Use:   "partitions",
		Short: "List partitions with owner, standby and fence",
		Args:  usageArgs(cobra.NoArgs),
	}
	flags := command.Flags()
	flags.StringVar(&request.Service, "service", "", "only partitions of this service")
	flags.StringVar(&request.Owner, "owner", "", "only partitions that this server owns")
	flags.BoolVar(&request.Unsettled, "unsettled", false, "only partitions that are being moved or have no owner")
	flags.Uint32Var(&request.Limit, "limit", 0, "number of partitions to list at most; 0 is the most that a daemon sends")
	remote := r.addRemoteFlags(command)
	command.RunE = func(command *cobra.Command, _ []string) error {
		return remote.call(command.Context(), func(ctx context.Context, client apiconnect.OperatorServiceClient) error {
			response, err := client.ListPartitions(ctx, connect.NewRequest(request))
			if err != nil {
				return err
			}
			return remote.printMessage(response.Msg, func(out io.Writer) { printPartitions(out, response.Msg) })
		})
	}
	return command
}

func printPartitions(out io.Writer, response *api.ListPartitionsResponse) {
	table := newTableWriter(out, partitionColumns...)
	for _, partition := range response.GetPartitions() {
		table.writeRow(partitionCells(partition)...)
	}
	table.flush()
	if shown := len(response.GetPartitions()); uint32(shown) < response.GetTotal() {
		writef(out, "%d of %d partitions\n", shown, response.GetTotal())
	}
}

var partitionColumns = []any{"SERVICE", "PARTITION", "OWNER", "STANDBY", "FENCE", "MOVING"}

func partitionCells(partition *api.Partition) []any {
	return []any{
		partition.GetService(), partition.GetId(), partition.GetOwner(), partition.GetStandby(),
		formatFence(partition.GetFence()), partition.GetMoving(),
	}
}

func (r *Root) newOwnerCommand() *cobra.Command {
	command := &cobra.Command{
		Use:   "owner SERVICE KEY",
		Short: "Show the partition of a key and the server that owns it",
		Args:  usageArgs(cobra.ExactArgs(2)),
	}
	remote := r.addRemoteFlags(command)
	command.RunE = func(command *cobra.Command, args []string) error {
		request := &api.OwnerOfRequest{Service: args[0], Key: args[1]}
		return remote.call(command.Context(), func(ctx context.Context, client apiconnect.OperatorServiceClient) error {
			response, err := client.OwnerOf(ctx, connect.NewRequest(request))
			if err != nil {
				return err
			}
			return remote.printMessage(response.Msg, func(out io.Writer) {
				table := newTableWriter(out, append(partitionColumns, "DEDICATED", "KEY HASH")...)
				cells := append(partitionCells(response.Msg.GetPartition()), response.Msg.GetDedicated())
				table.writeRow(append(cells, formatHash(response.Msg.GetKeyHash()))...)
				table.flush()
			})
		})
	}
	return command
}
