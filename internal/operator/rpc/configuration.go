package rpc

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/timestamppb"

	"rosemarywick.example/rosemarywick/internal/core/document"
	"rosemarywick.example/rosemarywick/internal/operator/api"
	"rosemarywick.example/rosemarywick/internal/operator/config"
)

const (
	// callTimeout limits each unary call. A client's deadline can only shorten it.
	callTimeout = 20 * time.Second
	// deadlineReserveDivisor reserves 1/10 of the time until the client's deadline for the response, so that the client gets
	// an error that says whether its change may have taken effect instead of a bare deadline error.
	deadlineReserveDivisor = 10
	// maxAuthorBytes limits the author name that a client may state.
	maxAuthorBytes = 128
)

// withCallTimeout returns a context that ends early enough before the client's deadline to send a response.
func (s *Server) withCallTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	timeout := callTimeout
	if deadline, hasDeadline := ctx.Deadline(); hasDeadline {
		remaining := deadline.Sub(s.Clock.Now())
		timeout = min(timeout, remaining-remaining/deadlineReserveDivisor)
	}
	return context.WithTimeout(ctx, timeout)
}

// authorName returns the author to store with a change: the name that the client states, followed by the subject of its
// certificate, which the client cannot choose. If both are equal or none is stated, it is the subject alone.
func authorName(ctx context.Context, stated string) (string, error) {
	subject := certificateSubject(ctx)
	if len(stated) > maxAuthorBytes {
		return "", invalidArgument("author: expected at most %d bytes, not %d", maxAuthorBytes, len(stated))
	}
	if stated == "" || stated == subject {
		return subject, nil
	}
	return fmt.Sprintf("%s (certificate of %s)", stated, subject), nil
}

// revisionToProto converts a revision to its message, with the document's text only if withText is set.
func revisionToProto(revision *config.Revision, withText bool) *api.Revision {
	result := &api.Revision{
		Version: revision.Version, Author: revision.Author, Time: timestamppb.New(revision.Time),
	}
	if withText {
		result.Text = revision.Text
	}
	return result
}

// documentName returns the document name for error messages, with a default for clients that state none.
func documentName(name string) string {
	if name == "" {
		return "document"
	}
	return name
}

// CheckConfig validates a document without storing it.
func (s *Server) CheckConfig(
	_ context.Context, request *connect.Request[api.CheckConfigRequest],
) (*connect.Response[api.CheckConfigResponse], error) {
	return connect.NewResponse(checkResult(config.Parse(documentName(request.Msg.GetName()), request.Msg.GetText()))), nil
}

// checkResult converts the result of config.Parse to a response.
func checkResult(doc *document.Document, parseErr error) *api.CheckConfigResponse {
	if parseErr != nil {
		return &api.CheckConfigResponse{Problem: parseErr.Error()}
	}
	counts := config.CountElements(doc)
	return &api.CheckConfigResponse{
		Valid: true, Services: uint32(counts.Services), Upstreams: uint32(counts.Upstreams), Tenants: uint32(counts.Tenants),
		Pins: uint32(counts.Pins),
	}
}

// ApplyConfig stores a document as the next version if the expected version is the latest.
func (s *Server) ApplyConfig(
	ctx context.Context, request *connect.Request[api.ApplyConfigRequest],
) (*connect.Response[api.ApplyConfigResponse], error) {
	ctx, cancel := s.withCallTimeout(ctx)
	defer cancel()
	author, err := authorName(ctx, request.Msg.GetAuthor())
	if err != nil {
		return nil, err
	}
	if _, err := config.Parse(documentName(request.Msg.GetName()), request.Msg.GetText()); err != nil {
		return nil, toConnectError(err)
	}
	revision, err := s.Config.Apply(ctx, &config.Change{
		Expected: request.Msg.GetExpectedVersion(), Author: author, Text: request.Msg.GetText(),
	})
	s.reportChange(ctx, "apply", revision, err == nil, err)
	if err != nil {
		return nil, toConnectError(err)
	}
	return connect.NewResponse(&api.ApplyConfigResponse{Revision: revisionToProto(revision, false)}), nil
}

// reportChange logs an attempted change with the subject of the client, and calls OnStored if a new version was stored.
func (s *Server) reportChange(ctx context.Context, operation string, revision *config.Revision, changed bool, err error) {
	event := s.Log.Info()
	if err != nil {
		event = s.Log.Warn().Err(err)
	} else {
		event = event.Uint64("version", revision.Version)
	}
	event.Str("subject", certificateSubject(ctx)).Str("change", operation).Bool("changed", changed).Msg("configuration change")
	if changed {
		s.OnStored(revision)
	}
}

// GetConfig returns a version, zero meaning the latest, with its text.
func (s *Server) GetConfig(
	ctx context.Context, request *connect.Request[api.GetConfigRequest],
) (*connect.Response[api.GetConfigResponse], error) {
	ctx, cancel := s.withCallTimeout(ctx)
	defer cancel()
	revision, err := s.loadRevision(ctx, request.Msg.GetVersion())
	if err != nil {
		return nil, toConnectError(err)
	}
	return connect.NewResponse(&api.GetConfigResponse{Revision: revisionToProto(revision, true)}), nil
}

// loadRevision reads a version from the table, or the latest one if version is zero.
func (s *Server) loadRevision(ctx context.Context, version uint64) (*config.Revision, error) {
	if version == 0 {
		return s.Config.Latest(ctx)
	}
	return s.Config.Version(ctx, version)
}

// DiffConfig returns a unified diff from a stored version to a document or to another stored version.
func (s *Server) DiffConfig(
	ctx context.Context, request *connect.Request[api.DiffConfigRequest],
) (*connect.Response[api.DiffConfigResponse], error) {
	ctx, cancel := s.withCallTimeout(ctx)
	defer cancel()
	before, err := s.loadRevision(ctx, request.Msg.GetVersion())
	if err != nil {
		return nil, toConnectError(err)
	}
	var name, text string
	switch other := request.Msg.GetOther().(type) {
	case *api.DiffConfigRequest_Text:
		if len(other.Text) > config.MaxDocumentBytes {
			return nil, invalidArgument("text: expected at most %d bytes, not %d", config.MaxDocumentBytes, len(other.Text))
		}
		name, text = "document", other.Text
	case *api.DiffConfigRequest_OtherVersion:
		after, err := s.loadRevision(ctx, other.OtherVersion)
		if err != nil {
			return nil, toConnectError(err)
		}
		name, text = fmt.Sprintf("version %d", after.Version), after.Text
	default:
		return nil, invalidArgument("expected a text or a version to compare with")
	}
	diff, err := config.Diff(fmt.Sprintf("version %d", before.Version), name, before.Text, text)
	if err != nil {
		return nil, toConnectError(err)
	}
	return connect.NewResponse(&api.DiffConfigResponse{Version: before.Version, Diff: diff}), nil
}
