package rpc

import (
	"context"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/types/known/timestamppb"

	"rosemarywick.example/rosemarywick/internal/operator/api"
	"rosemarywick.example/rosemarywick/internal/operator/config"
)

// invalidArgument returns an error with the code InvalidArgument.
func invalidArgument(format string, args ...any) error {
	return connect.NewError(connect.CodeInvalidArgument, errors.Newf(format, args...))
}

// notFoundError returns an error with the code NotFound.
func notFoundError(kind, name string) error {
	return connect.NewError(connect.CodeNotFound, &config.NotFoundError{Kind: kind, Name: name})
}

// toConnectError wraps an error of package config with the code by which clients decide how to react, such as retrying.
func toConnectError(err error) error {
	var conflict *config.ConflictError
	var notFound *config.NotFoundError
	var invalid *config.InvalidError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &conflict):
		return conflictError(conflict)
	case errors.As(err, &notFound):
		return connect.NewError(connect.CodeNotFound, err)
	case errors.As(err, &invalid):
		return connect.NewError(connect.CodeInvalidArgument, err)
	case errors.Is(err, config.ErrTooLarge):
		return connect.NewError(connect.CodeResourceExhausted, err)
	case errors.Is(err, config.ErrOutcomeUnknown):
		return connect.NewError(connect.CodeUnknown, err)
	case errors.Is(err, config.ErrUnavailable):
		return connect.NewError(connect.CodeUnavailable, err)
	case errors.Is(err, context.Canceled):
		return connect.NewError(connect.CodeCanceled, err)
	}
	return connect.NewError(connect.CodeInternal, err)
}

// conflictError returns an error with the code Aborted, whose message and typed detail describe the latest version.
func conflictError(conflict *config.ConflictError) error {
	result := connect.NewError(connect.CodeAborted, conflict)
	detail, err := connect.NewErrorDetail(&api.ConflictDetail{
		Version: conflict.Version, Author: conflict.Author, Time: timestamppb.New(conflict.Time),
		ExpectedVersion: conflict.Expected,
	})
	if err == nil {
		result.AddDetail(detail)
	}
	return result
}
