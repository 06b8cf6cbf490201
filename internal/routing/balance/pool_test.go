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

// newPool returns a pool of count upstreams in its own failure domain that have each responded once.
func newPool(count int) (*balance.Pool, []balance.Candidate) {
	pool := &balance.Pool{Random: rand.New(rand.NewPCG(1, 1)), Local: fleet.Locality{Region: "r", Domain: "d"}}
	var candidates []balance.Candidate
	for i := range count {
		candidates = append(candidates, balance.Candidate{ID: fleet.UpstreamID(fmt.Sprint(i)), Locality: pool.Local})
	}
	pool.SetCandidates(start, candidates)
	for _, candidate := range candidates {
		observe(pool, start, candidate.ID, balance.Responded{Latency: 10 * time.Millisecond})
	}
	return pool, candidates
}

// observe records requests to an upstream that end with the given observations.
func observe(pool *balance.Pool, at time.Time, id fleet.UpstreamID, observations ...balance.Observation) {
	for _, observation := range observations {
		pool.RequestStarted(at, id)
		pool.RequestEnded(at, id, observation)
	}
}

// picks returns how often each upstream is chosen in 1,000 picks.
func picks(pool *balance.Pool, at time.Time, criteria balance.Criteria) map[fleet.UpstreamID]int {
	result := map[fleet.UpstreamID]int{}
	for range 1000 {
		if id, ok := pool.Pick(at, criteria); ok {
			result[id]++
		}
	}
	return result
}

// Guards against choices that ignore what the pool has observed. Each case changes the state of upstream 0 of four; low and
// high bound the number of times that it is chosen in 1,000 picks.
func TestPick(t *testing.T) {
	soon := start.Add(100 * time.Millisecond)
	rejections := []balance.Observation{balance.Rejected{}, balance.Rejected{}, balance.Rejected{}}
	cases := []struct {
		name      string
		at        time.Time
		prepare   func(*balance.Pool, []balance.Candidate)
		low, high int
	}{
		{"all alike", soon, func(*balance.Pool, []balance.Candidate) {}, 150, 500},
		{"drained", soon, func(p *balance.Pool, c []balance.Candidate) { c[0].Drained = true; p.SetCandidates(start, c) }, 0, 0},
		{"leaving", soon, func(p *balance.Pool, _ []balance.Candidate) { observe(p, start, "0", balance.Leaving{}) }, 0, 0},
		{"leaving for 30 s", start.Add(30 * time.Second), func(p *balance.Pool, _ []balance.Candidate) {
			observe(p, start, "0", balance.Leaving{})
		}, 0, 0},
		{"left and is back", soon, func(p *balance.Pool, _ []balance.Candidate) {
			observe(p, start, "0", balance.Leaving{})
			p.MarkRejoined(start, "0")
		}, 1, 100},
		{"unreachable", soon, func(p *balance.Pool, _ []balance.Candidate) { observe(p, start, "0", balance.Unreachable{}) }, 0, 0},
		{"rejects requests", soon, func(p *balance.Pool, _ []balance.Candidate) { observe(p, start, "0", rejections...) }, 0, 0},
		{"rejected requests a minute ago", start.Add(time.Minute), func(p *balance.Pool, _ []balance.Candidate) {
			observe(p, start, "0", rejections...)
		}, 150, 500},
		{"frozen", start.Add(300 * time.Millisecond), func(p *balance.Pool, _ []balance.Candidate) { p.RequestStarted(start, "0") }, 0, 0},
		{"busy", soon, func(p *balance.Pool, _ []balance.Candidate) { p.RequestStarted(start, "0") }, 0, 100},
		{"just added", soon, func(p *balance.Pool, c []balance.Candidate) {
			p.SetCandidates(start, c[1:])
			p.SetCandidates(start, c)
		}, 1, 100},
		{"in another region", soon, func(p *balance.Pool, c []balance.Candidate) {
			c[0].Locality.Region = "x"
			p.SetCandidates(start, c)
		}, 10, 200},
		{"reported load with recent responses", soon, func(p *balance.Pool, _ []balance.Candidate) {
			p.RecordLoad(start, "0", balance.Load{Running: 50})
		}, 150, 500},
		{"reported load without recent responses", start.Add(4 * time.Second), func(p *balance.Pool, _ []balance.Candidate) {
			p.RecordLoad(start.Add(4*time.Second), "0", balance.Load{Running: 50})
		}, 0, 100},
		{"reported load that has expired", start.Add(4 * time.Second), func(p *balance.Pool, _ []balance.Candidate) {
			p.RecordLoad(start.Add(time.Second), "0", balance.Load{Running: 50})
		}, 150, 500},
		{"more than half look unhealthy", soon, func(p *balance.Pool, c []balance.Candidate) {
			for _, candidate := range c[:3] {
				observe(p, start, candidate.ID, balance.Unreachable{})
			}
		}, 100, 500},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			pool, candidates := newPool(4)
			test.prepare(pool, candidates)
			got := picks(pool, test.at, balance.Criteria{})["0"]
			if got < test.low || got > test.high {
				t.Fatalf("chosen %d times of 1,000, expected %d to %d", got, test.low, test.high)
			}
		})
	}
}

// Guards against an unreachable upstream that is never tried again, or is tried with a request that is not idempotent.
func TestTrial(t *testing.T) {
	is := is.New(t)
	pool, _ := newPool(3)
	observe(pool, start, "0", balance.Unreachable{})
	later := start.Add(600 * time.Millisecond)
	is.Equal(picks(pool, later, balance.Criteria{})["0"], 0)
	is.Equal(picks(pool, later, balance.Criteria{Idempotent: true})["0"], 1) // one trial at a time
	observe(pool, later, "0", balance.Responded{Latency: time.Millisecond})
	is.True(picks(pool, later, balance.Criteria{})["0"] > 0) // back with a reduced share
}

// Guards against large responses from another failure domain while an upstream in the daemon's own is available, and
// against failing such requests if none is.
func TestBulk(t *testing.T) {
	is := is.New(t)
	pool, candidates := newPool(4)
	candidates[0].Locality.Domain, candidates[1].Locality.Domain = "far", "far"
	pool.SetCandidates(start, candidates)
	got := picks(pool, start, balance.Criteria{Bulk: true})
	is.Equal(got["0"]+got["1"], 0)
	onlyFirst := func(id fleet.UpstreamID) bool { return id == "0" }
	is.Equal(picks(pool, start, balance.Criteria{Bulk: true, HasCapacity: onlyFirst})["0"], 1000)
}
