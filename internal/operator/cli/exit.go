package cli

import (
	"context"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
)

// ExitCode is the exit status of the program. Scripts depend on the numbers, so they must not change.
type ExitCode int

const (
	// ExitOK means that the command succeeded.
	ExitOK ExitCode = 0
	// ExitFailure means that the command failed for a reason without a code of its own.
	ExitFailure ExitCode = 1
	// ExitUsage means that the arguments or the given document are invalid.
	ExitUsage ExitCode = 2
	// ExitConflict means that another change was stored first, so that the expected version is not the latest.
	ExitConflict ExitCode = 3
	// ExitNotFound means that an element that the arguments name does not exist.
	ExitNotFound ExitCode = 4
	// ExitUnreachable means that no daemon was reachable, or that the daemon or its table service did not respond in time.
	ExitUnreachable ExitCode = 5
	// ExitDenied means that the certificate does not permit the call.
	ExitDenied ExitCode = 6
)

const exitCodeHelp = `Exit codes: 0 ok, 1 failure, 2 usage, 3 conflict, 4 not found, 5 unreachable, 6 denied.`

// usageError marks an error as caused by the arguments or a given document.
type usageError struct{ err error }

// Error returns the message of the underlying error.
func (u *usageError) Error() string { return u.err.Error() }

// Unwrap returns the underlying error.
func (u *usageError) Unwrap() error { return u.err }

// usageArgs wraps a check of positional arguments so that it returns a usageError. cobra itself doesn't distinguish errors in
// the arguments from errors of the command.
func usageArgs(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(command *cobra.Command, args []string) error {
		if err := check(command, args); err != nil {
			return &usageError{err: errors.Wrap(err, command.CommandPath())}
		}
		return nil
	}
}

// printError prints an error on standard error, without the prefix that connect adds.
func (r *Root) printError(err error) {
	r.printStderr("rosemarywick: %s", errorMessage(err))
}

// errorMessage returns the message of an error, without the code if it is a connect error.
func errorMessage(err error) string {
	var connectErr *connect.Error
	if errors.As(err, &connectErr) {
		return connectErr.Message()
	}
	return err.Error()
}

// unreachableError means that no connection to a daemon could be established.
type unreachableError struct{ err error }

// Error returns a message with the reason why the last daemon that was tried is unreachable.
func (u *unreachableError) Error() string { return "no daemon can be reached: " + errorMessage(u.err) }

// exitCodeByConnectCode maps the code of an error that a daemon returned. Other codes give ExitFailure.
var exitCodeByConnectCode = map[connect.Code]ExitCode{
	connect.CodeInvalidArgument:  ExitUsage,
	connect.CodeAborted:          ExitConflict,
	connect.CodeNotFound:         ExitNotFound,
	connect.CodeUnavailable:      ExitUnreachable,
	connect.CodeDeadlineExceeded: ExitUnreachable,
	connect.CodeUnauthenticated:  ExitDenied,
	connect.CodePermissionDenied: ExitDenied,
}

// exitCodeOf returns the exit code for a non-nil error.
func exitCodeOf(err error) ExitCode {
	var usage *usageError
	if errors.As(err, &usage) {
		return ExitUsage
	}
	var unreachable *unreachableError
	if errors.As(err, &unreachable) || errors.Is(err, context.DeadlineExceeded) {
		return ExitUnreachable
	}
	if code, known := exitCodeByConnectCode[connect.CodeOf(err)]; known {
		return code
	}
	return ExitFailure
}
