package forward

import (
	"net/http"
	"strconv"
	"time"
)

// Dialect encodes requests into the headers that the upstreams of a deployment expect, and interprets the headers of their
// responses. It must be safe for concurrent use.
type Dialect interface {
	// EncodeHeader returns the Host header and the other headers to send; left is the time until the deadline. The returned
	// headers are a copy that the caller may change. An empty host means the address of the upstream.
	EncodeHeader(request *Request, left time.Duration) (string, http.Header)
	// Classify interprets the status and the headers of a response.
	Classify(request *Request, status int, header http.Header) Classification
	// Notices returns what the upstream of a request states about itself in the headers of a response on the connection. The
	// response may be informational, or one to an earlier request. Those of other processes state nothing.
	Notices(request *Request, status int, header http.Header) []Notice
}

// Classification is the meaning of a response's status and headers. It is one of Accepted, Refused, Stale and Invalid.
type Classification interface {
	classification()
}

// Accepted means that the response belongs to the request and shall be passed on.
type Accepted struct{}

// Refused means that the upstream states that it did not run the request. Result says why.
type Refused struct{ Result Result }

// Stale means that the response belongs to an earlier request on the same connection.
type Stale struct{}

// Invalid means that the response cannot be the upstream's own, so that no part of it may be passed on.
type Invalid struct{ Reason string }

func (Accepted) classification() {}
func (Refused) classification()  {}
func (Stale) classification()    {}
func (Invalid) classification()  {}

// NativeDialect is the Dialect of Rosemarywick's own headers.
type NativeDialect struct{}

var _ Dialect = NativeDialect{}

// EncodeHeader replaces the Rosemarywick headers of the caller by those of the request.
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

// Notices returns none, since the product's own upstreams state nothing about themselves in responses.
func (NativeDialect) Notices(*Request, int, http.Header) []Notice { return nil }

// Classify recognizes the Not-Run and Not-Owner headers.
func (NativeDialect) Classify(_ *Request, status int, header http.Header) Classification {
	if header.Get("Not-Run") == "true" && status == http.StatusServiceUnavailable {
		return Refused{Result: Rejected{Draining: header.Get("Draining") == "true"}}
	}
	if header.Get("Not-Owner") == "true" && status == http.StatusMisdirectedRequest {
		return Refused{Result: NotOwner{}}
	}
	return Accepted{}
}
