package front

import (
	"net/http"

	"rosemarywick.example/rosemarywick/internal/routing/router"
)

// Dialect translates between HTTP and the router for one interface to callers. It must be safe for concurrent use.
type Dialect interface {
	// Begin sets the headers that every answer to the request has.
	SetCommonHeaders(header http.Header, r *http.Request)
	// Read returns the request for the router, or the rejection that the caller gets at once.
	ReadRequest(rw http.ResponseWriter, r *http.Request) (*router.Request, *router.Rejected)
	// Answer sets the headers of an upstream's answer, and returns the status to send.
	SetResponseHeaders(header http.Header, answer *router.UpstreamResponse) int
	// Reject writes an answer of the router itself.
	WriteRejection(rw http.ResponseWriter, rejected router.Rejected)
}
