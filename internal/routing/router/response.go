package router

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"

	"rosemarywick.example/rosemarywick/internal/core/cause"
	"rosemarywick.example/rosemarywick/internal/routing/admission"
	"rosemarywick.example/rosemarywick/internal/routing/retry"
	"rosemarywick.example/rosemarywick/internal/upstream/forward"
)

// ErrIncomplete means that the response ended early and that its rest could not be fetched.
var ErrIncomplete = errors.New("router: response is incomplete")

// errCallerGone marks a failure to write to the caller.
var errCallerGone = errors.New("router: caller disconnected")

// abandoned is the feedback for a slot that was not used for a complete attempt.
var abandoned admission.Feedback = admission.Abandoned{}

// maxResumes is the maximum number of times that the rest of one download is fetched.
const maxResumes = 3

// respond wraps the response of an upstream for the caller.
func (p *pendingRequest) respond(slot *acquiredSlot, responded forward.Responded) Response {
	reason := cause.OK
	if p.router.Clock.Now().Sub(p.started) > p.target() {
		reason = cause.SlowUpstream
	}
	if responded.Status >= http.StatusInternalServerError {
		reason = cause.UpstreamFailed
	}
	response := &UpstreamResponse{
		Status: responded.Status, Header: responded.Header, Outcome: cause.Complete, Cause: reason,
		pending: p, body: responded.Body, received: responded, slot: slot,
	}
	if responded.Buffered {
		response.releaseSlot(responded)
	}
	response.releaseOnceComplete()
	return response
}

// releaseSlot releases the slot unless that has been done.
func (r *UpstreamResponse) releaseSlot(result forward.Result) {
	r.slotMu.Lock()
	slot := r.slot
	r.slot = nil
	r.slotMu.Unlock()
	if slot != nil {
		r.pending.release(slot, result)
	}
}

// releaseOnceComplete releases the slot as soon as the upstream has sent the whole response, however slowly the caller takes
// it.
func (r *UpstreamResponse) releaseOnceComplete() {
	received := r.received
	if body, ok := received.Body.(forward.CompletingBody); ok {
		body.OnComplete(func() { r.releaseSlot(received) })
	}
}

// Copy writes the body to w. An error means that the caller did not receive the complete response and must be able to
// notice that.
func (r *UpstreamResponse) Copy(w io.Writer) error {
	if r.done {
		return nil
	}
	r.done = true
	written, err := r.copyBody(w)
	if err != nil && !errors.Is(err, errCallerGone) {
		_, err = r.resume(w, written)
	}
	switch {
	case err == nil:
		r.pending.finish(cause.Complete, r.Cause, r.Status)
	case errors.Is(err, errCallerGone) || r.pending.callerCtx.Err() != nil:
		r.pending.finish(cause.Unknown, cause.CallerGone, 0)
	default:
		r.pending.finish(cause.Unknown, cause.ResponseTruncated, 0)
	}
	return err
}

// Close abandons the rest of the response. It has no effect after Copy.
func (r *UpstreamResponse) Close() {
	if r.done {
		return
	}
	r.done = true
	_ = r.body.Close()
	r.releaseSlot(forward.NoResponse{ContextDone: true})
	r.pending.finish(cause.Unknown, cause.CallerGone, 0)
}

// copyBody copies the current body to w and releases the slot.
func (r *UpstreamResponse) copyBody(w io.Writer) (int64, error) {
	written, err := copyResponse(w, r.body, !r.received.Buffered)
	_ = r.body.Close()
	switch {
	case err == nil || errors.Is(err, errCallerGone):
		r.releaseSlot(r.received)
	default:
		r.releaseSlot(forward.Truncated{Err: err})
	}
	return written, err
}

// callerWriter marks errors of writing to the caller, to tell them from errors of reading from the upstream.
type callerWriter struct{ io.Writer }

// Write writes to the caller.
func (w callerWriter) Write(p []byte) (int, error) {
	n, err := w.Writer.Write(p)
	if err != nil {
		err = errors.Mark(err, errCallerGone)
	}
	return n, err
}

