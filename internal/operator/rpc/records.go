package rpc

import (
	"context"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"

	"rosemarywick.example/rosemarywick/internal/core/cause"
	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/observe/records"
	"rosemarywick.example/rosemarywick/internal/operator/api"
)

const (
	defaultRecords = 50
	maxRecords     = 1000
	// maxAttempts bounds the attempts that are shown of one record. The retry budget keeps the number small.
	maxAttempts = 16
)

// Explain searches for the records of a request.
func (s *Server) Explain(
	ctx context.Context, request *connect.Request[api.ExplainRequest],
) (*connect.Response[api.ExplainResponse], error) {
	id := fleet.RequestID(request.Msg.GetRequestId())
	if id == "" {
		return nil, invalid("request_id: expected the value of the header Rosemarywick-Request-Id")
	}
	if request.Msg.GetLocal() {
		response := &api.ExplainResponse{RequestId: string(id), Source: string(records.SourceNone)}
		if found := s.Records.Find(id); len(found) > 0 {
			response.Source, response.Records = string(records.SourceRing), recordsOf(found)
		}
		return connect.NewResponse(response), nil
	}
	ctx, cancel := s.bounded(ctx)
	defer cancel()
	query := records.Query{Request: id, Host: fleet.HostID(request.Msg.GetHost())}
	if request.Msg.GetAt() != nil {
		query.ReceivedAround = request.Msg.GetAt().AsTime()
	}
	return connect.NewResponse(explanationOf(s.Explainer.Explain(ctx, query))), nil
}

func explanationOf(explanation *records.Explanation) *api.ExplainResponse {
	response := &api.ExplainResponse{
		RequestId: string(explanation.Request), Records: recordsOf(explanation.Records),
		Source: string(explanation.Source), Batches: uint32(explanation.BatchesRead), Dropped: explanation.Dropped,
		Truncated: explanation.Truncated, Damaged: explanation.DamagedBatches,
	}
	for _, host := range explanation.Unreachable {
		response.Unreachable = append(response.Unreachable, string(host))
	}
	if !explanation.SearchedSince.IsZero() {
		response.Oldest = timestamppb.New(explanation.SearchedSince)
	}
	if explanation.StoreError != nil {
		response.StoreError = explanation.StoreError.Error()
	}
	return response
}

// RecentRecords returns the newest records of this host.
func (s *Server) RecentRecords(
	_ context.Context, request *connect.Request[api.RecentRecordsRequest],
) (*connect.Response[api.RecentRecordsResponse], error) {
	filter := records.Filter{
		Cause: cause.Cause(request.Msg.GetCause()), Service: fleet.ServiceName(request.Msg.GetService()),
		Tenant: fleet.TenantName(request.Msg.GetTenant()),
	}
	limit := int(request.Msg.GetLimit())
	switch {
	case filter.Cause != "" && !records.IsKnownCause(filter.Cause):
		return nil, invalid("cause: expected one of the list of causes, not %q", filter.Cause)
	case limit > maxRecords:
		return nil, invalid("limit: expected at most %d, not %d", maxRecords, limit)
	case limit == 0:
		limit = defaultRecords
	}
	return connect.NewResponse(&api.RecentRecordsResponse{Records: recordsOf(s.Records.Recent(filter, limit))}), nil
}

func recordsOf(found []cause.Record) []*api.Record {
	result := make([]*api.Record, 0, len(found))
	for i := range found {
		result = append(result, recordOf(&found[i]))
	}
	return result
}

func recordOf(record *cause.Record) *api.Record {
	result := &api.Record{
		RequestId: string(record.Request), Host: string(record.Host), Service: string(record.Service),
		Tenant: string(record.Tenant), KeyHash: uint64(record.Key), Partition: uint32(record.Partition),
		Fence: fenceOf(record.Fence), ConfigVersion: record.ConfigVersion, Started: timestamppb.New(record.Started),
		Queued: durationpb.New(record.QueueTime), Total: durationpb.New(record.TotalTime), Outcome: string(record.Outcome),
		Cause: string(record.Cause), Meaning: records.Meaning(record.Cause), Detail: record.Detail,
	}
	for _, attempt := range record.Attempts[:min(len(record.Attempts), maxAttempts)] {
		result.Attempts = append(result.Attempts, &api.Attempt{
			Upstream: string(attempt.Upstream), Started: timestamppb.New(attempt.Started),
			Duration: durationpb.New(attempt.Duration), Cause: string(attempt.Cause),
		})
	}
	return result
}
