package forward

import (
	"context"
	"net"
	"net/http"
	"net/netip"
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
	// the upstream is just closing. An upstream that names a longer one is believed, less idleMargin.
	idleTimeout = 4 * time.Second
	idleMargin  = time.Second
	// wholeLimit is the longest answer that is read before any of it is passed on. A shorter answer can then be
	// fetched again when it is truncated.
	defaultBufferLimit = 64 << 10
	readBufferSize     = 8 << 10
	// connectionsDefault limits the connections of a client that names no limit.
	defaultMaxConnections = 1024
)

// Request is what is sent to an upstream.
type Request struct {
	ID     fleet.RequestID
	Method string
	// Target is path and query as they are sent.
	Target string
	// Hostname is the host that the caller addressed.
	Hostname string
	// Header holds the caller's headers; hop-by-hop headers are not sent.
	Header http.Header
	Body   []byte
	// Deadline is the moment by which the caller wants its answer.
	Deadline time.Time
	// Upstream is the id of the upstream that the request is meant for.
	Upstream fleet.UpstreamID
	// Keyed is set when Key, Partition and Fence are to be sent.
	Keyed     bool
	Key       fleet.KeyHash
	Partition fleet.PartitionID
	Fence     fleet.Fence
	// Connect is set by Send to the time that a new connection took; it stays zero if an open one was used.
	ConnectTime time.Duration
}

// Client sends requests to one upstream. The exported fields are set before the first Send.
type Client struct {
	Address netip.AddrPort
	Clock   timer.Clock
	// Connections limits the open connections to the upstream; zero stands for 1024.
	MaxConnections int
	// Dialect translates to the headers of the deployment. Nil stands for the product's own.
	Dialect Dialect
	// WholeLimit is the longest answer that is read before any of it is passed on. Zero stands for 64 KiB, and only
	// answers that name their length are read whole then.
	BufferLimit int64

	once sync.Once
	// slots limits the open connections: a request holds one while it uses or opens a connection.
	slots chan struct{}

	mu sync.Mutex
	// idle is guarded by mu and ordered by the time of the last use, the latest last.
	idle []*connection
	// closed is guarded by mu; connections are not kept once it is set.
	closed bool
}

func (c *Client) initialize() {
	limit := c.MaxConnections
	if limit <= 0 {
		limit = defaultMaxConnections
	}
	c.slots = make(chan struct{}, limit)
	if c.Dialect == nil {
		c.Dialect = NativeDialect{}
	}
}

// Close closes the idle connections. Connections in use are closed when their requests end.
func (c *Client) Close() {
	c.mu.Lock()
	idle := c.idle
	c.idle, c.closed = nil, true
	c.mu.Unlock()
	for _, one := range idle {
		_ = one.Close()
	}
}

// Send sends the request once. The context ends the attempt, also while the body of the answer is being read.
func (c *Client) Send(ctx context.Context, request *Request) Result {
	c.once.Do(c.initialize)
	select {
	case c.slots <- struct{}{}:
	case <-ctx.Done():
		return NotSent{ContextDone: true, Err: context.Cause(ctx)}
	}
	conn, err := c.connect(ctx, request)
	if err != nil {
		<-c.slots
		return NotSent{ContextDone: ctx.Err() != nil, Err: err}
	}
	exchange := &exchange{client: c, connection: conn, request: request, ctx: ctx}
	return exchange.roundTrip()
}

// connect returns an idle connection that is still good, or a new one.
func (c *Client) connect(ctx context.Context, request *Request) (*connection, error) {
	if ctx.Err() != nil {
		return nil, context.Cause(ctx)
	}
	for {
		conn := c.popIdle()
		if conn == nil {
			break
		}
		if c.Clock.Now().Before(conn.expires) && conn.checkIdle() == nil {
			return conn, nil
		}
		_ = conn.Close()
	}
	began := c.Clock.Now()
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	conn, err := dialer.DialContext(ctx, "tcp", c.Address.String())
	if err != nil {
		return nil, errors.Wrap(err, "forward: connect")
	}
	request.ConnectTime = c.Clock.Now().Sub(began)
	return newConnection(conn, request.ConnectTime), nil
}

func (c *Client) popIdle() *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle) == 0 {
		return nil
	}
	last := len(c.idle) - 1
	conn := c.idle[last]
	c.idle[last] = nil
	c.idle = c.idle[:last]
	return conn
}

// keep makes a connection available to the next request. The connections that expired before it are closed, so that a
// burst does not leave connections behind.
func (c *Client) putIdle(conn *connection) {
	now := c.Clock.Now()
	c.mu.Lock()
	var expired []*connection
	for len(c.idle) > 0 && !now.Before(c.idle[0].expires) {
		expired = append(expired, c.idle[0])
		c.idle = c.idle[1:]
	}
	if c.closed {
		expired = append(expired, conn)
	} else {
		c.idle = append(c.idle, conn)
	}
	c.mu.Unlock()
	for _, one := range expired {
		_ = one.Close()
	}
}
