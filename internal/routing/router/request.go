package router

import (
	"io"
	"net/http"
	"sync"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/cause"
	"rosemarywick.example/rosemarywick/internal/core/document"
	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/upstream/forward"
)

// Request is one request of a caller. It must not be changed after the call of Do.
type Request struct {
	ID      fleet.RequestID
	Service fleet.ServiceName
	Tenant  fleet.TenantName
	// Key is empty if the request carries no key.
	Key            string
	IdempotencyKey string
	Delivery       document.Delivery
	// Timeout is zero if the caller set none. The timeout of the service applies then.
	Timeout time.Duration
	Method  string
	// Target is the path and query that are sent to the upstream.
	Target string
	// Hostname is the host name that the caller addressed.
	Hostname string
	// LatencyTarget is the time within which a response is useful to the caller. Zero selects the target of the service.
	LatencyTarget time.Duration
	// MaxAttempts is the maximum number of upstreams to which the request may be sent. Zero means unlimited.
	MaxAttempts int
	// Priority is 0 for the most urgent requests and grows as they get less urgent.
	Priority int
	// Bulk is set for a request with a large response.
	Bulk   bool
	Header http.Header
	Body   forward.Body
	// Room is the room for the response while it is held. Nil means that it is not limited.
	Room forward.Room
}

// Response is the result of routing a request. It is one of *UpstreamResponse and Rejected.
type Response interface {
	response()
}

// UpstreamResponse is the response of an upstream. The caller must call Copy or Close.
type UpstreamResponse struct {
	Status  int
	Header  http.Header
	Outcome cause.Outcome
	Cause   cause.Cause

	pending *pendingRequest
	// received is the upstream's result that body belongs to. Both are replaced when the rest of a download is fetched from
	// another upstream.
	received forward.Responded
	body     io.ReadCloser
	// slotMu guards slot, which is released while the body is written to the caller.
	slotMu sync.Mutex
	// slot is nil once it has been released.
	slot *acquiredSlot
	done bool
}

// Rejected is the router's own response to a request that got none from an upstream.
type Rejected struct {
	Outcome cause.Outcome
	Cause   cause.Cause
	// RetryAfter is zero if no time can be estimated.
	RetryAfter time.Duration
	// RecordedStatus is the status of the recorded response to an earlier request with the same idempotency key, or zero.
	RecordedStatus int
}

func (*UpstreamResponse) response() {}
func (Rejected) response()          {}

// rejection is the reason for which a request ends without a response of an upstream. reject turns it into Rejected.
type rejection struct {
	outcome    cause.Outcome
	cause      cause.Cause
	retryAfter time.Duration
	status     int
}
