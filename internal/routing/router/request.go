package router

import (
	"io"
	"net/http"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/cause"
	"rosemarywick.example/rosemarywick/internal/core/document"
	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/upstream/forward"
)

// Request is one request of a caller. It is not changed after Do was called.
type Request struct {
	ID      fleet.RequestID
	Service fleet.ServiceName
	Tenant  fleet.TenantName
	// Key is empty if the request carries none.
	Key            string
	IdempotencyKey string
	Delivery       document.Delivery
	// Timeout is zero if the caller named none; the timeout of the service counts then.
	Timeout time.Duration
	Method  string
	// Target is path and query as they are sent to the upstream.
	Target string
	// Hostname is the host that the caller addressed.
	Hostname string
	// Objective is the time within which an answer is useful; zero stands for the target of the service.
	LatencyTarget time.Duration
	// Attempts is the number of upstreams to which the request may be sent; zero sets no bound.
	MaxAttempts int
	// Bulk is set for a request with a large answer.
	Bulk   bool
	Header http.Header
	Body   []byte
}

// Answer is what the caller gets. It is one of *Answered and Rejected.
type Response interface {
	response()
}

// Answered is the answer of an upstream. Copy or Close must be called.
type UpstreamResponse struct {
	Status  int
	Header  http.Header
	Outcome cause.Outcome
	Cause   cause.Cause

	pending *pending
	// responded is the answer that body belongs to.
	responded forward.Responded
	body      io.ReadCloser
	// slot is nil when the slot was given back.
	slot *usedSlot
	done bool
}

// Rejected is the answer of the router itself.
type Rejected struct {
	Outcome cause.Outcome
	Cause   cause.Cause
	// RetryAfter is zero if no time can be named.
	RetryAfter time.Duration
	// Recorded is set for a repetition whose first request has a recorded answer.
	RecordedStatus int
}

func (*UpstreamResponse) response() {}
func (Rejected) response()          {}

// refusal is a rejection before it is reported.
type refusal struct {
	outcome    cause.Outcome
	cause      cause.Cause
	retryAfter time.Duration
	status     int
}
