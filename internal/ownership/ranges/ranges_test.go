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

func owner(id int, run string) ranges.Owner {
	return ranges.Owner{ID: fleet.UpstreamID(fmt.Sprint("s", id)), Incarnation: fleet.Incarnation(run)}
}

func servers(ids ...int) []ranges.Server {
	var result []ranges.Server
	for _, id := range ids {
		result = append(result, ranges.Server{Owner: owner(id, "1"), Capacity: 1, Utilization: 1})
	}
	return result
}

// planner knows nothing of releases and grants.
func planner(list []ranges.Server, load *ranges.Load) *ranges.Planner {
	return &ranges.Planner{
		Servers: list, Load: load, Rebalance: true, Now: time.Second,
		GrantsExpireAt: func(ranges.Owner) time.Duration { return time.Minute },
		Released:       func(ranges.Assignment, ranges.FormerOwner) bool { return false },
		Granted:        func(ranges.Assignment) bool { return false },
		Refused:        func(ranges.Assignment) bool { return false },
		Ended:          func(ranges.Owner) bool { return false },
	}
}

// keys returns the number of keys of each server.
func keys(table *ranges.Table) map[fleet.UpstreamID]int {
	result := make(map[fleet.UpstreamID]int)
	for _, one := range table.Assignments {
		result[one.Owner.ID] += one.Range.Size()
	}
	return result
}

// afterMoves is the table after all moves.
func afterMoves(table *ranges.Table) *ranges.Table {
	next := table.Clone()
	for i := range next.Assignments {
		next.Assignments[i].FormerOwners = nil
	}
	return next
}

// Guards against a first table that leaves servers without keys or names former owners.
func TestFirstTable(t *testing.T) {
	is := is.New(t)
	table, changed := planner(servers(1, 2, 3, 4, 5), &ranges.Load{}).Next(&ranges.Table{})
	is.True(changed)
	is.Equal(len(table.Assignments), 5)
	for id, count := range keys(table) {
		if count < 13000 || count > 13300 {
			t.Errorf("%s holds %d keys", id, count)
		}
	}
	for _, one := range table.Assignments {
		is.Equal(len(one.FormerOwners), 0)
		is.Equal(one.Fence, ranges.Fence(1))
	}
	_, changed = planner(servers(1, 2, 3, 4, 5), &ranges.Load{}).Next(table)
	is.True(!changed) // nothing moves without a reason
}

// Guards against moves of keys whose owner stays, and against a move that forgets the former owner or reuses its fence.
func TestServerLeaves(t *testing.T) {
	is := is.New(t)
	before, _ := planner(servers(1, 2, 3, 4), &ranges.Load{}).Next(&ranges.Table{})
	after, changed := planner(servers(1, 2, 4), &ranges.Load{}).Next(before)
	is.True(changed)
	for _, one := range after.Assignments {
		old := before.Locate(one.Range.First)
		if old.Owner.ID != "s3" {
			is.Equal(one, *old)
			continue
		}
		is.True(one.Owner.ID != "s3")
		is.True(one.Fence > old.Fence)
		is.Equal(one.FormerOwners, []ranges.FormerOwner{{Owner: old.Owner, GrantsExpireAt: time.Minute}})
	}
}

// Guards against moves for no other reason than the noise of few samples: of 130 servers with about five requests each, some
// had next to none in each look, and were given keys.
func TestChanceMovesNothing(t *testing.T) {
	is := is.New(t)
	var ids []int
	for id := range 130 {
		ids = append(ids, id)
	}
	table, _ := planner(servers(ids...), &ranges.Load{}).Next(&ranges.Table{})
	random := rand.New(rand.NewPCG(1, 1))
	moved := 0
	for range 40 {
		counts := make(ranges.BucketCounts)
		for range 5 * len(ids) {
			counts.Add(fleet.NumericKey(random.IntN(int(fleet.MaxNumericKey) + 1)))
		}
		load := &ranges.Load{}
		load.AddReport(time.Unix(0, 0), counts)
		next, changed := planner(servers(ids...), load).Next(table)
		if changed {
			moved++
		}
		table = afterMoves(next)
	}
	is.True(moved <= 4) // chance is allowed for once in ten looks
}

