package rpc

import (
	"cmp"
	"context"
	"slices"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"

	"rosemarywick.example/rosemarywick/internal/core/document"
	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/operator/api"
)

// ListHosts returns the daemons in the order of their names.
func (s *Server) ListHosts(
	context.Context, *connect.Request[api.ListHostsRequest],
) (*connect.Response[api.ListHostsResponse], error) {
	hosts := s.Fleet.Hosts()
	now := s.Clock.Now()
	response := &api.ListHostsResponse{}
	for _, host := range hosts {
		entry := &api.Host{
			Id: string(host.ID), Region: string(host.Locality.Region), Domain: string(host.Locality.Domain),
			PeerAddress: host.PeerAddress.String(), State: string(host.State), LastSeen: durationpb.New(max(0, now.Sub(host.LastSeen))),
			ConfigVersion: host.ConfigVersion, Rejection: host.Rejection,
		}
		for _, service := range host.AssignerOf {
			entry.AssignerOf = append(entry.AssignerOf, string(service))
		}
		response.Hosts = append(response.Hosts, entry)
	}
	slices.SortFunc(response.Hosts, func(a, b *api.Host) int { return cmp.Compare(a.GetId(), b.GetId()) })
	return connect.NewResponse(response), nil
}

// ListUpstreams returns the upstreams of one or all services in the order of services and names.
func (s *Server) ListUpstreams(
	_ context.Context, request *connect.Request[api.ListUpstreamsRequest],
) (*connect.Response[api.ListUpstreamsResponse], error) {
	service := request.Msg.GetService()
	response := &api.ListUpstreamsResponse{}
	for _, upstream := range s.Upstreams.Upstreams() {
		if service == "" || string(upstream.Service) == service {
			response.Upstreams = append(response.Upstreams, upstreamOf(&upstream))
		}
	}
	if service != "" && len(response.Upstreams) == 0 {
		return nil, notFound("service", service)
	}
	slices.SortFunc(response.Upstreams, func(a, b *api.Upstream) int {
		return cmp.Or(cmp.Compare(a.GetService(), b.GetService()), cmp.Compare(a.GetId(), b.GetId()))
	})
	return connect.NewResponse(response), nil
}

func upstreamOf(upstream *Upstream) *api.Upstream {
	return &api.Upstream{
		Id: string(upstream.ID), Service: string(upstream.Service), Region: string(upstream.Locality.Region),
		Domain: string(upstream.Locality.Domain), Address: upstream.Address.String(), Guard: string(upstream.Guard),
		State: string(upstream.State), Drained: upstream.Drained, InFlight: uint32(upstream.InFlight),
		Queued: uint32(upstream.Queued), Limit: uint32(upstream.Limit), Partitions: uint32(upstream.Partitions),
	}
}

// ListPartitions returns the partitions of one or all services in their order.
func (s *Server) ListPartitions(
	_ context.Context, request *connect.Request[api.ListPartitionsRequest],
) (*connect.Response[api.ListPartitionsResponse], error) {
	limit := int(request.Msg.GetLimit())
	if limit > document.MaxPartitions {
		return nil, invalid("limit: expected at most %d, not %d", document.MaxPartitions, limit)
	}
	if limit == 0 {
		limit = document.MaxPartitions
	}
	services := []fleet.ServiceName{fleet.ServiceName(request.Msg.GetService())}
	if request.Msg.GetService() == "" {
		services = slices.Sorted(slices.Values(s.Ownership.Services()))
	}
	response := &api.ListPartitionsResponse{}
	for _, service := range services {
		assignments, known := s.Ownership.Assignments(service)
		if !known {
			return nil, notFound("service with partitions", string(service))
		}
		selected := selectPartitions(assignments, request.Msg)
		response.Total += uint32(len(selected))
		for _, assignment := range selected[:min(len(selected), limit-len(response.Partitions))] {
			response.Partitions = append(response.Partitions, partitionOf(service, assignment))
		}
	}
	return connect.NewResponse(response), nil
}

// selectPartitions returns the assignments that the request asks for in the order of their partitions.
func selectPartitions(assignments []fleet.Assignment, request *api.ListPartitionsRequest) []fleet.Assignment {
	var selected []fleet.Assignment
	for _, assignment := range assignments {
		owned := request.GetOwner() == "" || string(assignment.Owner) == request.GetOwner()
		unsettled := assignment.Owner == "" || assignment.Moving
		if owned && (unsettled || !request.GetUnsettled()) {
			selected = append(selected, assignment)
		}
	}
	slices.SortFunc(selected, func(a, b fleet.Assignment) int { return cmp.Compare(a.Partition, b.Partition) })
	return selected
}

func partitionOf(service fleet.ServiceName, assignment fleet.Assignment) *api.Partition {
	return &api.Partition{
		Service: string(service), Id: uint32(assignment.Partition), Owner: string(assignment.Owner),
		Standby: string(assignment.Standby), Fence: fenceOf(assignment.Fence), Moving: assignment.Moving,
	}
}

func fenceOf(fence fleet.Fence) *api.Fence {
	return &api.Fence{Epoch: uint64(fence.Epoch), Counter: fence.Counter}
}

// OwnerOf returns the owner of a key.
func (s *Server) OwnerOf(
	_ context.Context, request *connect.Request[api.OwnerOfRequest],
) (*connect.Response[api.OwnerOfResponse], error) {
	service, key := request.Msg.GetService(), request.Msg.GetKey()
	if service == "" || key == "" {
		return nil, invalid("expected the name of a service and a key")
	}
	location, known := s.Ownership.Locate(fleet.ServiceName(service), key)
	if !known {
		return nil, notFound("service with partitions", service)
	}
	return connect.NewResponse(&api.OwnerOfResponse{
		Service: service, KeyHash: uint64(location.KeyHash),
		Partition: partitionOf(fleet.ServiceName(service), location.Assignment),
		Dedicated: location.Dedicated,
	}), nil
}
