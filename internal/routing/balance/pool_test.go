package balance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/routing/balance"
)

var start = time.Unix(1000, 0)

func newPool(count int) (*balance.Pool, []balance.Candidate) {
	pool := &balance.Pool{Random: rand.New(rand.NewPCG(1, 1)), Local: fleet.Locality{Region: "r", Domain: "d"}}
	var candidates []balance.Candidate
	for i := range count {
		candidates = append(candidates, balance.Candidate{ID: fleet.UpstreamID(fmt.Sprint(i)), Locality: pool.Local})
	}
	pool.SetCandidates(start, candidates)
	for _, one := range candidates {
		see(pool, start, one.ID, balance.Responded{Latency: 10 * time.Millisecond})
	}
	return pool, candidates
}

func see(pool *balance.Pool, at time.Time, id fleet.UpstreamID, seen ...balance.Observation) {
	for _, one := range seen {
		pool.RequestStarted(at, id)
		pool.RequestEnded(at, id, one)
	}
}

// picks returns how many of 1,000 choices fall on each upstream.
func picks(pool *balance.Pool, at time.Time, criteria balance.Criteria) map[fleet.UpstreamID]int {
	result := map[fleet.UpstreamID]int{}
	for range 1000 {
		if id, ok := pool.Pick(at, criteria); ok {
			result[id]++
		}
	}
	return result
}

// Guards against choices that ignore what this daemon knows. Upstream 0 of four is the one that something is wrong with;
// low and high bound its part of 1,000 choices.
func TestPick(t *testing.T) {
	soon := start.Add(100 * time.Millisecond)
	refusals := []balance.Observation{balance.Rejected{}, balance.Rejected{}, balance.Rejected{}}
	cases := []struct {
		name      string
		at        time.Time
		spoil     func(*balance.Pool, []balance.Candidate)
		low, high int
	}{
		{"alike", soon, func(*balance.Pool, []balance.Candidate) {}, 150, 500},
		{"drained", soon, func(p *balance.Pool, c []balance.Candidate) { c[0].Drained = true; p.SetCandidates(start, c) }, 0, 0},
		{"leaving", soon, func(p *balance.Pool, _ []balance.Candidate) { see(p, start, "0", balance.Leaving{}) }, 0, 0},
		{"leaving for some time", start.Add(30 * time.Second), func(p *balance.Pool, _ []balance.Candidate) {
			see(p, start, "0", balance.Leaving{})
		}, 0, 0},
		{"left and is back", soon, func(p *balance.Pool, _ []balance.Candidate) {
			see(p, start, "0", balance.Leaving{})
			p.MarkRejoined(start, "0")
		}, 1, 100},
		{"unreachable", soon, func(p *balance.Pool, _ []balance.Candidate) { see(p, start, "0", balance.Unreachable{}) }, 0, 0},
		{"sheds", soon, func(p *balance.Pool, _ []balance.Candidate) { see(p, start, "0", refusals...) }, 0, 0},
		{"shed long ago", start.Add(time.Minute), func(p *balance.Pool, _ []balance.Candidate) { see(p, start, "0", refusals...) }, 150, 500},
		{"frozen", start.Add(300 * time.Millisecond), func(p *balance.Pool, _ []balance.Candidate) { p.RequestStarted(start, "0") }, 0, 0},
		{"busy", soon, func(p *balance.Pool, _ []balance.Candidate) { p.RequestStarted(start, "0") }, 0, 100},
		{"just started", soon, func(p *balance.Pool, c []balance.Candidate) { p.SetCandidates(start, c[1:]); p.SetCandidates(start, c) }, 1, 100},
		{"far away", soon, func(p *balance.Pool, c []balance.Candidate) { c[0].Locality.Region = "x"; p.SetCandidates(start, c) }, 10, 200},
		{"report beside own answers", soon, func(p *balance.Pool, _ []balance.Candidate) {
			p.RecordLoad(start, "0", balance.Load{Running: 50})
		}, 150, 500},
		{"report instead of answers", start.Add(4 * time.Second), func(p *balance.Pool, _ []balance.Candidate) {
			p.RecordLoad(start.Add(4*time.Second), "0", balance.Load{Running: 50})
		}, 0, 100},
		{"expired report", start.Add(4 * time.Second), func(p *balance.Pool, _ []balance.Candidate) {
			p.RecordLoad(start.Add(time.Second), "0", balance.Load{Running: 50})
		}, 150, 500},
		{"more than half look bad", soon, func(p *balance.Pool, c []balance.Candidate) {
			for _, one := range c[:3] {
				see(p, start, one.ID, balance.Unreachable{})
			}
		}, 100, 500},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			pool, candidates := newPool(4)
			test.spoil(pool, candidates)
			got := picks(pool, test.at, balance.Criteria{})["0"]
			if got < test.low || got > test.high {
				t.Fatalf("chosen %d times of 1,000, expected %d to %d", got, test.low, test.high)
			}
		})
	}
}

// Guards against a lost upstream that is never tried again, or is tried with a request that must not be lost.
func TestTrial(t *testing.T) {
	is := is.New(t)
	pool, _ := newPool(3)
	see(pool, start, "0", balance.Unreachable{})
	later := start.Add(600 * time.Millisecond)
	is.Equal(picks(pool, later, balance.Criteria{})["0"], 0)
	is.Equal(picks(pool, later, balance.Criteria{Idempotent: true})["0"], 1) // one trial at a time
	see(pool, later, "0", balance.Responded{Latency: time.Millisecond})
	is.True(picks(pool, later, balance.Criteria{})["0"] > 0) // back, slowly
}

// Guards against large answers that cross failure domains while an upstream beside the daemon is free, and against ones that
// are not served because none is.
func TestBulk(t *testing.T) {
	is := is.New(t)
	pool, candidates := newPool(4)
	candidates[0].Locality.Domain, candidates[1].Locality.Domain = "far", "far"
	pool.SetCandidates(start, candidates)
	got := picks(pool, start, balance.Criteria{Bulk: true})
	is.Equal(got["0"]+got["1"], 0)
	busy := func(id fleet.UpstreamID) bool { return id == "0" }
	is.Equal(picks(pool, start, balance.Criteria{Bulk: true, HasCapacity: busy})["0"], 1000)
}
