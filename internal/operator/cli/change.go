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

// changeResult is the result of a call that changes the configuration.
type changeResult struct {
	// message is the response, which is printed as JSON.
	message  proto.Message
	revision *api.Revision
	// changed is false if the configuration already had the requested state.
	changed bool
}

// addChangeFlags adds the flags that all commands for changes share. It returns the value of the flag --wait.
func addChangeFlags(command *cobra.Command, expected *uint64, author *string) *bool {
	command.Flags().Uint64Var(expected, "expected-version", 0, "version that the change is based on; it fails on any other")
	command.Flags().StringVar(author, "author", "", "person or program on whose behalf the change is made")
	return command.Flags().Bool("wait", false, waitHelp)
}

// runChange calls do, prints its result and, if wait is set, waits until the new version is in force on all live hosts.
func (c *daemonClient) runChange(
	ctx context.Context, wait bool,
	do func(ctx context.Context, client apiconnect.OperatorServiceClient) (changeResult, error),
) error {
	var result changeResult
	err := c.call(ctx, func(ctx context.Context, client apiconnect.OperatorServiceClient) (err error) {
		result, err = do(ctx, client)
		return err
	})
	if err != nil {
		return err
	}
	err = c.printMessage(result.message, func(out io.Writer) {
		if result.changed {
			writef(out, "stored %s\n", formatRevision(result.revision))
		} else {
			writef(out, "nothing to change in %s\n", formatRevision(result.revision))
		}
	})
	if err != nil || !wait {
		return err
	}
	return c.waitInForce(ctx, result.revision.GetVersion())
}

// changeArgs holds the positional arguments and the flags of a command that changes one element of the configuration.
type changeArgs struct {
	positional []string
	expected   uint64
	author     string
}

// changeFunc sends the request that makes a change and returns its result.
type changeFunc func(ctx context.Context, client apiconnect.OperatorServiceClient, args *changeArgs) (changeResult, error)

// newChangeCommand returns a command that runs do. The string use is the command's name followed by the names of its
// positional arguments, all of which are required.
func (r *Root) newChangeCommand(use, short string, do changeFunc) *cobra.Command {
	command := &cobra.Command{
		Use:   use,
		Short: short,
		Args:  usageArgs(cobra.ExactArgs(strings.Count(use, " "))),
	}
	args := &changeArgs{}
	wait := addChangeFlags(command, &args.expected, &args.author)
	remote := r.addRemoteFlags(command)
	command.RunE = func(command *cobra.Command, words []string) error {
		args.positional = words
		return remote.runChange(command.Context(), *wait, func(
			ctx context.Context, client apiconnect.OperatorServiceClient,
		) (changeResult, error) {
			return do(ctx, client, args)
		})
	}
	return command
}

func drainUpstream(ctx context.Context, client apiconnect.OperatorServiceClient, args *changeArgs) (changeResult, error) {
	response, err := client.DrainUpstream(ctx, connect.NewRequest(&api.DrainUpstreamRequest{
		Upstream: args.positional[0], ExpectedVersion: args.expected, Author: args.author,
	}))
	if err != nil {
		return changeResult{}, err
	}
	return changeResult{response.Msg, response.Msg.GetRevision(), response.Msg.GetChanged()}, nil
}

func undrainUpstream(ctx context.Context, client apiconnect.OperatorServiceClient, args *changeArgs) (changeResult, error) {
	response, err := client.UndrainUpstream(ctx, connect.NewRequest(&api.UndrainUpstreamRequest{
		Upstream: args.positional[0], ExpectedVersion: args.expected, Author: args.author,
	}))
	if err != nil {
		return changeResult{}, err
	}
	return changeResult{response.Msg, response.Msg.GetRevision(), response.Msg.GetChanged()}, nil
}

func pinKey(ctx context.Context, client apiconnect.OperatorServiceClient, args *changeArgs) (changeResult, error) {
	response, err := client.PinKey(ctx, connect.NewRequest(&api.PinKeyRequest{
		Service: args.positional[0], Key: args.positional[1], Upstream: args.positional[2],
		ExpectedVersion: args.expected, Author: args.author,
	}))
	if err != nil {
		return changeResult{}, err
	}
	return changeResult{response.Msg, response.Msg.GetRevision(), response.Msg.GetChanged()}, nil
}

func unpinKey(ctx context.Context, client apiconnect.OperatorServiceClient, args *changeArgs) (changeResult, error) {
	response, err := client.UnpinKey(ctx, connect.NewRequest(&api.UnpinKeyRequest{
		Service: args.positional[0], Key: args.positional[1], ExpectedVersion: args.expected, Author: args.author,
	}))
	if err != nil {
		return changeResult{}, err
	}
	return changeResult{response.Msg, response.Msg.GetRevision(), response.Msg.GetChanged()}, nil
}
