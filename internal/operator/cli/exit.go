package cli

import (
	"context"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
)

// ExitCode is the status with which the program ends. Scripts depend on the numbers, so they never change.
type ExitCode int

const (
	// ExitOK means that the command did what it was asked.
	ExitOK ExitCode = 0
	// ExitFailure means that the command failed for a reason without a code of its own.
	ExitFailure ExitCode = 1
	// ExitUsage means that the arguments or the given document are invalid.
	ExitUsage ExitCode = 2
	// ExitConflict means that another change won the race.
	ExitConflict ExitCode = 3
	// ExitNotFound means that what the arguments name does not exist.
	ExitNotFound ExitCode = 4
	// ExitUnreachable means that no daemon, or not the table behind it, answered in time.
	ExitUnreachable ExitCode = 5
	// ExitDenied means that the certificate does not permit the call.
	ExitDenied ExitCode = 6
)

const exitCodeHelp = `Exit codes: 0 ok, 1 failure, 2 usage, 3 conflict, 4 not found, 5 unreachable, 6 denied.`

// usageError marks an error in the arguments.
type usageError struct{ err error }

// Error returns the text of the error that it marks.
func (u *usageError) Error() string { return u.err.Error() }

// Unwrap returns the error that it marks.
func (u *usageError) Unwrap() error { return u.err }

// usageArgs marks the errors of an argument check, since cobra does not tell them from errors of the command.
func usageArgs(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(command *cobra.Command, args []string) error {
		if err := check(command, args); err != nil {
			return &usageError{err: errors.Wrap(err, command.CommandPath())}
		}
		return nil
	}
}

// report prints the error without the prefix that connect adds.
func (r *Root) report(err error) {
	r.progress("rosemarywick: %s", message(err))
}

func message(err error) string {
	var rejected *connect.Error
	if errors.As(err, &rejected) {
		return rejected.Message()
	}
	return err.Error()
}

// unreachableError means that no connection to a daemon could be established.
type unreachableError struct{ err error }

// Error says why the last daemon could not be reached.
func (u *unreachableError) Error() string { return "no daemon can be reached: " + message(u.err) }

var exitCodes = map[connect.Code]ExitCode{
	connect.CodeInvalidArgument:  ExitUsage,
	connect.CodeAborted:          ExitConflict,
	connect.CodeNotFound:         ExitNotFound,
	connect.CodeUnavailable:      ExitUnreachable,
	connect.CodeDeadlineExceeded: ExitUnreachable,
	connect.CodeUnauthenticated:  ExitDenied,
	connect.CodePermissionDenied: ExitDenied,
}

func exitCode(err error) ExitCode {
	var usage *usageError
	if errors.As(err, &usage) {
		return ExitUsage
	}
	var unreachable *unreachableError
	if errors.As(err, &unreachable) || errors.Is(err, context.DeadlineExceeded) {
		return ExitUnreachable
	}
	if code, known := exitCodes[connect.CodeOf(err)]; known {
		return code
	}
	return ExitFailure
}
