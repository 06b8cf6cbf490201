package forward

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxStatus is the highest status of HTTP.
	maxStatus = 599
	// inlineWriteLimit is the largest request in bytes that is written before the response is read. It fits into the socket
	// buffers. The rest of a larger request is written concurrently, since an upstream may respond before it has read it.
	inlineWriteLimit = 8 << 10
	// maxStaleResponses limits the responses to earlier requests that are skipped on one connection, and maxStaleBytes the body
	// of one of them.
	maxStaleResponses = 3
	maxStaleBytes     = 1 << 20
	// receiveBuffer bounds what the kernel receives of a response for which there is no room yet: at most twice as much. A link
	// of 200 Mbit/s with a round trip of 6 ms needs 150 KB.
	receiveBuffer = 96 << 10
)

var (
	errTooManyStale    = errors.New("forward: too many responses to earlier requests")
	errStaleTooLarge   = errors.New("forward: response to an earlier request is too large")
	errInvalidResponse = errors.New("forward: invalid response")
)

// exchange is one request and its response on one connection.
type exchange struct {
	client     *Client
	connection *connection
	request    *Request
	ctx        context.Context
	// started is when the request was about to be written, and receivedBefore how many bytes the connection had received then.
	started        time.Time
	receivedBefore int64
	// stopWatch stops resetting the connection when ctx ends. It returns false if ctx has ended already.
	stopWatch func() bool
	// writeDone is closed when the concurrent write of the request has ended. It is nil if the request was written inline.
	writeDone chan struct{}
	// writeErr is the error of the concurrent write. It is set before writeDone is closed.
	writeErr error
	// endsWithConnection is set if nothing but the end of the connection tells that the response is complete.
	endsWithConnection bool
	// reusable reports whether the response allows another request on the connection, and expires is until when.
	reusable               bool
	expires, expiresSafely time.Time
}

// roundTrip sends the request and reads the response headers, and also the body if it is short.
func (e *exchange) roundTrip() Result {
	if tcp, ok := e.connection.Conn.(*net.TCPConn); ok && !e.request.Reused && e.request.Room != nil {
		_ = tcp.SetReadBuffer(receiveBuffer) // an error shows at the first read
	}
	e.stopWatch = context.AfterFunc(e.ctx, e.connection.reset)
	if err := e.awaitReset(); err != nil {
		full := e.failed(err)
		e.finish(false)
		return NotSent{ContextDone: e.ctx.Err() != nil, Full: full, Err: err}
	}
	if e.request.MayStart != nil && !e.request.MayStart() {
		e.withdraw()
		return NotSent{ContextDone: e.ctx.Err() != nil, Withheld: true, Err: ErrWithheld}
	}
	start := e.client.Clock.Now()
	e.started, e.receivedBefore = start, e.connection.received
	writtenBefore := e.connection.written
	if err := e.write(start); err != nil {
		sent, full := e.connection.written > writtenBefore, e.failed(err)
		e.finish(false)
		if sent {
			return NoResponse{ContextDone: e.ctx.Err() != nil, Full: full, Err: err}
		}
		return NotSent{ContextDone: e.ctx.Err() != nil, Full: full, Err: err}
	}
	response, err := e.readHead() //nolint:bodyclose // the body is closed with the exchange
	if err != nil {
		full := e.failed(err)
		e.finish(false)
		if errors.Is(err, errInvalidResponse) {
			return Truncated{Err: err}
		}
		return NoResponse{ContextDone: e.ctx.Err() != nil, Full: full, Err: err}
	}
	e.responded()
	return e.handleResponse(response, e.client.Clock.Now().Sub(start))
}

