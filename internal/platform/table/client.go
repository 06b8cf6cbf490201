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

// DefaultTimeout bounds one request if Client.Timeout is zero. The table normally responds within a few milliseconds; one
// second tolerates a slow period without blocking a caller for the length of an outage.
const DefaultTimeout = time.Second

// maxResponseBytes bounds the memory that one response may take.
const maxResponseBytes = 64 << 20

// Client is a Store that calls the table service over the network. The exported fields are set before the first call.
type Client struct {
	Address netip.AddrPort
	// Timeout bounds each request; zero means DefaultTimeout.
	Timeout time.Duration
	// TLS is nil for an unencrypted connection.
	TLS *tls.Config

	once      sync.Once
	transport *http.Transport
	service   tablepbconnect.TableServiceClient
}

var _ Store = (*Client)(nil)

// Close closes idle connections.
func (c *Client) Close() {
	c.init()
	c.transport.CloseIdleConnections()
}

func (c *Client) init() {
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
			scheme+c.Address.String(), connect.WithReadMaxBytes(maxResponseBytes))
	})
}

// Read returns those of the named rows that exist, as one consistent snapshot.
func (c *Client) Read(ctx context.Context, names ...string) ([]Row, error) {
	c.init()
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	response, err := c.service.Read(ctx, connect.NewRequest(&tablepb.ReadRequest{Names: names}))
	if err != nil {
		return nil, errors.Wrapf(ErrUnavailable, "read: %v", err)
	}
	return decodeRows(response.Msg.GetRows()), nil
}

// Scan returns the rows whose names begin with prefix, sorted by name, as one consistent snapshot.
func (c *Client) Scan(ctx context.Context, prefix string) ([]Row, error) {
	c.init()
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	response, err := c.service.Scan(ctx, connect.NewRequest(&tablepb.ScanRequest{Prefix: prefix}))
	if err != nil {
		return nil, errors.Wrapf(ErrUnavailable, "scan: %v", err)
	}
	return decodeRows(response.Msg.GetRows()), nil
}

// Commit applies all changes or none. Its errors are those of Store.Commit.
func (c *Client) Commit(ctx context.Context, changes ...Change) error {
	c.init()
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

// commitError maps an error of the service or the connection to an error of this package. It returns ErrUnavailable only if
// the transaction cannot have taken effect: the service said so, or no connection was established.
func commitError(err error) error {
	var netErr *net.OpError
	if errors.As(err, &netErr) && netErr.Op == "dial" {
		return errors.Wrapf(ErrUnavailable, "commit: %v", err)
	}
	if !connect.IsWireError(err) {
		return errors.Wrapf(ErrUnknown, "commit: %v", err)
	}
	switch connect.CodeOf(err) { //nolint:exhaustive // The protocol uses no other codes; their outcome is unknown.
	case connect.CodeAborted:
		return errors.Wrapf(ErrConflict, "commit: %s", conflictMessage(err))
	case connect.CodeOutOfRange, connect.CodeResourceExhausted:
		return errors.Wrapf(ErrTooLarge, "commit: %v", err)
	case connect.CodeUnavailable:
		return errors.Wrapf(ErrUnavailable, "commit: %v", err)
	default:
		return errors.Wrapf(ErrUnknown, "commit: %v", err)
	}
}

// conflictMessage returns the service's message without its code and without the text of ErrConflict, which the caller adds.
func conflictMessage(err error) string {
	var wireErr *connect.Error
	if !errors.As(err, &wireErr) {
		return err.Error()
	}
	return strings.TrimSuffix(wireErr.Message(), ": "+ErrConflict.Error())
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

func decodeRows(messages []*tablepb.Row) []Row {
	rows := make([]Row, 0, len(messages))
	for _, message := range messages {
		rows = append(rows, Row{
			Name: message.GetName(), Version: Version(message.GetVersion()), Value: message.GetValue(),
		})
	}
	return rows
}
