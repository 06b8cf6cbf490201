package placement_test

import (
	"fmt"
	"math"
	"reflect"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/ownership/placement"
)

// servers returns servers whose failure domains alternate.
func servers(count, domainCount int) []placement.Server {
	list := make([]placement.Server, count)
	for i := range list {
		list[i] = placement.Server{
			ID:     fleet.UpstreamID(fmt.Sprintf("s%02d", i)),
			Domain: fleet.FailureDomain(fmt.Sprintf("d%d", i%domainCount)),
		}
	}
	return list
}

// ownedCounts returns the number of partitions that each server owns.
func ownedCounts(assignments []placement.Assignment) map[fleet.UpstreamID]int {
	owned := map[fleet.UpstreamID]int{}
	for _, assignment := range assignments {
		owned[assignment.Owner]++
	}
	return owned
}

// maxPartitions returns the maximum number of partitions of a server under the default policy.
func maxPartitions(partitions, servers int) int {
	return int(math.Ceil(1.05*float64(partitions)/float64(servers) - 1e-9))
}

// TestPlaceProperties guards, over random sequences of joining and leaving servers, against a server above its capacity,
// a standby in the owner's failure domain, a move that nothing required, and a result that depends on the order of the
// input.
func TestPlaceProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		partitions := rapid.IntRange(1, 600).Draw(t, "partitions")
		all := servers(rapid.IntRange(2, 20).Draw(t, "servers"), rapid.IntRange(2, 4).Draw(t, "domains"))
		var current []placement.Assignment
		for range rapid.IntRange(1, 5).Draw(t, "steps") {
			live := rapid.SliceOfNDistinct(rapid.SampledFrom(all), 1, len(all),
				func(s placement.Server) fleet.UpstreamID { return s.ID }).Draw(t, "live")
			input := placement.Input{Partitions: partitions, Current: current, Servers: live}
			next := placement.Policy{}.Place(input)
			checkCapacity(t, next, live)
			checkStandbys(t, next, live)
			checkMinimalMoves(t, current, next, live)
			input.Current, input.Servers = slices.Clone(current), slices.Clone(live)
			slices.Reverse(input.Current)
			slices.Reverse(input.Servers)
			if !reflect.DeepEqual(next, placement.Policy{}.Place(input)) {
				t.Fatal("the placement depends on the order of the input")
			}
			current = next
		}
	})
}

func checkCapacity(t *rapid.T, next []placement.Assignment, live []placement.Server) {
	for id, n := range ownedCounts(next) {
		if id == "" || n > maxPartitions(len(next), len(live)) {
			t.Fatalf("%q owns %d of %d partitions among %d servers: it is empty or above its capacity", id, n, len(next), len(live))
		}
	}
}

func checkStandbys(t *rapid.T, next []placement.Assignment, live []placement.Server) {
	domain := map[fleet.UpstreamID]fleet.FailureDomain{}
	perDomain := map[fleet.FailureDomain]int{}
	for _, server := range live {
		domain[server.ID] = server.Domain
		perDomain[server.Domain]++
	}
	pairs := map[[2]fleet.UpstreamID]int{}
	owned := ownedCounts(next)
	for _, assignment := range next {
		if len(live) > 1 && (assignment.Standby == "" || assignment.Standby == assignment.Owner) {
			t.Fatalf("partition %d has owner %q and standby %q", assignment.Partition, assignment.Owner, assignment.Standby)
		}
		others := len(live) - perDomain[domain[assignment.Owner]]
		if others > 0 && domain[assignment.Standby] == domain[assignment.Owner] {
			t.Fatalf("partition %d: owner and standby are in the same failure domain", assignment.Partition)
		}
		pair := [2]fleet.UpstreamID{assignment.Owner, assignment.Standby}
		if pairs[pair]++; others > 0 && pairs[pair] > 1+owned[assignment.Owner]/others {
			t.Fatalf("%d partitions of owner and standby %v, %d owned by that owner, %d servers in other failure domains",
				pairs[pair], pair, owned[assignment.Owner], others)
		}
	}
}

// checkMinimalMoves compares the number of moves with the minimum for any placement within the capacities.
func checkMinimalMoves(t *rapid.T, current, next []placement.Assignment, live []placement.Server) {
	if current == nil {
		return
	}
	minimum, before := len(current), ownedCounts(current)
	for _, server := range live {
		minimum -= min(before[server.ID], maxPartitions(len(current), len(live)))
	}
	if moves := placement.PlanMoves(current, next, live, len(current)); len(moves) != minimum {
		t.Fatalf("%d moves, %d are sufficient", len(moves), minimum)
	}
}

// TestPartitionsOfLostServerGoToStandbys guards against a partition of a lost server that does not go to its standby
// although the standby has capacity.
func TestPartitionsOfLostServerGoToStandbys(t *testing.T) {
	is := is.New(t)
	all := servers(15, 3)
	before := placement.Policy{}.Place(placement.Input{Partitions: 4096, Servers: all})
	after := placement.Policy{}.Place(placement.Input{Partitions: 4096, Current: before, Servers: all[1:]})
	for i, assignment := range before {
		if assignment.Owner == all[0].ID {
			is.Equal(after[i].Owner, assignment.Standby) // the standby becomes the owner
		} else {
			is.Equal(after[i].Owner, assignment.Owner) // other partitions do not move
		}
	}
}

