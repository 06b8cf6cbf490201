package router

import (
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"rosemarywick.example/rosemarywick/internal/core/cause"
	"rosemarywick.example/rosemarywick/internal/routing/admission"
	"rosemarywick.example/rosemarywick/internal/upstream/forward"
)

// ErrIncomplete means that the answer ended early and that its rest could not be fetched.
var ErrIncomplete = errors.New("router: answer is incomplete")

// errCaller marks a failure to write to the caller.
var errCaller = errors.New("router: caller is gone")

var abandoned admission.Feedback = admission.Abandoned{}

// mostResumes bounds how often the rest of one download is fetched.
const mostResumes = 3

// answer wraps the answer of an upstream.
func (p *pending) answer(slot *usedSlot, responded forward.Responded) Response {
	why := cause.OK
	objective := p.request.LatencyTarget
	if objective == 0 {
		objective = p.service.LatencyTarget
	}
	if p.router.Clock.Now().Sub(p.started) > objective {
		why = cause.SlowUpstream
	}
	if responded.Status >= http.StatusInternalServerError {
		why = cause.UpstreamFailed
	}
	answered := &UpstreamResponse{
		Status: responded.Status, Header: responded.Header, Outcome: cause.Complete, Cause: why,
		pending: p, body: responded.Body, responded: responded, slot: slot,
	}
	if responded.Whole {
		answered.leave(responded)
	}
	return answered
}

// leave ends the slot.
func (a *UpstreamResponse) leave(result forward.Result) {
	if a.slot != nil {
		a.pending.release(a.slot, result)
		a.slot = nil
	}
}

// Copy writes the body to w. An error means that the caller did not get the whole answer and must not take it for whole.
func (a *UpstreamResponse) Copy(w io.Writer) error {
	if a.done {
		return nil
	}
	a.done = true
	written, err := a.stream(w)
	if err != nil && !errors.Is(err, errCaller) {
		_, err = a.resume(w, written)
	}
	switch {
	case err == nil:
		a.pending.end(cause.Complete, a.Cause, a.Status)
	case errors.Is(err, errCaller) || a.pending.caller.Err() != nil:
		a.pending.end(cause.Unknown, cause.CallerGone, 0)
	default:
		a.pending.end(cause.Unknown, cause.AnswerCut, 0)
	}
	return err
}

// Close gives up the rest of the answer. It has no effect after Copy.
func (a *UpstreamResponse) Close() {
	if a.done {
		return
	}
	a.done = true
	_ = a.body.Close()
	a.leave(forward.Lost{Local: true})
	a.pending.end(cause.Unknown, cause.CallerGone, 0)
}

// stream copies the present body and ends its slot.
func (a *UpstreamResponse) stream(w io.Writer) (int64, error) {
	written, err := copyAnswer(w, a.body, !a.responded.Whole)
	_ = a.body.Close()
	switch {
	case err == nil || errors.Is(err, errCaller):
		a.leave(a.responded)
	default:
		a.leave(forward.Truncated{Err: err})
	}
	return written, err
}

// writer marks the errors of writing to the caller.
type writer struct{ io.Writer }

// Write writes to the caller.
func (w writer) Write(p []byte) (int, error) {
	n, err := w.Writer.Write(p)
	if err != nil {
		err = errors.Mark(err, errCaller)
	}
	return n, err
}

// copyAnswer copies an answer. It flushes each piece of one that is not whole yet, so that a slow stream reaches the
// caller as it is produced.
func copyAnswer(w io.Writer, body io.Reader, flush bool) (int64, error) {
	flusher, ok := w.(http.Flusher)
	flush = flush && ok
	marked := writer{Writer: w}
	buffer := make([]byte, 32<<10)
	var written int64
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if _, failed := marked.Write(buffer[:n]); failed != nil {
				return written, failed
			}
			written += int64(n)
			if flush && err == nil {
				flusher.Flush()
			}
		}
		if errors.Is(err, io.EOF) {
			return written, nil
		}
		if err != nil {
			return written, err
		}
	}
}

// resume fetches the rest of a download that ended early after written bytes.
func (a *UpstreamResponse) resume(w io.Writer, written int64) (int64, error) {
	p := a.pending
	tag := a.Header.Get("ETag")
	total, err := strconv.ParseInt(a.Header.Get("Content-Length"), 10, 64)
	strong := strings.HasPrefix(tag, `"`)
	if err != nil || !strong || a.Status != http.StatusOK || p.request.Method != http.MethodGet {
		return written, ErrIncomplete
	}
	for range mostResumes {
		part := a.rest(written, tag, total)
		if part == nil {
			return written, ErrIncomplete
		}
		a.Cause = cause.ResumedElsewhere
		more, err := a.stream(w)
		written += more
		if err == nil && written == total {
			return written, nil
		}
		if errors.Is(err, errCaller) {
			return written, err
		}
	}
	return written, ErrIncomplete
}

// rest asks another upstream for the bytes from an offset on, and returns nil if it has not the same content.
func (a *UpstreamResponse) rest(from int64, tag string, total int64) *forward.Responded {
	p := a.pending
	if p.ctx.Err() != nil || !p.service.budget.Take() {
		return nil
	}
	slot, refused := p.acquire()
	if refused != nil {
		return nil
	}
	whole := p.request
	ranged := *whole
	ranged.Header = whole.Header.Clone()
	if ranged.Header == nil {
		ranged.Header = make(http.Header)
	}
	ranged.Header.Set("Range", "bytes="+strconv.FormatInt(from, 10)+"-")
	ranged.Header.Set("If-Range", tag)
	p.request = &ranged
	result := p.send(slot)
	p.request = whole
	p.avoid = slot.upstream.ID
	part, ok := result.(forward.Responded)
	if ok && (part.Status != http.StatusPartialContent || part.Header.Get("ETag") != tag ||
		part.Header.Get("Content-Range") != contentRange(from, total)) {
		_ = part.Body.Close()
		ok = false
	}
	if !ok {
		p.release(slot, result)
		return nil
	}
	a.body, a.responded, a.slot = part.Body, part, slot
	return &part
}

func contentRange(from, total int64) string {
	return "bytes " + strconv.FormatInt(from, 10) + "-" + strconv.FormatInt(total-1, 10) + "/" +
		strconv.FormatInt(total, 10)
}
