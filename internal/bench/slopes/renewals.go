package slopes

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/ownership/lease"
	"rosemarywick.example/rosemarywick/internal/upstream/grants"
)

// round is the interval of the orders to each server, as the assigner uses it.
const renewalInterval = 80 * time.Millisecond

// meter counts the bytes of a connection on the side of the assigner.
type countingConn struct {
	net.Conn

	sent, received *atomic.Int64
}

// Read counts what was received.
func (m countingConn) Read(p []byte) (int, error) {
	n, err := m.Conn.Read(p)
	m.received.Add(int64(n))
	return n, err
}

// Write counts what was sent.
func (m countingConn) Write(p []byte) (int, error) {
	n, err := m.Conn.Write(p)
	m.sent.Add(int64(n))
	return n, err
}

// renewals sends orders that only renew, one after the other, to a guard over loopback.
func measureRenewals(ctx context.Context) ([]UnitCost, error) {
	guard := &lease.Guard{Service: "catalogue", Incarnation: "c8f2a91b7d3e", Partitions: partitions}
	server := httptest.NewServer(&grants.Server{Guard: guard, Timer: timer.System{}})
	defer server.Close()
	var sent, received atomic.Int64
	transport := &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, network, address)
		return countingConn{Conn: conn, sent: &sent, received: &received}, err
	}}
	defer transport.CloseIdleConnections()
	client := &grants.Client{Transport: transport}
	address, err := netip.ParseAddrPort(server.Listener.Addr().String())
	if err != nil {
		return nil, errors.Wrap(err, "address of the server")
	}
	const orders = 5000
	reading := time.Duration(0)
	before := cpuTime()
	for i := range orders {
		report, err := client.Send(ctx, address, fleet.Order{
			Service: "catalogue", Epoch: 1000, Sequence: fleet.Sequence(i + 1), Incarnation: "c8f2a91b7d3e",
			Renewal: &fleet.Renewal{ClockReading: reading, LeaseDuration: 500 * time.Millisecond},
		})
		if err != nil {
			return nil, err
		}
		reading = report.ClockReading
	}
	spent := cpuTime() - before
	perSecond := float64(time.Second) / float64(renewalInterval)
	return []UnitCost{
		{Name: "renewal of one server, sent by the assigner", Value: float64(sent.Load()) / orders * perSecond, Unit: "bytes/s"},
		{
			Name:  "renewal of one server, received by the assigner",
			Value: float64(received.Load()) / orders * perSecond, Unit: "bytes/s",
		},
		{
			Name:  "renewal of one server, both sides together",
			Value: float64(spent) / orders * perSecond / float64(time.Second) * 100, Unit: "% of a core",
		},
	}, nil
}