// TestRebalance guards against a rebalance that makes a move whose gain does not exceed its cost, moves a pinned key,
// leaves an imbalance that it could remove, or moves partitions without improving the balance.
func TestRebalance(t *testing.T) {
	live := servers(3, 3)
	even := []placement.Assignment{
		{Partition: 0, Owner: "s00"},
		{Partition: 1, Owner: "s01"},
		{Partition: 2, Owner: "s02"},
		{Partition: 3, Owner: "s00"},
		{Partition: 4, Owner: "s01"},
		{Partition: 9, Owner: "s00"},
	}
	for _, c := range []struct {
		name  string
		cost  float64
		loads []float64 // of partitions 0 to 4 and of hot key 9
		pins  map[fleet.PartitionID]fleet.UpstreamID
		want  []placement.Move
	}{
		{name: "loads are unknown"},
		{name: "hot key moves", loads: []float64{5, 10, 0, 4, 0, 10}, want: []placement.Move{{Partition: 9, From: "s00", To: "s02"}}},
		{
			name: "pinned hot key stays", loads: []float64{5, 10, 0, 4, 0, 10}, pins: map[fleet.PartitionID]fleet.UpstreamID{9: "s00"},
			want: []placement.Move{{Partition: 0, From: "s00", To: "s02"}, {Partition: 3, From: "s00", To: "s02"}},
		},
		{name: "reduction does not exceed the cost", cost: 1, loads: []float64{5, 10, 0, 4, 0, 10}},
		{name: "load of one key exceeds the capacity", loads: []float64{0, 5, 10, 0, 5, 90}},
		{name: "loads are within the capacity", loads: []float64{10, 10, 20, 10, 10, 1}},
		{
			name: "pinned hot key moves to its server", loads: []float64{10, 10, 20, 10, 10, 1},
			pins: map[fleet.PartitionID]fleet.UpstreamID{9: "s01"},
			want: []placement.Move{{Partition: 9, From: "s00", To: "s01"}},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			input := placement.Input{Partitions: 5, Current: even, Servers: live, Pins: c.pins}
			if c.loads != nil {
				input.Loads = map[fleet.PartitionID]float64{9: c.loads[5]}
				for i, l := range c.loads[:5] {
					input.Loads[fleet.PartitionID(i)] = l
				}
			}
			for i := range c.want {
				c.want[i].Planned = true
			}
			got := placement.Policy{MoveCost: c.cost}.Rebalance(input)
			is.Equal(placement.PlanMoves(even, got, live, 10), c.want) // moves
		})
	}
}

// TestJoinedServerGetsIdlePartitions guards against a joining server that gets nothing because all load is on a few
// partitions, which cannot be split.
func TestJoinedServerGetsIdlePartitions(t *testing.T) {
	is := is.New(t)
	input := placement.Input{Partitions: 256, Servers: servers(14, 3)}
	input.Current = placement.Policy{}.Place(input)
	input.Servers = servers(15, 3)
	input.Loads = map[fleet.PartitionID]float64{3: 50, 90: 50, 200: 50}
	next := placement.Policy{}.Rebalance(input)
	is.True(ownedCounts(next)[input.Servers[14].ID] >= 256/15)
	before := make(map[fleet.PartitionID]fleet.UpstreamID)
	for _, assignment := range input.Current {
		before[assignment.Partition] = assignment.Owner
	}
	for _, assignment := range next {
		is.True(assignment.Owner == before[assignment.Partition] || assignment.Owner == input.Servers[14].ID) // moves only there
		is.True(input.Loads[assignment.Partition] == 0 || assignment.Owner == before[assignment.Partition])   // load stays
	}
	input.Current = next
	is.Equal(placement.Policy{}.Rebalance(input), next) // a second call changes nothing
}

// TestPlanMovesLimit guards against more planned moves than the limit, and against a limit that delays partitions
// without a live owner.
func TestPlanMovesLimit(t *testing.T) {
	is := is.New(t)
	current := []placement.Assignment{{Partition: 0, Owner: "s00"}, {Partition: 1, Owner: "s00"}, {Partition: 2, Owner: "lost"}}
	desired := []placement.Assignment{{Partition: 0, Owner: "s01"}, {Partition: 1, Owner: "s01"}, {Partition: 2, Owner: "s01"}}
	is.Equal(placement.PlanMoves(current, desired, servers(2, 2), 1), []placement.Move{
		{Partition: 2, From: "lost", To: "s01"},
		{Partition: 0, From: "s00", To: "s01", Planned: true},
	})
}

// TestIdlePartitionsOfLostServerAreSpread guards against idle partitions of a lost server that all go to the server with
// the lowest load.
func TestIdlePartitionsOfLostServerAreSpread(t *testing.T) {
	is := is.New(t)
	live := servers(3, 3)
	input := placement.Input{Partitions: 300, Servers: live, Loads: map[fleet.PartitionID]float64{300: 100}}
	input.Current = []placement.Assignment{{Partition: 300, Owner: "s00"}}
	owned := ownedCounts(placement.Policy{}.Place(input))
	is.Equal([]int{owned["s00"], owned["s01"], owned["s02"]}, []int{1, 150, 150}) // the busy server gets no idle partition
}

func BenchmarkPlace(b *testing.B) {
	all := servers(48, 11)
	current := placement.Policy{}.Place(placement.Input{Partitions: 65536, Servers: all})
	load := map[fleet.PartitionID]float64{}
	for i := range current {
		load[fleet.PartitionID(i)] = 1 / float64(1+i%997)
	}
	for name, input := range map[string]placement.Input{
		"initial": {Partitions: 65536, Servers: all},
		"leave":   {Partitions: 65536, Servers: all[1:], Current: current},
		"load":    {Partitions: 65536, Servers: all, Current: current, Loads: load},
	} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				placement.Policy{}.Rebalance(input)
			}
		})
	}
}
