// Package standin provides a fake worker that serves HTTP on the loopback interface. Tests and benchmarks use it to inject the
// faults of real workers, and to compare what a caller was told with what the worker has run.
package standin

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/ownership/lease"
)

// Ownership decides which keys a worker may serve. grants.Server implements it for fenced servers.
type Ownership interface {
	// Admit reports whether a request for the key may start. Done must be called for each admitted request.
	Admit(key fleet.KeyHash) (lease.Ticket, bool)
	// MayApply reports whether the effect of an admitted request may still be applied.
	MayApply(ticket lease.Ticket) bool
	// Done must be called when an admitted request has ended.
	Done(ticket lease.Ticket)
}

// RunCounts counts what a worker did with one request, including repetitions.
type RunCounts struct {
	// Started is how often the request got a slot.
	Started int
	// Effects is how often the effect of the request was applied.
	Effects int
}

// Worker is a fake worker. Set the exported fields before Start.
type Worker struct {
	ID    fleet.UpstreamID
	Clock timer.Clock
	// Slots limits the requests that run at the same time, and MaxConnections the open connections. Zero means no limit.
	// QueueLimit is the number of requests that may wait for a slot before further ones are rejected. Zero means no queue.
	Slots, QueueLimit, MaxConnections int
	// ServiceTime returns how long a request occupies its slot. Nil means zero.
	ServiceTime func(r *http.Request) time.Duration
	// ColdStartPeriod is the time after Start during which each request takes four times as long.
	ColdStartPeriod time.Duration
	// Ownership admits keyed requests. Nil admits all.
	Ownership Ownership
	// OrderHandler handles the orders of an assigner. Nil means that the worker accepts none.
	OrderHandler http.Handler
	// InjectFault returns the fault to inject into a request. Nil means no faults.
	InjectFault func(r *http.Request) Fault
	// AdjustLoad changes the reported load. Nil means that the true load is reported.
	AdjustLoad func(Load) Load
	// Unhealthy makes the health endpoint always report a failure.
	Unhealthy bool
	// ListenAddress is the address to listen on. The zero value means a free port of 127.0.0.1.
	ListenAddress netip.AddrPort

	server          *http.Server
	listener        net.Listener
	address         netip.AddrPort
	slots           chan struct{}
	started         atomic.Value // of time.Time
	setup           sync.Once
	openConnections atomic.Int64
	waiting         atomic.Int64
	running         atomic.Int64
	draining        atomic.Bool
	resetsLeft      atomic.Int64

	mu sync.Mutex
	// runs is guarded by mu.
	runs map[fleet.RequestID]RunCounts
	// paused is guarded by mu. It is nil unless the worker is paused, and is closed when the worker resumes.
	paused chan struct{}
}

// Start listens and serves in the background until Stop. A stopped worker can be started again and keeps its address.
func (w *Worker) Start(ctx context.Context) error {
	listen := w.ListenAddress
	if !listen.IsValid() {
		listen = netip.MustParseAddrPort("127.0.0.1:0")
	}
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", listen.String())
	if err != nil {
		return errors.Wrap(err, "standin: listen")
	}
	w.setup.Do(func() {
		w.address = listener.Addr().(*net.TCPAddr).AddrPort()
		w.ListenAddress = w.address
		if w.Clock == nil {
			w.Clock = timer.System{}
		}
		if w.Slots > 0 {
			w.slots = make(chan struct{}, w.Slots)
		}
		w.runs = make(map[fleet.RequestID]RunCounts)
	})
	w.started.Store(w.Clock.Now())
	w.server = &http.Server{Handler: w, ReadHeaderTimeout: time.Minute}
	w.listener = listener
	go func() { _ = w.server.Serve(&limitingListener{Listener: listener, worker: w}) }()
	return nil
}

// Stop closes the listener and all connections, as a crash does.
func (w *Worker) Stop() {
	w.Resume()
	_ = w.listener.Close() // the server does not close a listener that it has not started to serve
	_ = w.server.Close()
}

// Shutdown closes the listener and waits until all requests have ended, as a planned stop does.
func (w *Worker) Shutdown(ctx context.Context) error {
	return errors.Wrap(w.server.Shutdown(ctx), "standin: shut down")
}

// Address returns the address that Start listened on.
func (w *Worker) Address() netip.AddrPort {
	return w.address
}

// SetDraining sets whether the worker rejects new requests because it is about to stop.
func (w *Worker) SetDraining(on bool) {
	w.draining.Store(on)
}

// ResetNextConnections makes the worker reset the next count connections right after accepting them.
func (w *Worker) ResetNextConnections(count int64) {
	w.resetsLeft.Store(count)
}

// Pause makes the worker handle nothing until Resume, like a suspended process.
func (w *Worker) Pause() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.paused == nil {
		w.paused = make(chan struct{})
	}
}

// Resume resumes a paused worker. Requests that were paused continue as if no time had passed.
func (w *Worker) Resume() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.paused != nil {
		close(w.paused)
		w.paused = nil
	}
}

// Runs returns how often this worker ran a request.
func (w *Worker) Runs(id fleet.RequestID) RunCounts {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[id]
}

// TotalStarted returns the number of requests that got a slot, including repetitions.
func (w *Worker) TotalStarted() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	total := 0
	for _, run := range w.runs {
		total += run.Started
	}
	return total
}

// OpenConnections returns the number of open connections.
func (w *Worker) OpenConnections() int {
	return int(w.openConnections.Load())
}

// limitingListener applies MaxConnections and ResetNextConnections of a worker.
type limitingListener struct {
	net.Listener
	worker *Worker
}

// Accept returns the next connection that is not reset.
func (l *limitingListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		overLimit := l.worker.MaxConnections > 0 && l.worker.openConnections.Load() >= int64(l.worker.MaxConnections)
		if overLimit || l.worker.resetsLeft.Add(-1) >= 0 {
			closeWithReset(conn)
			continue
		}
		l.worker.openConnections.Add(1)
		return &countedConn{Conn: conn, openConnections: &l.worker.openConnections}, nil
	}
}

// countedConn decrements the number of open connections when it is closed.
type countedConn struct {
	net.Conn
	openConnections *atomic.Int64
	once            sync.Once
}

// Close closes the connection.
func (c *countedConn) Close() error {
	c.once.Do(func() { c.openConnections.Add(-1) })
	return c.Conn.Close()
}

// closeWithReset closes a connection with a TCP reset, so that unsent bytes are discarded.
func closeWithReset(conn net.Conn) {
	if c, ok := conn.(*countedConn); ok {
		defer func() { _ = c.Close() }()
		conn = c.Conn
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
