package forward_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"rosemarywick.example/rosemarywick/internal/upstream/forward"
)

// Guards against a response with a status that HTTP does not have, which reaches the caller, hides the response that follows it, or
// makes the caller wait for its deadline.
func TestInvalidStatus(t *testing.T) {
	const rest = " Status\r\nContent-Length: 2\r\n\r\nok"
	for _, status := range []string{"000", "001", "099", "101", "104", "199", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			for _, method := range []string{http.MethodGet, http.MethodPost} {
				client := scriptedUpstream(t, "HTTP/1.1 "+status+rest+"HTTP/1.1 200"+rest, "")
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				result := client.Send(ctx, newRequest("r", method, 10))
				if _, invalid := result.(forward.Truncated); !invalid || ctx.Err() != nil {
					t.Errorf("%s: %T %v", method, result, result)
				}
				cancel()
			}
		})
	}
	for _, status := range []string{"100", "102", "103"} {
		client := scriptedUpstream(t, "HTTP/1.1 "+status+" Status\r\n\r\nHTTP/1.1 599"+rest)
		responded, ok := client.Send(t.Context(), newRequest("r", http.MethodGet, 10)).(forward.Responded)
		is.New(t).True(ok)
		is.New(t).Equal(responded.Status, 599)
	}
}
