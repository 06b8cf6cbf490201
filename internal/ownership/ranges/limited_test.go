package ranges_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/ownership/ranges"
)

// Pattern: some servers in need name a limit while others are free. Guards against keys that stay at a server which takes fewer
// requests than they get, so that these are refused although other servers have room, and against keys that move back and forth.
func TestKeysLeaveLimitedServers(t *testing.T) {
	is := is.New(t)
	h := hotRange{servers: 14, slots: 6, serviceTime: 220 * time.Millisecond, requests: 190, interval: time.Second}
	_, table := h.run(20*time.Second, 0)
	list, load := h.list(), &ranges.Load{}
	counts := ranges.BucketCounts{}
	for key := 0; key < 65536; key += 100 { // the same load on all keys
		counts.Add(fleet.NumericKey(key))
	}
	load.AddReport(time.Unix(1000, 0), counts)
	load.BuildPrefixSums()
	before := loadsOf(table, load)
	const limited = 4
	for i := range limited { // half of what they get
		list[i].Limited, list[i].Capacity, list[i].Utilization = true, list[i].Capacity*0.25, 2
	}
	moved := 0
	for range 10 {
		next, changed := newPlanner(list, load).Next(withoutFormerOwners(table))
		table = withoutFormerOwners(next)
		if changed {
			moved++
		}
	}
	after := loadsOf(table, load)
	for i := range limited {
		is.True(after[list[i].ID] <= 0.6*before[list[i].ID])
	}
	is.True(moved <= 4) // the plan settles
}

// loadsOf returns the load of each owner.
func loadsOf(table *ranges.Table, load *ranges.Load) map[fleet.UpstreamID]float64 {
	result := map[fleet.UpstreamID]float64{}
	for _, assignment := range table.Assignments {
		result[assignment.Owner.ID] += load.RangeSum(assignment.Range)
	}
	return result
}

// Guards against hot keys that stay on one server because each of them exceeds what any other server can spare, and against one that
// moves on and on.
func TestHotKeysAreSeparated(t *testing.T) {
	is := is.New(t)
	list := servers(1, 2, 3, 4, 5, 6, 7, 8, 9, 10)
	table, _ := newPlanner(list, &ranges.Load{}).Next(&ranges.Table{})
	load, moved := loadOn(1000, 3, 1500), 0
	for range 10 {
		next, changed := newPlanner(list, load).Next(table)
		table = withoutFormerOwners(next)
		if changed {
			moved++
		}
	}
	owners := make(map[fleet.UpstreamID]bool)
	for key := fleet.NumericKey(1000); key < 1003; key++ {
		owners[table.Locate(key).Owner.ID] = true
	}
	is.Equal(len(owners), 3)
	is.True(moved <= 3) // the plan settles
}
