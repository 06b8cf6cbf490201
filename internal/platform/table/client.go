package table

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"rosemarywick.example/rosemarywick/internal/platform/tablepb"
	"rosemarywick.example/rosemarywick/internal/platform/tablepb/tablepbconnect"
)

// DefaultTimeout bounds one request where the client sets no timeout of its own. The table normally answers within a
// few milliseconds; a second leaves room for a slow period without blocking a caller through an outage.
const DefaultTimeout = time.Second

// maxResponse bounds the memory that one response may take.
const maxResponse = 64 << 20

// Client is the Store behind the table service's network protocol. The exported fields are set before the first call.
type Client struct {
	Address netip.AddrPort
	// Timeout bounds each request; zero means DefaultTimeout.
	Timeout time.Duration
	// TLS is nil for a connection in plain text.
	TLS *tls.Config

	once      sync.Once
	transport *http.Transport
	service   tablepbconnect.TableServiceClient
}

var _ Store = (*Client)(nil)

// Close closes idle connections.
func (c *Client) Close() {
	c.open()
	c.transport.CloseIdleConnections()
}

func (c *Client) open() {
	c.once.Do(func() {
		scheme := "http://"
		if c.TLS != nil {
			scheme = "https://"
		}
		if c.Timeout <= 0 {
			c.Timeout = DefaultTimeout
		}
		c.transport = &http.Transport{TLSClientConfig: c.TLS, MaxIdleConnsPerHost: 16, IdleConnTimeout: time.Minute}
		c.service = tablepbconnect.NewTableServiceClient(&http.Client{Transport: c.transport},
			scheme+c.Address.String(), connect.WithReadMaxBytes(maxResponse))
	})
}

// Read returns the named rows that exist, as of one moment.
func (c *Client) Read(ctx context.Context, names ...string) ([]Row, error) {
	c.open()
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	response, err := c.service.Read(ctx, connect.NewRequest(&tablepb.ReadRequest{Names: names}))
	if err != nil {
		return nil, errors.Wrapf(ErrUnavailable, "read: %v", err)
	}
	return rowsOf(response.Msg.GetRows()), nil
}

// Scan returns the rows whose names begin with prefix, in the order of their names, as of one moment.
func (c *Client) Scan(ctx context.Context, prefix string) ([]Row, error) {
	c.open()
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	response, err := c.service.Scan(ctx, connect.NewRequest(&tablepb.ScanRequest{Prefix: prefix}))
	if err != nil {
		return nil, errors.Wrapf(ErrUnavailable, "scan: %v", err)
	}
	return rowsOf(response.Msg.GetRows()), nil
}

// Commit applies all changes or none.
func (c *Client) Commit(ctx context.Context, changes ...Change) error {
	c.open()
	request := &tablepb.CommitRequest{Changes: make([]*tablepb.Change, 0, len(changes))}
	for _, change := range changes {
		request.Changes = append(request.Changes, &tablepb.Change{
			Name: change.Name, Expected: uint64(change.Expected), Action: actionOf(change), Value: change.Value,
		})
	}
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	if _, err := c.service.Commit(ctx, connect.NewRequest(request)); err != nil {
		return commitError(err)
	}
	return nil
}

// commitError translates an error so that ErrUnavailable is returned only where the write cannot have taken effect:
// the service said so, or no connection was made.
func commitError(err error) error {
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		return errors.Wrapf(ErrUnavailable, "commit: %v", err)
	}
	if !connect.IsWireError(err) {
		return errors.Wrapf(ErrUnknown, "commit: %v", err)
	}
	switch connect.CodeOf(err) { //nolint:exhaustive // The protocol uses no other codes; they leave the outcome open.
	case connect.CodeAborted:
		return errors.Wrapf(ErrConflict, "commit: %s", detail(err))
	case connect.CodeOutOfRange, connect.CodeResourceExhausted:
		return errors.Wrapf(ErrTooLarge, "commit: %v", err)
	case connect.CodeUnavailable:
		return errors.Wrapf(ErrUnavailable, "commit: %v", err)
	default:
		return errors.Wrapf(ErrUnknown, "commit: %v", err)
	}
}

// detail returns the service's own words without the code and the text of the error that the client returns.
func detail(err error) string {
	var wire *connect.Error
	if !errors.As(err, &wire) {
		return err.Error()
	}
	return strings.TrimSuffix(wire.Message(), ": "+ErrConflict.Error())
}

func actionOf(change Change) tablepb.Action {
	switch {
	case !change.Write:
		return tablepb.Action_ACTION_CHECK
	case change.Value == nil:
		return tablepb.Action_ACTION_DELETE
	default:
		return tablepb.Action_ACTION_WRITE
	}
}

func rowsOf(messages []*tablepb.Row) []Row {
	rows := make([]Row, 0, len(messages))
	for _, message := range messages {
		rows = append(rows, Row{
			Name: message.GetName(), Version: Version(message.GetVersion()), Value: message.GetValue(),
		})
	}
	return rows
}
