package front

import (
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"

	"rosemarywick.example/rosemarywick/internal/core/cause"
	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/routing/router"
)

// Headers of the interface to callers.
const (
	headerID          = "Rosemarywick-Request-Id"
	headerOutcome     = "Rosemarywick-Outcome"
	headerCause       = "Rosemarywick-Cause"
	headerDeadline    = "Rosemarywick-Timeout"
	headerTenant      = "Rosemarywick-Tenant"
	headerIdempotency = "Idempotency-Key"
)

func (f *Front) routes() http.Handler {
	// Paths are passed on as the caller wrote them.
	result := mux.NewRouter().SkipClean(true).UseEncodedPath()
	result.HandleFunc(readyPath, f.serveReady)
	result.HandleFunc("/{service}", f.serve)
	result.HandleFunc("/{service}/{rest:.*}", f.serve)
	result.NotFoundHandler = http.HandlerFunc(f.serve)
	return result
}

// readyPath is asked by the platform's balancer. The names of services do not begin with a hyphen.
const readyPath = "/-/ready"

func (f *Front) serveReady(rw http.ResponseWriter, _ *http.Request) {
	if f.Ready != nil && !f.Ready() {
		rw.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (f *Front) serve(rw http.ResponseWriter, r *http.Request) {
	id := requestID(r.Header.Get(headerID))
	rw.Header().Set(headerID, string(id))
	if !f.begin() {
		rw.Header().Set("Connection", "close")
		f.reject(rw, router.Rejected{Outcome: cause.NotRun, Cause: cause.DaemonStopping, RetryAfter: time.Second})
		return
	}
	defer f.finish()
	request, err := f.read(rw, r, id)
	if err != nil {
		f.Log.Debug().Str("request", string(id)).Err(err).Msg("bad request")
		f.reject(rw, router.Rejected{Outcome: cause.NotRun, Cause: cause.BadRequest})
		return
	}
	switch answer := f.Router.Do(r.Context(), request).(type) {
	case router.Rejected:
		f.reject(rw, answer)
	case *router.Answered:
		f.pass(rw, r, answer)
	}
}

// read turns the HTTP request into a request for the router.
func (f *Front) read(rw http.ResponseWriter, r *http.Request, id fleet.RequestID) (*router.Request, error) {
	table := f.table.of(f.Config.Current())
	service := fleet.ServiceName(mux.Vars(r)["service"])
	request := &router.Request{
		ID: id, Service: service, Method: r.Method, Target: below(r.URL.EscapedPath(), r.URL.RawQuery),
		Header: r.Header, IdempotencyKey: r.Header.Get(headerIdempotency),
		Tenant: table.tenant(r.Header.Get(headerTenant)),
	}
	if text := r.Header.Get(headerDeadline); text != "" {
		timeout, err := time.ParseDuration(text)
		if err != nil || timeout <= 0 || timeout > maxTimeout {
			return nil, errors.Newf("front: %s is not a duration up to %s", headerDeadline, maxTimeout)
		}
		request.Timeout = timeout
	}
	if entry := table.services[service]; entry != nil {
		request.Key = entry.key(r)
		request.Delivery = entry.delivery(r)
	}
	if r.ContentLength == 0 {
		return request, nil
	}
	limit := f.BodyLimit
	if limit == 0 {
		limit = defaultBodyLimit
	}
	body, err := io.ReadAll(http.MaxBytesReader(rw, r.Body, limit))
	if err != nil {
		return nil, errors.Wrap(err, "front: read body")
	}
	request.Body = body
	return request, nil
}

// pass writes the answer of an upstream. Once headers were sent, an answer that turns out to be incomplete can only be
// shown by aborting the caller's connection.
func (f *Front) pass(rw http.ResponseWriter, r *http.Request, answer *router.Answered) {
	defer answer.Close()
	header := rw.Header()
	for name, values := range answer.Header {
		if name != headerID {
			header[name] = values
		}
	}
	header.Set(headerOutcome, string(answer.Outcome))
	header.Set(headerCause, string(answer.Cause))
	rw.WriteHeader(answer.Status)
	if err := answer.Copy(rw); err != nil && r.Method != http.MethodHead {
		f.Log.Debug().Str("request", header.Get(headerID)).Err(err).Msg("answer aborted")
		panic(http.ErrAbortHandler)
	}
}

// reject writes an answer of the router itself.
func (f *Front) reject(rw http.ResponseWriter, rejected router.Rejected) {
	header := rw.Header()
	header.Set(headerOutcome, string(rejected.Outcome))
	header.Set(headerCause, string(rejected.Cause))
	if rejected.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(rejected.RetryAfter.Seconds()))))
	}
	if rejected.Recorded != 0 {
		header.Set("Rosemarywick-Recorded-Status", strconv.Itoa(rejected.Recorded))
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	rw.WriteHeader(status(rejected))
	_, _ = io.WriteString(rw, string(rejected.Outcome)+": "+string(rejected.Cause)+"\n")
}

// status returns the HTTP status of a rejection.
func status(rejected router.Rejected) int {
	switch rejected.Cause {
	case cause.NoSuchService:
		return http.StatusNotFound
	case cause.MissingKey, cause.BadRequest:
		return http.StatusBadRequest
	case cause.DuplicateRequest:
		return http.StatusConflict
	case cause.TenantShare:
		return http.StatusTooManyRequests
	case cause.DeadlinePassed:
		return http.StatusGatewayTimeout
	}
	if rejected.Outcome == cause.Unknown {
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}
