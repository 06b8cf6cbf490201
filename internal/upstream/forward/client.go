package forward

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/core/timer"
)

// ErrTruncated is the error of reading an answer that ended early.
var ErrTruncated = errors.New("forward: answer ended early")

const (
	// dialTimeout bounds a connection attempt; a connection takes about 1 ms, and a lost packet is repeated after 1 s.
	dialTimeout = 1500 * time.Millisecond
	// idleTimeout lies below the idle time-outs common among servers, so that a reused connection is rarely one that
	// the upstream is just closing.
	idleTimeout = 4 * time.Second
	// wholeLimit is the longest answer that is read before any of it is passed on. A shorter answer can then be
	// fetched again when it is truncated.
	wholeLimit = 64 << 10
)

// Request is what is sent to an upstream.
type Request struct {
	ID     fleet.RequestID
	Method string
	// Target is path and query as they are sent.
	Target string
	// Header holds the caller's headers; hop-by-hop headers are not sent.
	Header http.Header
	Body   []byte
	// Deadline is the moment by which the caller wants its answer.
	Deadline time.Time
	// Keyed is set when Key, Partition and Fence are to be sent.
	Keyed     bool
	Key       fleet.KeyHash
	Partition fleet.PartitionID
	Fence     fleet.Fence
	// Connect is set by Send to the time that a new connection took; it stays zero if an open one was used.
	Connect time.Duration
}

// Client sends requests to one upstream. The exported fields are set before the first Send.
type Client struct {
	Address netip.AddrPort
	Clock   timer.Service
	// Connections limits the open connections to the upstream; zero means no limit.
	Connections int

	once      sync.Once
	transport *http.Transport
}

func (c *Client) open() {
	dialer := &net.Dialer{Timeout: dialTimeout}
	c.transport = &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			began := c.Clock.Now()
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &connection{Conn: conn, dialed: c.Clock.Now().Sub(began)}, nil
		},
		MaxConnsPerHost:     c.Connections,
		MaxIdleConnsPerHost: max(c.Connections, 16),
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		WriteBufferSize:     16 << 10,
	}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.once.Do(c.open)
	c.transport.CloseIdleConnections()
}

// Send sends the request once. The context ends the attempt, also while the body of the answer is being read.
func (c *Client) Send(ctx context.Context, request *Request) Result {
	c.once.Do(c.open)
	state := &attempt{}
	began := c.Clock.Now()
	response, err := c.transport.RoundTrip(c.outgoing(ctx, request, state, began)) //nolint:bodyclose // Responded.Body
	if err != nil {
		return failure(ctx, state, err)
	}
	return c.classify(ctx, response, c.Clock.Now().Sub(began))
}

func (c *Client) outgoing(ctx context.Context, request *Request, state *attempt, now time.Time) *http.Request {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		conn, ok := info.Conn.(*connection)
		if !ok {
			return
		}
		state.assign(conn)
		if !info.Reused {
			request.Connect = conn.dialed
		}
	}}
	header := Strip(request.Header)
	header.Set("Rosemarywick-Request-Id", string(request.ID))
	header.Set("Rosemarywick-Timeout", request.Deadline.Sub(now).String())
	header.Del("Rosemarywick-Key-Hash")
	header.Del("Rosemarywick-Partition")
	header.Del("Rosemarywick-Fence")
	if request.Keyed {
		header.Set("Rosemarywick-Key-Hash", strconv.FormatUint(uint64(request.Key), 16))
		header.Set("Rosemarywick-Partition", strconv.FormatUint(uint64(request.Partition), 10))
		header.Set("Rosemarywick-Fence", request.Fence.String())
	}
	if _, named := header["User-Agent"]; !named {
		header["User-Agent"] = nil // net/http would add its own
	}
	outgoing := &http.Request{
		Method: request.Method, Host: c.Address.String(), Header: header, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		URL: &url.URL{Scheme: "http", Host: c.Address.String()}, ContentLength: int64(len(request.Body)),
	}
	if parsed, err := url.ParseRequestURI(request.Target); err == nil {
		outgoing.URL.Path, outgoing.URL.RawPath, outgoing.URL.RawQuery = parsed.Path, parsed.RawPath, parsed.RawQuery
	}
	if len(request.Body) > 0 {
		// GetBody stays nil: http.Transport then does not repeat the request by itself.
		outgoing.Body = io.NopCloser(bytes.NewReader(request.Body))
	}
	return outgoing.WithContext(httptrace.WithClientTrace(ctx, trace))
}

func failure(ctx context.Context, state *attempt, err error) Result {
	local := ctx.Err() != nil
	if state.giveUp() {
		return Lost{Local: local, Err: err}
	}
	return NotSent{Local: local, Err: err}
}

func (c *Client) classify(ctx context.Context, response *http.Response, firstByte time.Duration) Result {
	header := response.Header
	if header.Get("Not-Run") == "true" && response.StatusCode == http.StatusServiceUnavailable {
		discard(response.Body)
		seconds, _ := strconv.Atoi(header.Get("Retry-After"))
		return Rejected{Draining: header.Get("Draining") == "true", RetryAfter: time.Duration(seconds) * time.Second}
	}
	if header.Get("Not-Owner") == "true" && response.StatusCode == http.StatusMisdirectedRequest {
		discard(response.Body)
		return NotOwner{}
	}
	result := Responded{
		Status: response.StatusCode, Header: Strip(header), Body: &body{ReadCloser: response.Body}, FirstByte: firstByte,
	}
	if response.ContentLength < 0 || response.ContentLength > wholeLimit {
		return result
	}
	return whole(ctx, result, response.ContentLength)
}

// whole reads a short answer into memory.
func whole(ctx context.Context, result Responded, length int64) Result {
	content := make([]byte, 0, length+bytes.MinRead)
	buffer := bytes.NewBuffer(content)
	_, err := buffer.ReadFrom(result.Body)
	_ = result.Body.Close()
	if err != nil {
		if ctx.Err() != nil {
			return Lost{Local: true, Err: err}
		}
		return Truncated{Err: err}
	}
	result.Body, result.Whole = io.NopCloser(buffer), true
	return result
}

// discard reads a short rest so that the connection can be used again.
func discard(rest io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, rest, 4<<10)
	_ = rest.Close()
}

// body translates the errors of reading an answer.
type body struct {
	io.ReadCloser
}

// Read reads from the answer.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		err = errors.Mark(errors.Wrap(err, "forward: read answer"), ErrTruncated)
	}
	return n, err
}
