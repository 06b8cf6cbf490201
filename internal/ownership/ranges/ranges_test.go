package ranges_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/ownership/ranges"
)

func owner(id int, incarnation string) ranges.Owner {
	return ranges.Owner{ID: fleet.UpstreamID(fmt.Sprint("s", id)), Incarnation: fleet.Incarnation(incarnation)}
}

func servers(ids ...int) []ranges.Server {
	var result []ranges.Server
	for _, id := range ids {
		result = append(result, ranges.Server{Owner: owner(id, "1"), Capacity: 1, Utilization: 1})
	}
	return result
}

// newPlanner returns a planner to which no grant and no release is known.
func newPlanner(servers []ranges.Server, load *ranges.Load) *ranges.Planner {
	return &ranges.Planner{
		Servers: servers, Load: load, Rebalance: true, Now: time.Second,
		GrantsExpireAt: func(ranges.Owner) time.Duration { return time.Minute },
		Released:       func(ranges.Assignment, ranges.FormerOwner) bool { return false },
		Granted:        func(ranges.Assignment) bool { return false },
		Refused:        func(ranges.Assignment) bool { return false },
		Ended:          func(ranges.Owner) bool { return false },
	}
}

// keyCounts returns the number of keys that each server owns.
func keyCounts(table *ranges.Table) map[fleet.UpstreamID]int {
	result := make(map[fleet.UpstreamID]int)
	for _, assignment := range table.Assignments {
		result[assignment.Owner.ID] += assignment.Range.Size()
	}
	return result
}

// withoutFormerOwners returns the table as it is once all moves have completed.
func withoutFormerOwners(table *ranges.Table) *ranges.Table {
	next := table.Clone()
	for i := range next.Assignments {
		next.Assignments[i].FormerOwners = nil
	}
	return next
}

// Guards against an initial table in which a server has too few keys or a range has former owners.
func TestInitialTable(t *testing.T) {
	is := is.New(t)
	table, changed := newPlanner(servers(1, 2, 3, 4, 5), &ranges.Load{}).Next(&ranges.Table{})
	is.True(changed)
	is.Equal(len(table.Assignments), 5)
	for id, count := range keyCounts(table) {
		if count < 13000 || count > 13300 {
			t.Errorf("%s holds %d keys", id, count)
		}
	}
	for _, assignment := range table.Assignments {
		is.Equal(len(assignment.FormerOwners), 0)
		is.Equal(assignment.Fence, ranges.Fence(1))
	}
	_, changed = newPlanner(servers(1, 2, 3, 4, 5), &ranges.Load{}).Next(table)
	is.True(!changed) // nothing moves while servers and load are unchanged
}

// Guards against moving keys of servers that stay, and against a move that drops the former owner or reuses its fence.
func TestServerLeaves(t *testing.T) {
	is := is.New(t)
	before, _ := newPlanner(servers(1, 2, 3, 4), &ranges.Load{}).Next(&ranges.Table{})
	after, changed := newPlanner(servers(1, 2, 4), &ranges.Load{}).Next(before)
	is.True(changed)
	for _, assignment := range after.Assignments {
		old := before.Locate(assignment.Range.First)
		if old.Owner.ID != "s3" {
			is.Equal(assignment, *old)
			continue
		}
		is.True(assignment.Owner.ID != "s3")
		is.True(assignment.Fence > old.Fence)
		is.Equal(assignment.FormerOwners, []ranges.FormerOwner{{Owner: old.Owner, GrantsExpireAt: time.Minute}})
	}
}

// Guards against moves caused by sampling noise: of 130 servers with about five requests each, a few have almost none in every
// sample and must not be given keys for that.
func TestNoMovesFromNoise(t *testing.T) {
	is := is.New(t)
	var ids []int
	for id := range 130 {
		ids = append(ids, id)
	}
	table, _ := newPlanner(servers(ids...), &ranges.Load{}).Next(&ranges.Table{})
	random := rand.New(rand.NewPCG(1, 1))
	moved := 0
	for range 40 {
		counts := make(ranges.BucketCounts)
		for range 5 * len(ids) {
			counts.Add(fleet.NumericKey(random.IntN(int(fleet.MaxNumericKey) + 1)))
		}
		load := &ranges.Load{}
		load.AddReport(time.Unix(0, 0), counts)
		next, changed := newPlanner(servers(ids...), load).Next(table)
		if changed {
			moved++
		}
		table = withoutFormerOwners(next)
	}
	is.True(moved <= 4) // noise may cause a move in at most one plan of ten
}