// Guards against a hot key that is not relieved of its neighbours because a large fleet reports few requests for each server.
func TestHotKeyOfLargeFleet(t *testing.T) {
	is := is.New(t)
	var ids []int
	for id := range 130 {
		ids = append(ids, id)
	}
	table, _ := planner(servers(ids...), &ranges.Load{}).Next(&ranges.Table{})
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
	next, _ := planner(servers(ids...), load).Next(table)
	is.True(next.Locate(30000).Range.Size() < before)
}

// Guards against a server that joins while the busiest one has a key that cannot be divided, and gets nothing.
func TestServerJoinsBesideHotKey(t *testing.T) {
	is := is.New(t)
	before, _ := planner(servers(1, 2, 3), &ranges.Load{}).Next(&ranges.Table{})
	list := planner(servers(1, 2, 3, 4), loadOn(1000, 1, 4000))
	list.Rebalance = false
	after, _ := list.Next(before)
	is.True(keys(after)["s4"] > 1000)
}

// Guards against a server that joins and gets nothing.
func TestServerJoins(t *testing.T) {
	is := is.New(t)
	before, _ := planner(servers(1, 2, 3), &ranges.Load{}).Next(&ranges.Table{})
	after, _ := planner(servers(1, 2, 3, 4), &ranges.Load{}).Next(before)
	is.True(keys(after)["s4"] > 8000)
}

// Guards against a new run of a server that is granted keys with the fence of the run before.
func TestServerRestarts(t *testing.T) {
	is := is.New(t)
	before, _ := planner(servers(1, 2), &ranges.Load{}).Next(&ranges.Table{})
	list := servers(1, 2)
	list[0].Owner = owner(1, "2")
	after, _ := planner(list, &ranges.Load{}).Next(before)
	for _, one := range after.Assignments {
		old := before.Locate(one.Range.First)
		is.Equal(one.Range, old.Range)
		if one.Owner.ID == "s1" {
			is.Equal(one.Owner.Incarnation, fleet.Incarnation("2"))
			is.True(one.Fence > old.Fence)
		} else {
			is.Equal(one, *old)
		}
	}
}

// Guards against former owners that are forgotten before their holds have run out, or kept for good.
func TestFormersSettle(t *testing.T) {
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
		{"nothing known", time.Second, false, false, 1},
		{"released, not granted yet", time.Second, true, false, 1},
		{"granted without a release", time.Second, false, true, 1},
		{"released and granted", time.Second, true, true, 0},
		{"ran out", time.Minute, false, false, 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			plan := planner(servers(1), &ranges.Load{})
			plan.Now = test.now
			plan.Released = func(ranges.Assignment, ranges.FormerOwner) bool { return test.released }
			plan.Granted = func(ranges.Assignment) bool { return test.granted }
			next, _ := plan.Next(table)
			is.New(t).Equal(len(next.Assignments[0].FormerOwners), test.left)
		})
	}
}

// Guards against an owner that is not waited for because it was a former owner of the same range before and released it.
func TestOwnerWasFormer(t *testing.T) {
	is := is.New(t)
	table := &ranges.Table{Fence: 3, Assignments: []ranges.Assignment{{
		Range: fleet.KeyRange{Last: fleet.MaxNumericKey}, Owner: owner(1, "1"), Fence: 3,
		FormerOwners: []ranges.FormerOwner{{Owner: owner(1, "1"), GrantsExpireAt: time.Minute}, {Owner: owner(2, "1"), GrantsExpireAt: time.Minute}},
	}}}
	plan := planner(servers(3), &ranges.Load{})
	plan.Released = func(ranges.Assignment, ranges.FormerOwner) bool { return true }
	next, _ := plan.Next(table)
	is.Equal(next.Assignments[0].FormerOwners, []ranges.FormerOwner{{Owner: owner(1, "1"), GrantsExpireAt: time.Minute}})
}

