// Package forward sends single requests to an upstream over HTTP/1.1 and classifies the outcome. Its main duty is to know
// whether a byte of the request may have reached the upstream, because only that decides what the caller may be told.
package forward

import (
	"io"
	"net/http"
	"time"
)

// Result is the outcome of one Send. It is one of Responded, Rejected, NotOwner, NotSent, NoResponse and Truncated.
type Result interface {
	result()
}

// Responded means that the upstream responded. A short body is already in memory; a longer one is read from the connection.
type Responded struct {
	Status int
	// Header holds no hop-by-hop headers.
	Header http.Header
	// Body must be closed. Reading it fails with ErrTruncated if the response ends early.
	Body io.ReadCloser
	// Buffered reports whether Body is complete in memory, so that reading it cannot fail.
	Buffered bool
	// TimeToFirstByte is the time from the start of sending until the response headers had been read.
	TimeToFirstByte time.Duration
}

// Rejected means that the upstream stated that it did not run the request.
type Rejected struct {
	// Draining reports whether the upstream rejected the request because it is about to stop.
	Draining bool
	// WrongUpstream reports whether another upstream has taken over the address.
	WrongUpstream bool
}

// NotOwner means that the upstream stated that it does not own the key and did not run the request.
type NotOwner struct{}

// NotSent means that no byte of the request was written to a connection.
type NotSent struct {
	// ContextDone reports whether the attempt failed because its context ended, which says nothing about the upstream.
	ContextDone bool
	// Full reports whether the upstream accepts no further connection for now, as it has reset a new one.
	Full bool
	// Withheld reports whether Request.MayStart has returned false.
	Withheld bool
	Err      error
}

// NoResponse means that bytes of the request may have reached the upstream and that no response, or only a part
// of one, was received.
type NoResponse struct {
	// ContextDone reports whether the attempt failed because its context ended.
	ContextDone bool
	// Full reports whether a new connection was reset at once, which means that the upstream accepts no further one for now.
	Full bool
	Err  error
}

// Truncated means that the response ended early or was invalid, and that no part of it was passed on.
type Truncated struct {
	Err error
}

// Notice is what an upstream states about itself in a response, whatever the response says about the request. It is one of
// RateLimit, Leaving, Pause, Cold, Load and Malformed.
type Notice interface {
	notice()
}

// RateLimit means that the upstream takes a number of requests a second from all daemons together, for as long as it says so.
type RateLimit struct{ PerSecond float64 }

// Leaving means that the upstream is about to stop. It is never withdrawn by the same process.
type Leaving struct{}

// Pause means that the upstream refused the request and wants nothing more from this daemon for a time.
type Pause struct{ Duration time.Duration }

// Cold means that the upstream has started recently and is slow for a time, which is zero for one that is not.
type Cold struct{ For time.Duration }

// Load is the load of the upstream when it responded.
type Load struct {
	// Running and Waiting are the numbers of requests from all daemons, and Slots that of requests that run at a time.
	Running, Waiting, Slots int
	// Pace is how long work takes there at the moment, relative to the usual time. Zero means that it is not known.
	Pace float64
}

// Malformed is a statement that can't be understood and is ignored.
type Malformed struct{ Header, Value string }

func (RateLimit) notice() {}
func (Leaving) notice()   {}
func (Pause) notice()     {}
func (Cold) notice()      {}
func (Load) notice()      {}
func (Malformed) notice() {}

func (Responded) result()  {}
func (Rejected) result()   {}
func (NotOwner) result()   {}
func (NotSent) result()    {}
func (NoResponse) result() {}
func (Truncated) result()  {}
