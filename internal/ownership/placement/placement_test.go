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

func servers(n, domains int) []placement.Server {
	list := make([]placement.Server, n)
	for i := range list {
		list[i] = placement.Server{
			ID:     fleet.UpstreamID(fmt.Sprintf("s%02d", i)),
			Domain: fleet.FailureDomain(fmt.Sprintf("d%d", i%domains)),
		}
	}
	return list
}

func counts(entries []placement.Assignment) map[fleet.UpstreamID]int {
	owned := map[fleet.UpstreamID]int{}
	for _, e := range entries {
		owned[e.Owner]++
	}
	return owned
}

func capOf(partitions, servers int) int {
	return int(math.Ceil(1.05*float64(partitions)/float64(servers) - 1e-9))
}

// Guards against a server above its cap, a standby that falls with its owner, a move that nothing required and an output
// that depends on the order of the input, over random sequences of servers that come and go.
func TestPlaceProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		partitions := rapid.IntRange(1, 600).Draw(t, "partitions")
		all := servers(rapid.IntRange(2, 20).Draw(t, "servers"), rapid.IntRange(2, 4).Draw(t, "domains"))
		var current []placement.Assignment
		for range rapid.IntRange(1, 5).Draw(t, "steps") {
			live := rapid.SliceOfNDistinct(rapid.SampledFrom(all), 1, len(all),
				func(s placement.Server) fleet.UpstreamID { return s.ID }).Draw(t, "live")
			state := placement.Input{Partitions: partitions, Current: current, Servers: live}
			next := placement.Policy{}.Place(state)
			checkCap(t, next, live)
			checkStandbys(t, next, live)
			checkMinimum(t, current, next, live)
			state.Current, state.Servers = slices.Clone(current), slices.Clone(live)
			slices.Reverse(state.Current)
			slices.Reverse(state.Servers)
			if !reflect.DeepEqual(next, placement.Policy{}.Place(state)) {
				t.Fatal("the result depends on the order of the input")
			}
			current = next
		}
	})
}

func checkCap(t *rapid.T, next []placement.Assignment, live []placement.Server) {
	for id, n := range counts(next) {
		if id == "" || n > capOf(len(next), len(live)) {
			t.Fatalf("%q owns %d of %d partitions among %d servers", id, n, len(next), len(live))
		}
	}
}

func checkStandbys(t *rapid.T, next []placement.Assignment, live []placement.Server) {
	domain := map[fleet.UpstreamID]fleet.FailureDomain{}
	perDomain := map[fleet.FailureDomain]int{}
	for _, s := range live {
		domain[s.ID] = s.Domain
		perDomain[s.Domain]++
	}
	pairs := map[[2]fleet.UpstreamID]int{}
	owned := counts(next)
	for _, e := range next {
		if len(live) > 1 && (e.Standby == "" || e.Standby == e.Owner) {
			t.Fatalf("partition %d has owner %q and standby %q", e.Partition, e.Owner, e.Standby)
		}
		others := len(live) - perDomain[domain[e.Owner]]
		if others > 0 && domain[e.Standby] == domain[e.Owner] {
			t.Fatalf("partition %d: owner and standby in one failure domain", e.Partition)
		}
		pair := [2]fleet.UpstreamID{e.Owner, e.Standby}
		if pairs[pair]++; others > 0 && pairs[pair] > 1+owned[e.Owner]/others {
			t.Fatalf("%d partitions of %v on one standby, %d owned, %d others", pairs[pair], pair, owned[e.Owner], others)
		}
	}
}

// checkMinimum compares the moves with those that no placement within the cap can avoid.
func checkMinimum(t *rapid.T, current, next []placement.Assignment, live []placement.Server) {
	if current == nil {
		return
	}
	minimum, before := len(current), counts(current)
	for _, s := range live {
		minimum -= min(before[s.ID], capOf(len(current), len(live)))
	}
	if moves := placement.PlanMoves(current, next, live, len(current)); len(moves) != minimum {
		t.Fatalf("%d moves, %d needed", len(moves), minimum)
	}
}

// Guards against a lost partition that does not go to its standby although the standby has room.
func TestLeaverGoesToStandbys(t *testing.T) {
	is := is.New(t)
	all := servers(15, 3)
	before := placement.Policy{}.Place(placement.Input{Partitions: 4096, Servers: all})
	after := placement.Policy{}.Place(placement.Input{Partitions: 4096, Current: before, Servers: all[1:]})
	for i, e := range before {
		if e.Owner == all[0].ID {
			is.Equal(after[i].Owner, e.Standby) // to the standby
		} else {
			is.Equal(after[i].Owner, e.Owner) // not moved
		}
	}
}

