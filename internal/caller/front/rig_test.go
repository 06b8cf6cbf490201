package front_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"rosemarywick.example/rosemarywick/internal/caller/front"
	"rosemarywick.example/rosemarywick/internal/core/cause"
	"rosemarywick.example/rosemarywick/internal/core/document"
	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/platform/table"
	"rosemarywick.example/rosemarywick/internal/routing/idempotency"
	"rosemarywick.example/rosemarywick/internal/routing/router"
	"rosemarywick.example/rosemarywick/internal/upstream/standin"
)

// rig is a fleet of fake workers behind daemons' request paths. Workers serve the unkeyed service "tasks" and the keyed
// service "stock".
type rig struct {
	workers []*standin.Worker
	doc     *document.Document
	owners  *owners
	store   *memory
	fronts  []string
	routers []*router.Router
	records records
}

// rejoin tells the daemons that a worker which was leaving takes work again. Whole daemons ask such workers for that.
func (r *rig) rejoin(id fleet.UpstreamID) {
	for _, path := range r.routers {
		for _, service := range r.doc.Services {
			path.MarkRejoined(service.Name, id)
		}
	}
}

func (r *rig) Current() *document.Document { return r.doc }

func newRig(t *testing.T, workers, fronts int, change func(*standin.Worker)) *rig {
	t.Helper()
	is := is.New(t)
	result := &rig{owners: &owners{changed: make(chan struct{})}, store: &memory{rows: map[string]table.Row{}}}
	text := ""
	for i, service := range []string{"tasks", "stock"} {
		text += "[[services]]\nname = \"" + service + "\"\ntimeout = \"400ms\"\n"
		text += []string{"", "key = \"header:Key\"\npartitions = 8\n"}[i]
		for j := range workers {
			worker := &standin.Worker{ID: fleet.UpstreamID(fmt.Sprintf("%s-%d", service, j)), Slots: 16, QueueLimit: 16}
			if change != nil {
				change(worker)
			}
			is.NoErr(worker.Start(t.Context()))
			t.Cleanup(worker.Stop)
			result.workers = append(result.workers, worker)
			text += fmt.Sprintf("[[services.upstreams]]\nid = %q\naddress = %q\nregion = \"r\"\ndomain = \"d%d\"\n",
				worker.ID, worker.Address(), j%3)
		}
		for path, delivery := range map[string]string{"/read": "idempotent", "/push": "non-idempotent", "/pay": "at-most-once"} {
			text += fmt.Sprintf("[[services.routes]]\nmethod = \"*\"\npath = %q\ndelivery = %q\n", path, delivery)
		}
	}
	var err error
	result.doc, err = document.Parse("rig.toml", []byte(text))
	is.NoErr(err)
	result.owners.set("stock-0", 1)
	for i := range fronts {
		result.fronts = append(result.fronts, result.daemon(t, fleet.HostID(fmt.Sprintf("host-%d", i))).URL)
	}
	return result
}

// daemon starts the request path of one daemon.
func (r *rig) daemon(t *testing.T, id fleet.HostID) *httptest.Server {
	claims := &idempotency.Registry{Store: r.store, Clock: timer.System{}, Host: id}
	path := &router.Router{
		Host: fleet.Host{ID: id, Locality: fleet.Locality{Region: "r", Domain: "d0"}}, Clock: timer.System{}, Config: r,
		OwnershipMap: r.owners, Claims: claims, Recorder: &r.records,
	}
	r.routers = append(r.routers, path)
	var running sync.WaitGroup
	running.Go(func() { _ = claims.Run(t.Context()) })
	running.Go(func() { _ = path.Run(t.Context()) })
	server := httptest.NewServer((&front.Frontend{Router: path, Config: r, Clock: timer.System{}}).Handler())
	t.Cleanup(func() { server.Close(); path.Close(); running.Wait() })
	return server
}

// at makes calls go to one address.
func (r *rig) at(url string) { r.fronts = []string{url} }

