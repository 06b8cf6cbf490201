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
	// statusPollInterval is the time between two computations of the status that WatchConfigStatus sends.
	statusPollInterval = 100 * time.Millisecond
	// maxBehindHosts limits the number of hosts that a status lists as behind.
	maxBehindHosts = 20
)

// ConfigStatus returns the rollout progress of a version.
func (s *Server) ConfigStatus(
	ctx context.Context, request *connect.Request[api.ConfigStatusRequest],
) (*connect.Response[api.ConfigStatusResponse], error) {
	ctx, cancel := s.withCallTimeout(ctx)
	defer cancel()
	version, err := s.resolveVersion(ctx, request.Msg.GetVersion())
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&api.ConfigStatusResponse{Status: statusToProto(s.rolloutProgress(version))}), nil
}

// resolveVersion replaces zero by the latest version in the table, or, if the table can't be read, by the highest version in
// force on any live host.
func (s *Server) resolveVersion(ctx context.Context, version uint64) (uint64, error) {
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
		return 0, toConnectError(err)
	}
	return version, nil
}

// liveVersions returns the versions of all hosts that are not lost.
func (s *Server) liveVersions() []config.HostVersion {
	var live []config.HostVersion
	for _, host := range s.Fleet.Hosts() {
		if host.State != HostLost {
			live = append(live, config.HostVersion{Host: host.ID, Version: host.ConfigVersion, Rejection: host.Rejection})
		}
	}
	return live
}

func (s *Server) rolloutProgress(version uint64) config.RolloutProgress {
	return config.MeasureRollout(version, s.liveVersions())
}

func statusToProto(progress config.RolloutProgress) *api.ConfigStatus {
	status := &api.ConfigStatus{
		Version: progress.Version, LiveHosts: uint32(progress.LiveHosts), InForce: uint32(progress.InForce),
		Everywhere: progress.Complete(),
	}
	for _, host := range progress.Behind[:min(len(progress.Behind), maxBehindHosts)] {
		status.Behind = append(status.Behind, &api.HostLag{
			Host: string(host.Host), Version: host.Version, Rejection: host.Rejection,
		})
	}
	return status
}

// WatchConfigStatus sends the rollout progress of a version whenever it changes. It returns when the version is in force on
// all live hosts, the client disconnects or the server stops.
func (s *Server) WatchConfigStatus(
	ctx context.Context, request *connect.Request[api.WatchConfigStatusRequest],
	stream *connect.ServerStream[api.WatchConfigStatusResponse],
) error {
	version, err := s.resolveVersion(ctx, request.Msg.GetVersion())
	if err != nil {
		return err
	}
	ticker := s.Clock.Every(statusPollInterval)
	defer ticker.Stop()
	var sent *api.ConfigStatus
	for {
		status := statusToProto(s.rolloutProgress(version))
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
		case <-ticker.C:
		case <-ctx.Done():
			return toConnectError(context.Cause(ctx))
		case <-streamsDone(ctx):
			return connect.NewError(connect.CodeUnavailable, errors.New("the daemon is stopping; call another one"))
		}
	}
}
