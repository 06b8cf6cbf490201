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

	"rosemarywick.example/rosemarywick/internal/caller/budget"
	"rosemarywick.example/rosemarywick/internal/core/cause"
	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/routing/router"
)

// Request and response headers of the default dialect.
const (
	headerRequestID      = "Rosemarywick-Request-Id"
	headerOutcome        = "Rosemarywick-Outcome"
	headerCause          = "Rosemarywick-Cause"
	headerRequestTimeout = "Rosemarywick-Timeout"
	headerTenant         = "Rosemarywick-Tenant"
	headerIdempotency    = "Idempotency-Key"
)

// nativeDialect is the default interface to callers: the first path segment names the service, and headers carry the request
// identifier, timeout and tenant, and in responses the outcome and its cause.
type nativeDialect struct {
	config      Configuration
	bodyLimit   int64
	log         zerolog.Logger
	routeTables routeTableCache
}

var _ Dialect = (*nativeDialect)(nil)

// SetCommonHeaders sets the identifier of the request.
func (d *nativeDialect) SetCommonHeaders(header http.Header, r *http.Request) {
	header.Set(headerRequestID, string(requestIDOrNew(r.Header.Get(headerRequestID))))
}

// ReadRequest returns the request for the router, or a rejection if the request is malformed.
func (d *nativeDialect) ReadRequest(rw http.ResponseWriter, r *http.Request) (*router.Request, *router.Rejected) {
	id := fleet.RequestID(rw.Header().Get(headerRequestID))
	request, err := d.parseRequest(rw, r, id)
	if err != nil {
		d.log.Debug().Str("request", string(id)).Err(err).Msg("parse request: rejected")
		if errors.Is(err, ErrNoRoom) {
			return nil, &router.Rejected{Outcome: cause.NotRun, Cause: cause.NoRoom, RetryAfter: budget.RetryAfter}
		}
		return nil, &router.Rejected{Outcome: cause.NotRun, Cause: cause.BadRequest}
	}
	return request, nil
}

// SetResponseHeaders copies the headers of an upstream's response and adds the outcome of the request and its cause.
func (d *nativeDialect) SetResponseHeaders(header http.Header, response *router.UpstreamResponse) int {
	for name, values := range response.Header {
		if name != headerRequestID {
			header[name] = values
		}
	}
	header.Set(headerOutcome, string(response.Outcome))
	header.Set(headerCause, string(response.Cause))
	return response.Status
}

// parseRequest converts an HTTP request into a request for the router.
func (d *nativeDialect) parseRequest(rw http.ResponseWriter, r *http.Request, id fleet.RequestID) (*router.Request, error) {
	routes := d.routeTables.forDocument(d.config.Current())
	service := fleet.ServiceName(mux.Vars(r)["service"])
	request := &router.Request{
		ID: id, Service: service, Method: r.Method, Target: targetBelowService(r.URL.EscapedPath(), r.URL.RawQuery),
		Header: r.Header, IdempotencyKey: r.Header.Get(headerIdempotency),
		Tenant: routes.tenantName(r.Header.Get(headerTenant)),
	}
	if value := r.Header.Get(headerRequestTimeout); value != "" {
		timeout, err := time.ParseDuration(value)
		if err != nil || timeout <= 0 || timeout > maxRequestTimeout {
			return nil, errors.Newf("front: header %s is not a positive duration up to %s", headerRequestTimeout, maxRequestTimeout)
		}
		request.Timeout = timeout
	}
	if declared := routes.services[service]; declared != nil {
		request.Key = declared.shardKey(r)
		request.Delivery = declared.deliveryMode(r)
	}
	body, err := ReadBody(rw, r, d.bodyLimit, 0)
	if err != nil {
		return nil, err
	}
	request.Body = body
	return request, nil
}

// WriteRejection writes the response for a request that was rejected.
func (d *nativeDialect) WriteRejection(rw http.ResponseWriter, rejected router.Rejected) {
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

// rejectionStatus returns the HTTP status code for a rejection.
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