// worker returns a worker by its id.
func (r *rig) worker(id fleet.UpstreamID) *standin.Worker {
	for _, worker := range r.workers {
		if worker.ID == id {
			return worker
		}
	}
	return nil
}

// ran sums what all workers did with a request.
func (r *rig) ran(id string) standin.RunCounts {
	var sum standin.RunCounts
	for _, worker := range r.workers {
		run := worker.Runs(fleet.RequestID(id))
		sum.Started, sum.Effects = sum.Started+run.Started, sum.Effects+run.Effects
	}
	return sum
}

// client keeps enough idle connections for all callers of a test.
var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 200}}

// reply is what a caller got.
type reply struct {
	status  int
	outcome cause.Outcome
	cause   cause.Cause
	header  http.Header
	body    []byte
	// err is set when the caller could tell that the answer was not whole.
	err error
}

// call sends a request; headers are given as pairs of name and value.
func (r *rig) call(front int, method, path, id string, headers ...string) reply {
	var body io.Reader
	if method == http.MethodPost {
		body = io.NopCloser(strings.NewReader(strings.Repeat("x", 3000))) // net/http cannot repeat it by itself
	}
	request, _ := http.NewRequestWithContext(context.Background(), method, r.fronts[front]+path, body)
	request.Header.Set("Rosemarywick-Request-Id", id)
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := client.Do(request)
	if err != nil {
		return reply{err: err, outcome: cause.Unknown}
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return reply{
		status: response.StatusCode, header: response.Header, body: content, err: err,
		outcome: cause.Outcome(response.Header.Get("Rosemarywick-Outcome")),
		cause:   cause.Cause(response.Header.Get("Rosemarywick-Cause")),
	}
}

// owners is a map in which one server owns all keys.
type owners struct {
	mu      sync.Mutex
	now     fleet.Assignment
	changed chan struct{}
}

func (o *owners) Locate(fleet.ServiceName, fleet.KeyHash) (fleet.Assignment, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.now, true
}

func (o *owners) Changed() <-chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.changed
}

func (o *owners) set(owner fleet.UpstreamID, counter uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.now = fleet.Assignment{Partition: 3, Owner: owner, Fence: fleet.Fence{Epoch: 1, Counter: counter}, Moving: owner == ""}
	close(o.changed)
	o.changed = make(chan struct{})
}

// records keeps the records of all daemons.
type records struct {
	mu  sync.Mutex
	all []cause.Record
}

func (r *records) Record(record cause.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, record)
}

// of returns the record of a request.
func (r *records) of(id string) cause.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, record := range r.all {
		if record.Request == fleet.RequestID(id) {
			return record
		}
	}
	return cause.Record{}
}

// memory is a table without faults, unless it is down.
type memory struct {
	mu   sync.Mutex
	rows map[string]table.Row
	down bool
}

func (m *memory) Read(_ context.Context, names ...string) (found []table.Row, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, name := range names {
		if row, ok := m.rows[name]; ok {
			found = append(found, row)
		}
	}
	return found, m.failure()
}

func (m *memory) Scan(context.Context, string) ([]table.Row, error) {
	return nil, errors.New("not used")
}

func (m *memory) Commit(_ context.Context, changes ...table.Change) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, change := range changes {
		if m.rows[change.Name].Version != change.Expected {
			return table.ErrConflict
		}
	}
	for _, change := range changes {
		m.rows[change.Name] = table.Row{Name: change.Name, Version: change.Expected + 1, Value: bytes.Clone(change.Value)}
		if change.Value == nil {
			delete(m.rows, change.Name)
		}
	}
	return m.failure()
}

func (m *memory) failure() error {
	if m.down {
		return table.ErrUnavailable
	}
	return nil
}

// eventually polls a condition that another goroutine brings about.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	deadline := time.Now().Add(5 * time.Second)
	for !holds() {
		if time.Now().After(deadline) {
			t.Fatalf("not within 5 s: %s", what)
		}
		_ = timer.Wait(t.Context(), timer.System{}, 2*time.Millisecond)
	}
}
