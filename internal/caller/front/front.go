// Package front is the HTTP front end for callers. It parses requests, passes them to the router, and writes the responses in
// such a way that a caller can tell a complete response from an incomplete one.
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

	"rosemarywick.example/rosemarywick/internal/caller/budget"
	"rosemarywick.example/rosemarywick/internal/core/document"
	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/routing/router"
)

// Router routes a request to an upstream and returns the upstream's response or a rejection.
type Router interface {
	Do(ctx context.Context, request *router.Request) router.Response
}

// Configuration provides the current configuration.
type Configuration interface {
	// Current returns the configuration in force, or nil if there is none yet.
	Current() *document.Document
}

// Limits and defaults of requests and of connections to callers.
const (
	defaultBodyLimit   = 1 << 20
	defaultStopTimeout = 30 * time.Second
	readHeaderTimeout  = 10 * time.Second
	defaultIdleTimeout = 2 * time.Minute
	maxRequestTimeout  = 10 * time.Minute
	// maxHeaderBytes limits the head of a request before the limit of the configuration is checked. It is four times what the
	// deployments allow.
	maxHeaderBytes = 64 << 10
)

// Frontend serves HTTP requests of callers. The exported fields are set before Run or Handler.
type Frontend struct {
	// Address is the address to listen on. With port zero the system chooses a port.
	Address netip.AddrPort
	// Listener is the listener to use. If it is nil, Run listens on Address.
	Listener net.Listener
	Router   Router
	Config   Configuration
	Clock    timer.Clock
	Log      zerolog.Logger
	// BodyLimit limits the size of a request body in bytes, for the default dialect. The body is kept in memory so that the
	// request can be retried. Zero means 1 MiB.
	BodyLimit int64
	// MaxConnections limits the open connections of callers. Beyond it, the one that has been idle for longest is closed. Zero
	// means that there is no limit.
	MaxConnections int
	// Budget limits what is held for callers, and their connections. Nil means that there is no limit.
	Budget *budget.Budget
	// StopTimeout is how long Run waits for requests in flight and connections in use after ctx has ended. Zero means 30 s.
	StopTimeout time.Duration
	// Ready reports whether the platform's load balancer should route callers to this daemon. Nil means always.
	Ready func() bool
	// Dialect translates between HTTP and the router. Nil means the default interface of this project.
	Dialect Dialect
	// Listening, if set, is called with the address of the listener before requests are served.
	Listening func(netip.AddrPort)

	setup         sync.Once
	handler       http.Handler
	nativeDialect nativeDialect

	mu sync.Mutex
	// requestsInFlight is guarded by mu.
	requestsInFlight int
	// connsInUse is guarded by mu and counts the connections that are new or carry a request.
	connsInUse int
	// requestsDone is guarded by mu. It is created when the front end starts to reject requests, and closed when no request is
	// in flight any more.
	requestsDone chan struct{}
	// connsDone is created together with requestsDone. It is closed, and connsDoneClosed is set, when the listener is closed
	// and no connection is in use.
	connsDone chan struct{}
	// listenerClosed and connsDoneClosed are guarded by mu.
	listenerClosed, connsDoneClosed bool
	// draining is set when each response is to close its connection.
	draining atomic.Bool
}

// Run serves callers until ctx ends. It then rejects new requests, waits for requests in flight and connections in use, and
// returns.
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
		ConnContext: requestContext, MaxHeaderBytes: maxHeaderBytes,
	}
	failed := make(chan error, 1)
	callers := &callerListener{
		Listener: listener, config: f.Config, clock: f.Clock, log: f.Log, limit: f.MaxConnections, budget: f.Budget,
	}
	go func() { failed <- server.Serve(callers) }()
	select {
	case err := <-failed:
		return errors.Wrap(err, "front: serve")
	case <-ctx.Done():
	}
	f.shutDown(callers)
	return errors.Wrap(server.Close(), "front: close server")
}

// listen returns the listener to accept callers on.
func (f *Frontend) listen(ctx context.Context) (net.Listener, error) {
	if f.Listener != nil {
		return f.Listener, nil
	}
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", f.Address.String())
	return listener, errors.Wrap(err, "front: listen")
}

// Handler returns the HTTP handler that Run serves.
func (f *Frontend) Handler() http.Handler {
	f.setup.Do(func() {
		f.nativeDialect.config, f.nativeDialect.bodyLimit, f.nativeDialect.log = f.Config, f.BodyLimit, f.Log
		f.handler = f.newHandler()
	})
	return f.handler
}

// shutDown rejects new requests and waits for requests in flight. It then closes the listener and waits for connections that
// are already open and may still carry a request. http.Server.Shutdown would close such a connection without a response.
func (f *Frontend) shutDown(listener net.Listener) {
	timeout := f.StopTimeout
	if timeout == 0 {
		timeout = defaultStopTimeout
	}
	stopTimer := f.Clock.After(timeout)
	defer stopTimer.Stop()
	if f.waitUntil(f.rejectRequests(), stopTimer) {
		_ = listener.Close() // http.Server.Close closes it again
		f.mu.Lock()
		f.listenerClosed = true
		f.checkConnsDoneLocked()
		f.mu.Unlock()
		if f.waitUntil(f.connsDone, stopTimer) {
			return
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Log.Warn().Int("in-flight", f.requestsInFlight).Int("connections", f.connsInUse).Dur("waited", timeout).
		Msg("stop timeout expired: closing connections in use")
}

// waitUntil waits for done. It returns false if the stop timeout expires first.
func (f *Frontend) waitUntil(done <-chan struct{}, stopTimer *timer.Subscription) bool {
	select {
	case <-done:
		return true
	case <-stopTimer.C:
		return false
	}
}

// DrainConnections makes every further response close its connection, so that callers move to other daemons. Requests are
// still served.
func (f *Frontend) DrainConnections() {
	f.draining.Store(true)
}

// rejectRequests makes the front end reject new requests. It returns a channel that is closed when no request is in flight
// any more.
func (f *Frontend) rejectRequests() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requestsDone, f.connsDone = make(chan struct{}), make(chan struct{})
	if f.requestsInFlight == 0 {
		close(f.requestsDone)
	}
	return f.requestsDone
}

// checkConnsDoneLocked closes connsDone if the listener is closed and no connection is in use. The caller holds mu.
func (f *Frontend) checkConnsDoneLocked() {
	if f.listenerClosed && f.connsInUse == 0 && !f.connsDoneClosed {
		f.connsDoneClosed = true
		close(f.connsDone)
	}
}

// beginRequest counts a request as in flight. It returns false if the front end rejects requests.
func (f *Frontend) beginRequest() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.requestsDone != nil {
		return false
	}
	f.requestsInFlight++
	return true
}

// endRequest counts a request as finished.
func (f *Frontend) endRequest() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requestsInFlight--
	if f.requestsDone != nil && f.requestsInFlight == 0 {
		close(f.requestsDone)
	}
}
