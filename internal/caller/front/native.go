package front

import (
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"
	"github.com/rs/zerolog"

	"rosemarywick.example/rosemarywick/internal/core/cause"
	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/routing/router"
)

// Headers of the interface to callers.
const (
	headerRequestID      = "Rosemarywick-Request-Id"
	headerOutcome        = "Rosemarywick-Outcome"
	headerCause          = "Rosemarywick-Cause"
	headerRequestTimeout = "Rosemarywick-Timeout"
	headerTenant         = "Rosemarywick-Tenant"
	headerIdempotency    = "Idempotency-Key"
)

// native is the product's own interface to callers.
type nativeDialect struct {
	config      Configuration
	bodyLimit   int64
	log         zerolog.Logger
	routeTables routeTableCache
}

var _ Dialect = (*nativeDialect)(nil)

// Begin sets the id of the request.
func (n *nativeDialect) SetCommonHeaders(header http.Header, r *http.Request) {
	header.Set(headerRequestID, string(requestIDOrNew(r.Header.Get(headerRequestID))))
}

// Read returns the request for the router.
func (n *nativeDialect) ReadRequest(rw http.ResponseWriter, r *http.Request) (*router.Request, *router.Rejected) {
	id := fleet.RequestID(rw.Header().Get(headerRequestID))
	request, err := n.parseRequest(rw, r, id)
	if err != nil {
		n.log.Debug().Str("request", string(id)).Err(err).Msg("bad request")
		return nil, &router.Rejected{Outcome: cause.NotRun, Cause: cause.BadRequest}
	}
	return request, nil
}

// Answer copies the headers of an upstream's answer and says what became of the request.
func (n *nativeDialect) SetResponseHeaders(header http.Header, answer *router.UpstreamResponse) int {
	for name, values := range answer.Header {
		if name != headerRequestID {
			header[name] = values
		}
	}
	header.Set(headerOutcome, string(answer.Outcome))
	header.Set(headerCause, string(answer.Cause))
	return answer.Status
}

// read turns the HTTP request into a request for the router.
func (n *nativeDialect) parseRequest(rw http.ResponseWriter, r *http.Request, id fleet.RequestID) (*router.Request, error) {
	table := n.routeTables.forDocument(n.config.Current())
	service := fleet.ServiceName(mux.Vars(r)["service"])
	request := &router.Request{
		ID: id, Service: service, Method: r.Method, Target: targetBelowService(r.URL.EscapedPath(), r.URL.RawQuery),
		Header: r.Header, IdempotencyKey: r.Header.Get(headerIdempotency),
		Tenant: table.tenantName(r.Header.Get(headerTenant)),
	}
	if text := r.Header.Get(headerRequestTimeout); text != "" {
		timeout, err := time.ParseDuration(text)
		if err != nil || timeout <= 0 || timeout > maxRequestTimeout {
			return nil, errors.Newf("front: %s is not a duration up to %s", headerRequestTimeout, maxRequestTimeout)
		}
		request.Timeout = timeout
	}
	if entry := table.services[service]; entry != nil {
		request.Key = entry.shardKey(r)
		request.Delivery = entry.deliveryMode(r)
	}
	body, err := ReadBody(rw, r, n.bodyLimit)
	if err != nil {
		return nil, err
	}
	request.Body = body
	return request, nil
}

// ReadBody reads the body of a request up to a limit; zero stands for 1 MiB.
func ReadBody(rw http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	if limit == 0 {
		limit = defaultBodyLimit
	}
	body, err := io.ReadAll(http.MaxBytesReader(rw, r.Body, limit))
	return body, errors.Wrap(err, "front: read body")
}

// Reject writes an answer of the router itself.
func (n *nativeDialect) WriteRejection(rw http.ResponseWriter, rejected router.Rejected) {
	header := rw.Header()
	header.Set(headerOutcome, string(rejected.Outcome))
	header.Set(headerCause, string(rejected.Cause))
	if rejected.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(rejected.RetryAfter.Seconds()))))
	}
	if rejected.RecordedStatus != 0 {
		header.Set("Rosemarywick-Recorded-Status", strconv.Itoa(rejected.RecordedStatus))
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	rw.WriteHeader(rejectionStatus(rejected))
	_, _ = io.WriteString(rw, string(rejected.Outcome)+": "+string(rejected.Cause)+"\n")
}

// status returns the HTTP status of a rejection.
func rejectionStatus(rejected router.Rejected) int {
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
