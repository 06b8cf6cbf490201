package rpc

import (
	"context"

	"connectrpc.com/connect"

	"rosemarywick.example/rosemarywick/internal/core/document"
	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/operator/api"
	"rosemarywick.example/rosemarywick/internal/operator/config"
)

// DrainUpstream marks an upstream as drained, so that it gets no new work.
func (s *Server) DrainUpstream(
	ctx context.Context, request *connect.Request[api.DrainUpstreamRequest],
) (*connect.Response[api.DrainUpstreamResponse], error) {
	revision, changed, err := s.applyEdit(ctx, "drain", request.Msg.GetAuthor(), request.Msg.GetExpectedVersion(),
		config.Drain{Upstream: fleet.UpstreamID(request.Msg.GetUpstream()), Drained: true})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&api.DrainUpstreamResponse{Revision: revision, Changed: changed}), nil
}

// UndrainUpstream clears the drained mark of an upstream, so that it gets new work again.
func (s *Server) UndrainUpstream(
	ctx context.Context, request *connect.Request[api.UndrainUpstreamRequest],
) (*connect.Response[api.UndrainUpstreamResponse], error) {
	revision, changed, err := s.applyEdit(ctx, "undrain", request.Msg.GetAuthor(), request.Msg.GetExpectedVersion(),
		config.Drain{Upstream: fleet.UpstreamID(request.Msg.GetUpstream())})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&api.UndrainUpstreamResponse{Revision: revision, Changed: changed}), nil
}

// PinKey assigns a key permanently to one server.
func (s *Server) PinKey(
	ctx context.Context, request *connect.Request[api.PinKeyRequest],
) (*connect.Response[api.PinKeyResponse], error) {
	revision, changed, err := s.applyEdit(ctx, "pin", request.Msg.GetAuthor(), request.Msg.GetExpectedVersion(),
		config.Pin{Pin: document.Pin{
			Service: fleet.ServiceName(request.Msg.GetService()), Key: request.Msg.GetKey(),
			Upstream: fleet.UpstreamID(request.Msg.GetUpstream()),
		}})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&api.PinKeyResponse{Revision: revision, Changed: changed}), nil
}

// UnpinKey removes the pin of a key.
func (s *Server) UnpinKey(
	ctx context.Context, request *connect.Request[api.UnpinKeyRequest],
) (*connect.Response[api.UnpinKeyResponse], error) {
	revision, changed, err := s.applyEdit(ctx, "unpin", request.Msg.GetAuthor(), request.Msg.GetExpectedVersion(),
		config.Unpin{Service: fleet.ServiceName(request.Msg.GetService()), Key: request.Msg.GetKey()})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&api.UnpinKeyResponse{Revision: revision, Changed: changed}), nil
}

// applyEdit stores the result of an edit and reports the change under the name of the operation.
func (s *Server) applyEdit(
	ctx context.Context, operation, statedAuthor string, expected uint64, edit config.Edit,
) (*api.Revision, bool, error) {
	ctx, cancel := s.withCallTimeout(ctx)
	defer cancel()
	author, err := authorName(ctx, statedAuthor)
	if err != nil {
		return nil, false, err
	}
	revision, changed, err := s.Config.Edit(ctx, author, expected, edit)
	s.reportChange(ctx, operation, revision, changed, err)
	if err != nil {
		return nil, false, toConnectError(err)
	}
	return revisionToProto(revision, false), changed, nil
}
