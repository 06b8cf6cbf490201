package cli

import (
	"context"
	"io"
	"strings"

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

// changeArgs are the arguments of a command that changes one element of the configuration.
type changeArgs struct {
	args     []string
	expected uint64
	author   string
}

// changeCall makes a change by one call.
type changeCall func(ctx context.Context, client apiconnect.OperatorServiceClient, args *changeArgs) (changed, error)

// changeCommand returns a command whose arguments, named in use after the command's own name, are passed to do.
func (r *Root) changeCommand(use, short string, do changeCall) *cobra.Command {
	command := &cobra.Command{
		Use:   use,
		Short: short,
		Args:  usageArgs(cobra.ExactArgs(strings.Count(use, " "))),
	}
	args := &changeArgs{}
	wait := changeFlags(command, &args.expected, &args.author)
	remote := r.withRemote(command)
	command.RunE = func(command *cobra.Command, words []string) error {
		args.args = words
		return remote.change(command.Context(), *wait, func(
			ctx context.Context, client apiconnect.OperatorServiceClient,
		) (changed, error) {
			return do(ctx, client, args)
		})
	}
	return command
}

func drain(ctx context.Context, client apiconnect.OperatorServiceClient, args *changeArgs) (changed, error) {
	response, err := client.DrainUpstream(ctx, connect.NewRequest(&api.DrainUpstreamRequest{
		Upstream: args.args[0], ExpectedVersion: args.expected, Author: args.author,
	}))
	if err != nil {
		return changed{}, err
	}
	return changed{response.Msg, response.Msg.GetRevision(), response.Msg.GetChanged()}, nil
}

func undrain(ctx context.Context, client apiconnect.OperatorServiceClient, args *changeArgs) (changed, error) {
	response, err := client.UndrainUpstream(ctx, connect.NewRequest(&api.UndrainUpstreamRequest{
		Upstream: args.args[0], ExpectedVersion: args.expected, Author: args.author,
	}))
	if err != nil {
		return changed{}, err
	}
	return changed{response.Msg, response.Msg.GetRevision(), response.Msg.GetChanged()}, nil
}

func pin(ctx context.Context, client apiconnect.OperatorServiceClient, args *changeArgs) (changed, error) {
	response, err := client.PinKey(ctx, connect.NewRequest(&api.PinKeyRequest{
		Service: args.args[0], Key: args.args[1], Upstream: args.args[2],
		ExpectedVersion: args.expected, Author: args.author,
	}))
	if err != nil {
		return changed{}, err
	}
	return changed{response.Msg, response.Msg.GetRevision(), response.Msg.GetChanged()}, nil
}

func unpin(ctx context.Context, client apiconnect.OperatorServiceClient, args *changeArgs) (changed, error) {
	response, err := client.UnpinKey(ctx, connect.NewRequest(&api.UnpinKeyRequest{
		Service: args.args[0], Key: args.args[1], ExpectedVersion: args.expected, Author: args.author,
	}))
	if err != nil {
		return changed{}, err
	}
	return changed{response.Msg, response.Msg.GetRevision(), response.Msg.GetChanged()}, nil
}
