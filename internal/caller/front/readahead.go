package front

import (
	"net"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"rosemarywick.example/rosemarywick/internal/caller/budget"
)

// maxReadAhead limits the bytes of further requests that are held for one connection while a request is served. Beyond it, only
// the end of the connection is awaited.
const maxReadAhead = 32 << 10

// errNoHangUp means that the end of a connection can't be seen without reading all bytes before it.
var errNoHangUp = errors.New("front: end of connection can't be seen")

// errHungUp means that the caller closed the connection behind bytes that were not read.
var errHungUp = errors.New("front: connection has ended behind unread bytes")

// errCallerGone means that the caller closed the connection while a request of its was being served.
var errCallerGone = errors.New("front: caller closed the connection")

// readAhead reads the bytes of pipelined requests while an earlier request is served. http.Server stops reading once it has
// received one byte of a further request, and would not notice that the caller closes the connection.
type readAhead struct {
	conn net.Conn
	// holder counts the bytes that were read ahead.
	holder *budget.Holder
	// gone is called when the caller has closed the connection.
	gone func()

	mu sync.Mutex
	// done is guarded by mu. It is closed when the reading goroutine ends, and nil if there is none.
	done chan struct{}
	// stopping is guarded by mu and set while the goroutine is made to end.
	stopping bool
	// content is guarded by mu and holds the bytes that were read and not yet taken.
	content []byte
	// err is guarded by mu and set when the connection has ended. Nothing is taken from content then.
	err error
	// deadline is guarded by mu: the read deadline that is in force unless the goroutine is being stopped.
	deadline time.Time
}

// start begins to read. Only one goroutine at a time may call start and take.
func (r *readAhead) start() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.done != nil || r.err != nil {
		return
	}
	done := make(chan struct{})
	r.done = done
	go r.run(done)
}

// run reads until the connection ends or the read deadline passes. At the limit, or without room, it stops reading, so that the
// caller has to wait as well, and awaits the end of the connection only.
func (r *readAhead) run(done chan struct{}) {
	defer close(done)
	buffer := make([]byte, 2<<10)
	for !r.isFull() && r.holder.Reserve(budget.Ahead, int64(len(buffer))) {
		n, err := r.conn.Read(buffer)
		r.holder.Release(budget.Ahead, int64(len(buffer)-n))
		r.mu.Lock()
		r.content = append(r.content, buffer[:n]...)
		r.mu.Unlock()
		if err != nil {
			if !errors.Is(err, os.ErrDeadlineExceeded) {
				r.end(err)
			}
			return
		}
	}
	if awaitHangUp(r.conn) == nil {
		r.end(errHungUp)
	}
}

// isFull reports whether no more may be held.
func (r *readAhead) isFull() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.content) >= maxReadAhead
}

// end records that the connection has ended and ends its requests.
func (r *readAhead) end(err error) {
	r.mu.Lock()
	r.err = errors.Mark(errors.Wrap(err, "front: read ahead"), errCallerGone)
	r.mu.Unlock()
	r.gone()
}

// take stops reading and moves bytes that were read to p. If it returns neither bytes nor an error, the connection is to be
// read. Bytes of a caller that has closed the connection are discarded.
func (r *readAhead) take(p []byte) (int, error) {
	r.stop()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err != nil {
		return 0, r.err
	}
	n := copy(p, r.content)
	r.holder.Release(budget.Ahead, int64(n))
	r.content = r.content[n:]
	if len(r.content) == 0 {
		r.content = nil
	}
	return n, nil
}

// stop makes the goroutine end and waits for it.
func (r *readAhead) stop() {
	r.mu.Lock()
	done := r.done
	if done != nil {
		r.stopping = true
		_ = r.conn.SetReadDeadline(time.Unix(1, 0)) // an error means that the connection has ended, which ends the goroutine
	}
	r.mu.Unlock()
	if done == nil {
		return
	}
	<-done
	r.mu.Lock()
	defer r.mu.Unlock()
	r.done, r.stopping = nil, false
	_ = r.conn.SetReadDeadline(r.deadline) // an error shows at the next read
}

// setDeadline sets the read deadline of the connection.
func (r *readAhead) setDeadline(deadline time.Time) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.deadline = deadline
	if r.stopping {
		return nil // stop applies it
	}
	return errors.Wrap(r.conn.SetReadDeadline(deadline), "front: set read deadline")
}