// copyBufferSize is the size in bytes of the buffers for copying responses. They are used again, since they were almost half
// of all that a daemon allocated on small traffic.
const copyBufferSize = 32 << 10

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferSize]byte) }}

// copyResponse copies a body. With flush it flushes after each read, so that the caller receives a slow stream as it is
// produced.
func copyResponse(w io.Writer, body io.Reader, flush bool) (int64, error) {
	flusher, ok := w.(http.Flusher)
	flush = flush && ok
	caller := callerWriter{Writer: w}
	pooled, _ := copyBuffers.Get().(*[copyBufferSize]byte)
	defer copyBuffers.Put(pooled)
	buffer := pooled[:]
	var written int64
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if _, writeErr := caller.Write(buffer[:n]); writeErr != nil {
				return written, writeErr
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

// resume fetches the rest of a download that ended early after written bytes, and writes it to w.
func (r *UpstreamResponse) resume(w io.Writer, written int64) (int64, error) {
	p := r.pending
	tag := r.Header.Get("ETag")
	total, err := strconv.ParseInt(r.Header.Get("Content-Length"), 10, 64)
	isStrong := strings.HasPrefix(tag, `"`)
	if err != nil || !isStrong || r.Status != http.StatusOK || p.request.Method != http.MethodGet {
		return written, ErrIncomplete
	}
	for range maxResumes {
		rest := r.fetchRest(written, tag, total)
		if rest == nil {
			return written, ErrIncomplete
		}
		r.Cause = cause.ResumedElsewhere
		copied, err := r.copyBody(w)
		written += copied
		if err == nil && written == total {
			return written, nil
		}
		if errors.Is(err, errCallerGone) {
			return written, err
		}
	}
	return written, ErrIncomplete
}

// fetchRest requests the bytes from an offset on from another upstream. It returns nil if the request must not be sent again,
// if that fails, or if the other upstream has different content.
func (r *UpstreamResponse) fetchRest(from int64, tag string, total int64) *forward.Responded {
	p := r.pending
	broken := forward.Truncated{Err: ErrIncomplete}
	if _, resend := retry.Decide(p.retryRequest(), broken, p.service.budget).(retry.Resend); !resend || p.ctx.Err() != nil {
		return nil
	}
	slot, rejected := p.acquire()
	if rejected != nil {
		return nil
	}
	if retryAfter, ok := p.awaitLimit(slot); !ok {
		p.refuseForLimit(slot, retryAfter)
		return nil
	}
	if !p.mayReceive(slot.upstream.ID) {
		slot.queue.release(slot.upstream.ID, abandoned)
		return nil
	}
	original := p.request
	ranged := *original
	ranged.Header = original.Header.Clone()
	if ranged.Header == nil {
		ranged.Header = make(http.Header)
	}
	ranged.Header.Set("Range", "bytes="+strconv.FormatInt(from, 10)+"-")
	ranged.Header.Set("If-Range", tag)
	p.request = &ranged
	result := p.send(slot)
	p.request = original
	if retry.MayHaveReached(result) {
		p.reachedSends++
	}
	p.avoidUpstream = slot.upstream.ID
	rest, ok := result.(forward.Responded)
	if ok && (rest.Status != http.StatusPartialContent || rest.Header.Get("ETag") != tag ||
		rest.Header.Get("Content-Range") != contentRange(from, total)) {
		_ = rest.Body.Close()
		ok = false
	}
	if !ok {
		p.release(slot, result)
		return nil
	}
	r.slotMu.Lock()
	r.body, r.received, r.slot = rest.Body, rest, slot
	r.slotMu.Unlock()
	r.releaseOnceComplete()
	return &rest
}

func contentRange(from, total int64) string {
	return "bytes " + strconv.FormatInt(from, 10) + "-" + strconv.FormatInt(total-1, 10) + "/" +
		strconv.FormatInt(total, 10)
}
