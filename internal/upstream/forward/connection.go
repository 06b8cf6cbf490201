package forward

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// maxHeadBytes limits the bytes that are read while a response's status line and headers are awaited, including informational
// responses before it.
const maxHeadBytes = 64 << 10

// errHeadTooLarge means that an upstream sent more than maxHeadBytes without completing the head of a response.
var errHeadTooLarge = errors.New("forward: response head is too large")

// errIdleUnusable means that an idle connection was closed by the upstream or received bytes that no request asked for.
var errIdleUnusable = errors.New("forward: idle connection is closed or has unread bytes")

// connection is one connection to an upstream. It carries one request at a time and is used only by the goroutine of that
// request, except that any goroutine may call Close.
type connection struct {
	net.Conn
	reader *bufio.Reader
	// connectTime is how long it took to open the connection.
	connectTime time.Duration
	// openedAt is when the connection was opened: whatever answers on it is the process that accepted it then. idleSince is when it
	// last became idle, and idleFor for how long it then was.
	openedAt, idleSince time.Time
	idleFor             time.Duration
	// received counts the bytes that were read. Only the goroutine that reads accesses it.
	received int64
	// written counts the bytes that the operating system accepted. It proves that no byte of a request was sent. Only the
	// goroutine that writes accesses it.
	written int64
	// readingHead is set while the head of a response is read, and headLeft is how many bytes may be read until its end. Only the
	// goroutine that reads accesses them.
	readingHead bool
	headLeft    int
	// expires is the time from which the idle connection is not used again, and expiresSafely that for non-idempotent requests.
	expires, expiresSafely time.Time
	// refused lists the requests that were refused on this connection, at most maxRefused. A faulty upstream may repeat a refusal.
	refused []fleet.RequestID
}

// maxRefused is the number of refused requests after which a connection is not used again.
const maxRefused = 16

func newConnection(conn net.Conn, openedAt time.Time, connectTime time.Duration) *connection {
	result := &connection{Conn: conn, openedAt: openedAt, connectTime: connectTime}
	result.reader = bufio.NewReaderSize(result, readBufferSize)
	return result
}

// beginHead starts to limit what is read to maxHeadBytes. endHead removes the limit, for the body.
func (c *connection) beginHead() { c.readingHead, c.headLeft = true, maxHeadBytes }
func (c *connection) endHead()   { c.readingHead = false }

// Read reads from the upstream. While a head is read, it fails with errHeadTooLarge beyond the limit.
func (c *connection) Read(p []byte) (int, error) {
	if !c.readingHead {
		n, err := c.Conn.Read(p)
		c.received += int64(n)
		return n, err
	}
	if c.headLeft == 0 {
		return 0, errHeadTooLarge
	}
	n, err := c.Conn.Read(p[:min(len(p), c.headLeft)])
	c.headLeft -= n
	c.received += int64(n)
	return n, err
}

// Write writes to the upstream and counts the bytes.
func (c *connection) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written += int64(n)
	return n, err
}

// checkIdle returns an error if the upstream closed the idle connection or sent bytes that no request asked for. It does
// not block.
func (c *connection) checkIdle() error {
	if c.reader.Buffered() > 0 {
		return errIdleUnusable
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "forward: inspect connection")
	}
	var readErr error
	err = control.Read(func(fd uintptr) bool {
		var buffer [1]byte
		_, readErr = syscall.Read(int(fd), buffer[:])
		return true
	})
	if err != nil {
		return errors.Wrap(err, "forward: inspect connection")
	}
	if errors.Is(readErr, syscall.EAGAIN) {
		return nil
	}
	return errIdleUnusable
}

// reset closes the connection with a TCP reset, so that unsent bytes are discarded instead of being delivered later.
func (c *connection) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// keepAliveTimeout returns the idle timeout that the upstream announced in the Keep-Alive header, and whether it did.
func keepAliveTimeout(header http.Header) (time.Duration, bool) {
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(seconds) * time.Second, true
		}
	}
	return 0, false
}

// responseBody reads a response body from its connection. It returns the connection to the client's pool when the response
// is complete.
type responseBody struct {
	io.Reader
	exchange *exchange
	ended    bool
}

// Read reads from the body. Any error but io.EOF is marked with ErrTruncated.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	switch {
	case err == nil || b.ended:
	case errors.Is(err, io.EOF) && !b.exchange.wasReset():
		b.ended = true
		b.exchange.finish(true)
	case errors.Is(err, io.EOF):
		b.ended = true
		b.exchange.finish(false)
		err = errors.Mark(errors.Wrap(errReset, "forward: read response"), ErrTruncated)
	default:
		b.ended = true
		b.exchange.finish(false)
		err = errors.Mark(errors.Wrap(err, "forward: read response"), ErrTruncated)
	}
	return n, err
}

// Close discards the rest of the body. The connection is closed unless the body was read to its end.
func (b *responseBody) Close() error {
	if !b.ended {
		b.ended = true
		b.exchange.finish(false)
	}
	return nil
}
