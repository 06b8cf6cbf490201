package lease_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/ownership/lease"
)

// Guards against a lease that counts as ended while the server still serves by it, because the server's clock runs slow and
// the assigner's fast, each by as much as the drift allows. Without the margin of the bound, the ledger calls the partition
// free while the guard holds it.
func TestDriftMargin(t *testing.T) {
	const drift = 0.01
	for _, rates := range []struct{ server, assigner float64 }{{1 - drift, 1 + drift}, {1 + drift, 1 - drift}, {1, 1}} {
		t.Run(fmt.Sprint(rates), func(t *testing.T) {
			is := is.New(t)
			start := time.Unix(0, 0)
			// server and assigner return what the clocks show after some true time.
			server := func(passed time.Duration) time.Duration {
				return time.Second + time.Duration(float64(passed)*rates.server)
			}
			assigner := func(passed time.Duration) time.Time {
				return start.Add(time.Duration(float64(passed) * rates.assigner))
			}
			member := lease.Member{Server: "s", Incarnation: "1"}
			ledger := &lease.Tracker{Term: term, Drift: drift}
			ledger.Begin([]lease.Member{member}, []lease.Member{member})
			guard := &lease.Guard{Service: "stock", Incarnation: "1", Partitions: 8}
			order := fleet.Order{Service: "stock", Epoch: 1, Incarnation: "1"}
			for sequence := range uint64(3) { // the first orders give the evidence for the renewal
				order.Sequence = fleet.Sequence(sequence + 1)
				sent := ledger.RecordSent(member, order.Grants)
				report := guard.Apply(server(0), order)
				ledger.RecordAccepted(assigner(0), member, sent, report.ClockReading)
				order.Renewal, order.Grants = ledger.NextRenewal(member), []fleet.Grant{{Partition: 7}}
			}
			is.True(guard.Admits(server(0), 7))
			freed, served := time.Duration(0), time.Duration(0)
			for passed := time.Duration(0); passed < 2*term; passed += term / 1000 {
				if guard.Admits(server(passed), 7) {
					served = passed
				}
				if freed == 0 && len(ledger.ExpireLeases(assigner(passed))) > 0 {
					freed = passed
				}
			}
			is.True(served > 0 && freed > served) // free only once the server does not serve by the lease any more
		})
	}
}
