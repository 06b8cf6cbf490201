package cli

import (
	"context"
	"io"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"rosemarywick.example/rosemarywick/internal/operator/api"
	"rosemarywick.example/rosemarywick/internal/operator/api/apiconnect"
	"rosemarywick.example/rosemarywick/internal/operator/config"
)

func (r *Root) configCommand() *cobra.Command {
	command := &cobra.Command{
		Use:   "config",
		Short: "Check, compare, apply and show the configuration",
		Args:  usageArgs(cobra.NoArgs),
		RunE:  func(*cobra.Command, []string) error { return usage("config: expected a command; see --help") },
	}
	command.AddCommand(r.configCheck(), r.configDiff(), r.configApply(), r.configGet(), r.configStatus())
	return command
}

// readText reads a document from a file or from standard input.
func (r *Root) readText(path string) (name, text string, err error) {
	name, file, err := r.open(path)
	if err != nil {
		return "", "", errors.Wrap(err, "read document")
	}
	defer func() { _ = file.Close() }() // nothing was written
	content, err := io.ReadAll(io.LimitReader(file, config.MaxDocumentBytes+1))
	if err != nil {
		return "", "", errors.Wrap(err, "read document")
	}
	if len(content) > config.MaxDocumentBytes {
		return "", "", usage("%s: expected at most %d bytes", name, config.MaxDocumentBytes)
	}
	return name, string(content), nil
}

func (r *Root) configCheck() *cobra.Command {
	command := &cobra.Command{
		Use:   "check FILE",
		Short: "Check a document, by a daemon if --server is given and in this process otherwise",
		Args:  usageArgs(cobra.ExactArgs(1)),
	}
	remote := r.withRemote(command)
	command.RunE = func(command *cobra.Command, args []string) error {
		name, text, err := r.readText(args[0])
		if err != nil {
			return err
		}
		if len(remote.servers) == 0 {
			return remote.checkLocally(name, text)
		}
		return remote.call(command.Context(), func(ctx context.Context, client apiconnect.OperatorServiceClient) error {
			response, err := client.CheckConfig(ctx, connect.NewRequest(&api.CheckConfigRequest{Text: text, Name: name}))
			if err != nil {
				return err
			}
			return remote.checked(name, response.Msg)
		})
	}
	return command
}

func (c *caller) checkLocally(name, text string) error {
	doc, err := config.Parse(name, text)
	if err != nil {
		return c.checked(name, &api.CheckConfigResponse{Problem: err.Error()})
	}
	size := config.CountElements(doc)
	return c.checked(name, &api.CheckConfigResponse{
		Valid: true, Services: uint32(size.Services), Upstreams: uint32(size.Upstreams), Tenants: uint32(size.Tenants),
		Pins: uint32(size.Pins),
	})
}

func (c *caller) checked(name string, response *api.CheckConfigResponse) error {
	if !response.GetValid() && c.output.value == outputTable {
		return usage("%s", response.GetProblem())
	}
	err := c.print(response, func(out io.Writer) {
		writef(out, "%s is valid: %d services, %d upstreams, %d tenants, %d pins\n", name, response.GetServices(),
			response.GetUpstreams(), response.GetTenants(), response.GetPins())
	})
	if err == nil && !response.GetValid() {
		return usage("%s", response.GetProblem())
	}
	return err
}

func (r *Root) configDiff() *cobra.Command {
	request := &api.DiffConfigRequest{}
	var with uint64
	command := &cobra.Command{
		Use:   "diff [FILE]",
		Short: "Compare a document, or the version --with, with a version",
		Args:  usageArgs(cobra.MaximumNArgs(1)),
	}
	command.Flags().Uint64Var(&request.Version, "version", 0, "version to compare with; 0 is the latest")
	command.Flags().Uint64Var(&with, "with", 0, "version to compare instead of a document")
	remote := r.withRemote(command)
	command.RunE = func(command *cobra.Command, args []string) error {
		if (len(args) == 1) == command.Flags().Changed("with") {
			return usage("config diff: expected either FILE or --with")
		}
		request.Other = &api.DiffConfigRequest_OtherVersion{OtherVersion: with}
		if len(args) == 1 {
			_, text, err := r.readText(args[0])
			if err != nil {
				return err
			}
			request.Other = &api.DiffConfigRequest_Text{Text: text}
		}
		return remote.call(command.Context(), func(ctx context.Context, client apiconnect.OperatorServiceClient) error {
			response, err := client.DiffConfig(ctx, connect.NewRequest(request))
			if err != nil {
				return err
			}
			return remote.print(response.Msg, func(out io.Writer) { writef(out, "%s", response.Msg.GetDiff()) })
		})
	}
	return command
}

func (r *Root) configApply() *cobra.Command {
	request := &api.ApplyConfigRequest{}
	command := &cobra.Command{
		Use:   "apply FILE --expected-version N",
		Short: "Store a document as the next version, unless another change came first",
		Args:  usageArgs(cobra.ExactArgs(1)),
	}
	wait := changeFlags(command, &request.ExpectedVersion, &request.Author)
	remote := r.withRemote(command)
	command.RunE = func(command *cobra.Command, args []string) error {
		if !command.Flags().Changed("expected-version") {
			return usage("config apply: the flag --expected-version is required; " +
				"it is the version that the document was made from, and 0 if there is none")
		}
		var err error
		if request.Name, request.Text, err = r.readText(args[0]); err != nil {
			return err
		}
		return remote.change(command.Context(), *wait, func(
			ctx context.Context, client apiconnect.OperatorServiceClient,
		) (changed, error) {
			response, err := client.ApplyConfig(ctx, connect.NewRequest(request))
			if err != nil {
				return changed{}, err
			}
			return changed{message: response.Msg, revision: response.Msg.GetRevision(), changed: true}, nil
		})
	}
	return command
}

func (r *Root) configGet() *cobra.Command {
	request := &api.GetConfigRequest{}
	command := &cobra.Command{
		Use:   "get",
		Short: "Print a version of the configuration",
		Args:  usageArgs(cobra.NoArgs),
	}
	command.Flags().Uint64Var(&request.Version, "version", 0, "version to print, of the last 20; 0 is the latest")
	remote := r.withRemote(command)
	command.RunE = func(command *cobra.Command, _ []string) error {
		return remote.call(command.Context(), func(ctx context.Context, client apiconnect.OperatorServiceClient) error {
			response, err := client.GetConfig(ctx, connect.NewRequest(request))
			if err != nil {
				return err
			}
			revision := response.Msg.GetRevision()
			return remote.print(response.Msg, func(out io.Writer) {
				r.progress("%s", showRevision(revision)) // the text alone goes to a file when redirected
				writef(out, "%s", revision.GetText())
			})
		})
	}
	return command
}
