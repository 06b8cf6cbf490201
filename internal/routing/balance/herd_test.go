package balance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/routing/balance"
	"rosemarywick.example/rosemarywick/internal/routing/ratelimit"
)

// herd plays daemons that send requests to upstreams of which some are cold. One limiter decides for all daemons, without delay.
type herd struct {
	random  *rand.Rand
	keeper  ratelimit.Limiter
	limit   ratelimit.Limit
	pools   []*balance.Pool
	cold    int
	held    map[fleet.UpstreamID]time.Time
	running map[fleet.UpstreamID]int
	// warm is the number of slots of an upstream, and busy how long a request runs there. A cold one takes three times as long.
	slots int
	busy  time.Duration
	// toCold holds the times of the requests to each cold upstream, refused counts requests that found no upstream.
	toCold  map[fleet.UpstreamID][]time.Time
	sent    int
	refused int
	ends    []runningRequest
}

// runningRequest is a request that an upstream runs until a time.
type runningRequest struct {
	until    time.Time
	pool     *balance.Pool
	upstream fleet.UpstreamID
	took     time.Duration
}

func newHerd(daemons, upstreams, cold int) *herd {
	h := &herd{
		random: rand.New(rand.NewPCG(3, 3)), cold: cold, slots: 3, busy: 270 * time.Millisecond,
		held: map[fleet.UpstreamID]time.Time{}, running: map[fleet.UpstreamID]int{}, toCold: map[fleet.UpstreamID][]time.Time{},
		limit: ratelimit.Limit{
			Reason: ratelimit.Cold, PerSecond: 5.6, Allowance: ratelimit.Allowance{Factor: 1.5, Extra: 8, Window: time.Second},
		},
	}
	for range daemons {
		pool, _ := newPool(upstreams)
		h.pools = append(h.pools, pool)
	}
	return h
}

func (h *herd) isCold(id fleet.UpstreamID) bool {
	number := 0
	_, _ = fmt.Sscan(string(id), &number)
	return number < h.cold
}

// request lets a daemon send a request. An upstream with no free slot refuses it, as the daemons' limits would.
func (h *herd) request(now time.Time, pool *balance.Pool) {
	for {
		id, ok := pool.Pick(now, balance.Criteria{IsCold: h.isCold, HasCapacity: func(id fleet.UpstreamID) bool {
			return !now.Before(h.held[id]) && h.running[id] < h.slots
		}})
		if !ok {
			h.refused++
			return
		}
		took := h.busy
		if h.isCold(id) {
			took *= 3
			if denied, ok := h.keeper.Reserve(now, id, h.limit.Rate(), 0).(ratelimit.Denied); ok {
				h.held[id] = now.Add(denied.RetryAfter)
				continue // another upstream runs it
			}
			h.toCold[id] = append(h.toCold[id], now)
		}
		h.sent++
		h.running[id]++
		pool.RequestStarted(now, id)
		h.ends = append(h.ends, runningRequest{until: now.Add(took), pool: pool, upstream: id, took: took})
		return
	}
}

// run plays a span with a number of requests a second.
func (h *herd) run(span time.Duration, perSecond float64) {
	const step = time.Millisecond
	for now := start; now.Before(start.Add(span)); now = now.Add(step) {
		var left []runningRequest
		for _, request := range h.ends {
			if now.Before(request.until) {
				left = append(left, request)
				continue
			}
			h.running[request.upstream]--
			request.pool.RequestEnded(now, request.upstream, balance.Responded{Latency: request.took})
		}
		h.ends = left
		for due := h.random.ExpFloat64(); due < perSecond*step.Seconds(); due += h.random.ExpFloat64() {
			h.request(now, h.pools[h.random.IntN(len(h.pools))])
		}
	}
}

// busiest returns the largest number of requests that one cold upstream got within a second, and the number that all got.
func (h *herd) busiest() (most, all int) {
	for _, times := range h.toCold {
		first := 0
		all += len(times)
		for last := range times {
			for times[last].Sub(times[first]) >= time.Second {
				first++
			}
			most = max(most, last-first+1)
		}
	}
	return most, all
}

// Pattern: the upstreams of a failure domain come back cold at the same moment. Guards against requests to cold upstreams while
// others can run them, against more than a cold one survives, and against cold ones that stay idle while no other can run them.
func TestHerdOfColdUpstreams(t *testing.T) {
	const upstreams, cold = 60, 15
	for name, test := range map[string]struct {
		perSecond   float64
		wantAtMost  int
		wantAtLeast int
		mayRefuse   bool
	}{
		"few requests":                    {100, 30, 0, false}, // 500 a second fit
		"more than the warm ones can run": {600, 400, 150, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHerd(20, upstreams, cold)
			h.run(4*time.Second, test.perSecond)
			most, all := h.busiest()
			t.Logf("sent %d, refused %d, to cold upstreams %d, busiest second of one %d", h.sent, h.refused, all, most)
			is.True(float64(most) <= h.limit.Allowance.Factor*h.limit.PerSecond+h.limit.Allowance.Extra)
			is.True(all >= test.wantAtLeast && all <= test.wantAtMost)
			is.True(test.mayRefuse || h.refused == 0)
		})
	}
}
