package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is a row of the platform's store, as it is sent.
type row struct {
	Table     string  `json:"table"`
	Part      string  `json:"part"`
	Key       string  `json:"key"`
	Value     *[]byte `json:"value,omitempty"`
	Version   uint64  `json:"ver"`
	Tombstone bool    `json:"tombstone,omitempty"`
}

// rowName identifies a row.
type rowName struct{ table, part, key string }

// store is a sound stand-in of the platform's store.
type store struct {
	listener net.Listener
	started  time.Time

	mu      sync.Mutex
	rows    map[rowName]row
	history []row
	version uint64
	changed chan struct{}
}

// startStore starts a store on a free port.
func startStore() (*store, error) {
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{listener: listener, started: time.Now(), rows: make(map[rowName]row), changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", s.handleTransaction)
	mux.HandleFunc("GET /rows-get", s.handleGet)
	mux.HandleFunc("GET /rows-feed", s.handleFeed)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	return s, nil
}

// address returns the address of the store.
func (s *store) address() string { return s.listener.Addr().String() }

// put writes a row with an empty part, as the operator and the workers do. A nil value deletes it.
func (s *store) put(table, key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.writeLocked(row{Table: table, Key: key, Value: &value, Tombstone: value == nil})
	s.wakeLocked()
	return s.version
}

// writeLocked writes or deletes a row at the present version.
func (s *store) writeLocked(next row) {
	next.Version = s.version
	name := rowName{next.Table, next.Part, next.Key}
	if next.Tombstone {
		next.Value = nil
		delete(s.rows, name)
	} else {
		s.rows[name] = next
	}
	s.history = append(s.history, next)
}

// wakeLocked wakes the calls that wait for changes.
func (s *store) wakeLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// values returns the values of a table by key.
func (s *store) values(table string) map[string][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	result := make(map[string][]byte)
	for name, stored := range s.rows {
		if name.table == table {
			result[name.key] = *stored.Value
		}
	}
	return result
}

func (s *store) handleTransaction(rw http.ResponseWriter, r *http.Request) {
	var call struct{ Expect, Writes, Delete []row }
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, expected := range call.Expect {
		if s.rows[rowName{expected.Table, expected.Part, expected.Key}].Version != expected.Version {
			rw.WriteHeader(http.StatusPreconditionFailed)
			s.respondLocked(rw, nil, false)
			return
		}
	}
	for _, next := range append(call.Writes, call.Delete...) {
		if next.Table == "op" || next.Table == "servers" {
			rw.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.version++
	for _, next := range call.Writes {
		s.writeLocked(next)
	}
	for _, next := range call.Delete {
		next.Tombstone = true
		s.writeLocked(next)
	}
	s.wakeLocked()
	s.respondLocked(rw, nil, false)
}

func (s *store) handleGet(rw http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []row{}
	for name, stored := range s.rows {
		if name.table == query.Get("table") && name.part == query.Get("part") && name.key >= query.Get("from") &&
			(query.Get("target") == "" || name.key < query.Get("target")) {
			rows = append(rows, stored)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return strings.Compare(rows[i].Key, rows[j].Key) < 0 })
	truncated := len(rows) > limit
	if truncated {
		rows = rows[:limit]
	}
	s.respondLocked(rw, rows, truncated)
}

func (s *store) handleFeed(rw http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	timeout := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timeout.Stop()
	for last := false; ; {
		s.mu.Lock()
		rows := []row{}
		for _, past := range s.history {
			if past.Version > after && past.Table == query.Get("table") {
				rows = append(rows, past)
			}
		}
		changed := s.changed
		if len(rows) > 0 || last || wait == 0 {
			s.respondLocked(rw, rows, false)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout.C:
			last = true
		case <-r.Context().Done():
			return
		}
	}
}

// respondLocked writes the response to a call.
func (s *store) respondLocked(rw http.ResponseWriter, rows []row, truncated bool) {
	content, _ := json.Marshal(map[string]any{
		"rows": rows, "truncated": truncated, "ver": s.version, "nowS": time.Since(s.started).Seconds() + 1,
	})
	_, _ = rw.Write(content) // a broken connection is the caller's to notice
}
