// Package standin is a fake worker that speaks HTTP on loopback. Tests and measurements use it to inject the faults that
// real workers show and to compare what a caller was told with what the worker really ran.
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

// Ownership decides which keys a worker may serve, as the guard of a fenced server does.
type Ownership interface {
	// Admit reports whether a request for the key may begin. Done follows each admitted request.
	Admit(key fleet.KeyHash) (lease.Ticket, bool)
	// MayApply reports whether the effect of an admitted request may still be applied.
	MayApply(ticket lease.Ticket) bool
	// Done says that an admitted request has ended.
	Done(ticket lease.Ticket)
}

// Run counts what a worker did with one request.
type RunCounts struct {
	// Started counts how often the request got a slot.
	Started int
	// Effects counts how often the request took effect.
	Effects int
}

// Worker is one fake worker. The exported fields are set before Start.
type Worker struct {
	ID    fleet.UpstreamID
	Clock timer.Clock
	// Slots is the number of requests that run at the same time; Queue is the number that may wait for a slot before
	// the worker sheds; Connections limits open connections. Zero means no limit, except that Queue zero means none.
	Slots, QueueLimit, MaxConnections int
	// Work returns how long a request occupies its slot. Nil means no time.
	ServiceTime func(r *http.Request) time.Duration
	// ColdStart is the period after Start in which each request takes four times as long.
	ColdStartPeriod time.Duration
	// Ownership is nil for a worker that checks nothing.
	Ownership Ownership
	// Orders takes the orders of an assigner. It is nil for a worker that takes none.
	OrderHandler http.Handler
	// Inject returns the fault of a request. Nil means none.
	InjectFault func(r *http.Request) Fault
	// Report changes the load that the worker reports. Nil reports it as it is.
	AdjustLoad func(Load) Load
	// Unhealthy makes the health endpoint report a failure, whatever the truth.
	Unhealthy bool
	// Listen is the address to listen on; an invalid one stands for a free port of 127.0.0.1.
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
	// frozen is guarded by mu; it is closed when the worker resumes and nil while it is not frozen.
	paused chan struct{}
}

// Start listens and serves until Stop. A stopped worker may be started again on the same address.
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
	_ = w.listener.Close() // the server does not close a listener that it has not begun to serve
	_ = w.server.Close()
}

// Shutdown closes the listener and waits until all requests are answered, as a planned stop does.
func (w *Worker) Shutdown(ctx context.Context) error {
	return errors.Wrap(w.server.Shutdown(ctx), "standin: shut down")
}

// Address returns the address that Start listened on.
func (w *Worker) Address() netip.AddrPort {
	return w.address
}

// Drain makes the worker reject new requests because it is leaving.
func (w *Worker) SetDraining(on bool) {
	w.draining.Store(on)
}

// ResetAccepts makes the worker reset the next count connections right after accepting them.
func (w *Worker) ResetNextConnections(count int64) {
	w.resetsLeft.Store(count)
}

// Freeze makes the worker answer nothing until Thaw.
func (w *Worker) Pause() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.paused == nil {
		w.paused = make(chan struct{})
	}
}

// Thaw resumes a frozen worker, which does not notice that time has passed.
func (w *Worker) Resume() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.paused != nil {
		close(w.paused)
		w.paused = nil
	}
}

// Ran returns what happened to a request here.
func (w *Worker) Runs(id fleet.RequestID) RunCounts {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[id]
}

// Sent returns the number of requests that got a slot, repetitions included.
func (w *Worker) TotalStarted() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	total := 0
	for _, run := range w.runs {
		total += run.Started
	}
	return total
}

// Connected returns the number of open connections.
func (w *Worker) OpenConnections() int {
	return int(w.openConnections.Load())
}

// acceptor applies the connection limit and the resets of a worker.
type limitingListener struct {
	net.Listener
	worker *Worker
}

// Accept returns the next connection that the worker keeps.
func (a *limitingListener) Accept() (net.Conn, error) {
	for {
		conn, err := a.Listener.Accept()
		if err != nil {
			return nil, err
		}
		over := a.worker.MaxConnections > 0 && a.worker.openConnections.Load() >= int64(a.worker.MaxConnections)
		if over || a.worker.resetsLeft.Add(-1) >= 0 {
			closeWithReset(conn)
			continue
		}
		a.worker.openConnections.Add(1)
		return &countedConn{Conn: conn, openConnections: &a.worker.openConnections}, nil
	}
}

// counted lowers the number of open connections when it is closed.
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
