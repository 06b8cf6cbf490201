package forward

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// inlineLimit is the longest request that is written before the answer is awaited. The socket's buffers take it; a
	// longer one is written beside the reading, since an upstream may answer before it has read all of it.
	inlineWriteLimit = 8 << 10
	// mostStrays bounds the answers of earlier requests that are skipped on one connection.
	maxStaleResponses = 3
)

var (
	errTooManyStale    = errors.New("forward: too many answers to other requests")
	errInvalidResponse = errors.New("forward: not an answer of the upstream")
)

// exchange is one request and its answer on one connection.
type exchange struct {
	client     *Client
	connection *connection
	request    *Request
	ctx        context.Context
	// release ends the watch over ctx.
	stopWatch func() bool
	// wrote is closed when the request has been written beside the reading; it is nil if it was written before.
	writeDone chan struct{}
	// writeErr is the error of that writing. It is set before wrote is closed.
	writeErr error
	// reusable is set when the answer allows another request on the connection, and expires is until when.
	reusable bool
	expires  time.Time
}

// run sends the request and reads the head of the answer, and a short answer as a whole.
func (e *exchange) roundTrip() Result {
	began := e.client.Clock.Now()
	e.stopWatch = context.AfterFunc(e.ctx, e.connection.reset)
	before := e.connection.written
	if err := e.write(e.encode(began)); err != nil {
		sent := e.connection.written > before
		e.finish(false)
		if sent {
			return NoResponse{ContextDone: e.ctx.Err() != nil, Err: err}
		}
		return NotSent{ContextDone: e.ctx.Err() != nil, Err: err}
	}
	response, err := e.readHead() //nolint:bodyclose // the body is closed with the exchange
	if err != nil {
		e.finish(false)
		if errors.Is(err, errInvalidResponse) {
			return Truncated{Err: err}
		}
		return NoResponse{ContextDone: e.ctx.Err() != nil, Err: err}
	}
	return e.handleResponse(response, e.client.Clock.Now().Sub(began))
}

// encode returns the request as it is written to the connection.
func (e *exchange) encode(now time.Time) []byte {
	host, header := e.client.Dialect.EncodeHeader(e.request, e.request.Deadline.Sub(now))
	if host == "" {
		host = e.client.Address.String()
	}
	if len(e.request.Body) > 0 || e.request.Method == http.MethodPost || e.request.Method == http.MethodPut {
		header.Set("Content-Length", strconv.Itoa(len(e.request.Body)))
	} else {
		header.Del("Content-Length")
	}
	var buffer bytes.Buffer
	buffer.Grow(len(e.request.Body) + 512)
	buffer.WriteString(e.request.Method + " " + e.request.Target + " HTTP/1.1\r\nHost: " + host + "\r\n")
	_ = header.Write(&buffer) // a buffer takes everything
	buffer.WriteString("\r\n")
	buffer.Write(e.request.Body)
	return buffer.Bytes()
}

func (e *exchange) write(content []byte) error {
	if len(content) <= inlineWriteLimit {
		_, err := e.connection.Write(content)
		return errors.Wrap(err, "forward: write request")
	}
	// The first part is written here, so that an error before any byte was sent is known.
	if _, err := e.connection.Write(content[:inlineWriteLimit]); err != nil {
		return errors.Wrap(err, "forward: write request")
	}
	e.writeDone = make(chan struct{})
	go func() {
		defer close(e.writeDone)
		_, e.writeErr = e.connection.Write(content[inlineWriteLimit:])
	}()
	return nil
}

// read returns the head of the answer to this request. Informational answers and answers to earlier requests are skipped.
func (e *exchange) readHead() (*http.Response, error) {
	for range maxStaleResponses + 1 {
		response, err := http.ReadResponse(e.connection.reader, &http.Request{Method: e.request.Method})
		if err != nil {
			return nil, errors.Wrap(err, "forward: read answer")
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if _, stray := e.client.Dialect.Classify(e.request, response.StatusCode, response.Header).(Stale); !stray {
			return response, nil
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, errors.Wrap(err, "forward: skip answer to another request")
		}
	}
	return nil, errTooManyStale
}

// classify turns the head of an answer into the result.
func (e *exchange) handleResponse(response *http.Response, firstByte time.Duration) Result {
	e.reusable = !response.Close
	e.expires = e.client.Clock.Now().Add(keepAliveTimeout(response.Header, idleTimeout+idleMargin) - idleMargin)
	switch reading := e.client.Dialect.Classify(e.request, response.StatusCode, response.Header).(type) {
	case Refused:
		e.discardBody(response)
		return reading.Result
	case Invalid:
		e.finish(false)
		return Truncated{Err: errors.Mark(errors.New(reading.Reason), errInvalidResponse)}
	}
	result := Responded{
		Status: response.StatusCode, Header: StripHopByHop(response.Header), TimeToFirstByte: firstByte,
		Body: &responseBody{Reader: response.Body, exchange: e},
	}
	limit := e.client.BufferLimit
	if limit == 0 {
		limit = defaultBufferLimit
	}
	switch {
	case response.ContentLength > limit:
		return result
	case response.ContentLength < 0 && e.client.BufferLimit == 0:
		return result
	}
	return e.bufferBody(result, response.ContentLength, limit)
}

// whole reads a short answer into memory. An answer without a length that turns out to be longer is passed on as a stream.
func (e *exchange) bufferBody(result Responded, length, limit int64) Result {
	content := make([]byte, 0, max(length, 0)+bytes.MinRead)
	buffer := bytes.NewBuffer(content)
	rest := result.Body
	_, err := buffer.ReadFrom(io.LimitReader(rest, limit+1))
	if err != nil {
		_ = rest.Close()
		if e.ctx.Err() != nil {
			return NoResponse{ContextDone: true, Err: err}
		}
		return Truncated{Err: err}
	}
	if int64(buffer.Len()) > limit {
		result.Body = &partlyBufferedBody{Reader: io.MultiReader(buffer, rest), Closer: rest}
		return result
	}
	_ = rest.Close()
	result.Body, result.Buffered = io.NopCloser(buffer), true
	return result
}

// prefixed is a stream whose first part was read already.
type partlyBufferedBody struct {
	io.Reader
	io.Closer
}

// discardLimit is the longest body of a rejection that is read so that its connection can be used again.
const discardLimit = 4 << 10

func (e *exchange) discardBody(response *http.Response) {
	rest := &responseBody{Reader: response.Body, exchange: e}
	_, _ = io.CopyN(io.Discard, rest, discardLimit)
	_ = rest.Close()
}

// finish ends the exchange. The connection is kept only if the answer was complete, nothing follows it, and the whole
// request was written: the upstream may read on, and would take the next request for the rest of this one.
func (e *exchange) finish(complete bool) {
	watched := e.stopWatch()
	if e.writeDone != nil {
		select {
		case <-e.writeDone:
			complete = complete && e.writeErr == nil
		default:
			complete = false
		}
	}
	conn := e.connection
	if complete && watched && e.reusable && conn.reader.Buffered() == 0 {
		conn.expires = e.expires
		e.client.putIdle(conn)
	} else {
		conn.reset()
	}
	<-e.client.slots
}

// hopByHop lists the headers that concern one connection only (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// Strip returns a copy of the header without the headers that concern one connection only.
func StripHopByHop(header http.Header) http.Header {
	result := header.Clone()
	if result == nil {
		return http.Header{}
	}
	for _, line := range result["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			result.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		result.Del(name)
	}
	return result
}
