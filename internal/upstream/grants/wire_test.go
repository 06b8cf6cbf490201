package grants_test

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"go.uber.org/goleak"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/ownership/lease"
	"rosemarywick.example/rosemarywick/internal/upstream/grants"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

func newServer() *grants.Server {
	return &grants.Server{
		Guard: &lease.Guard{Service: "stock", Incarnation: "a-1", Partitions: 8}, Timer: timer.System{},
	}
}

// Guards against applying a malformed order, and against an error that does not name the fault.
func TestServerRefusesMalformedOrders(t *testing.T) {
	cases := []struct {
		name, method, body, message string
		status                      int
	}{
		{"not an order", "POST", `[]`, "cannot unmarshal", http.StatusBadRequest},
		{"unknown field", "POST", `{"epoch":1,"lease":5}`, `unknown field "lease"`, http.StatusBadRequest},
		{"content after the order", "POST", `{"epoch":1} {}`, "content after the message", http.StatusBadRequest},
		{"negative term", "POST", `{"renewal":{"reading":1,"term":-1}}`, "term must be positive", http.StatusBadRequest},
		{"too large", "POST", `{"service":"` + strings.Repeat("x", 9<<20) + `"}`, "exceeds", http.StatusBadRequest},
		{"not posted", "GET", ``, "POST", http.StatusMethodNotAllowed},
		{"valid", "POST", `{"service":"stock","epoch":1,"sequence":1}`, `"incarnation":"a-1"`, http.StatusOK},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			recorder := httptest.NewRecorder()
			newServer().ServeHTTP(recorder, httptest.NewRequest(test.method, grants.OrdersPath, strings.NewReader(test.body)))
			is.Equal(recorder.Code, test.status)
			is.True(strings.Contains(recorder.Body.String(), test.message))
		})
	}
}

// Guards against a field of an order or a report that is lost in encoding or decoding.
func TestClientRoundTrip(t *testing.T) {
	is := is.New(t)
	mux := http.NewServeMux()
	mux.Handle(grants.OrdersPath, newServer())
	server := httptest.NewServer(mux)
	defer server.Close()
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	client := &grants.Client{Transport: transport}
	address := netip.MustParseAddrPort(server.Listener.Addr().String())

	fence := fleet.Fence{Epoch: 4, Counter: 9}
	order := fleet.Order{
		Service: "stock", Epoch: 4, Sequence: 1, Incarnation: "a-1", WantHoldings: true,
		Renewal: &fleet.Renewal{LeaseDuration: 1 << 40}, HotKeys: &fleet.HotKeyList{List: []fleet.HotKey{{Key: 1<<63 + 3, Partition: 8}}},
		Grants: []fleet.Grant{{Partition: 3, Fence: fence}, {Partition: 8, Fence: fence, Key: 1<<63 + 3}},
	}
	report, err := client.Send(t.Context(), address, order)
	is.NoErr(err)
	is.Equal(report.Holdings, order.Grants)
	is.Equal(report.HighestEpoch, fleet.Epoch(4))
	is.True(report.LeaseRemaining > 0)

	order = fleet.Order{Service: "stock", Epoch: 4, Sequence: 2, Incarnation: "a-1", Revokes: []fleet.PartitionID{3}}
	report, err = client.Send(t.Context(), address, order)
	is.NoErr(err)
	is.Equal(report.Released, []fleet.PartitionID{3})
	order.Incarnation = "a-2"
	report, err = client.Send(t.Context(), address, order)
	is.NoErr(err)
	is.Equal(report.Refusal, fleet.RefusalSequence)

	server.Close()
	_, err = client.Send(t.Context(), address, order)
	is.True(errors.Is(err, grants.ErrNoReport))
}
