package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// storeDelay is the time that the store takes for an answer, as on the sheets of the deployments.
const storeDelay = 4 * time.Millisecond

// tableRow is a row in the encoding of the store.
type tableRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Deleted bool   `json:"tombstone,omitempty"`
}

// rowKey names a row.
type rowKey struct{ table, part, key string }

// Store is a stand-in of the platform's store. It holds all rows in memory and keeps the whole history.
type Store struct {
	started time.Time
	// onWrite, if set before use, is called with each row that a daemon has written, and the daemon's number.
	onWrite func(daemon int, row tableRow)

	mu sync.Mutex
	// rows, history and version are guarded by mu.
	rows    map[rowKey]tableRow
	history []tableRow
	version uint64
	// changed is guarded by mu and closed at the next change.
	changed chan struct{}
}

func newStore() *Store {
	return &Store{started: time.Now(), rows: make(map[rowKey]tableRow), changed: make(chan struct{})}
}

// put writes a row without a condition, as the operator and the workers do, and returns when that was acknowledged.
func (s *Store) put(table, key string, value any) time.Time {
	content, err := json.Marshal(value)
	if err != nil {
		fail("encode row: %v", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(tableRow{Table: table, Key: key, Value: content, Version: s.version})
	s.wake()
	return time.Now()
}

// remove deletes a row and returns when that was acknowledged.
func (s *Store) remove(table, key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(tableRow{Table: table, Key: key, Version: s.version, Deleted: true})
	s.wake()
	return time.Now()
}

// apply stores a row and adds it to the history. The caller holds mu.
func (s *Store) apply(row tableRow) {
	if row.Deleted {
		delete(s.rows, rowKey{row.Table, row.Part, row.Key})
	} else {
		s.rows[rowKey{row.Table, row.Part, row.Key}] = row
	}
	s.history = append(s.history, row)
}

// wake wakes the calls that wait for changes. The caller holds mu.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// value returns the value of a row, or nil.
func (s *Store) value(table, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[rowKey{table, "", key}].Value
}

// door is the address of the store for one daemon.
type door struct {
	store  *Store
	daemon int
	// silent is set while the store answers nothing to the daemon. A call that falls into that time is never answered.
	silent atomic.Bool
	// feeds is when the daemon last asked for the changes of a table, in Unix nanoseconds.
	feeds atomic.Int64

	listener net.Listener
	server   *http.Server
}

// open starts to serve a daemon on a free port.
func (s *Store) open(daemon int) *door {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("listen: %v", err)
	}
	d := &door{store: s, daemon: daemon, listener: listener}
	d.server = &http.Server{Handler: d, ReadHeaderTimeout: time.Minute}
	go func() { _ = d.server.Serve(listener) }()
	return d
}

func (d *door) address() string { return d.listener.Addr().String() }

// answer writes a response, unless the daemon is turned away by now.
func (d *door) answer(rw http.ResponseWriter, r *http.Request, status int, body map[string]any) {
	if d.silent.Load() {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	body["nowS"] = time.Since(d.store.started).Seconds() + 1
	content, err := json.Marshal(body)
	if err != nil {
		fail("encode response: %v", err)
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_, _ = rw.Write(content)
}

func (d *door) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	if d.silent.Load() {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	switch r.Method + " " + r.URL.Path {
	case "POST /rows-tx":
		d.commit(rw, r)
	case "GET /rows-get":
		d.read(rw, r)
	case "GET /rows-feed":
		d.feeds.Store(time.Now().UnixNano())
		d.feed(rw, r)
	default:
		rw.WriteHeader(http.StatusNotFound)
	}
}

// commit applies a transaction if its conditions hold.
func (d *door) commit(rw http.ResponseWriter, r *http.Request) {
	var call struct{ Expect, Writes, Delete []tableRow }
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, row := range append(append([]tableRow(nil), call.Writes...), call.Delete...) {
		if row.Table == "op" || row.Table == "servers" {
			rw.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s := d.store
	s.mu.Lock()
	var current []tableRow
	conflict := false
	for _, expected := range call.Expect {
		row, found := s.rows[rowKey{expected.Table, expected.Part, expected.Key}]
		if found {
			current = append(current, row)
		}
		conflict = conflict || row.Version != expected.Version
	}
	if conflict {
		version := s.version
		s.mu.Unlock()
		d.answer(rw, r, http.StatusPreconditionFailed, map[string]any{"rows": current, "ver": version})
		return
	}
	s.version++
	version := s.version
	for _, row := range call.Writes {
		row.Version = version
		s.apply(row)
	}
	for _, row := range call.Delete {
		row.Version, row.Deleted, row.Value = version, true, nil
		s.apply(row)
	}
	s.wake()
	s.mu.Unlock()
	d.answer(rw, r, http.StatusOK, map[string]any{"ver": version})
	if s.onWrite != nil {
		for _, row := range call.Writes {
			s.onWrite(d.daemon, row)
		}
	}
}

// read answers with the rows of a range of keys.
func (d *door) read(rw http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit > 500 {
		limit = 500
	}
	s := d.store
	s.mu.Lock()
	rows := []tableRow{}
	for key, row := range s.rows {
		if key.table == query.Get("table") && key.part == query.Get("part") && key.key >= query.Get("from") &&
			(query.Get("target") == "" || key.key < query.Get("target")) {
			rows = append(rows, row)
		}
	}
	version := s.version
	s.mu.Unlock()
	sortRows(rows, func(a, b tableRow) bool { return strings.Compare(a.Key, b.Key) < 0 })
	truncated := len(rows) > limit
	d.answer(rw, r, http.StatusOK, map[string]any{"rows": rows[:min(len(rows), limit)], "truncated": truncated, "ver": version})
}

// feed answers with the changes after a version, as soon as there are any.
func (d *door) feed(rw http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	s := d.store
	for last := wait == 0; ; {
		s.mu.Lock()
		rows := []tableRow{}
		for _, row := range s.history {
			if row.Version > after && row.Table == query.Get("table") {
				rows = append(rows, row)
			}
		}
		version, changed := s.version, s.changed
		s.mu.Unlock()
		if len(rows) > 0 || last {
			d.answer(rw, r, http.StatusOK, map[string]any{"rows": rows, "ver": version})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			last = true
		case <-r.Context().Done():
			return
		}
	}
}

// sortRows sorts rows.
func sortRows(rows []tableRow, less func(a, b tableRow) bool) {
	for i := 1; i < len(rows); i++ {
		for j := i; j > 0 && less(rows[j], rows[j-1]); j-- {
			rows[j], rows[j-1] = rows[j-1], rows[j]
		}
	}
}