// Guards against a rebalance that moves for less than its cost, moves a pinned key, leaves a removable imbalance, or
// turns over what it cannot improve.
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
		name string
		cost float64
		load []float64 // of partitions 0 to 4 and of the hot key 9
		pins map[fleet.PartitionID]fleet.UpstreamID
		want []placement.Move
	}{
		{name: "unknown load"},
		{name: "hot key moves", load: []float64{5, 10, 0, 4, 0, 10}, want: []placement.Move{{Partition: 9, From: "s00", To: "s02"}}},
		{
			name: "pinned", load: []float64{5, 10, 0, 4, 0, 10}, pins: map[fleet.PartitionID]fleet.UpstreamID{9: "s00"},
			want: []placement.Move{{Partition: 0, From: "s00", To: "s02"}, {Partition: 3, From: "s00", To: "s02"}},
		},
		{name: "cost not met", cost: 1, load: []float64{5, 10, 0, 4, 0, 10}},
		{name: "one key exceeds a server", load: []float64{0, 5, 10, 0, 5, 90}},
		{name: "within the cap", load: []float64{10, 10, 20, 10, 10, 1}},
		{
			name: "pin moves", load: []float64{10, 10, 20, 10, 10, 1}, pins: map[fleet.PartitionID]fleet.UpstreamID{9: "s01"},
			want: []placement.Move{{Partition: 9, From: "s00", To: "s01"}},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			state := placement.Input{Partitions: 5, Current: even, Servers: live, Pins: c.pins}
			if c.load != nil {
				state.Loads = map[fleet.PartitionID]float64{9: c.load[5]}
				for i, l := range c.load[:5] {
					state.Loads[fleet.PartitionID(i)] = l
				}
			}
			for i := range c.want {
				c.want[i].Planned = true
			}
			got := placement.Policy{MoveCost: c.cost}.Rebalance(state)
			is.Equal(placement.PlanMoves(even, got, live, 10), c.want) // moves
		})
	}
}

// Guards against a server that joins and gets nothing because the load lies on a few partitions that cannot be divided.
func TestJoinedServerGetsIdlePartitions(t *testing.T) {
	is := is.New(t)
	state := placement.Input{Partitions: 256, Servers: servers(14, 3)}
	state.Current = placement.Policy{}.Place(state)
	state.Servers = servers(15, 3)
	state.Loads = map[fleet.PartitionID]float64{3: 50, 90: 50, 200: 50}
	next := placement.Policy{}.Rebalance(state)
	is.True(counts(next)[state.Servers[14].ID] >= 256/15)
	before := make(map[fleet.PartitionID]fleet.UpstreamID)
	for _, one := range state.Current {
		before[one.Partition] = one.Owner
	}
	for _, one := range next {
		is.True(one.Owner == before[one.Partition] || one.Owner == state.Servers[14].ID) // nothing else moves
		is.True(state.Loads[one.Partition] == 0 || one.Owner == before[one.Partition])
	}
	state.Current = next
	is.Equal(placement.Policy{}.Rebalance(state), next) // and it stays so
}

// Guards against planned moves above the bound and against recoveries that are held back by it.
func TestMovesBound(t *testing.T) {
	is := is.New(t)
	current := []placement.Assignment{{Partition: 0, Owner: "s00"}, {Partition: 1, Owner: "s00"}, {Partition: 2, Owner: "lost"}}
	desired := []placement.Assignment{{Partition: 0, Owner: "s01"}, {Partition: 1, Owner: "s01"}, {Partition: 2, Owner: "s01"}}
	is.Equal(placement.PlanMoves(current, desired, servers(2, 2), 1), []placement.Move{
		{Partition: 2, From: "lost", To: "s01"},
		{Partition: 0, From: "s00", To: "s01", Planned: true},
	})
}

// Guards against idle partitions of a lost server that all go to the server with the least load.
func TestIdlePartitionsAreSpread(t *testing.T) {
	is := is.New(t)
	live := servers(3, 3)
	state := placement.Input{Partitions: 300, Servers: live, Loads: map[fleet.PartitionID]float64{300: 100}}
	state.Current = []placement.Assignment{{Partition: 300, Owner: "s00"}}
	owned := counts(placement.Policy{}.Place(state))
	is.Equal([]int{owned["s00"], owned["s01"], owned["s02"]}, []int{1, 150, 150}) // the busy server takes none
}

func BenchmarkPlace(b *testing.B) {
	all := servers(48, 11)
	current := placement.Policy{}.Place(placement.Input{Partitions: 65536, Servers: all})
	load := map[fleet.PartitionID]float64{}
	for i := range current {
		load[fleet.PartitionID(i)] = 1 / float64(1+i%997)
	}
	for name, state := range map[string]placement.Input{
		"initial": {Partitions: 65536, Servers: all},
		"leave":   {Partitions: 65536, Servers: all[1:], Current: current},
		"load":    {Partitions: 65536, Servers: all, Current: current, Loads: load},
	} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				placement.Policy{}.Rebalance(state)
			}
		})
	}
}
