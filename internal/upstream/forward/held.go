package forward

import (
	"io"

	"github.com/cockroachdb/errors"
)

const (
	// firstResponseBlock is the size in bytes of the first block of a response of unknown length. Each further block is twice as
	// large, up to maxResponseBlock.
	firstResponseBlock = 8 << 10
	maxResponseBlock   = 64 << 10
)

// unlimitedRoom is the room of requests that name none.
type unlimitedRoom struct{}

var _ Room = unlimitedRoom{}

// Reserve implements Room.
func (unlimitedRoom) Reserve(int64) bool { return true }

// Release implements Room.
func (unlimitedRoom) Release(int64) {}

// heldBody is the body of a response whose first part has been read into memory.
type heldBody struct {
	room Room
	// blocks holds what was read and not yet taken, and reserved the room that is to be given up.
	blocks   [][]byte
	reserved int64
	// rest is the part that was not read. It is nil if there is none.
	rest io.ReadCloser
}

// readHeld reads a body up to limit bytes, as far as there is room. A negative length is not known. It returns whether the
// body is complete.
func (h *heldBody) readHeld(source io.Reader, length, limit int64) (bool, error) {
	for size, total := int64(firstResponseBlock), int64(0); total <= limit; size = min(2*size, maxResponseBlock) {
		if length >= 0 {
			size = length - total + 1 // the byte more finds the end
		}
		if !h.room.Reserve(size) {
			return false, nil
		}
		h.reserved += size
		block := make([]byte, size)
		n, err := fill(source, block)
		total += int64(n)
		h.blocks = append(h.blocks, block[:n])
		if errors.Is(err, io.EOF) {
			return true, nil
		}
		if err != nil {
			return false, err
		}
	}
	return false, nil
}

// fill reads until the block is full or the source fails.
func fill(source io.Reader, block []byte) (int, error) {
	for n := 0; n < len(block); {
		read, err := source.Read(block[n:])
		n += read
		if err != nil {
			return n, err //nolint:wrapcheck // the source has wrapped it
		}
	}
	return len(block), nil
}

// Read reads what was held and then the rest.
func (h *heldBody) Read(p []byte) (int, error) {
	for len(h.blocks) > 0 {
		n := copy(p, h.blocks[0])
		h.blocks[0] = h.blocks[0][n:]
		if len(h.blocks[0]) == 0 {
			h.blocks[0] = nil
			h.blocks = h.blocks[1:]
		}
		if n > 0 {
			return n, nil
		}
	}
	h.release()
	if h.rest == nil {
		return 0, io.EOF
	}
	return h.rest.Read(p) //nolint:wrapcheck // the rest has wrapped it
}

// release gives up the room.
func (h *heldBody) release() {
	h.room.Release(h.reserved)
	h.reserved = 0
}

// Close gives up the room and closes the rest.
func (h *heldBody) Close() error {
	h.blocks = nil
	h.release()
	if h.rest == nil {
		return nil
	}
	return h.rest.Close() //nolint:wrapcheck // the rest has wrapped it
}

// OnComplete calls f once the whole response has been read from the upstream.
func (h *heldBody) OnComplete(f func()) {
	if body, ok := h.rest.(CompletingBody); ok {
		body.OnComplete(f)
	}
}