// encodeHead returns the head of the request in its HTTP/1.1 form, with room for the part of the body that is written with
// it.
func (e *exchange) encodeHead(now time.Time) []byte {
	host, header := e.client.Dialect.EncodeHeader(e.request, e.request.Deadline.Sub(now))
	if host == "" {
		host = e.client.Address.String()
	}
	length := e.request.Body.Len()
	if length > 0 || e.request.Method == http.MethodPost || e.request.Method == http.MethodPut {
		header.Set("Content-Length", strconv.FormatInt(length, 10))
	} else {
		header.Del("Content-Length")
	}
	var buffer bytes.Buffer
	buffer.Grow(int(min(length, inlineWriteLimit)) + 512)
	buffer.WriteString(e.request.Method + " " + e.request.Target + " HTTP/1.1\r\nHost: " + host + "\r\n")
	_ = header.Write(&buffer) // writing to a bytes.Buffer does not fail
	buffer.WriteString("\r\n")
	return buffer.Bytes()
}

// write writes the request, or its first part if the rest is written concurrently. An error means that the connection
// cannot be used; connection.written tells whether any byte was sent.
func (e *exchange) write(now time.Time) error {
	head := e.encodeHead(now)
	// A short body is copied behind the head, so that a small request is one write. The rest is written from where it is held.
	first, rest := e.request.Body.take(head, max(inlineWriteLimit-len(head), 0))
	// The first part is written synchronously, so that a failure before any byte was sent is noticed.
	if _, err := e.connection.Write(first); err != nil {
		return errors.Wrap(err, "forward: write request")
	}
	if len(rest) == 0 {
		return nil
	}
	e.writeDone = make(chan struct{})
	go func() {
		defer close(e.writeDone)
		for _, block := range rest {
			if _, e.writeErr = e.connection.Write(block); e.writeErr != nil {
				return
			}
		}
	}()
	return nil
}

// readHead returns the response to this request, with its body unread. Informational and stale responses are skipped, up to
// maxStaleResponses. The error of bytes that are no response is marked with errInvalidResponse.
func (e *exchange) readHead() (*http.Response, error) {
	e.connection.beginHead()
	for range maxStaleResponses + 1 {
		response, err := http.ReadResponse(e.connection.reader, &http.Request{Method: e.request.Method})
		if errors.Is(err, errHeadTooLarge) {
			return nil, errors.Mark(err, errInvalidResponse)
		}
		if err != nil {
			return nil, errors.Wrap(err, "forward: read response")
		}
		if !isValidStatus(response.StatusCode) {
			return nil, errors.Wrapf(errInvalidResponse, "status %03d", response.StatusCode)
		}
		e.request.Notices = append(e.request.Notices,
			e.client.Dialect.Notices(e.request, response.StatusCode, response.Header)...)
		if response.StatusCode < http.StatusOK {
			continue
		}
		e.connection.endHead()
		if _, stale := e.client.Dialect.Classify(e.request, response.StatusCode, response.Header).(Stale); !stale {
			return response, nil
		}
		skipped, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxStaleBytes))
		if err != nil {
			return nil, errors.Wrap(err, "forward: skip response to an earlier request")
		}
		if skipped == maxStaleBytes {
			return nil, errors.Mark(errStaleTooLarge, errInvalidResponse)
		}
		e.connection.beginHead()
	}
	return nil, errors.Mark(errTooManyStale, errInvalidResponse)
}

// isValidStatus reports whether a status is one that HTTP has for a response. Informational ones are those that a server may send
// without being asked: a protocol is never switched here. net/http reads any three digits.
func isValidStatus(status int) bool {
	switch status {
	case http.StatusContinue, http.StatusProcessing, http.StatusEarlyHints:
		return true
	}
	return status >= http.StatusOK && status <= maxStatus
}

