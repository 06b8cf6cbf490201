package front

import (
	"net/http"

	"github.com/gorilla/mux"

	"rosemarywick.example/rosemarywick/internal/caller/budget"
	"rosemarywick.example/rosemarywick/internal/core/cause"
	"rosemarywick.example/rosemarywick/internal/routing/admission"
	"rosemarywick.example/rosemarywick/internal/routing/router"
	"rosemarywick.example/rosemarywick/internal/upstream/forward"
)

// newHandler returns the handler for all paths of callers and, with the default dialect, the readiness check.
func (f *Frontend) newHandler() http.Handler {
	if f.Dialect != nil { // a custom dialect handles every path
		return http.HandlerFunc(f.serveRequest)
	}
	// Upstreams receive paths exactly as the caller wrote them.
	routes := mux.NewRouter().SkipClean(true).UseEncodedPath()
	routes.HandleFunc(readyPath, f.serveReady)
	routes.HandleFunc("/{service}", f.serveRequest)
	routes.HandleFunc("/{service}/{rest:.*}", f.serveRequest)
	routes.NotFoundHandler = http.HandlerFunc(f.serveRequest)
	return routes
}

// readyPath is the readiness check for the platform's load balancer. It cannot collide with a service, as service names do
// not begin with a hyphen.
const readyPath = "/-/ready"

// serveReady responds with status 200 if the daemon is ready, and otherwise with 503.
func (f *Frontend) serveReady(rw http.ResponseWriter, _ *http.Request) {
	if f.Ready != nil && !f.Ready() {
		rw.WriteHeader(http.StatusServiceUnavailable)
	}
}

// serveRequest reads a request, routes it, and writes the response.
func (f *Frontend) serveRequest(rw http.ResponseWriter, r *http.Request) {
	holder := heldBy(r.Context())
	holder.Await(false)
	defer holder.Await(true)
	defer holder.ReleaseAll(budget.Response)
	defer holder.ReleaseAll(budget.Body)
	dialect := f.activeDialect()
	dialect.SetCommonHeaders(rw.Header(), r)
	if f.headTooLarge(r) {
		rw.Header().Set("Connection", "close")
		rw.WriteHeader(http.StatusRequestHeaderFieldsTooLarge)
		return
	}
	if f.draining.Load() {
		rw.Header().Set("Connection", "close")
	}
	if !f.beginRequest() {
		rw.Header().Set("Connection", "close")
		dialect.WriteRejection(rw, router.Rejected{
			Outcome: cause.NotRun, Cause: cause.DaemonStopping, RetryAfter: admission.StoppingRetryAfter,
		})
		return
	}
	defer f.endRequest()
	request, rejected := dialect.ReadRequest(rw, r)
	if rejected != nil {
		f.Log.Debug().Str("host", r.Host).Str("cause", string(rejected.Cause)).Msg("request rejected before routing")
		dialect.WriteRejection(rw, *rejected)
		return
	}
	if holder != nil {
		request.Room = responseRoom{holder: holder}
	}
	switch response := f.Router.Do(r.Context(), request).(type) {
	case router.Rejected:
		dialect.WriteRejection(rw, response)
	case *router.UpstreamResponse:
		if conn := connOf(r.Context()); conn != nil {
			conn.readingBody.Store(false)
		}
		f.writeUpstreamResponse(rw, r, dialect, response)
	}
}

// headTooLarge reports whether the head of a request exceeds the limit of the configuration. Spaces that the parser dropped
// are not counted.
func (f *Frontend) headTooLarge(r *http.Request) bool {
	if f.Config == nil {
		return false
	}
	current := f.Config.Current()
	if current == nil || current.CallerLimits.MaxHeaderBytes == 0 {
		return false
	}
	length := len(r.Method) + len(r.RequestURI) + len(r.Proto) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			length += len(name) + len(value) + len(": \r\n")
		}
	}
	return int64(length) > current.CallerLimits.MaxHeaderBytes
}

// responseRoom is the room for responses to the requests of a connection.
type responseRoom struct{ holder *budget.Holder }

var _ forward.Room = responseRoom{}

// Reserve takes room for n bytes of a response.
func (r responseRoom) Reserve(n int64) bool { return r.holder.Reserve(budget.Response, n) }

// Release gives up room for n bytes of a response.
func (r responseRoom) Release(n int64) { r.holder.Release(budget.Response, n) }

// activeDialect returns the configured dialect or the default one.
func (f *Frontend) activeDialect() Dialect {
	if f.Dialect != nil {
		return f.Dialect
	}
	return &f.nativeDialect
}

// writeUpstreamResponse writes the response of an upstream. If the response turns out to be incomplete after its headers were
// sent, the only way to signal that is to abort the caller's connection.
func (f *Frontend) writeUpstreamResponse(rw http.ResponseWriter, r *http.Request, d Dialect, response *router.UpstreamResponse) {
	defer response.Close()
	status := d.SetResponseHeaders(rw.Header(), response)
	rw.WriteHeader(status)
	if err := response.Copy(rw); err != nil && r.Method != http.MethodHead {
		f.Log.Debug().Str("path", r.URL.Path).Err(err).Msg("copy upstream response: connection to the caller aborted")
		panic(http.ErrAbortHandler)
	}
}
