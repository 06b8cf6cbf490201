package cli

import (
	"context"
	"fmt"
	"io"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"rosemarywick.example/rosemarywick/internal/operator/api"
	"rosemarywick.example/rosemarywick/internal/operator/api/apiconnect"
)

func (r *Root) newConfigStatusCommand() *cobra.Command {
	var version uint64
	var wait bool
	command := &cobra.Command{
		Use:   "status",
		Short: "Say on how many live daemons a version, or a higher one, is in force",
		Args:  usageArgs(cobra.NoArgs),
	}
	command.Flags().Uint64Var(&version, "version", 0, "version to look for; 0 is the latest")
	command.Flags().BoolVar(&wait, "wait", false, waitHelp)
	remote := r.addRemoteFlags(command)
	command.RunE = func(command *cobra.Command, _ []string) error {
		if wait {
			return remote.waitInForce(command.Context(), version)
		}
		return remote.call(command.Context(), func(ctx context.Context, client apiconnect.OperatorServiceClient) error {
			response, err := client.ConfigStatus(ctx, connect.NewRequest(&api.ConfigStatusRequest{Version: version}))
			if err != nil {
				return err
			}
			return remote.printStatus(response.Msg.GetStatus())
		})
	}
	return command
}

const waitHelp = "wait until the version is in force on all live daemons, at most 1m or --timeout if given"

func (c *daemonClient) printStatus(status *api.ConfigStatus) error {
	return c.printMessage(status, func(out io.Writer) {
		writef(out, "%s\n", formatStatus(status))
		if len(status.GetBehind()) == 0 {
			return
		}
		table := newTableWriter(out, "BEHIND", "VERSION", "REASON")
		for _, host := range status.GetBehind() {
			table.writeRow(host.GetHost(), host.GetVersion(), host.GetRejection())
		}
		table.flush()
	})
}

func formatStatus(status *api.ConfigStatus) string {
	return fmt.Sprintf("version %d is in force on %d of %d live hosts",
		status.GetVersion(), status.GetInForce(), status.GetLiveHosts())
}

// waitInForce prints the rollout progress of a version on standard error until it is in force on all live hosts, then prints
// the last status. It returns an error after the time limit.
func (c *daemonClient) waitInForce(ctx context.Context, version uint64) error {
	limit := waitTimeout
	if c.flags.Changed("timeout") {
		limit = c.timeout
	}
	var last *api.ConfigStatus
	err := c.callWithTimeout(ctx, limit, func(ctx context.Context, client apiconnect.OperatorServiceClient) error {
		status, err := c.watchStatus(ctx, client, version)
		last = status
		return err
	})
	if connect.CodeOf(err) == connect.CodeDeadlineExceeded && last != nil {
		err = errors.Newf("%s after %s", formatStatus(last), limit.Round(time.Millisecond))
	}
	if last == nil {
		return err
	}
	if printErr := c.printStatus(last); err == nil {
		err = printErr
	}
	return err
}

// watchStatus prints each status that the daemon streams on standard error and returns the last one, or nil.
func (c *daemonClient) watchStatus(
	ctx context.Context, client apiconnect.OperatorServiceClient, version uint64,
) (*api.ConfigStatus, error) {
	stream, err := client.WatchConfigStatus(ctx, connect.NewRequest(&api.WatchConfigStatusRequest{Version: version}))
	if err != nil {
		return nil, err
	}
	var last *api.ConfigStatus
	for stream.Receive() {
		last = stream.Msg().GetStatus()
		c.root.printStderr("%s", formatStatus(last))
	}
	return last, errors.CombineErrors(stream.Err(), stream.Close())
}
