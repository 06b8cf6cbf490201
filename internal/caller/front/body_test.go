package front_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"rosemarywick.example/rosemarywick/internal/caller/front"
)

// Guards against a body that ends early and passes for a whole one, against a wrong length, and against a body over the limit
// that is accepted or read although its length is announced.
func TestReadBody(t *testing.T) {
	const limit = 200_000
	lengths, failures := make(chan int64, 1), make(chan error, 1)
	server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		body, err := front.ReadBody(rw, r, limit, 0)
		failures <- err
		lengths <- body.Len()
	}))
	defer server.Close()
	chunks := func(length int) string {
		return "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1f4\r\n"+strings.Repeat("a", 500)+"\r\n", length/500)
	}
	announced := func(length, sent int) string {
		return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", length, strings.Repeat("a", sent))
	}
	for _, test := range []struct {
		name, request string
		want          int64
		tooLarge      bool
	}{
		{"announced", announced(limit, limit), limit, false},
		{"announced, one block", announced(64<<10, 64<<10), 64 << 10, false},
		{"announced, too large", announced(limit+1, 0), 0, true},
		{"announced, cut", announced(limit, 100), 0, false},
		{"chunks", chunks(limit) + "0\r\n\r\n", limit, false},
		{"chunks, too large", chunks(limit + 500), 0, true},
		{"chunks, cut", chunks(6000), 0, false},
		{"chunks, cut in one", chunks(6000) + "1f4\r\naa", 0, false},
		{"no chunk", chunks(0) + "0\r\n\r\n", 0, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			_, err = fmt.Fprint(conn, "POST / HTTP/1.1\r\nHost: h\r\n"+test.request)
			is.NoErr(err)
			if strings.Contains(test.name, "cut") {
				is.NoErr(conn.(*net.TCPConn).CloseWrite())
			}
			err = <-failures
			is.Equal(<-lengths, test.want)
			is.Equal(errors.Is(err, front.ErrBodyTooLarge), test.tooLarge)
			is.Equal(err != nil, test.tooLarge || strings.Contains(test.name, "cut"))
			if test.tooLarge {
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				is.NoErr(err)
				is.True(response.Close)
				is.NoErr(response.Body.Close())
			}
		})
	}
}
