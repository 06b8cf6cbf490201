package forward_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/upstream/forward"
)

// endlessUpstream reads a request on each connection, writes start, and then repeats the block until the peer closes.
func endlessUpstream(t *testing.T, start, block string) (*forward.Client, <-chan struct{}) {
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = conn.Read(make([]byte, 4096))
		_, err = io.WriteString(conn, start)
		content := []byte(block) // converted once, since heapGrowth counts the allocations of the whole process
		for err == nil && len(content) > 0 {
			_, err = conn.Write(content)
		}
		_, _ = conn.Read(make([]byte, 1)) // until the peer closes
	}()
	client := &forward.Client{Address: listener.Addr().(*net.TCPAddr).AddrPort(), Clock: timer.System{}, BufferLimit: 1 << 20}
	t.Cleanup(func() { _ = listener.Close(); client.Close(); <-closed })
	return client, closed
}

// heapGrowth returns by how many bytes the allocations of run exceed what it released, sampled while it runs.
func heapGrowth(run func()) uint64 {
	runtime.GC()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	run()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// Guards against a host that runs out of memory because an upstream sends a response head that does not end. Such bytes are no
// response, so the result must not state that the request was not run, and the connection must be closed.
func TestEndlessHeadIsBounded(t *testing.T) {
	block := strings.Repeat("a", 32<<10)
	cases := []struct{ name, start, block string }{
		{"status line", "HTTP/1.1 200 ", block},
		{"header line", "HTTP/1.1 200 OK\r\nX-A: ", block},
		{"header lines", "HTTP/1.1 200 OK\r\n", strings.Repeat("X-A: "+strings.Repeat("b", 100)+"\r\n", 200)},
		{"informational responses", "", strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 500)},
		{"no protocol", "", block},
		{
			"chunk extension", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;", block,
		},
		{
			"trailer lines", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
			strings.Repeat("X-A: "+strings.Repeat("b", 100)+"\r\n", 200),
		},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			client, closed := endlessUpstream(t, test.start, test.block)
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			var result forward.Result
			grown := heapGrowth(func() { result = client.Send(ctx, newRequest("r", http.MethodPost, 10)) })
			is.NoErr(ctx.Err()) // the bound was noticed, not the deadline
			_, truncated := result.(forward.Truncated)
			is.True(truncated)
			is.True(grown < 4<<20) // a small host has 184 MB for all its requests
			<-closed
		})
	}
}

// Guards against a body without an end or a length that outlasts the deadline of its request, or that is kept in memory.
func TestEndlessBodyEndsWithDeadline(t *testing.T) {
	for _, header := range []string{"", "Transfer-Encoding: chunked\r\n"} {
		t.Run(fmt.Sprintf("%q", header), func(t *testing.T) {
			is := is.New(t)
			block := strings.Repeat("a", 16<<10)
			if header != "" {
				block = "4000\r\n" + block + "\r\n"
			}
			client, closed := endlessUpstream(t, "HTTP/1.1 200 OK\r\n"+header+"\r\n", block)
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			response, ok := client.Send(ctx, newRequest("r", http.MethodGet, 0)).(forward.Responded)
			is.True(ok)
			is.True(!response.Buffered)
			_, err := io.Copy(io.Discard, response.Body)
			is.True(errors.Is(err, forward.ErrTruncated))
			is.NoErr(response.Body.Close())
			<-closed
		})
	}
}

// earlierDialect recognizes responses to an earlier request by their ID.
type earlierDialect struct{ forward.NativeDialect }

// Classify implements forward.Dialect.
func (d earlierDialect) Classify(request *forward.Request, status int, header http.Header) forward.Classification {
	if header.Get("Rosemarywick-Request-Id") == "earlier" {
		return forward.Stale{}
	}
	return d.NativeDialect.Classify(request, status, header)
}

// Guards against a request that waits for bytes without an end, or that do not come, which are not part of its response: the body
// of a response to an earlier request, and that of a refusal.
func TestEndlessBodyOfOtherResponses(t *testing.T) {
	block := strings.Repeat("a", 16<<10)
	refused := "HTTP/1.1 503 Full\r\nNot-Run: true\r\n"
	earlier := "HTTP/1.1 200 OK\r\nRosemarywick-Request-Id: earlier\r\n"
	for name, test := range map[string]struct {
		start, block string
		refused      bool
	}{
		"refusal":                    {refused + "\r\n", block, true},
		"refusal, stalled":           {refused + "Content-Length: 9\r\n\r\n", "", true},
		"refusal, stalled chunk":     {refused + "Transfer-Encoding: chunked\r\n\r\n", "", true},
		"earlier response":           {earlier + "\r\n", block, false},
		"earlier response in chunks": {earlier + "Transfer-Encoding: chunked\r\n\r\n", "4000\r\n" + block + "\r\n", false},
		"earlier response, long":     {earlier + "Content-Length: 1000000000000\r\n\r\n", block, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			client, closed := endlessUpstream(t, test.start, test.block)
			client.Dialect = earlierDialect{}
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			result := client.Send(ctx, newRequest("r", http.MethodGet, 0))
			is.NoErr(ctx.Err()) // the bound was noticed, not the deadline
			switch result.(type) {
			case forward.Rejected:
				is.True(test.refused)
			case forward.Truncated: // the request was sent, and may have run
				is.True(!test.refused)
			default:
				t.Fatalf("%T %+v", result, result)
			}
			<-closed
		})
	}
}
