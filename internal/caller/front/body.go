package front

import (
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"rosemarywick.example/rosemarywick/internal/upstream/forward"
)

const (
	// firstBlock is the size in bytes of the first block of a body of unknown length. Each further block is twice as large, up to
	// maxBlock.
	firstBlock = 4 << 10
	maxBlock   = 64 << 10
)

// ErrBodyTooLarge means that the body of a request exceeds the limit.
var ErrBodyTooLarge = errors.New("front: body is too large")

// ReadBody reads the body of a request into blocks. It fails with ErrBodyTooLarge if the body exceeds limit bytes, without reading
// it if its length is announced; a limit of zero means 1 MiB.
func ReadBody(rw http.ResponseWriter, r *http.Request, limit int64) (forward.Body, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	if limit == 0 {
		limit = defaultBodyLimit
	}
	body, err := readBlocks(r.Body, r.ContentLength, limit)
	if err != nil {
		// What is left of the body is not read.
		rw.Header().Set("Connection", "close")
	}
	return body, err
}

// readBlocks reads a body of the announced length, or of unknown length if that is negative.
func readBlocks(source io.Reader, announced, limit int64) (forward.Body, error) {
	if announced > limit {
		return nil, ErrBodyTooLarge
	}
	var body forward.Body
	for length, size := int64(0), int64(firstBlock); ; size = min(2*size, maxBlock) {
		size = min(size, limit+1-length) // so that a body which is too large is noticed with its first byte over the limit
		if announced >= 0 {
			size = min(announced-length, maxBlock)
		}
		if size == 0 {
			return body, nil
		}
		block := make([]byte, size)
		n, err := fill(source, block)
		length += int64(n)
		if n > 0 {
			body = append(body, block[:n])
		}
		switch {
		case length > limit:
			return nil, ErrBodyTooLarge
		case announced < 0 && errors.Is(err, io.EOF):
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
