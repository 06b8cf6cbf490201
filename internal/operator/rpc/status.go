package rpc

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"rosemarywick.example/rosemarywick/internal/operator/api"
	"rosemarywick.example/rosemarywick/internal/operator/config"
)

const (
	// statusInterval is the time between two looks at the hosts while a change spreads.
	statusInterval = 100 * time.Millisecond
	// maxBehind bounds the hosts that a status names.
	maxBehind = 20
)

// ConfigStatus counts the live daemons that have a version in force.
func (s *Server) ConfigStatus(
	ctx context.Context, request *connect.Request[api.ConfigStatusRequest],
) (*connect.Response[api.ConfigStatusResponse], error) {
	ctx, cancel := s.bounded(ctx)
	defer cancel()
	version, err := s.statusVersion(ctx, request.Msg.GetVersion())
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&api.ConfigStatusResponse{Status: statusOf(s.progress(version))}), nil
}

// statusVersion resolves zero to the latest version in the table, or, while the table is down, to the highest in force.
func (s *Server) statusVersion(ctx context.Context, version uint64) (uint64, error) {
	if version != 0 {
		return version, nil
	}
	latest, err := s.Config.Latest(ctx)
	if err == nil {
		return latest.Version, nil
	}
	for _, host := range s.liveVersions() {
		version = max(version, host.Version)
	}
	if version == 0 {
		return 0, translate(err)
	}
	return version, nil
}

func (s *Server) liveVersions() []config.HostVersion {
	var live []config.HostVersion
	for _, host := range s.Fleet.Hosts() {
		if host.State != HostLost {
			live = append(live, config.HostVersion{Host: host.ID, Version: host.ConfigVersion, Rejection: host.Rejection})
		}
	}
	return live
}

func (s *Server) progress(version uint64) config.RolloutProgress {
	return config.MeasureRollout(version, s.liveVersions())
}

func statusOf(progress config.RolloutProgress) *api.ConfigStatus {
	status := &api.ConfigStatus{
		Version: progress.Version, LiveHosts: uint32(progress.LiveHosts), InForce: uint32(progress.InForce),
		Everywhere: progress.Complete(),
	}
	for _, host := range progress.Behind[:min(len(progress.Behind), maxBehind)] {
		status.Behind = append(status.Behind, &api.HostLag{
			Host: string(host.Host), Version: host.Version, Rejection: host.Rejection,
		})
	}
	return status
}

// WatchConfigStatus sends the status whenever it changes, until the version is in force everywhere or the client leaves.
func (s *Server) WatchConfigStatus(
	ctx context.Context, request *connect.Request[api.WatchConfigStatusRequest],
	stream *connect.ServerStream[api.WatchConfigStatusResponse],
) error {
	version, err := s.statusVersion(ctx, request.Msg.GetVersion())
	if err != nil {
		return err
	}
	wake := s.Clock.Every(statusInterval)
	defer wake.Stop()
	var sent *api.ConfigStatus
	for {
		status := statusOf(s.progress(version))
		if !proto.Equal(status, sent) {
			if err := stream.Send(&api.WatchConfigStatusResponse{Status: status}); err != nil {
				return err
			}
			sent = status
		}
		if status.GetEverywhere() {
			return nil
		}
		select {
		case <-wake.C:
		case <-ctx.Done():
			return translate(context.Cause(ctx))
		case <-stopping(ctx):
			return connect.NewError(connect.CodeUnavailable, errors.New("the daemon is being stopped; ask another one"))
		}
	}
}