// Guards against a hot key whose server keeps its other keys because a large fleet reports few requests for each server.
func TestHotKeyInLargeFleet(t *testing.T) {
	is := is.New(t)
	var ids []int
	for id := range 130 {
		ids = append(ids, id)
	}
	table, _ := newPlanner(servers(ids...), &ranges.Load{}).Next(&ranges.Table{})
	counts := make(ranges.BucketCounts)
	for key := 0; key <= int(fleet.MaxNumericKey); key += 128 {
		counts.Add(fleet.NumericKey(key))
	}
	for range 100 {
		counts.Add(30000)
	}
	load := &ranges.Load{}
	load.AddReport(time.Unix(0, 0), counts)
	before := table.Locate(30000).Range.Size()
	next, _ := newPlanner(servers(ids...), load).Next(table)
	is.True(next.Locate(30000).Range.Size() < before)
}

// Guards against a joining server that gets no keys because the load of the most loaded server is on one key.
func TestServerJoinsDuringHotKey(t *testing.T) {
	is := is.New(t)
	before, _ := newPlanner(servers(1, 2, 3), &ranges.Load{}).Next(&ranges.Table{})
	plan := newPlanner(servers(1, 2, 3, 4), loadOn(1000, 1, 4000))
	plan.Rebalance = false
	after, _ := plan.Next(before)
	is.True(keyCounts(after)["s4"] > 1000)
}

// Guards against a joining server that gets no keys.
func TestServerJoins(t *testing.T) {
	is := is.New(t)
	before, _ := newPlanner(servers(1, 2, 3), &ranges.Load{}).Next(&ranges.Table{})
	after, _ := newPlanner(servers(1, 2, 3, 4), &ranges.Load{}).Next(before)
	is.True(keyCounts(after)["s4"] > 8000)
}

// Guards against granting keys to a restarted server with the fence that its previous process had.
func TestServerRestarts(t *testing.T) {
	is := is.New(t)
	before, _ := newPlanner(servers(1, 2), &ranges.Load{}).Next(&ranges.Table{})
	list := servers(1, 2)
	list[0].Owner = owner(1, "2")
	after, _ := newPlanner(list, &ranges.Load{}).Next(before)
	for _, assignment := range after.Assignments {
		old := before.Locate(assignment.Range.First)
		is.Equal(assignment.Range, old.Range)
		if assignment.Owner.ID == "s1" {
			is.Equal(assignment.Owner.Incarnation, fleet.Incarnation("2"))
			is.True(assignment.Fence > old.Fence)
		} else {
			is.Equal(assignment, *old)
		}
	}
}

// Guards against former owners that are removed before their grants have expired, or are never removed.
func TestFormerOwnersAreRemoved(t *testing.T) {
	former := ranges.FormerOwner{Owner: owner(2, "1"), GrantsExpireAt: time.Minute}
	table := &ranges.Table{Fence: 2, Assignments: []ranges.Assignment{
		{Range: fleet.KeyRange{Last: fleet.MaxNumericKey}, Owner: owner(1, "1"), Fence: 2, FormerOwners: []ranges.FormerOwner{former}},
	}}
	cases := []struct {
		name              string
		now               time.Duration
		released, granted bool
		left              int
	}{
		{"neither released nor granted", time.Second, false, false, 1},
		{"released, not granted yet", time.Second, true, false, 1},
		{"granted, not released", time.Second, false, true, 1},
		{"released and granted", time.Second, true, true, 0},
		{"expired", time.Minute, false, false, 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			plan := newPlanner(servers(1), &ranges.Load{})
			plan.Now = test.now
			plan.Released = func(ranges.Assignment, ranges.FormerOwner) bool { return test.released }
			plan.Granted = func(ranges.Assignment) bool { return test.granted }
			next, _ := plan.Next(table)
			is.New(t).Equal(len(next.Assignments[0].FormerOwners), test.left)
		})
	}
}

// Guards against an owner that loses a range without becoming a former owner, because it is listed as one that has released
// the range: it was granted the range again after that release.
func TestOwnerIsListedAsFormerOwner(t *testing.T) {
	is := is.New(t)
	table := &ranges.Table{Fence: 3, Assignments: []ranges.Assignment{{
		Range: fleet.KeyRange{Last: fleet.MaxNumericKey}, Owner: owner(1, "1"), Fence: 3,
		FormerOwners: []ranges.FormerOwner{{Owner: owner(1, "1"), GrantsExpireAt: time.Minute}, {Owner: owner(2, "1"), GrantsExpireAt: time.Minute}},
	}}}
	plan := newPlanner(servers(3), &ranges.Load{})
	plan.Released = func(ranges.Assignment, ranges.FormerOwner) bool { return true }
	next, _ := plan.Next(table)
	is.Equal(next.Assignments[0].FormerOwners, []ranges.FormerOwner{{Owner: owner(1, "1"), GrantsExpireAt: time.Minute}})
}

