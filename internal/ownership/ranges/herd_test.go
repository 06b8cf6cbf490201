package ranges_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/ownership/ranges"
)

// Pattern: the servers of a failure domain come back cold at the same moment and own no keys, while all requests go to the others.
// Guards against a cold server that gets more keys than its limit allows, also while the others are overloaded, against all of them
// getting their keys in one plan, and against cold servers that stay idle.
func TestHerdOfColdServersGetsKeysInSteps(t *testing.T) {
	const servers, cold, slots, rate = 60, 15, 3, 4.6
	const serviceTime = 110 * time.Millisecond
	for name, requests := range map[string]float64{"usual load": 700, "others are overloaded": 3000} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := hotRange{servers: servers, slots: slots, serviceTime: serviceTime, requests: requests, interval: 500 * time.Millisecond}
			list := h.list()
			warm := list[cold:]
			table, _ := newPlanner(warm, &ranges.Load{}).Next(&ranges.Table{})
			table = withoutFormerOwners(table)
			random, load := rand.New(rand.NewPCG(9, 9)), &ranges.Load{}
			total, most := 0.0, 0.0
			for plan := range 6 { // for as long as servers are cold
				counts := ranges.BucketCounts{}
				for range int(requests * h.interval.Seconds()) {
					counts.Add(fleet.NumericKey(random.IntN(int(fleet.MaxNumericKey) + 1)))
				}
				load.AddReport(time.Unix(0, int64(plan)*int64(h.interval)), counts)
				load.BuildPrefixSums()
				for i := range list {
					ownLoad := loadsOf(table, load)[list[i].ID] * math.Ln2 // requests a second, since the half-life is a second
					list[i].Utilization = ownLoad * serviceTime.Seconds() / slots
					if i < cold {
						list[i].Limited, list[i].MaxRate = true, 0.85*rate
						list[i].Capacity = 0.85 * rate * serviceTime.Seconds()
						list[i].Utilization = ownLoad / rate
					} else {
						list[i].Capacity = slots
					}
				}
				planner := newPlanner(list, load)
				planner.Rebalance = true
				next, _ := planner.Next(table)
				table = withoutFormerOwners(next)
				total = 0
				owning := 0
				for i := range cold {
					planned := keysOf(table, list[i].ID) * requests // the true rate; the measured one varies by chance
					total += planned
					if planned > 0 {
						owning++
					}
					most = max(most, planned)
				}
				if plan == 0 {
					is.True(owning < cold) // in steps
				}
			}
			t.Logf("cold servers get %.1f requests a second of %.1f, one %.1f of %v", total, float64(cold)*rate, most, rate)
			is.True(most <= 1.5*rate)                 // the load of a server is known from about seven requests
			is.True(total >= 0.25*float64(cold)*rate) // their share of the usual load is half of their limit
		})
	}
}

// keysOf returns the part of all keys that a server owns.
func keysOf(table *ranges.Table, id fleet.UpstreamID) float64 {
	sum := 0
	for _, assignment := range table.Assignments {
		if assignment.Owner.ID == id {
			sum += int(assignment.Range.Last-assignment.Range.First) + 1
		}
	}
	return float64(sum) / float64(int(fleet.MaxNumericKey)+1)
}
