package standin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"

	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/platform/hosts"
	"rosemarywick.example/rosemarywick/internal/platform/objects"
	"rosemarywick.example/rosemarywick/internal/platform/table"
	"rosemarywick.example/rosemarywick/internal/platform/tablepb"
	"rosemarywick.example/rosemarywick/internal/platform/tablepb/tablepbconnect"
)

// maxRequestBytes bounds one request. It exceeds the limits of the table, so that the table itself rejects large transactions.
const maxRequestBytes = 16 << 20

// Platform holds the three fakes, which its Handler serves on one address.
type Platform struct {
	Table   *Table
	Objects *Objects
	Hosts   *Hosts
}

// NewPlatform returns a platform with an empty table, an empty object store and an empty host list.
func NewPlatform(clock timer.Clock) *Platform {
	return &Platform{Table: NewTable(clock), Objects: NewObjects(clock), Hosts: NewHosts(clock)}
}

// Handler returns the HTTP handler of all three services.
func (p *Platform) Handler() http.Handler {
	router := mux.NewRouter().SkipClean(true).UseEncodedPath()
	path, handler := tablepbconnect.NewTableServiceHandler(&tableService{store: p.Table},
		connect.WithReadMaxBytes(maxRequestBytes))
	router.PathPrefix(path).Handler(handler)
	router.HandleFunc("/hosts", p.listHosts).Methods(http.MethodGet)
	router.HandleFunc("/objects", p.listObjects).Methods(http.MethodGet)
	router.PathPrefix("/objects/").HandlerFunc(p.serveObject)
	return router
}

func (p *Platform) listHosts(w http.ResponseWriter, r *http.Request) {
	entries, err := p.Hosts.Hosts(r.Context())
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, hosts.NewDocument(entries))
}

func (p *Platform) listObjects(w http.ResponseWriter, r *http.Request) {
	names, err := p.Objects.List(r.Context(), r.URL.Query().Get("prefix"))
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, map[string][]string{"names": names})
}

// serveObject serves GET, PUT and DELETE of one object.
func (p *Platform) serveObject(w http.ResponseWriter, r *http.Request) {
	name, err := url.PathUnescape(strings.TrimPrefix(r.URL.EscapedPath(), "/objects/"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	switch r.Method {
	case http.MethodGet:
		var content []byte
		if content, err = p.Objects.Get(r.Context(), name); err == nil {
			_, _ = w.Write(content)
		}
	case http.MethodPut:
		var content []byte
		if content, err = io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes)); err == nil {
			err = p.Objects.Put(r.Context(), name, content)
		}
	case http.MethodDelete:
		err = p.Objects.Delete(r.Context(), name)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
	switch {
	case errors.Is(err, objects.ErrNotFound):
		w.WriteHeader(http.StatusNotFound)
	case err != nil:
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func writeJSON(w http.ResponseWriter, document any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(document)
}

// tableService serves the table service's network protocol from a store.
type tableService struct {
	store table.Store
}

var _ tablepbconnect.TableServiceHandler = (*tableService)(nil)

// Read serves table.Store.Read.
func (s *tableService) Read(ctx context.Context, request *connect.Request[tablepb.ReadRequest],
) (*connect.Response[tablepb.ReadResponse], error) {
	rows, err := s.store.Read(ctx, request.Msg.GetNames()...)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&tablepb.ReadResponse{Rows: encodeRows(rows)}), nil
}

// Scan serves table.Store.Scan.
func (s *tableService) Scan(ctx context.Context, request *connect.Request[tablepb.ScanRequest],
) (*connect.Response[tablepb.ScanResponse], error) {
	rows, err := s.store.Scan(ctx, request.Msg.GetPrefix())
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&tablepb.ScanResponse{Rows: encodeRows(rows)}), nil
}

// Commit serves table.Store.Commit.
func (s *tableService) Commit(ctx context.Context, request *connect.Request[tablepb.CommitRequest],
) (*connect.Response[tablepb.CommitResponse], error) {
	changes := make([]table.Change, 0, len(request.Msg.GetChanges()))
	for _, message := range request.Msg.GetChanges() {
		change := table.Change{Name: message.GetName(), Expected: table.Version(message.GetExpected())}
		switch message.GetAction() {
		case tablepb.Action_ACTION_CHECK:
		case tablepb.Action_ACTION_DELETE:
			change.Write = true
		case tablepb.Action_ACTION_WRITE:
			change.Write, change.Value = true, append([]byte{}, message.GetValue()...)
		default:
			return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("standin: change without an action"))
		}
		changes = append(changes, change)
	}
	err := s.store.Commit(ctx, changes...)
	switch {
	case err == nil:
		return connect.NewResponse(&tablepb.CommitResponse{}), nil
	case errors.Is(err, table.ErrConflict):
		return nil, connect.NewError(connect.CodeAborted, err)
	case errors.Is(err, table.ErrTooLarge):
		return nil, connect.NewError(connect.CodeOutOfRange, err)
	case errors.Is(err, table.ErrUnavailable):
		return nil, connect.NewError(connect.CodeUnavailable, err)
	default:
		// Closes the connection without a response, as if the response had been lost.
		panic(http.ErrAbortHandler)
	}
}

func encodeRows(rows []table.Row) []*tablepb.Row {
	messages := make([]*tablepb.Row, 0, len(rows))
	for _, row := range rows {
		messages = append(messages, &tablepb.Row{Name: row.Name, Version: uint64(row.Version), Value: row.Value})
	}
	return messages
}
