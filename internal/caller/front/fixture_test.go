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

// fixture is a set of simulated workers behind the front ends and routers of several daemons. The workers serve the unkeyed
// service "tasks" and the keyed service "stock".
type fixture struct {
	workers   []*standin.Worker
	doc       *document.Document
	owners    *owners
	store     *memoryTable
	frontURLs []string
	routers   []*router.Router
	records   records
}

// rejoin tells the routers that a worker which was draining accepts requests again. Complete daemons poll draining workers
// to find that out.
func (f *fixture) rejoin(id fleet.UpstreamID) {
	for _, requestRouter := range f.routers {
		for _, service := range f.doc.Services {
			requestRouter.MarkRejoined(service.Name, id)
		}
	}
}

// Current implements front.Configuration.
func (f *fixture) Current() *document.Document { return f.doc }

// newFixture starts the workers of each service and the given number of front ends. adjust, if set, changes each worker before
// it starts.
func newFixture(t *testing.T, workers, fronts int, adjust func(*standin.Worker)) *fixture {
	t.Helper()
	is := is.New(t)
	result := &fixture{owners: &owners{changed: make(chan struct{})}, store: &memoryTable{rows: map[string]table.Row{}}}
	config := ""
	for i, service := range []string{"tasks", "stock"} {
		config += "[[services]]\nname = \"" + service + "\"\ntimeout = \"400ms\"\n"
		config += []string{"", "key = \"header:Key\"\npartitions = 8\n"}[i]
		for j := range workers {
			worker := &standin.Worker{ID: fleet.UpstreamID(fmt.Sprintf("%s-%d", service, j)), Slots: 16, QueueLimit: 16}
			if adjust != nil {
				adjust(worker)
			}
			is.NoErr(worker.Start(t.Context()))
			t.Cleanup(worker.Stop)
			result.workers = append(result.workers, worker)
			config += fmt.Sprintf("[[services.upstreams]]\nid = %q\naddress = %q\nregion = \"r\"\ndomain = \"d%d\"\n",
				worker.ID, worker.Address(), j%3)
		}
		for path, delivery := range map[string]string{
			"/read": "idempotent", "/push": "non-idempotent", "/pay": "at-most-once", "/download/order/{size}": "non-idempotent",
		} {
			config += fmt.Sprintf("[[services.routes]]\nmethod = \"*\"\npath = %q\ndelivery = %q\n", path, delivery)
		}
	}
	var err error
	result.doc, err = document.Parse("rig.toml", []byte(config))
	is.NoErr(err)
	result.owners.set("stock-0", 1)
	for i := range fronts {
		result.frontURLs = append(result.frontURLs, result.startDaemon(t, fleet.HostID(fmt.Sprintf("host-%d", i))).URL)
	}
	return result
}

// startDaemon starts the front end, router and claims of one daemon.
func (f *fixture) startDaemon(t *testing.T, id fleet.HostID) *httptest.Server {
	claims := &idempotency.Registry{Store: f.store, Clock: timer.System{}, Host: id}
	requestRouter := &router.Router{
		Host: fleet.Host{ID: id, Locality: fleet.Locality{Region: "r", Domain: "d0"}}, Clock: timer.System{}, Config: f,
		OwnershipMap: f.owners, Claims: claims, Recorder: &f.records,
	}
	f.routers = append(f.routers, requestRouter)
	var background sync.WaitGroup
	background.Go(func() { _ = claims.Run(t.Context()) })
	background.Go(func() { _ = requestRouter.Run(t.Context()) })
	server := httptest.NewServer((&front.Frontend{Router: requestRouter, Config: f, Clock: timer.System{}}).Handler())
	t.Cleanup(func() { server.Close(); requestRouter.Close(); background.Wait() })
	return server
}

// callOnly makes calls use a single front end.
func (f *fixture) callOnly(url string) { f.frontURLs = []string{url} }

// worker returns the worker with the given identifier.
func (f *fixture) worker(id fleet.UpstreamID) *standin.Worker {
	for _, worker := range f.workers {
		if worker.ID == id {
			return worker
		}
	}
	return nil
}

// ran returns what all workers together did with a request.
func (f *fixture) ran(id string) standin.RunCounts {
	var sum standin.RunCounts
	for _, worker := range f.workers {
		run := worker.Runs(fleet.RequestID(id))
		sum.Started, sum.Effects = sum.Started+run.Started, sum.Effects+run.Effects
	}
	return sum
}

// client keeps enough idle connections for all concurrent callers of a test.
var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 200}}

// reply is the response that a caller received.
type reply struct {
	status  int
	outcome cause.Outcome
	cause   cause.Cause
	header  http.Header
	body    []byte
	// err is set if the caller could detect that the response was incomplete.
	err error
}

// call sends a request through a front end. headers holds names and values in turn.
func (f *fixture) call(front int, method, path, id string, headers ...string) reply {
	var body io.Reader
	if method == http.MethodPost {
		body = io.NopCloser(strings.NewReader(strings.Repeat("x", 3000))) // a body that net/http cannot retry on its own
	}
	request, _ := http.NewRequestWithContext(context.Background(), method, f.frontURLs[front]+path, body)
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

// owners is an ownership map in which one server owns all keys.
type owners struct {
	mu         sync.Mutex
	assignment fleet.Assignment
	changed    chan struct{}
}

func (o *owners) Locate(fleet.ServiceName, fleet.KeyHash) (fleet.Assignment, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.assignment, true
}

func (o *owners) Changed() <-chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.changed
}

func (o *owners) set(owner fleet.UpstreamID, counter uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.assignment = fleet.Assignment{Partition: 3, Owner: owner, Fence: fleet.Fence{Epoch: 1, Counter: counter}, Moving: owner == ""}
	close(o.changed)
	o.changed = make(chan struct{})
}

// records collects the request records of all daemons.
type records struct {
	mu  sync.Mutex
	all []cause.Record
}

func (r *records) Record(record cause.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, record)
}

// byRequest returns the record of a request.
func (r *records) byRequest(id string) cause.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, record := range r.all {
		if record.Request == fleet.RequestID(id) {
			return record
		}
	}
	return cause.Record{}
}

// memoryTable is a table in memory that fails while down is set.
type memoryTable struct {
	mu   sync.Mutex
	rows map[string]table.Row
	down bool
}

func (m *memoryTable) Read(_ context.Context, names ...string) (found []table.Row, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, name := range names {
		if row, ok := m.rows[name]; ok {
			found = append(found, row)
		}
	}
	return found, m.failure()
}

func (m *memoryTable) Scan(context.Context, string) ([]table.Row, error) {
	return nil, errors.New("not used")
}

func (m *memoryTable) Commit(_ context.Context, changes ...table.Change) error {
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

func (m *memoryTable) failure() error {
	if m.down {
		return table.ErrUnavailable
	}
	return nil
}

// eventually polls a condition and fails the test if it does not hold within 5 s.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(5 * time.Second)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met within 5 s: %s", what)
		}
		_ = timer.Wait(t.Context(), timer.System{}, 2*time.Millisecond)
	}
}
