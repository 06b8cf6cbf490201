package front

import (
	"net/http"

	"rosemarywick.example/rosemarywick/internal/routing/router"
)

// Dialect translates between HTTP and the router for one set of headers and paths. It must be safe for concurrent use.
type Dialect interface {
	// SetCommonHeaders sets the headers that every response to the request carries.
	SetCommonHeaders(header http.Header, r *http.Request)
	// ReadRequest returns the request for the router, or a rejection to send to the caller instead.
	ReadRequest(rw http.ResponseWriter, r *http.Request) (*router.Request, *router.Rejected)
	// SetResponseHeaders sets the headers for an upstream's response and returns the status code to send.
	SetResponseHeaders(header http.Header, response *router.UpstreamResponse) int
	// WriteRejection writes the complete response for a request that was rejected.
	WriteRejection(rw http.ResponseWriter, rejected router.Rejected)
}
