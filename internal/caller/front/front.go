// Package front is the HTTP interface to callers. It reads a request and its headers, hands it to the router, and writes
// the answer so that the caller can tell a complete answer from one that is not.
package front

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"rosemarywick.example/rosemarywick/internal/core/document"
	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/routing/router"
)

// Router routes one request.
type Router interface {
	Do(ctx context.Context, request *router.Request) router.Response
}

// Configuration is the configuration in force.
type Configuration interface {
	Current() *document.Document
}

// Limits and defaults of the connection to a caller.
const (
	defaultBodyLimit   = 1 << 20
	defaultStopTimeout = 30 * time.Second
	readHeaderTimeout  = 10 * time.Second
	defaultIdleTimeout = 2 * time.Minute
	maxRequestTimeout  = 10 * time.Minute
)

// Front serves callers. The exported fields are set before Run or Handler.
type Frontend struct {
	// Address is where callers connect; the port may be zero.
	Address netip.AddrPort
	// Listener is the socket to use. If it is nil, Run opens Address.
	Listener net.Listener
	Router   Router
	Config   Configuration
	Clock    timer.Clock
	Log      zerolog.Logger
	// BodyLimit bounds the body of a request, which is kept in memory so that it can be sent again. Zero means 1 MiB.
	BodyLimit int64
	// StopTimeout bounds how long Run waits for the requests in flight. Zero means 30 s.
	StopTimeout time.Duration
	// Ready says whether the platform's balancer should send callers here. Nil stands for always.
	Ready func() bool
	// Dialect translates between HTTP and the router. Nil stands for the product's own interface.
	Dialect Dialect
	// Listening is called with the address that callers can connect to, if it is set.
	Listening func(netip.AddrPort)

	setup         sync.Once
	handler       http.Handler
	nativeDialect nativeDialect

	mu sync.Mutex
	// inFlight is guarded by mu.
	requestsInFlight int
	// busy is guarded by mu and counts the connections that are new or bring a request.
	connsInUse int
	// ended is guarded by mu; it is set when the front takes no more requests and closed when nothing is in flight any more.
	requestsDone chan struct{}
	// quiet is set with ended and closed, when quietClosed is set, once the listener is closed and no connection is in use.
	connsDone chan struct{}
	// closed and quietClosed are guarded by mu.
	listenerClosed, connsDoneClosed bool
	// leaving is set when callers are to use other daemons.
	draining atomic.Bool
}

// Run serves callers until ctx ends. It then rejects new requests, waits for those in flight, and returns.
func (f *Frontend) Run(ctx context.Context) error {
	listener, err := f.listen(ctx)
	if err != nil {
		return err
	}
	if f.Listening != nil {
		f.Listening(listener.Addr().(*net.TCPAddr).AddrPort())
	}
	server := &http.Server{
		Handler: f.Handler(), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: defaultIdleTimeout, ConnState: f.trackConnState,
	}
	failed := make(chan error, 1)
	accepting := &idleTimeoutListener{Listener: listener, config: f.Config}
	go func() { failed <- server.Serve(accepting) }()
	select {
	case err := <-failed:
		return errors.Wrap(err, "front: serve")
	case <-ctx.Done():
	}
	f.shutDown(accepting)
	return errors.Wrap(server.Close(), "front: close")
}

func (f *Frontend) listen(ctx context.Context) (net.Listener, error) {
	if f.Listener != nil {
		return f.Listener, nil
	}
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", f.Address.String())
	return listener, errors.Wrap(err, "front: listen")
}

// Handler returns the handler that Run serves.
func (f *Frontend) Handler() http.Handler {
	f.setup.Do(func() {
		f.nativeDialect.config, f.nativeDialect.bodyLimit, f.nativeDialect.log = f.Config, f.BodyLimit, f.Log
		f.handler = f.newHandler()
	})
	return f.handler
}

// stop rejects new requests, waits for those in flight, and then for connections that were opened before and may bring a
// request late. http.Server.Shutdown would drop a request that it reads then without an answer.
func (f *Frontend) shutDown(listener net.Listener) {
	limit := f.StopTimeout
	if limit == 0 {
		limit = defaultStopTimeout
	}
	wake := f.Clock.After(limit)
	defer wake.Stop()
	if f.waitUntil(f.rejectRequests(), wake) {
		_ = listener.Close() // the server closes it again
		f.mu.Lock()
		f.listenerClosed = true
		f.checkConnsDoneLocked()
		f.mu.Unlock()
		if f.waitUntil(f.connsDone, wake) {
			return
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Log.Warn().Int("in-flight", f.requestsInFlight).Int("connections", f.connsInUse).Dur("waited", limit).Msg("stopped with connections in use")
}

// await returns false if the time to stop is over first.
func (f *Frontend) waitUntil(done <-chan struct{}, wake *timer.Subscription) bool {
	select {
	case <-done:
		return true
	case <-wake.C:
		return false
	}
}

// Leave makes each further answer end its connection, so that callers turn to other daemons, while requests are still
// served.
func (f *Frontend) DrainConnections() {
	f.draining.Store(true)
}

// close makes the front reject requests, and returns a channel that is closed when nothing is in flight any more.
func (f *Frontend) rejectRequests() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requestsDone, f.connsDone = make(chan struct{}), make(chan struct{})
	if f.requestsInFlight == 0 {
		close(f.requestsDone)
	}
	return f.requestsDone
}

// settle notes that no connection is in use any more. The caller holds mu.
func (f *Frontend) checkConnsDoneLocked() {
	if f.listenerClosed && f.connsInUse == 0 && !f.connsDoneClosed {
		f.connsDoneClosed = true
		close(f.connsDone)
	}
}

// begin counts a request, and returns false if the front is stopping.
func (f *Frontend) beginRequest() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.requestsDone != nil {
		return false
	}
	f.requestsInFlight++
	return true
}

func (f *Frontend) endRequest() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requestsInFlight--
	if f.requestsDone != nil && f.requestsInFlight == 0 {
		close(f.requestsDone)
	}
}