// loadOn returns a load of 100 requests for each server with a number of them on some neighbouring keys.
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

// Guards against hot keys that stay on one server, and against moves from servers that have room.
func TestHotKeysMove(t *testing.T) {
	is := is.New(t)
	before, _ := planner(servers(1, 2, 3, 4, 5), &ranges.Load{}).Next(&ranges.Table{})
	load := loadOn(1000, 200, 500)
	calm := servers(1, 2, 3, 4, 5)
	for i := range calm {
		calm[i].Utilization = 0.3
	}
	_, changed := planner(calm, load).Next(before)
	is.True(!changed)

	table := before
	for range 4 {
		next, _ := planner(servers(1, 2, 3, 4, 5), load).Next(table)
		table = afterMoves(next)
	}
	load.BuildPrefixSums()
	sums := make(map[fleet.UpstreamID]float64)
	for _, one := range table.Assignments {
		sums[one.Owner.ID] += load.RangeSum(one.Range)
	}
	for id, sum := range sums {
		if sum > 300 {
			t.Errorf("%s has %.0f of 1,000 requests, 200 would be even", id, sum)
		}
	}
}

// Guards against unreadable tables that are taken for tables.
func TestParse(t *testing.T) {
	for name, text := range map[string]string{
		"no text":        "",
		"gap":            `{"fence":1,"holdings":[{"range":{"First":0,"Last":9},"fence":1},{"range":{"First":20,"Last":65535},"fence":1}]}`,
		"end is missing": `{"fence":1,"holdings":[{"range":{"First":0,"Last":9},"fence":1}]}`,
		"fence too high": `{"fence":1,"holdings":[{"range":{"First":0,"Last":65535},"fence":2}]}`,
	} {
		t.Run(name, func(t *testing.T) {
			_, err := ranges.Parse([]byte(text))
			is.New(t).True(err != nil)
		})
	}
	is := is.New(t)
	table, _ := planner(servers(1, 2, 3), &ranges.Load{}).Next(&ranges.Table{})
	read, err := ranges.Parse(table.Encode())
	is.NoErr(err)
	is.Equal(read, table)
}

// Guards, over random changes of servers and load, against keys without a holding, an owner that changes without a higher
// fence, and a former owner that is forgotten.
func TestTablesStaySound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := &ranges.Table{}
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			var list []ranges.Server
			for id := range 6 {
				if rapid.IntRange(0, 3).Draw(t, "present") > 0 {
					run := fmt.Sprint(rapid.IntRange(1, 2).Draw(t, "run"))
					list = append(list, ranges.Server{
						Owner: owner(id, run), Capacity: float64(rapid.IntRange(1, 4).Draw(t, "capacity")), Utilization: 1,
					})
				}
			}
			load := loadOn(fleet.NumericKey(rapid.IntRange(0, 60000).Draw(t, "hot")), 100, rapid.IntRange(0, 900).Draw(t, "count"))
			next, _ := planner(list, load).Next(table)
			if _, err := ranges.Parse(next.Encode()); err != nil {
				t.Fatal(err)
			}
			compare(t, table, next)
			table = next
		}
	})
}

func compare(t *rapid.T, before, after *ranges.Table) {
	for _, one := range after.Assignments {
		for _, old := range before.Assignments {
			if !old.Range.Overlaps(one.Range) || old.Owner.SameProcess(one.Owner) || old.Owner.ID == "" {
				continue
			}
			if one.Fence <= before.Fence {
				t.Fatalf("%s goes from %v to %v with fence %d", one.Range, old.Owner, one.Owner, one.Fence)
			}
			// A run of a server has ended when the next one is registered; then the next one is the former owner.
			kept := func(former ranges.FormerOwner) bool { return former.ID == old.Owner.ID }
			if old.Owner.ID != one.Owner.ID && !slices.ContainsFunc(one.FormerOwners, kept) {
				t.Fatalf("%s forgets %v", one.Range, old.Owner)
			}
		}
	}
}
