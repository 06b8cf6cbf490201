// Package forward sends one request to one upstream over net/http and classifies what happened. Its main duty is to know
// whether a byte of the request may have reached the upstream, because only that decides what the caller may be told.
package forward

import (
	"io"
	"net/http"
	"time"
)

// Result is what happened to one sending. It is one of Responded, Rejected, NotOwner, NotSent, Lost and Truncated.
type Result interface {
	result()
}

// Responded means that the upstream answered. A short answer is already complete; a longer one is read from Body.
type Responded struct {
	Status int
	// Header holds no hop-by-hop headers.
	Header http.Header
	// Body must be closed. Reading it fails with ErrTruncated if the answer ends early.
	Body io.ReadCloser
	// Whole is set when Body is already in memory and cannot fail.
	Buffered bool
	// FirstByte is the time from sending to the first byte of the answer.
	TimeToFirstByte time.Duration
}

// Rejected means that the upstream stated that it did not run the request.
type Rejected struct {
	// Draining is set when the upstream rejected the request because it is leaving.
	Draining bool
	// Misplaced is set when another upstream answers at the address.
	WrongUpstream bool
	// RetryAfter is zero when the upstream named no time.
	RetryAfter time.Duration
}

// NotOwner means that the upstream does not own the key, and did not run the request.
type NotOwner struct{}

// NotSent means that no byte of the request was written to a connection.
type NotSent struct {
	// Local is set when the attempt ended on this side, by its context, and says nothing about the upstream.
	ContextDone bool
	Err         error
}

// Lost means that bytes of the request may have reached the upstream and that no answer came.
type NoResponse struct {
	// Local is set when the attempt ended on this side, by its context.
	ContextDone bool
	Err         error
}

// Truncated means that the upstream began an answer that ended early, before any of it was passed on.
type Truncated struct {
	Err error
}

func (Responded) result()  {}
func (Rejected) result()   {}
func (NotOwner) result()   {}
func (NotSent) result()    {}
func (NoResponse) result() {}
func (Truncated) result()  {}
