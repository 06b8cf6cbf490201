package forward

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// spoolBlock is the size in bytes of the blocks into which a streamed response is read.
	spoolBlock = 32 << 10
	// roomRetryInterval is the time after which room is asked for again while the caller takes nothing.
	roomRetryInterval = 250 * time.Millisecond
)

// CompletingBody is the body of a response that is read from the upstream as it arrives.
type CompletingBody interface {
	// OnComplete calls f once the whole response has been read from the upstream. It must be called before the body is read.
	OnComplete(f func())
}

// spool reads a response as it arrives, since an upstream cuts off one that stays unread, and holds it until it is taken.
// Without room, it holds a single block.
type spool struct {
	exchange *exchange
	source   io.ReadCloser
	room     Room
	// cancel ends the exchange.
	cancel context.CancelFunc
	// filled and taken wake the reader and the goroutine that fills.
	filled, taken chan struct{}
	closed        chan struct{}

	mu sync.Mutex
	// pieces is guarded by mu and holds what was read and not yet taken. reserved is guarded by mu: the room taken for it.
	pieces   []piece
	reserved int64
	// err is guarded by mu: why no further piece follows.
	err error
	// ended is guarded by mu and set by Close.
	ended bool
	// complete is guarded by mu and set once the whole response has been read. onComplete is guarded by mu.
	complete   bool
	onComplete func()
}

// piece is a part of a block.
type piece struct {
	content []byte
	// reserved is the room that is given up when the piece has been taken: that of the block, for its last piece.
	reserved int64
}

var _ CompletingBody = (*spool)(nil)

// newSpool starts to read a body.
func (e *exchange) newSpool(source io.ReadCloser) io.ReadCloser {
	if e.request.Room == nil {
		return source
	}
	ctx, cancel := context.WithCancel(e.ctx)
	e.stopWatch() // if ctx has ended, the function below runs at once
	e.stopWatch = context.AfterFunc(ctx, e.connection.reset)
	result := &spool{
		exchange: e, source: source, room: e.request.Room, cancel: cancel,
		filled: make(chan struct{}, 1), taken: make(chan struct{}, 1), closed: make(chan struct{}),
	}
	go result.fill()
	return result
}

// wake makes a goroutine that waits for the signal go on.
func wake(signal chan struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}

// fill reads the response until it ends or the spool is closed.
func (s *spool) fill() {
	defer s.cancel()
	for {
		reserved, ok := s.awaitRoom()
		if !ok {
			_ = s.source.Close()
			return
		}
		if !s.fillBlock(make([]byte, spoolBlock), reserved) {
			return
		}
	}
}

// awaitRoom waits for room for a block. It returns how much was reserved, which is nothing if the caller has taken all there
// was. It returns false if the spool is closed.
func (s *spool) awaitRoom() (int64, bool) {
	for {
		s.mu.Lock()
		if s.ended {
			s.mu.Unlock()
			return 0, false
		}
		if s.room.Reserve(spoolBlock) {
			s.reserved += spoolBlock
			s.mu.Unlock()
			return spoolBlock, true
		}
		empty := len(s.pieces) == 0
		s.mu.Unlock()
		if empty {
			return 0, true
		}
		retry := s.exchange.client.Clock.After(roomRetryInterval)
		select {
		case <-s.taken:
		case <-retry.C:
		case <-s.closed:
		}
		retry.Stop()
	}
}

// fillBlock reads one block and passes on each part as it arrives. It returns false if the response has ended.
func (s *spool) fillBlock(block []byte, reserved int64) bool {
	for len(block) > 0 {
		n, err := s.source.Read(block)
		part := piece{content: block[:n:n]}
		block = block[n:]
		if len(block) == 0 || err != nil {
			part.reserved = reserved
		}
		s.mu.Lock()
		s.pieces, s.err = append(s.pieces, part), err
		complete := func() {}
		if errors.Is(err, io.EOF) {
			s.complete = true
			if s.onComplete != nil {
				complete = s.onComplete
			}
		}
		s.mu.Unlock()
		wake(s.filled)
		if err != nil {
			complete()
			return false
		}
	}
	return true
}

// Read takes what was read, and waits for it if necessary.
func (s *spool) Read(p []byte) (int, error) {
	for {
		n, err := s.take(p)
		if n > 0 || err != nil || len(p) == 0 {
			return n, err
		}
		select {
		case <-s.filled:
		case <-s.closed:
			return 0, errors.Wrap(io.ErrClosedPipe, "forward: read response")
		}
	}
}

// take takes what was read.
func (s *spool) take(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := 0
	for len(s.pieces) > 0 {
		first := &s.pieces[0]
		n := copy(p[total:], first.content)
		total += n
		first.content = first.content[n:]
		if len(first.content) > 0 {
			break
		}
		s.releaseLocked(first.reserved)
		s.pieces[0] = piece{}
		s.pieces = s.pieces[1:]
		wake(s.taken)
	}
	if total == 0 && len(s.pieces) == 0 {
		return 0, s.err
	}
	return total, nil
}

// releaseLocked gives up room. The caller holds mu.
func (s *spool) releaseLocked(n int64) {
	n = min(n, s.reserved) // Close has given up everything
	if n > 0 {
		s.reserved -= n
		s.room.Release(n)
	}
}

// Close discards the rest of the response.
func (s *spool) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return nil
	}
	s.ended, s.pieces = true, nil
	s.releaseLocked(s.reserved)
	close(s.closed)
	s.cancel()
	return nil
}

// OnComplete implements CompletingBody.
func (s *spool) OnComplete(f func()) {
	s.mu.Lock()
	s.onComplete = f
	complete := s.complete
	s.mu.Unlock()
	if complete {
		f()
	}
}
