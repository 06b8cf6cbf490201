package forward_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/upstream/forward"
)

// scriptedUpstream reads a request on a connection for each entry of the script, writes the entry, and closes the connection in order at
// its end.
func scriptedUpstream(t *testing.T, script ...string) *forward.Client {
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	done := make(chan struct{})
	go func() {
		defer close(done)
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		for _, answer := range script {
			if _, err := conn.Read(make([]byte, 4096)); err != nil {
				return
			}
			if _, err := io.WriteString(conn, answer); err != nil {
				return
			}
		}
	}()
	client := &forward.Client{Address: listener.Addr().(*net.TCPAddr).AddrPort(), Clock: timer.System{}, BufferLimit: 1 << 20}
	t.Cleanup(func() { client.Close(); _ = listener.Close(); <-done })
	return client
}

// Guards against a response that looks whole to the caller although the upstream closed the connection within its head or body.
func TestResponseThatBreaksOff(t *testing.T) {
	for name, whole := range map[string]string{
		"length":        "HTTP/1.1 200 OK\r\nContent-Length: 11\r\nX-A: b\r\n\r\nhello world",
		"chunks":        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"informational": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"no length":     "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			for cut := range len(whole) {
				client := scriptedUpstream(t, whole[:cut])
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				result := client.Send(ctx, newRequest("r", http.MethodPost, 10))
				if _, responded := result.(forward.Responded); responded || ctx.Err() != nil {
					t.Errorf("%T after %d bytes: %q", result, cut, whole[:cut])
				}
				cancel()
			}
		})
	}
}

// Guards against a caller that is told that its request was not run, or whose request is sent elsewhere, because the upstream wrote
// the refusal of the first try once more while it runs the second one.
func TestRefusalOnceMore(t *testing.T) {
	is := is.New(t)
	refusal := "HTTP/1.1 503 Full\r\nNot-Run: true\r\nContent-Length: 0\r\n\r\n"
	client := scriptedUpstream(t, refusal, refusal)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	_, rejected := client.Send(ctx, newRequest("r", http.MethodPost, 10)).(forward.Rejected)
	is.True(rejected)
	ctx, cancel = context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	_, rejected = client.Send(ctx, newRequest("r", http.MethodPost, 10)).(forward.Rejected)
	is.True(!rejected)
}