// handleResponse turns a response whose body is unread into the Result of the exchange.
func (e *exchange) handleResponse(response *http.Response, timeToFirstByte time.Duration) Result {
	e.reusable = !response.Close
	e.endsWithConnection = response.ContentLength < 0 && len(response.TransferEncoding) == 0
	e.setExpiry(response.Header)
	switch class := e.client.Dialect.Classify(e.request, response.StatusCode, response.Header).(type) {
	case Refused:
		e.connection.refused = append(e.connection.refused, e.request.ID)
		if rejected, ok := class.Result.(Rejected); ok && !rejected.Draining && !rejected.WrongUpstream {
			e.client.full.noteRefusal(e.client.Clock.Now())
		}
		e.reusable = e.reusable && len(e.connection.refused) < maxRefused
		e.discardBody(response)
		return class.Result
	case Invalid:
		e.finish(false)
		return Truncated{Err: errors.Mark(errors.New(class.Reason), errInvalidResponse)}
	}
	result := Responded{
		Status: response.StatusCode, Header: StripHopByHop(response.Header), TimeToFirstByte: timeToFirstByte,
		Body: &responseBody{Reader: response.Body, exchange: e},
	}
	limit := e.client.BufferLimit
	if limit == 0 {
		limit = defaultBufferLimit
	}
	if response.ContentLength > limit || response.ContentLength < 0 && e.client.BufferLimit == 0 {
		result.Body = e.newSpool(result.Body)
		return result
	}
	return e.bufferBody(result, response.ContentLength, limit)
}

// setExpiry sets until when the connection can be used again.
func (e *exchange) setExpiry(header http.Header) {
	now := e.client.Clock.Now()
	if announced, ok := keepAliveTimeout(header); ok {
		e.expires = now.Add(announced - idleMargin)
		e.expiresSafely = e.expires
		return
	}
	e.expires, e.expiresSafely = now.Add(max(e.client.MaxIdle, idleTimeout)), now.Add(idleTimeout)
}

// bufferBody reads a short body into memory. A body of unknown length that exceeds the limit, or one for which there is no
// room, is passed on as a stream.
func (e *exchange) bufferBody(result Responded, length, limit int64) Result {
	held := &heldBody{room: e.request.Room}
	if held.room == nil {
		held.room = unlimitedRoom{}
	}
	rest := result.Body
	complete, err := held.readHeld(rest, length, limit)
	if err != nil {
		_ = rest.Close()
		_ = held.Close()
		if e.ctx.Err() != nil {
			return NoResponse{ContextDone: true, Err: err}
		}
		return Truncated{Err: err}
	}
	result.Body, result.Buffered = held, complete
	if !complete {
		held.rest = e.newSpool(rest)
	}
	return result
}

const (
	// discardLimit is the largest body in bytes of a refused request that is read so that the connection can be reused.
	discardLimit = 4 << 10
	// discardTimeout bounds how long such a body is awaited. The refusal is known, and its caller waits meanwhile.
	discardTimeout = 100 * time.Millisecond
)

// discardBody ends the exchange without using the body, and keeps the connection if the body is short.
func (e *exchange) discardBody(response *http.Response) {
	_ = e.connection.SetReadDeadline(time.Now().Add(discardTimeout)) // an error shows at the next read
	_, err := io.CopyN(io.Discard, response.Body, discardLimit)
	_ = e.connection.SetReadDeadline(time.Time{})
	e.finish(errors.Is(err, io.EOF))
}

// finish ends the exchange and frees its slot. The connection is kept only if the response was complete, no further bytes
// arrived, and the whole request was written. If a part of the request is missing, the upstream may still wait for it and
// would read the next request as that part.
func (e *exchange) finish(complete bool) {
	ctxActive := e.stopWatch()
	if e.writeDone != nil {
		select {
		case <-e.writeDone:
			complete = complete && e.writeErr == nil
		default:
			complete = false
		}
	}
	conn := e.connection
	if complete && ctxActive && e.reusable && conn.reader.Buffered() == 0 {
		conn.expires, conn.expiresSafely = e.expires, e.expiresSafely
		e.client.putIdle(conn)
	} else {
		conn.reset()
	}
	<-e.client.slots
}

// withdraw ends an exchange of which nothing was written. Its connection is not kept, as how long it has been idle is no longer
// known to be what it seems.
func (e *exchange) withdraw() {
	e.stopWatch()
	_ = e.connection.Close()
	<-e.client.slots
}

// hopByHop lists the headers that apply to a single connection (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// StripHopByHop returns a copy of header without the headers that apply to a single connection.
func StripHopByHop(header http.Header) http.Header {
	stripped := header.Clone()
	if stripped == nil {
		return http.Header{}
	}
	for _, line := range stripped["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			stripped.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		stripped.Del(name)
	}
	return stripped
}
