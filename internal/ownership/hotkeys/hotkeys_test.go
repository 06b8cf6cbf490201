package hotkeys_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/ownership/hotkeys"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against an estimate below the true count, an error bound that does not hold, and a frequent key that is missing,
// in one sketch and in the merged reports of several.
func TestSketchBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const counters = 8
		sketches := make([]hotkeys.Sketch, rapid.IntRange(1, 4).Draw(t, "daemons"))
		keys := rapid.SliceOfN(rapid.Uint64Range(0, 30), 1, 300).Draw(t, "keys")
		exact := map[fleet.KeyHash]float64{}
		for i, k := range keys {
			sketch := &sketches[i%len(sketches)]
			sketch.Counters = counters
			sketch.Add(start, fleet.KeyHash(k), 1)
			exact[fleet.KeyHash(k)]++
		}
		reports := make([]hotkeys.Report, len(sketches))
		for i := range sketches {
			reports[i] = sketches[i].Report(start)
		}
		merged := hotkeys.Merge(reports, counters)
		if merged.Total != float64(len(keys)) {
			t.Fatalf("total %v of %d requests", merged.Total, len(keys))
		}
		found := map[fleet.KeyHash]bool{}
		for _, c := range merged.Counts {
			found[c.Key] = true
			if c.Weight < exact[c.Key] || c.Weight-c.Error > exact[c.Key] {
				t.Fatalf("key %v: %v with error %v, exactly %v", c.Key, c.Weight, c.Error, exact[c.Key])
			}
		}
		for k, n := range exact {
			// Each of several sketches may miss an eighth of its own requests, hence the factor.
			if n > 2*float64(len(keys))/counters+float64(len(sketches)) && !found[k] {
				t.Fatalf("key %v with %v of %d requests is missing", k, n, len(keys))
			}
		}
	})
}

// Guards against load that does not decay, also over times longer than the range of the internal scale.
func TestSketchDecay(t *testing.T) {
	for _, c := range []struct {
		after time.Duration
		want  float64
	}{{0, 8}, {time.Second, 4}, {3 * time.Second, 1}, {40 * time.Second, 0}, {-time.Second, 8}} {
		is := is.New(t)
		sketch := hotkeys.Sketch{HalfLife: time.Second}
		sketch.Add(start, 1, 8)
		got := sketch.Report(start.Add(c.after))
		is.True(got.Total-c.want < 1e-6 && c.want-got.Total < 1e-6)                       // total
		is.True(got.Counts[0].Weight-c.want < 1e-6 && c.want-got.Counts[0].Weight < 1e-6) // count
	}
}

// Guards against promotion on an uncertain count, missing hysteresis, and entries that outlive their load.
func TestDecide(t *testing.T) {
	report := hotkeys.Report{Total: 1000, Counts: []hotkeys.Count{ // mean of 10 servers: 100
		{Key: 1, Weight: 30}, {Key: 2, Weight: 14, Error: 5}, {Key: 3, Weight: 10.5}, {Key: 4, Weight: 7}, {Key: 5, Weight: 4},
	}}
	for _, c := range []struct {
		name    string
		entries []fleet.KeyHash
		max     int
		want    []hotkeys.Change
	}{
		{name: "promote", want: []hotkeys.Change{hotkeys.Promotion{Key: 1}, hotkeys.Promotion{Key: 3}}},
		{name: "hysteresis", entries: []fleet.KeyHash{1, 3, 4}},
		{name: "demote", entries: []fleet.KeyHash{1, 3, 5, 9}, want: []hotkeys.Change{hotkeys.Demotion{Key: 5}, hotkeys.Demotion{Key: 9}}},
		{name: "bound", max: 1, want: []hotkeys.Change{hotkeys.Promotion{Key: 1}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(hotkeys.Policy{MaxHotKeys: c.max}.Decide(report, c.entries, 10), c.want) // changes
		})
	}
}

func BenchmarkAdd(b *testing.B) {
	sketch := hotkeys.Sketch{}
	zipf := rand.NewZipf(rand.New(rand.NewPCG(1, 2)), 1.1, 1, 1<<30)
	keys := make([]fleet.KeyHash, 1<<16)
	for i := range keys {
		keys[i] = fleet.KeyHash(zipf.Uint64())
	}
	i := 0
	for b.Loop() {
		sketch.Add(start, keys[i%len(keys)], 1)
		i++
	}
}
