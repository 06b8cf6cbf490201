package front

import (
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"rosemarywick.example/rosemarywick/internal/caller/budget"
	"rosemarywick.example/rosemarywick/internal/upstream/forward"
)

const (
	// firstBlock is the size in bytes of the first block of a body of unknown length. Each further block is twice as large, up
	// to maxBlock.
	firstBlock = 4 << 10
	maxBlock   = 64 << 10
)

var (
	// ErrBodyTooLarge means that the body of a request exceeds the limit.
	ErrBodyTooLarge = errors.New("front: body is too large")
	// ErrNoRoom means that there is no room for the body of a request.
	ErrNoRoom = errors.New("front: no room for the body")
	// ErrBodyLate means that the body of a request was not complete in time.
	ErrBodyLate = errors.New("front: body is not complete in time")
)

// ReadBody reads the body of a request into blocks, for at most the given time, which may be zero for any time. It fails with
// ErrBodyTooLarge if the body exceeds limit bytes, and with ErrNoRoom if it does not fit into the budget. If its length is
// announced, nothing of it is read then. A limit of zero means 1 MiB.
func ReadBody(rw http.ResponseWriter, r *http.Request, limit int64, timeout time.Duration) (forward.Body, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	if limit == 0 {
		limit = defaultBodyLimit
	}
	body, err := readBodyOf(connOf(r.Context()), r, limit, timeout)
	if err != nil {
		// What is left of the body is not read.
		rw.Header().Set("Connection", "close")
	}
	return body, err
}

// readBodyOf reads a body from its connection, which may be nil.
func readBodyOf(conn *callerConn, r *http.Request, limit int64, timeout time.Duration) (forward.Body, error) {
	reader := &bodyReader{source: r.Body, announced: r.ContentLength, limit: limit}
	if conn == nil {
		return reader.read()
	}
	reader.holder = conn.holder
	if conn.holder != nil && r.ContentLength > budget.LargeBody && r.ContentLength <= limit {
		if !conn.holder.Reserve(budget.Body, 2*budget.LargeReceiveBuffer) {
			return nil, ErrNoRoom
		}
		conn.setReceiveBuffer(budget.LargeReceiveBuffer)
		defer conn.setReceiveBuffer(budget.ReceiveBuffer)
	}
	conn.beginBody(timeout)
	body, err := reader.read()
	stays := conn.endBody()
	switch {
	case !stays:
		return nil, ErrNoRoom
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, errors.Mark(err, ErrBodyLate)
	}
	return body, err
}

// setReceiveBuffer sets the size of the kernel's buffer for what the caller sends.
func (c *callerConn) setReceiveBuffer(size int) {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(size) // an error shows at the next read
	}
}

// beginBody prepares the connection for reading a body.
func (c *callerConn) beginBody(timeout time.Duration) {
	if timeout > 0 {
		_ = c.ahead.setDeadline(time.Now().Add(timeout)) // an error shows at the next read
	}
	c.readingBody.Store(true)
	c.holder.Await(true) // if the connection is to end, no room is reserved
}

// endBody ends what beginBody began. It returns false if the connection is to end for lack of room.
func (c *callerConn) endBody() bool {
	stays := c.holder.Await(false)
	_ = c.ahead.setDeadline(time.Time{}) // an error shows at the next read
	return stays
}

// bodyReader reads a body of the announced length, or of unknown length if that is negative.
type bodyReader struct {
	source           io.Reader
	holder           *budget.Holder
	announced, limit int64
}

// read reads the body. Room for an announced length is reserved as a whole, so that a body which was begun is not refused
// halfway.
func (b *bodyReader) read() (forward.Body, error) {
	if b.announced > b.limit {
		return nil, ErrBodyTooLarge
	}
	if b.announced > 0 && !b.holder.Reserve(budget.Body, b.announced) {
		return nil, ErrNoRoom
	}
	var body forward.Body
	for length, size := int64(0), int64(firstBlock); ; size = min(2*size, maxBlock) {
		size = min(size, b.limit+1-length) // so that a body which is too large is noticed with its first byte over the limit
		if b.announced >= 0 {
			size = min(b.announced-length, maxBlock)
		}
		if size == 0 {
			return body, nil
		}
		if b.announced < 0 && !b.holder.Reserve(budget.Body, size) {
			return nil, ErrNoRoom
		}
		block := make([]byte, size)
		n, err := fill(b.source, block)
		length += int64(n)
		if n > 0 {
			body = append(body, block[:n])
			b.holder.Progressed()
		}
		switch {
		case length > b.limit:
			return nil, ErrBodyTooLarge
		case b.announced < 0 && errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, errors.Wrap(err, "front: read body")
		}
	}
}

// fill reads until the block is full or the source fails. Unlike io.ReadFull it passes the error on unchanged, since
// io.ErrUnexpectedEOF says that the caller closed its connection in the body.
func fill(source io.Reader, block []byte) (int, error) {
	for n := 0; ; {
		read, err := source.Read(block[n:])
		n += read
		if n == len(block) {
			return n, nil // an error shows at the next read
		}
		if err != nil {
			return n, err //nolint:wrapcheck // readBlocks interprets it
		}
	}
}
