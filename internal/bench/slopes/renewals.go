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

// renewalInterval is the interval at which an assigner sends orders to each server.
const renewalInterval = 80 * time.Millisecond

// countingConn is the assigner's end of a connection. It counts the bytes sent and received.
type countingConn struct {
	net.Conn

	sent, received *atomic.Int64
}

// Read reads from the connection and counts the bytes.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(int64(n))
	return n, err
}

// measureRenewals measures the traffic and processor time of orders that only renew a lease. It sends them one after the other to
// a lease guard over loopback.
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
		return nil, errors.Wrap(err, "slopes: parse the address of the server")
	}
	const orders = 5000
	clockReading := time.Duration(0)
	cpuBefore := cpuTime()
	for i := range orders {
		report, err := client.Send(ctx, address, fleet.Order{
			Service: "catalogue", Epoch: 1000, Sequence: fleet.Sequence(i + 1), Incarnation: "c8f2a91b7d3e",
			Renewal: &fleet.Renewal{ClockReading: clockReading, LeaseDuration: 500 * time.Millisecond},
		})
		if err != nil {
			return nil, err
		}
		clockReading = report.ClockReading
	}
	cpuUsed := cpuTime() - cpuBefore
	ordersPerSecond := float64(time.Second) / float64(renewalInterval)
	return []UnitCost{
		{Name: "renewal of one server, sent by the assigner", Value: float64(sent.Load()) / orders * ordersPerSecond, Unit: "bytes/s"},
		{
			Name:  "renewal of one server, received by the assigner",
			Value: float64(received.Load()) / orders * ordersPerSecond, Unit: "bytes/s",
		},
		{
			Name:  "renewal of one server, both sides together",
			Value: float64(cpuUsed) / orders * ordersPerSecond / float64(time.Second) * 100, Unit: "% of a core",
		},
	}, nil
}
