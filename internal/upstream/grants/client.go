package grants

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"

	"github.com/cockroachdb/errors"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// ErrUnanswered means that no valid report was received for an order. The server may have applied the order.
var ErrNoReport = errors.New("grants: order not answered")

// Client sends orders to fenced servers over HTTP.
type Client struct {
	// Transport carries the requests and pools the connections. Set it before first use.
	Transport http.RoundTripper
}

// Send sends an order to the server at address and returns its report.
func (c *Client) Send(ctx context.Context, address netip.AddrPort, order fleet.Order) (fleet.Report, error) {
	body, err := json.Marshal(encodeOrder(order))
	if err != nil {
		return fleet.Report{}, errors.Wrap(err, "grants: encode order")
	}
	url := fmt.Sprintf("http://%s%s", address, OrdersPath)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return fleet.Report{}, errors.Wrap(err, "grants: make request")
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.Transport.RoundTrip(request)
	if err != nil {
		return fleet.Report{}, errors.Mark(errors.Wrapf(err, "grants: send order to %s", address), ErrNoReport)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, 512))
		return fleet.Report{}, errors.Wrapf(ErrNoReport, "%s: status %d: %s", address, response.StatusCode, text)
	}
	var report wireReport
	if err := decode(response.Body, &report); err != nil {
		return fleet.Report{}, errors.Mark(errors.Wrapf(err, "grants: report of %s", address), ErrNoReport)
	}
	return decodeReport(report), nil
}
