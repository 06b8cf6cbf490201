package forward

import (
	"net/http"
	"strconv"
	"time"
)

// Dialect translates between requests and the headers that the upstreams of a deployment use. It must be safe for
// concurrent use.
type Dialect interface {
	// Head returns the host name and the headers to send; left is the time until the deadline. The headers are the
	// caller's to change. An empty host name stands for the address of the upstream.
	EncodeHeader(request *Request, left time.Duration) (string, http.Header)
	// Read says what the head of an answer means.
	Classify(request *Request, status int, header http.Header) Classification
}

// Reading is what the head of an answer means. It is one of Accepted, Failed, Stray and Spoiled.
type Classification interface {
	classification()
}

// Accepted is the answer of the upstream to the request.
type Accepted struct{}

// Failed is a statement of the upstream about the request, such as a rejection.
type Refused struct{ Result Result }

// Stray is an answer to an earlier request on the same connection.
type Stale struct{}

// Spoiled is an answer that the upstream cannot have meant, so that nothing of it may be passed on.
type Invalid struct{ Reason string }

func (Accepted) classification() {}
func (Refused) classification()  {}
func (Stale) classification()    {}
func (Invalid) classification()  {}

// Native is the product's own dialect.
type NativeDialect struct{}

var _ Dialect = NativeDialect{}

// Head returns the headers of the product's own interface.
func (NativeDialect) EncodeHeader(request *Request, left time.Duration) (string, http.Header) {
	header := StripHopByHop(request.Header)
	header.Set("Rosemarywick-Request-Id", string(request.ID))
	header.Set("Rosemarywick-Timeout", left.String())
	header.Del("Rosemarywick-Key-Hash")
	header.Del("Rosemarywick-Partition")
	header.Del("Rosemarywick-Fence")
	if request.Keyed {
		header.Set("Rosemarywick-Key-Hash", strconv.FormatUint(uint64(request.Key), 16))
		header.Set("Rosemarywick-Partition", strconv.FormatUint(uint64(request.Partition), 10))
		header.Set("Rosemarywick-Fence", request.Fence.String())
	}
	return "", header
}

// Read reads the headers of the product's own interface.
func (NativeDialect) Classify(_ *Request, status int, header http.Header) Classification {
	if header.Get("Not-Run") == "true" && status == http.StatusServiceUnavailable {
		seconds, _ := strconv.Atoi(header.Get("Retry-After"))
		return Refused{Result: Rejected{
			Draining: header.Get("Draining") == "true", RetryAfter: time.Duration(seconds) * time.Second,
		}}
	}
	if header.Get("Not-Owner") == "true" && status == http.StatusMisdirectedRequest {
		return Refused{Result: NotOwner{}}
	}
	return Accepted{}
}
