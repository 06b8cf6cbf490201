package front

import (
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"rosemarywick.example/rosemarywick/internal/core/cause"
	"rosemarywick.example/rosemarywick/internal/routing/router"
)

func (f *Frontend) newHandler() http.Handler {
	if f.Dialect != nil { // every path is the callers'
		return http.HandlerFunc(f.serveRequest)
	}
	// Paths are passed on as the caller wrote them.
	result := mux.NewRouter().SkipClean(true).UseEncodedPath()
	result.HandleFunc(readyPath, f.serveReady)
	result.HandleFunc("/{service}", f.serveRequest)
	result.HandleFunc("/{service}/{rest:.*}", f.serveRequest)
	result.NotFoundHandler = http.HandlerFunc(f.serveRequest)
	return result
}

// elsewhere is when a caller should come back that another daemon can serve at once.
const stoppingRetryAfter = 100 * time.Millisecond

// readyPath is asked by the platform's balancer. The names of services do not begin with a hyphen.
const readyPath = "/-/ready"

func (f *Frontend) serveReady(rw http.ResponseWriter, _ *http.Request) {
	if f.Ready != nil && !f.Ready() {
		rw.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (f *Frontend) serveRequest(rw http.ResponseWriter, r *http.Request) {
	dialect := f.activeDialect()
	dialect.SetCommonHeaders(rw.Header(), r)
	if f.draining.Load() {
		rw.Header().Set("Connection", "close")
	}
	if !f.beginRequest() {
		rw.Header().Set("Connection", "close")
		dialect.WriteRejection(rw, router.Rejected{Outcome: cause.NotRun, Cause: cause.DaemonStopping, RetryAfter: stoppingRetryAfter})
		return
	}
	defer f.endRequest()
	request, rejected := dialect.ReadRequest(rw, r)
	if rejected != nil {
		f.Log.Debug().Str("host", r.Host).Str("cause", string(rejected.Cause)).Msg("request rejected unread")
		dialect.WriteRejection(rw, *rejected)
		return
	}
	switch answer := f.Router.Do(r.Context(), request).(type) {
	case router.Rejected:
		dialect.WriteRejection(rw, answer)
	case *router.UpstreamResponse:
		f.writeUpstreamResponse(rw, r, dialect, answer)
	}
}

func (f *Frontend) activeDialect() Dialect {
	if f.Dialect != nil {
		return f.Dialect
	}
	return &f.nativeDialect
}

// pass writes the answer of an upstream. Once headers were sent, an answer that turns out to be incomplete can only be
// shown by aborting the caller's connection.
func (f *Frontend) writeUpstreamResponse(rw http.ResponseWriter, r *http.Request, dialect Dialect, answer *router.UpstreamResponse) {
	defer answer.Close()
	status := dialect.SetResponseHeaders(rw.Header(), answer)
	rw.WriteHeader(status)
	if err := answer.Copy(rw); err != nil && r.Method != http.MethodHead {
		f.Log.Debug().Str("path", r.URL.Path).Err(err).Msg("answer aborted")
		panic(http.ErrAbortHandler)
	}
}
