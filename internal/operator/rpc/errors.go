package rpc

import (
	"context"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/types/known/timestamppb"

	"rosemarywick.example/rosemarywick/internal/operator/api"
	"rosemarywick.example/rosemarywick/internal/operator/config"
)

// invalid returns the error of a call whose arguments cannot be understood.
func invalid(format string, args ...any) error {
	return connect.NewError(connect.CodeInvalidArgument, errors.Newf(format, args...))
}

func notFound(kind, name string) error {
	return connect.NewError(connect.CodeNotFound, &config.NotFoundError{Kind: kind, Name: name})
}

// translate gives an error of the configuration the code by which clients tell what to do.
func translate(err error) error {
	var conflict *config.ConflictError
	var missing *config.NotFoundError
	var faulty *config.InvalidError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &conflict):
		return conflictError(conflict)
	case errors.As(err, &missing):
		return connect.NewError(connect.CodeNotFound, err)
	case errors.As(err, &faulty):
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

// conflictError tells the client which change won, in words and as a detail for programs.
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
