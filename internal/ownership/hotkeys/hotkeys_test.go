package hotkeys_test

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/ownership/hotkeys"
)

var start = time.Unix(0, 0)

// Guards against a frequent key that the sketch loses, and against a rate outside the stated error.
func TestSketchBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sketch := &hotkeys.Sketch{Capacity: 8, HalfLife: 1000 * time.Hour}
		keys := rapid.SliceOfN(rapid.Uint64Range(1, 40), 1, 400).Draw(t, "keys")
		true0 := make(map[fleet.KeyHash]float64)
		for _, key := range keys {
			sketch.Add(start, fleet.KeyHash(key))
			true0[fleet.KeyHash(key)]++
		}
		perSecond := math.Ln2 / (1000 * time.Hour).Seconds()
		seen := make(map[fleet.KeyHash]bool)
		for _, one := range sketch.Top(start, 8) {
			seen[one.Key] = true
			exact := true0[one.Key] * perSecond
			if one.Rate < exact*(1-1e-9) || one.Rate-one.Error > exact*(1+1e-9) {
				t.Fatalf("key %d: rate %g with error %g, exact %g", one.Key, one.Rate, one.Error, exact)
			}
		}
		for key, count := range true0 {
			if count > float64(len(keys))/8 && !seen[key] {
				t.Fatalf("key %d with %g of %d requests is missing", key, count, len(keys))
			}
		}
	})
}

// Guards against keys that stay hot after their load has moved to others, and against weights that overflow.
func TestSketchDecays(t *testing.T) {
	is := is.New(t)
	sketch := &hotkeys.Sketch{HalfLife: time.Second}
	for i := range 2000 {
		sketch.Add(start.Add(time.Duration(i)*time.Millisecond), 1)
	}
	now := start.Add(2 * time.Second)
	before := sketch.Top(now, 1)[0].Rate
	is.True(before > 700 && before < 800) // three quarters of 1,000 requests/s after two half-lives
	now = now.Add(10 * time.Second)
	is.True(sketch.Top(now, 1)[0].Rate < 1) // faded after ten half-lives
	now = now.Add(time.Hour)
	sketch.Add(now, 2)
	is.Equal(sketch.Top(now, 1)[0].Key, fleet.KeyHash(2)) // weights were scaled down and not lost
}

// Guards against an entry that is given and taken away in turn, and against one that is given on an uncertain count.
func TestDecide(t *testing.T) {
	cases := []struct {
		name        string
		rate, error float64
		dedicated   bool
		want        bool
	}{
		{"hot", 10, 0, false, true},
		{"uncertain", 12, 3, false, false},
		{"warm without entry", 7, 0, false, false},
		{"warm with entry", 7, 0, true, true},
		{"cold with entry", 4, 0, true, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var current []fleet.KeyHash
			if test.dedicated {
				current = append(current, 1)
			}
			keys := hotkeys.Decide([]hotkeys.Count{{Key: 1, Rate: test.rate, Error: test.error}}, 100, current)
			is.Equal(len(keys) == 1, test.want)
		})
	}
}
