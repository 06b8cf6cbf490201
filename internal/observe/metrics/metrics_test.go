package metrics_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"rosemarywick.example/rosemarywick/internal/core/cause"
	"rosemarywick.example/rosemarywick/internal/core/document"
	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/observe/metrics"
)

// Guards against label values taken from requests, with which callers could use up memory until the daemon is restarted.
func TestLabelValuesAreBounded(t *testing.T) {
	is := is.New(t)
	m := metrics.New(timer.System{})
	doc := &document.Document{Services: []document.Service{{Name: "catalogue"}}}
	for i := range 2 * metrics.MaxTenants {
		doc.Tenants = append(doc.Tenants, document.Tenant{Name: fleet.TenantName(fmt.Sprintf("t%d", i)), Share: 1})
	}
	m.Configure(doc)
	for i := range 1000 {
		m.Observe(&metrics.Request{
			Service: "catalogue", Tenant: fleet.TenantName(fmt.Sprintf("t%d", i)), Outcome: cause.Complete, Cause: cause.OK,
		})
		m.Observe(&metrics.Request{Service: fleet.ServiceName(fmt.Sprintf("s%d", i)), Outcome: cause.NotRun})
	}
	count, err := testutil.GatherAndCount(m.Registry(), "rosemarywick_requests_total")
	is.NoErr(err)
	is.Equal(count, metrics.MaxTenants+2) // one for each tenant with its own label, one for other tenants, one for other services
	m.ObserveAssignment("catalogue", fleet.Assignment{})
	m.Configure(&document.Document{})
	for name, want := range map[string]int{"rosemarywick_requests_total": 1, "rosemarywick_partitions_moved_total": 0} {
		count, err = testutil.GatherAndCount(m.Registry(), name)
		is.NoErr(err)
		is.Equal(count, want) // series of undeclared services and tenants are deleted
	}
}

// Guards against counting a phase that did not occur, or omitting one that did.
func TestPhases(t *testing.T) {
	is := is.New(t)
	m := metrics.New(timer.System{})
	m.Observe(&metrics.Request{TotalTime: time.Millisecond})
	count, err := testutil.GatherAndCount(m.Registry(), "rosemarywick_request_seconds")
	is.NoErr(err)
	is.Equal(count, 2) // queue and total
	m.Observe(&metrics.Request{ConnectTime: time.Millisecond, UpstreamTime: time.Millisecond, TotalTime: time.Millisecond})
	count, err = testutil.GatherAndCount(m.Registry(), "rosemarywick_request_seconds")
	is.NoErr(err)
	is.Equal(count, 4)
}

// Guards against an imbalance that ignores idle owners or divides by zero.
func TestImbalance(t *testing.T) {
	is := is.New(t)
	is.Equal(metrics.Imbalance(nil), 1.0)
	is.Equal(metrics.Imbalance(map[fleet.UpstreamID]float64{"a": 0, "b": 0}), 1.0)
	is.Equal(metrics.Imbalance(map[fleet.UpstreamID]float64{"a": 5, "b": 5}), 1.0)
	is.Equal(metrics.Imbalance(map[fleet.UpstreamID]float64{"a": 6, "b": 0, "c": 3}), 2.0)
}

// Guards against unavailable time and churn that omit a planned move, count a repeated assignment or accept a lower fence.
func TestOwnership(t *testing.T) {
	type step struct {
		seconds    time.Duration
		assignment fleet.Assignment
	}
	assign := func(seconds time.Duration, partition fleet.PartitionID, counter uint64, owner fleet.UpstreamID, moving bool) step {
		return step{seconds, fleet.Assignment{
			Partition: partition, Owner: owner, Moving: moving, Fence: fleet.Fence{Epoch: 1, Counter: counter},
		}}
	}
	for _, test := range []struct {
		name        string
		steps       []step
		moved       int
		unavailable float64
	}{
		{"same owner", []step{assign(0, 1, 1, "a", false), assign(9, 1, 1, "a", false)}, 0, 0},
		{"planned move", []step{assign(0, 1, 1, "a", false), assign(1, 1, 2, "a", true), assign(2, 1, 3, "b", false)}, 1, 2},
		{"owner lost", []step{assign(0, 1, 1, "a", false), assign(1, 1, 2, "", false), assign(3, 1, 3, "a", false)}, 0, 3},
		{"lower fence", []step{assign(0, 1, 5, "a", false), assign(1, 1, 4, "", false), assign(3, 1, 5, "a", false)}, 0, 0},
		{"two partitions", []step{
			assign(0, 1, 1, "", false), assign(1, 2, 1, "", false), assign(1, 1, 2, "b", false),
		}, 0, 4}, // one partition for 1 s, both for 1 s, and one for the final second
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			clock := timer.NewManual(time.Unix(0, 0))
			m := metrics.New(clock)
			for _, step := range test.steps {
				clock.Advance(step.seconds * time.Second)
				m.ObserveAssignment("catalogue", step.assignment)
			}
			clock.Advance(time.Second)
			want := fmt.Sprintf(`# HELP rosemarywick_partitions_moved_total Partitions whose owner has changed.
# TYPE rosemarywick_partitions_moved_total counter
rosemarywick_partitions_moved_total{service="catalogue"} %d
# HELP rosemarywick_unavailable_partition_seconds_total Time for which partitions had no owner, added up over the partitions.
# TYPE rosemarywick_unavailable_partition_seconds_total counter
rosemarywick_unavailable_partition_seconds_total{service="catalogue"} %v
`, test.moved, test.unavailable)
			is.NoErr(testutil.GatherAndCompare(m.Registry(), strings.NewReader(want),
				"rosemarywick_partitions_moved_total", "rosemarywick_unavailable_partition_seconds_total"))
		})
	}
}

// Guards against a removed partition that counts as unavailable forever.
func TestForgetPartition(t *testing.T) {
	is := is.New(t)
	m := metrics.New(timer.System{})
	m.ObserveAssignment("catalogue", fleet.Assignment{Partition: 5000})
	m.ForgetPartition("catalogue", 5000)
	is.NoErr(testutil.GatherAndCompare(m.Registry(), strings.NewReader(
		`# HELP rosemarywick_partitions_without_owner Partitions that have no owner at present.
# TYPE rosemarywick_partitions_without_owner gauge
rosemarywick_partitions_without_owner{service="catalogue"} 0
`), "rosemarywick_partitions_without_owner"))
}
