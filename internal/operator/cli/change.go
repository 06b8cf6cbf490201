package cli

import (
	"context"
	"io"

	"connectrpc.com/connect"
	"github.com/spf13/cobra"
	"google.golang.org/protobuf/proto"

	"rosemarywick.example/rosemarywick/internal/operator/api"
	"rosemarywick.example/rosemarywick/internal/operator/api/apiconnect"
)

// changed is the result of a change of the configuration.
type changed struct {
	message  proto.Message
	revision *api.Revision
	changed  bool
}

// changeFlags adds the flags that all changes have, and returns whether to wait.
func changeFlags(command *cobra.Command, expected *uint64, author *string) *bool {
	command.Flags().Uint64Var(expected, "expected-version", 0, "version that the change is based on; it fails on any other")
	command.Flags().StringVar(author, "author", "", "person or program on whose behalf the change is made")
	return command.Flags().Bool("wait", false, waitHelp)
}

// change makes a change, prints its result and waits for it to be in force if asked to.
func (c *caller) change(
	ctx context.Context, wait bool,
	do func(ctx context.Context, client apiconnect.OperatorServiceClient) (changed, error),
) error {
	var result changed
	err := c.call(ctx, func(ctx context.Context, client apiconnect.OperatorServiceClient) (err error) {
		result, err = do(ctx, client)
		return err
	})
	if err != nil {
		return err
	}
	err = c.print(result.message, func(out io.Writer) {
		if result.changed {
			writef(out, "stored %s\n", showRevision(result.revision))
		} else {
			writef(out, "nothing to change in %s\n", showRevision(result.revision))
		}
	})
	if err != nil || !wait {
		return err
	}
	return c.wait(ctx, result.revision.GetVersion())
}

func (r *Root) drainCommand() *cobra.Command {
	request := &api.DrainUpstreamRequest{}
	command := &cobra.Command{
		Use:   "drain UPSTREAM",
		Short: "Give an upstream no new work",
		Args:  usageArgs(cobra.ExactArgs(1)),
	}
	wait := changeFlags(command, &request.ExpectedVersion, &request.Author)
	remote := r.withRemote(command)
	command.RunE = func(command *cobra.Command, args []string) error {
		request.Upstream = args[0]
		return remote.change(command.Context(), *wait, func(
			ctx context.Context, client apiconnect.OperatorServiceClient,
		) (changed, error) {
			response, err := client.DrainUpstream(ctx, connect.NewRequest(request))
			if err != nil {
				return changed{}, err
			}
			return changed{response.Msg, response.Msg.GetRevision(), response.Msg.GetChanged()}, nil
		})
	}
	return command
}

func (r *Root) undrainCommand() *cobra.Command {
	request := &api.UndrainUpstreamRequest{}
	command := &cobra.Command{
		Use:   "undrain UPSTREAM",
		Short: "Give an upstream new work again",
		Args:  usageArgs(cobra.ExactArgs(1)),
	}
	wait := changeFlags(command, &request.ExpectedVersion, &request.Author)
	remote := r.withRemote(command)
	command.RunE = func(command *cobra.Command, args []string) error {
		request.Upstream = args[0]
		return remote.change(command.Context(), *wait, func(
			ctx context.Context, client apiconnect.OperatorServiceClient,
		) (changed, error) {
			response, err := client.UndrainUpstream(ctx, connect.NewRequest(request))
			if err != nil {
				return changed{}, err
			}
			return changed{response.Msg, response.Msg.GetRevision(), response.Msg.GetChanged()}, nil
		})
	}
	return command
}

func (r *Root) pinCommand() *cobra.Command {
	request := &api.PinKeyRequest{}
	command := &cobra.Command{
		Use:   "pin SERVICE KEY UPSTREAM",
		Short: "Keep a key on one server",
		Args:  usageArgs(cobra.ExactArgs(3)),
	}
	wait := changeFlags(command, &request.ExpectedVersion, &request.Author)
	remote := r.withRemote(command)
	command.RunE = func(command *cobra.Command, args []string) error {
		request.Service, request.Key, request.Upstream = args[0], args[1], args[2]
		return remote.change(command.Context(), *wait, func(
			ctx context.Context, client apiconnect.OperatorServiceClient,
		) (changed, error) {
			response, err := client.PinKey(ctx, connect.NewRequest(request))
			if err != nil {
				return changed{}, err
			}
			return changed{response.Msg, response.Msg.GetRevision(), response.Msg.GetChanged()}, nil
		})
	}
	return command
}

func (r *Root) unpinCommand() *cobra.Command {
	request := &api.UnpinKeyRequest{}
	command := &cobra.Command{
		Use:   "unpin SERVICE KEY",
		Short: "End the pin of a key",
		Args:  usageArgs(cobra.ExactArgs(2)),
	}
	wait := changeFlags(command, &request.ExpectedVersion, &request.Author)
	remote := r.withRemote(command)
	command.RunE = func(command *cobra.Command, args []string) error {
		request.Service, request.Key = args[0], args[1]
		return remote.change(command.Context(), *wait, func(
			ctx context.Context, client apiconnect.OperatorServiceClient,
		) (changed, error) {
			response, err := client.UnpinKey(ctx, connect.NewRequest(request))
			if err != nil {
				return changed{}, err
			}
			return changed{response.Msg, response.Msg.GetRevision(), response.Msg.GetChanged()}, nil
		})
	}
	return command
}
