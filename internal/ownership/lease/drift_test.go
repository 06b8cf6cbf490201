package lease_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/ownership/lease"
)

// Guards against a lease that the assigner considers expired while the server still uses it, because the server's clock runs
// slow and the assigner's fast, each by the maximum drift. Without the margin in MaxLeaseDuration, the tracker reports the
// partition as free while the guard holds it.
func TestDriftMargin(t *testing.T) {
	const drift = 0.01
	for _, rates := range []struct{ server, assigner float64 }{{1 - drift, 1 + drift}, {1 + drift, 1 - drift}, {1, 1}} {
		t.Run(fmt.Sprint(rates), func(t *testing.T) {
			is := is.New(t)
			start := time.Unix(0, 0)
			// serverClock and assignerClock return what the clocks show after an amount of true time.
			serverClock := func(elapsed time.Duration) time.Duration {
				return time.Second + time.Duration(float64(elapsed)*rates.server)
			}
			assignerClock := func(elapsed time.Duration) time.Time {
				return start.Add(time.Duration(float64(elapsed) * rates.assigner))
			}
			member := lease.Member{Server: "s", Incarnation: "1"}
			tracker := &lease.Tracker{LeaseDuration: term, MaxClockDrift: drift}
			tracker.Begin([]lease.Member{member}, []lease.Member{member})
			guard := &lease.Guard{Service: "stock", Incarnation: "1", Partitions: 8}
			order := fleet.Order{Service: "stock", Epoch: 1, Incarnation: "1"}
			for sequence := range uint64(3) { // the first orders establish the majority that a renewal requires
				order.Sequence = fleet.Sequence(sequence + 1)
				sent := tracker.RecordSent(member, order.Grants)
				report := guard.Apply(serverClock(0), order)
				tracker.RecordAccepted(assignerClock(0), member, sent, report.ClockReading)
				order.Renewal, order.Grants = tracker.NextRenewal(member), []fleet.Grant{{Partition: 7}}
			}
			is.True(guard.Admits(serverClock(0), 7))
			expired, lastAdmitted := time.Duration(0), time.Duration(0)
			for elapsed := time.Duration(0); elapsed < 2*term; elapsed += term / 1000 {
				if guard.Admits(serverClock(elapsed), 7) {
					lastAdmitted = elapsed
				}
				if expired == 0 && len(tracker.ExpireLeases(assignerClock(elapsed))) > 0 {
					expired = elapsed
				}
			}
			is.True(lastAdmitted > 0 && expired > lastAdmitted) // the assigner must not be the first to see the lease expire
		})
	}
}
