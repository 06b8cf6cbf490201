package ranges_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/ownership/ranges"
)

const (
	// stepInterval and moveTime are those of the assigner. evacuationTime is half of the time within which a domain is evacuated.
	stepInterval   = 500 * time.Millisecond
	moveTime       = time.Second
	evacuationTime = 2500 * time.Millisecond
)

// leavingOf returns the servers with the IDs as leaving ones.
func leavingOf(timeLeft time.Duration, ids ...int) *ranges.Leaving {
	leaving := &ranges.Leaving{StepInterval: stepInterval, MoveTime: moveTime, StepDue: true}
	for _, id := range ids {
		leaving.Servers = append(leaving.Servers, ranges.LeavingServer{Owner: owner(id, "1"), TimeLeft: timeLeft})
	}
	return leaving
}

// ids returns the numbers from first to the one before last.
func ids(first, last int) []int {
	var result []int
	for id := first; id < last; id++ {
		result = append(result, id)
	}
	return result
}

// tilesLoad returns the load of one second on tiles: 1,679 keyed requests, of which part go to 60 adjacent keys.
func tilesLoad(hot float64) *ranges.Load {
	random, counts := rand.New(rand.NewPCG(7, 7)), make(ranges.BucketCounts)
	for range 1679 {
		key := random.IntN(int(fleet.MaxNumericKey) + 1)
		if random.Float64() < hot {
			key = 30000 + random.IntN(60)
		}
		counts.Add(fleet.NumericKey(key))
	}
	load := &ranges.Load{}
	load.AddReport(time.Unix(0, 0), counts)
	load.BuildPrefixSums()
	return load
}

// loadOf returns the load of the ranges that servers own.
func loadOf(table *ranges.Table, load *ranges.Load, owners []ranges.LeavingServer) float64 {
	sum := 0.0
	for _, assignment := range table.Assignments {
		for _, server := range owners {
			if server.SameProcess(assignment.Owner) {
				sum += load.RangeSum(assignment.Range)
			}
		}
	}
	return sum
}

// Guards against moving a quarter of all keys in one step when one of four domains is evacuated on tiles, against keys that are still
// there at the drain deadline, against a new grant to a server there, and against an overloaded server that gets keys.
func TestEvacuationOfQuarter(t *testing.T) {
	for name, hot := range map[string]float64{"even": 0, "hot keys": 0.31} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			load := tilesLoad(hot)
			table, _ := newPlanner(servers(ids(0, 137)...), load).Next(&ranges.Table{})
			table = withoutFormerOwners(table)
			staying := servers(ids(34, 137)...)
			for i := range staying {
				staying[i].Utilization = 0.3
			}
			staying[0].Utilization = 2 // requests queue there although its share of the load is small
			initial := loadOf(table, load, leavingOf(0, ids(0, 34)...).Servers)
			leaves := make(map[fleet.UpstreamID]bool)
			for _, id := range ids(0, 34) {
				leaves[owner(id, "1").ID] = true
			}
			overloaded := keyCounts(table)["s34"]
			steps := 0
			for timeLeft := evacuationTime; ; timeLeft -= stepInterval {
				planner := newPlanner(staying, load)
				planner.Rebalance, planner.Leaving = false, leavingOf(timeLeft, ids(0, 34)...)
				before := loadOf(table, load, planner.Leaving.Servers)
				if before == 0 {
					is.True(timeLeft+stepInterval >= moveTime) // the last step was in time
					break
				}
				next, _ := planner.Next(table)
				is.True(planner.Leaving.Moved)
				moved := before - loadOf(next, load, planner.Leaving.Servers)
				is.True(moved > 0.1*initial && moved < 0.45*initial)
				for _, assignment := range next.Assignments {
					old := table.Locate(assignment.Range.First)
					if old.Owner == assignment.Owner && leaves[assignment.Owner.ID] {
						is.Equal(old.Fence, assignment.Fence) // a new fence would need a new grant
					}
				}
				steps++
				table = withoutFormerOwners(next)
			}
			is.True(steps >= 3)
			is.True(keyCounts(table)["s34"] <= overloaded)
		})
	}
}

// Guards against ranges that are moved although no step is due, that wait although their owner was not granted them, refuses them or
// is lost, and against steps that are too many for the time that is left.
func TestLeavingServersBetweenSteps(t *testing.T) {
	cases := []struct {
		name    string
		stepDue bool
		left    time.Duration
		change  func(p *ranges.Planner, table *ranges.Table)
		moves   bool
	}{
		{"step", true, evacuationTime, nil, true},
		{"no step", false, evacuationTime, nil, false},
		{"last moment", false, moveTime, nil, true},
		{"past the deadline", false, -time.Second, nil, true},
		{"not granted", false, evacuationTime, func(_ *ranges.Planner, table *ranges.Table) {
			table.Assignments[0].FormerOwners = []ranges.FormerOwner{{Owner: owner(3, "1"), GrantsExpireAt: time.Hour}}
		}, true},
		{"refused", false, evacuationTime, func(p *ranges.Planner, _ *ranges.Table) {
			p.Refused = func(assignment ranges.Assignment) bool { return assignment.Owner.ID == "s0" }
		}, true},
		{"lost", false, evacuationTime, func(p *ranges.Planner, _ *ranges.Table) { p.Leaving = leavingOf(evacuationTime) }, true},
		{"started again", false, evacuationTime, func(p *ranges.Planner, _ *ranges.Table) {
			p.Leaving.Servers[0].Incarnation = "2"
		}, true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			table, _ := newPlanner(servers(0, 1, 2, 3), &ranges.Load{}).Next(&ranges.Table{})
			planner := newPlanner(servers(1, 2, 3), &ranges.Load{})
			planner.Rebalance, planner.Leaving = false, leavingOf(test.left, 0)
			planner.Leaving.StepDue = test.stepDue
			if test.change != nil {
				test.change(planner, table)
			}
			before := keyCounts(table)["s0"]
			next, _ := planner.Next(table)
			is.Equal(keyCounts(next)["s0"] < before, test.moves)
		})
	}
}

// Guards against a combination of loads and deadlines, of several domains, with which a key is still with its owner at the deadline
// or is not covered by the table.
func TestLeavingServersAlwaysInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		load := tilesLoad(rapid.Float64Range(0, 0.9).Draw(t, "hot"))
		count := rapid.IntRange(2, 12).Draw(t, "servers")
		stay := rapid.IntRange(1, count-1).Draw(t, "stay")
		table, _ := newPlanner(servers(ids(0, count)...), load).Next(&ranges.Table{})
		deadlines := make(map[int]time.Duration)
		for id := stay; id < count; id++ {
			deadlines[id] = moveTime + time.Duration(rapid.IntRange(0, 4000).Draw(t, "left"))*time.Millisecond
		}
		for now := time.Duration(0); now < 5*time.Second; now += stepInterval {
			planner := newPlanner(servers(ids(0, stay)...), load)
			planner.Leaving = leavingOf(0)
			for id, deadline := range deadlines {
				planner.Leaving.Servers = append(planner.Leaving.Servers, leavingOf(deadline-now, id).Servers...)
			}
			next, _ := planner.Next(withoutFormerOwners(table))
			for id, deadline := range deadlines {
				if keys := keyCounts(next)[owner(id, "1").ID]; keys > 0 && deadline-now < moveTime {
					t.Fatalf("server %d owns %d keys %s before its deadline", id, keys, deadline-now)
				}
			}
			if _, err := ranges.Parse(next.Encode()); err != nil {
				t.Fatal(err)
			}
			table = next
		}
	})
}
