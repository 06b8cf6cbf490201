package rig

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store is a stand-in of the platform's store: it keeps rows, applies conditional transactions and reports changes.
type Store struct {
	started time.Time
	server  *http.Server
	address string

	mu      sync.Mutex
	version uint64
	rows    map[rowID]Row
	history []Row
	changed chan struct{}
}

// Row is a row in the encoding of the protocol.
type Row struct {
	Table   string  `json:"table"`
	Part    string  `json:"part"`
	Key     string  `json:"key"`
	Value   *[]byte `json:"value,omitempty"`
	Version uint64  `json:"ver"`
	Deleted bool    `json:"tombstone,omitempty"`
}

type rowID struct{ table, part, key string }

func (r Row) id() rowID { return rowID{table: r.Table, part: r.Part, key: r.Key} }

type storeResponse struct {
	Rows      []Row   `json:"rows"`
	Truncated bool    `json:"truncated"`
	Version   uint64  `json:"ver"`
	Now       float64 `json:"nowS"`
}

// StartStore serves an empty store on a free port.
func StartStore() *Store {
	s := &Store{started: time.Now(), rows: make(map[rowID]Row), changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", s.handleTransaction)
	mux.HandleFunc("GET /rows-get", s.handleRead)
	mux.HandleFunc("GET /rows-feed", s.handleFeed)
	listener := listen()
	s.address = listener.Addr().String()
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.server.Serve(listener) }()
	return s
}

// Stop ends the store.
func (s *Store) Stop() { _ = s.server.Close() }

// Put writes a row without a condition.
func (s *Store) Put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]Row{{Table: table, Key: key, Value: &value}}, nil)
}

// Remove deletes a row without a condition.
func (s *Store) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(nil, []Row{{Table: table, Key: key}})
}

// apply writes and deletes rows under one new version. The caller holds mu.
func (s *Store) apply(writes, deleted []Row) {
	s.version++
	for _, row := range writes {
		row.Version, row.Deleted = s.version, false
		s.rows[row.id()] = row
		s.history = append(s.history, row)
	}
	for _, row := range deleted {
		delete(s.rows, row.id())
		row.Version, row.Deleted, row.Value = s.version, true, nil
		s.history = append(s.history, row)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) handleTransaction(rw http.ResponseWriter, r *http.Request) {
	var call struct{ Expect, Writes, Delete []Row }
	if json.NewDecoder(r.Body).Decode(&call) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, row := range slices.Concat(call.Writes, call.Delete) {
		if row.Table == "op" || row.Table == "servers" {
			rw.WriteHeader(http.StatusForbidden)
			return
		}
	}
	conflict := slices.ContainsFunc(call.Expect, func(row Row) bool { return s.rows[row.id()].Version != row.Version })
	if conflict {
		current := storeResponse{Rows: []Row{}, Version: s.version, Now: s.now()}
		for _, row := range call.Expect {
			if stored, ok := s.rows[row.id()]; ok {
				current.Rows = append(current.Rows, stored)
			}
		}
		respond(rw, http.StatusPreconditionFailed, current)
		return
	}
	s.apply(call.Writes, call.Delete)
	respond(rw, http.StatusOK, storeResponse{Rows: []Row{}, Version: s.version, Now: s.now()})
}

func (s *Store) handleRead(rw http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit := 500
	if value, err := strconv.Atoi(query.Get("limit")); err == nil && value < limit {
		limit = value
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	result := storeResponse{Rows: []Row{}, Version: s.version, Now: s.now()}
	for id, row := range s.rows {
		if id.table == query.Get("table") && id.part == query.Get("part") && id.key >= query.Get("from") &&
			(query.Get("target") == "" || id.key < query.Get("target")) {
			result.Rows = append(result.Rows, row)
		}
	}
	slices.SortFunc(result.Rows, func(a, b Row) int { return strings.Compare(a.Key, b.Key) })
	if len(result.Rows) > limit {
		result.Rows, result.Truncated = result.Rows[:limit], true
	}
	respond(rw, http.StatusOK, result)
}

func (s *Store) handleFeed(rw http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(min(wait, 30000))*time.Millisecond)
	defer cancel()
	for {
		s.mu.Lock()
		result, changed := storeResponse{Rows: []Row{}, Version: s.version, Now: s.now()}, s.changed
		for _, row := range s.history {
			if row.Table == query.Get("table") && row.Version > after {
				result.Rows = append(result.Rows, row)
			}
		}
		s.mu.Unlock()
		if len(result.Rows) > 0 || ctx.Err() != nil {
			respond(rw, http.StatusOK, result)
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// now returns the reading of the store's clock in seconds.
func (s *Store) now() float64 { return 1 + time.Since(s.started).Seconds() }

func respond(rw http.ResponseWriter, status int, body storeResponse) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body) // the caller notices a broken connection
}

// listen listens on a free loopback port.
func listen() net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		Unable("listen: %v", err)
	}
	return listener
}
