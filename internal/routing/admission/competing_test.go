package admission_test

import (
	"math"
	"testing"

	"github.com/matryer/is"
)

// simulate returns the results of 20 simulations, in percent of the calls of each kind.
func simulate(t *testing.T, label string, policy simPolicy, overload, abusers float64) map[string]map[string]float64 {
	total := make(map[string]*simCounts)
	for seed := range uint64(20) {
		s := newSimulation(seed, policy)
		s.abusers = abusers
		s.run(overload)
		for name, counts := range s.counts {
			sum := total[name]
			if sum == nil {
				sum = &simCounts{}
				total[name] = sum
			}
			sum.calls += counts.calls
			sum.inTarget += counts.inTarget
			sum.late += counts.late
			sum.refusedTwice += counts.refusedTwice
			sum.longWaits += counts.longWaits
			sum.rejected += counts.rejected
			sum.unsentAtEnd += counts.unsentAtEnd
		}
	}
	result := make(map[string]map[string]float64)
	for name, sum := range total {
		share := func(count int) float64 { return math.Round(1000*float64(count)/float64(sum.calls)) / 10 }
		result[name] = map[string]float64{
			"in target": share(sum.inTarget), "late": share(sum.late), "served": share(sum.inTarget + sum.late),
			"refused twice": share(sum.refusedTwice), "long waits": share(sum.longWaits), "rejected": share(sum.rejected),
			"unsent at end": share(sum.unsentAtEnd),
		}
		t.Logf("%s, %.1f times the capacity, %s: %v", label, overload, name, result[name])
	}
	return result
}

// Guards against daemons that fill the queue of a server so that whatever it serves is late, against a less urgent kind that is
// served more often, and against capacity that is left unused. The load is that of the hot range.
func TestHotRange(t *testing.T) {
	for _, overload := range []float64{1.5, 3, 5} {
		is := is.New(t)
		before := simulate(t, "without priorities", simPolicy{}, overload, 0)
		stated := simulate(t, "load stated", simPolicy{prioritized: true, stated: true}, overload, 0)
		unstated := simulate(t, "load not stated", simPolicy{prioritized: true}, overload, 0)
		is.True(stated["tiles"]["in target"] >= 1.15*before["tiles"]["in target"])
		is.True(stated["tiles"]["served"] >= before["tiles"]["served"]-3)
		for _, kind := range []string{"tiles", "orders"} {
			is.True(stated[kind]["rejected"] <= before[kind]["rejected"]/3)
			is.True(unstated[kind]["rejected"] <= before[kind]["rejected"]/1.5)
			is.True(stated[kind]["long waits"] <= max(1, before[kind]["long waits"]/2))
			is.True(stated[kind]["unsent at end"] <= before[kind]["unsent at end"]+0.5)
			is.True(unstated[kind]["in target"] >= before[kind]["in target"]-3)
		}
		is.True(stated["tiles"]["served"] > stated["orders"]["served"])
		is.True(stated["orders"]["served"] >= stated["tiles"]["served"]/4) // not starved
	}
}

// Guards against requests that are held back although the server can run them: a load that just fits is served as before.
func TestLoadThatFits(t *testing.T) {
	is := is.New(t)
	before := simulate(t, "without priorities", simPolicy{}, 0.8, 0)
	stated := simulate(t, "load stated", simPolicy{prioritized: true, stated: true}, 0.8, 0)
	for _, kind := range []string{"tiles", "orders"} {
		is.True(stated[kind]["served"] >= before[kind]["served"]-2)
		is.True(stated[kind]["in target"] >= before[kind]["in target"]-5)
	}
}

// Guards against a queue in which requests wait until none of them is in time, or until their deadlines. The load is that of the
// hot range, all of it at one daemon.
func TestQueueOfOneDaemon(t *testing.T) {
	for _, overload := range []float64{1.5, 3, 5} {
		is := is.New(t)
		before := simulate(t, "without priorities", simPolicy{alone: true}, overload, 0)
		after := simulate(t, "with priorities", simPolicy{prioritized: true, alone: true}, overload, 0)
		for _, kind := range []string{"tiles", "orders"} {
			is.True(after[kind]["in target"] >= before[kind]["in target"]+3)
			is.True(after[kind]["served"] >= before[kind]["served"]-5)
			is.True(after[kind]["unsent at end"] <= 1.5)
		}
		is.True(after["tiles"]["served"] > after["orders"]["served"])
		is.True(after["orders"]["served"] >= after["tiles"]["served"]/4)
	}
}

// Guards against callers that gain by repeating at once: a fifth of the callers of the hot range repeat refused requests every 6
// ms at the same daemon. They must not be served more often than the others, and these about as often as without them: the
// results of 20 simulations differ by up to 6 percent from seed to seed.
func TestCallersThatRepeatAtOnce(t *testing.T) {
	for _, overload := range []float64{1.5, 3} {
		is := is.New(t)
		simulate(t, "without priorities, with abusers", simPolicy{}, overload, 0.2)
		simulate(t, "without priorities, with abusers, one daemon", simPolicy{alone: true}, overload, 0.2)
		for _, policy := range []simPolicy{
			{prioritized: true, stated: true}, {prioritized: true}, {prioritized: true, alone: true},
		} {
			alone := simulate(t, "alone", policy, overload, 0)
			mixed := simulate(t, "with abusers", policy, overload, 0.2)
			for _, kind := range []string{"tiles", "orders"} {
				is.True(mixed["abusive "+kind]["served"] <= mixed[kind]["served"]+4)
				is.True(mixed[kind]["served"] >= alone[kind]["served"]-8)
			}
		}
	}
}
