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
)

// errUnsolicited is the error of an idle connection on which something arrived, or which the upstream closed.
var errIdleUnusable = errors.New("forward: idle connection is closed or has unread bytes")

// connection is one connection to an upstream. It serves one request at a time and belongs to the goroutine of that
// request, except that Close may be called by anyone.
type connection struct {
	net.Conn
	reader *bufio.Reader
	// dialed is how long it took to establish the connection.
	connectTime time.Duration
	// written counts the bytes that the operating system accepted, so that "no byte was sent" can be proved. It belongs to
	// the goroutine that writes.
	written int64
	// expires is the time after which the connection is not used again.
	expires time.Time
}

func newConnection(conn net.Conn, dialed time.Duration) *connection {
	result := &connection{Conn: conn, connectTime: dialed}
	result.reader = bufio.NewReaderSize(conn, readBufferSize)
	return result
}

// Write writes to the upstream and counts the bytes.
func (c *connection) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written += int64(n)
	return n, err
}

// quiet returns an error if the upstream closed the idle connection or sent something that nobody asked for. It does not
// block.
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
	var failed error
	err = control.Read(func(fd uintptr) bool {
		var one [1]byte
		_, failed = syscall.Read(int(fd), one[:])
		return true
	})
	if err != nil {
		return errors.Wrap(err, "forward: inspect connection")
	}
	if errors.Is(failed, syscall.EAGAIN) {
		return nil
	}
	return errIdleUnusable
}

// reset closes the connection so that bytes under way are discarded instead of being delivered later.
func (c *connection) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// keepAlive returns how long the upstream keeps the idle connection, or standard if it does not say.
func keepAliveTimeout(header http.Header, standard time.Duration) time.Duration {
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(seconds) * time.Second
		}
	}
	return standard
}

// body is the body of an answer that is read from its connection. It returns the connection to the client when the answer
// is complete.
type responseBody struct {
	io.Reader
	exchange *exchange
	ended    bool
}

// Read reads from the answer and translates its errors.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	switch {
	case err == nil || b.ended:
	case errors.Is(err, io.EOF):
		b.ended = true
		b.exchange.finish(true)
	default:
		b.ended = true
		b.exchange.finish(false)
		err = errors.Mark(errors.Wrap(err, "forward: read answer"), ErrTruncated)
	}
	return n, err
}

// Close gives up the rest of an answer, and with it the connection.
func (b *responseBody) Close() error {
	if !b.ended {
		b.ended = true
		b.exchange.finish(false)
	}
	return nil
}