// loadOn returns a load of 500 evenly spread requests, plus count requests on width adjacent keys starting at first.
func loadOn(first fleet.NumericKey, width, count int) *ranges.Load {
	load := &ranges.Load{}
	counts := make(ranges.BucketCounts)
	for i := range 500 {
		counts.Add(fleet.NumericKey(i * 131))
	}
	for i := range count {
		counts.Add(first + fleet.NumericKey(i%width))
	}
	load.AddReport(time.Unix(1, 0), counts)
	return load
}

// Guards against hot keys that stay on one server, and against moving keys away from servers with spare capacity.
func TestHotKeysMove(t *testing.T) {
	is := is.New(t)
	before, _ := newPlanner(servers(1, 2, 3, 4, 5), &ranges.Load{}).Next(&ranges.Table{})
	load := loadOn(1000, 200, 500)
	idle := servers(1, 2, 3, 4, 5)
	for i := range idle {
		idle[i].Utilization = 0.3
	}
	_, changed := newPlanner(idle, load).Next(before)
	is.True(!changed)

	table := before
	for range 4 {
		next, _ := newPlanner(servers(1, 2, 3, 4, 5), load).Next(table)
		table = withoutFormerOwners(next)
	}
	load.BuildPrefixSums()
	sums := make(map[fleet.UpstreamID]float64)
	for _, assignment := range table.Assignments {
		sums[assignment.Owner.ID] += load.RangeSum(assignment.Range)
	}
	for id, sum := range sums {
		if sum > 300 {
			t.Errorf("%s has %.0f of 1,000 requests, an even share is 200", id, sum)
		}
	}
}

// Guards against malformed tables that Parse accepts.
func TestParse(t *testing.T) {
	for name, text := range map[string]string{
		"empty":             "",
		"gap":               `{"fence":1,"holdings":[{"range":{"First":0,"Last":9},"fence":1},{"range":{"First":20,"Last":65535},"fence":1}]}`,
		"last keys missing": `{"fence":1,"holdings":[{"range":{"First":0,"Last":9},"fence":1}]}`,
		"fence too high":    `{"fence":1,"holdings":[{"range":{"First":0,"Last":65535},"fence":2}]}`,
	} {
		t.Run(name, func(t *testing.T) {
			_, err := ranges.Parse([]byte(text))
			is.New(t).True(err != nil)
		})
	}
	is := is.New(t)
	table, _ := newPlanner(servers(1, 2, 3), &ranges.Load{}).Next(&ranges.Table{})
	read, err := ranges.Parse(table.Encode())
	is.NoErr(err)
	is.Equal(read, table)
}

// Guards, under random changes of servers and load, against keys without an assignment, a new owner without a higher fence,
// and a previous owner that is missing from the former owners.
func TestTableInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := &ranges.Table{}
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			var list []ranges.Server
			for id := range 6 {
				if rapid.IntRange(0, 3).Draw(t, "present") > 0 {
					incarnation := fmt.Sprint(rapid.IntRange(1, 2).Draw(t, "run"))
					list = append(list, ranges.Server{
						Owner: owner(id, incarnation), Capacity: float64(rapid.IntRange(1, 4).Draw(t, "capacity")), Utilization: 1,
					})
				}
			}
			load := loadOn(fleet.NumericKey(rapid.IntRange(0, 60000).Draw(t, "hot")), 100, rapid.IntRange(0, 900).Draw(t, "count"))
			next, _ := newPlanner(list, load).Next(table)
			if _, err := ranges.Parse(next.Encode()); err != nil {
				t.Fatal(err)
			}
			checkOwnerChanges(t, table, next)
			table = next
		}
	})
}

// checkOwnerChanges fails if a key has a new owner without a higher fence, or its previous owner is not a former owner.
func checkOwnerChanges(t *rapid.T, before, after *ranges.Table) {
	for _, assignment := range after.Assignments {
		for _, old := range before.Assignments {
			if !old.Range.Overlaps(assignment.Range) || old.Owner.SameProcess(assignment.Owner) || old.Owner.ID == "" {
				continue
			}
			if assignment.Fence <= before.Fence {
				t.Fatalf("%s moves from %v to %v with fence %d", assignment.Range, old.Owner, assignment.Owner, assignment.Fence)
			}
			// When a new process of a server is registered, the previous one has ended. It is not a former owner, the new one may be.
			isPrevious := func(former ranges.FormerOwner) bool { return former.ID == old.Owner.ID }
			if old.Owner.ID != assignment.Owner.ID && !slices.ContainsFunc(assignment.FormerOwners, isPrevious) {
				t.Fatalf("%s does not list %v as a former owner", assignment.Range, old.Owner)
			}
		}
	}
}
