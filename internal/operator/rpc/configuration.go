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
	// callTimeout bounds a call whose client names no deadline.
	callTimeout = 20 * time.Second
	// answerReserve is the part of a client's deadline that is kept for the answer, so that the client learns whether
	// its change is undecided instead of only that its deadline passed.
	answerReserve = 10
	// maxAuthor bounds the name of an author.
	maxAuthor = 128
)

// bounded returns a context that ends early enough to answer the client.
func (s *Server) bounded(ctx context.Context) (context.Context, context.CancelFunc) {
	limit := callTimeout
	if deadline, known := ctx.Deadline(); known {
		left := deadline.Sub(s.Clock.Now())
		limit = min(limit, left-left/answerReserve)
	}
	return context.WithTimeout(ctx, limit)
}

// author names the person or program that a client states along with the subject of its certificate, which cannot be
// chosen freely.
func author(ctx context.Context, stated string) (string, error) {
	subject := subjectOf(ctx)
	if len(stated) > maxAuthor {
		return "", invalid("author: expected at most %d bytes, not %d", maxAuthor, len(stated))
	}
	if stated == "" || stated == subject {
		return subject, nil
	}
	return fmt.Sprintf("%s (certificate of %s)", stated, subject), nil
}

func revisionOf(revision *config.Revision, withText bool) *api.Revision {
	result := &api.Revision{
		Version: revision.Version, Author: revision.Author, Time: timestamppb.New(revision.Time),
	}
	if withText {
		result.Text = revision.Text
	}
	return result
}

func orName(name string) string {
	if name == "" {
		return "document"
	}
	return name
}

// CheckConfig parses a document and stores nothing.
func (s *Server) CheckConfig(
	_ context.Context, request *connect.Request[api.CheckConfigRequest],
) (*connect.Response[api.CheckConfigResponse], error) {
	return connect.NewResponse(checked(config.Parse(orName(request.Msg.GetName()), request.Msg.GetText()))), nil
}

func checked(doc *document.Document, problem error) *api.CheckConfigResponse {
	if problem != nil {
		return &api.CheckConfigResponse{Problem: problem.Error()}
	}
	size := config.CountElements(doc)
	return &api.CheckConfigResponse{
		Valid: true, Services: uint32(size.Services), Upstreams: uint32(size.Upstreams), Tenants: uint32(size.Tenants),
		Pins: uint32(size.Pins),
	}
}

// ApplyConfig stores a document as the next version.
func (s *Server) ApplyConfig(
	ctx context.Context, request *connect.Request[api.ApplyConfigRequest],
) (*connect.Response[api.ApplyConfigResponse], error) {
	ctx, cancel := s.bounded(ctx)
	defer cancel()
	by, err := author(ctx, request.Msg.GetAuthor())
	if err != nil {
		return nil, err
	}
	if _, err := config.Parse(orName(request.Msg.GetName()), request.Msg.GetText()); err != nil {
		return nil, translate(err)
	}
	revision, err := s.Config.Apply(ctx, &config.Change{
		Expected: request.Msg.GetExpectedVersion(), Author: by, Text: request.Msg.GetText(),
	})
	s.stored(ctx, "apply", revision, err == nil, err)
	if err != nil {
		return nil, translate(err)
	}
	return connect.NewResponse(&api.ApplyConfigResponse{Revision: revisionOf(revision, false)}), nil
}

// stored logs who changed the configuration, and passes a new version on.
func (s *Server) stored(ctx context.Context, change string, revision *config.Revision, changed bool, err error) {
	event := s.Log.Info()
	if err != nil {
		event = s.Log.Warn().Err(err)
	} else {
		event = event.Uint64("version", revision.Version)
	}
	event.Str("subject", subjectOf(ctx)).Str("change", change).Bool("changed", changed).Msg("configuration change")
	if changed {
		s.OnStored(revision)
	}
}

// GetConfig returns a version with its text.
func (s *Server) GetConfig(
	ctx context.Context, request *connect.Request[api.GetConfigRequest],
) (*connect.Response[api.GetConfigResponse], error) {
	ctx, cancel := s.bounded(ctx)
	defer cancel()
	revision, err := s.revision(ctx, request.Msg.GetVersion())
	if err != nil {
		return nil, translate(err)
	}
	return connect.NewResponse(&api.GetConfigResponse{Revision: revisionOf(revision, true)}), nil
}

func (s *Server) revision(ctx context.Context, version uint64) (*config.Revision, error) {
	if version == 0 {
		return s.Config.Latest(ctx)
	}
	return s.Config.Version(ctx, version)
}

// DiffConfig compares a document or a version with a version.
func (s *Server) DiffConfig(
	ctx context.Context, request *connect.Request[api.DiffConfigRequest],
) (*connect.Response[api.DiffConfigResponse], error) {
	ctx, cancel := s.bounded(ctx)
	defer cancel()
	before, err := s.revision(ctx, request.Msg.GetVersion())
	if err != nil {
		return nil, translate(err)
	}
	var name, text string
	switch other := request.Msg.GetOther().(type) {
	case *api.DiffConfigRequest_Text:
		if len(other.Text) > config.MaxDocumentBytes {
			return nil, invalid("text: expected at most %d bytes, not %d", config.MaxDocumentBytes, len(other.Text))
		}
		name, text = "document", other.Text
	case *api.DiffConfigRequest_OtherVersion:
		after, err := s.revision(ctx, other.OtherVersion)
		if err != nil {
			return nil, translate(err)
		}
		name, text = fmt.Sprintf("version %d", after.Version), after.Text
	default:
		return nil, invalid("expected a text or a version to compare with")
	}
	diff, err := config.Diff(fmt.Sprintf("version %d", before.Version), name, before.Text, text)
	if err != nil {
		return nil, translate(err)
	}
	return connect.NewResponse(&api.DiffConfigResponse{Version: before.Version, Diff: diff}), nil
}
