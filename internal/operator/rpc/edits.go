package rpc

import (
	"context"

	"connectrpc.com/connect"

	"rosemarywick.example/rosemarywick/internal/core/document"
	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/operator/api"
	"rosemarywick.example/rosemarywick/internal/operator/config"
)

// DrainUpstream drains an upstream.
func (s *Server) DrainUpstream(
	ctx context.Context, request *connect.Request[api.DrainUpstreamRequest],
) (*connect.Response[api.DrainUpstreamResponse], error) {
	revision, changed, err := s.edit(ctx, "drain", request.Msg.GetAuthor(), request.Msg.GetExpectedVersion(),
		config.Drain{Upstream: fleet.UpstreamID(request.Msg.GetUpstream()), Drained: true})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&api.DrainUpstreamResponse{Revision: revision, Changed: changed}), nil
}

// UndrainUpstream gives an upstream new work again.
func (s *Server) UndrainUpstream(
	ctx context.Context, request *connect.Request[api.UndrainUpstreamRequest],
) (*connect.Response[api.UndrainUpstreamResponse], error) {
	revision, changed, err := s.edit(ctx, "undrain", request.Msg.GetAuthor(), request.Msg.GetExpectedVersion(),
		config.Drain{Upstream: fleet.UpstreamID(request.Msg.GetUpstream())})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&api.UndrainUpstreamResponse{Revision: revision, Changed: changed}), nil
}

// PinKey keeps a key on one server.
func (s *Server) PinKey(
	ctx context.Context, request *connect.Request[api.PinKeyRequest],
) (*connect.Response[api.PinKeyResponse], error) {
	revision, changed, err := s.edit(ctx, "pin", request.Msg.GetAuthor(), request.Msg.GetExpectedVersion(),
		config.Pin{Pin: document.Pin{
			Service: fleet.ServiceName(request.Msg.GetService()), Key: request.Msg.GetKey(),
			Upstream: fleet.UpstreamID(request.Msg.GetUpstream()),
		}})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&api.PinKeyResponse{Revision: revision, Changed: changed}), nil
}

// UnpinKey ends the pin of a key.
func (s *Server) UnpinKey(
	ctx context.Context, request *connect.Request[api.UnpinKeyRequest],
) (*connect.Response[api.UnpinKeyResponse], error) {
	revision, changed, err := s.edit(ctx, "unpin", request.Msg.GetAuthor(), request.Msg.GetExpectedVersion(),
		config.Unpin{Service: fleet.ServiceName(request.Msg.GetService()), Key: request.Msg.GetKey()})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&api.UnpinKeyResponse{Revision: revision, Changed: changed}), nil
}

func (s *Server) edit(
	ctx context.Context, name, stated string, expected uint64, edit config.Edit,
) (*api.Revision, bool, error) {
	ctx, cancel := s.bounded(ctx)
	defer cancel()
	by, err := author(ctx, stated)
	if err != nil {
		return nil, false, err
	}
	revision, changed, err := s.Config.Edit(ctx, by, expected, edit)
	s.stored(ctx, name, revision, changed, err)
	if err != nil {
		return nil, false, translate(err)
	}
	return revisionOf(revision, false), changed, nil
}
