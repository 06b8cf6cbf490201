package balance_test

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/routing/balance"
	"rosemarywick.example/rosemarywick/internal/routing/ratelimit"
)

const (
	// The herd has 60 upstreams of three slots, of which 15 are cold. A request takes 270 ms, and three times as long at a cold one.
	herdUpstreams, herdCold, herdSlots = 60, 15, 3
	herdDuration                       = 270 * time.Millisecond
)

func isHerdCold(id fleet.UpstreamID) bool {
	number, _ := strconv.Atoi(string(id))
	return number < herdCold
}

// playHerd sends requests at a rate for 4 s through 20 daemons, which ask one limiter. It returns the times of the requests to each cold
// upstream, and the number of requests that no upstream could run.
func playHerd(limit ratelimit.Limit, perSecond int) (toCold map[fleet.UpstreamID][]time.Time, refused int) {
	type running struct {
		until time.Time
		pool  *balance.Pool
		id    fleet.UpstreamID
		took  time.Duration
	}
	var pools []*balance.Pool
	for range 20 {
		pool, _ := newPool(herdUpstreams)
		pools = append(pools, pool)
	}
	keeper, held, busy := &ratelimit.Limiter{}, map[fleet.UpstreamID]time.Time{}, map[fleet.UpstreamID]int{}
	toCold = map[fleet.UpstreamID][]time.Time{}
	var ends []running
	for i := range 4 * perSecond {
		now, pool := start.Add(time.Duration(i)*time.Second/time.Duration(perSecond)), pools[i%len(pools)]
		ends = slices.DeleteFunc(ends, func(ended running) bool {
			if now.Before(ended.until) {
				return false
			}
			busy[ended.id]--
			ended.pool.RequestEnded(now, ended.id, balance.Responded{Latency: ended.took})
			return true
		})
		for {
			id, ok := pool.Pick(now, balance.Criteria{IsCold: isHerdCold, HasCapacity: func(id fleet.UpstreamID) bool {
				return !now.Before(held[id]) && busy[id] < herdSlots
			}})
			if !ok {
				refused++
				break
			}
			took := herdDuration
			if isHerdCold(id) {
				if denied, ok := keeper.Reserve(now, id, limit.Rate(), 0).(ratelimit.Denied); ok {
					held[id] = now.Add(denied.RetryAfter)
					continue // another upstream runs it
				}
				took *= 3
				toCold[id] = append(toCold[id], now)
			}
			busy[id]++
			pool.RequestStarted(now, id)
			ends = append(ends, running{until: now.Add(took), pool: pool, id: id, took: took})
			break
		}
	}
	return toCold, refused
}

// Pattern: the upstreams of a failure domain come back cold at the same moment. Guards against requests to cold upstreams while
// others can run them, against more than a cold one survives, and against cold ones that stay idle while no other can run them.
func TestHerdOfColdUpstreams(t *testing.T) {
	limit := ratelimit.Limit{
		Reason: ratelimit.Cold, PerSecond: 5.6, Allowance: ratelimit.Allowance{Factor: 1.5, Extra: 8, Window: time.Second},
	}
	for name, test := range map[string]struct{ perSecond, atLeast, atMost int }{
		"few requests":                    {100, 0, 30}, // the others run 500 a second
		"more than the warm ones can run": {600, 150, 400},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			toCold, refused := playHerd(limit, test.perSecond)
			most, all := 0, 0
			for _, times := range toCold {
				all += len(times)
				for first, at := range times {
					within := slices.IndexFunc(times[first:], func(later time.Time) bool { return later.Sub(at) >= time.Second })
					if within < 0 {
						within = len(times) - first
					}
					most = max(most, within)
				}
			}
			t.Logf("refused %d, to cold upstreams %d, busiest second of one %d", refused, all, most)
			is.True(float64(most) <= limit.Allowance.Factor*limit.PerSecond+limit.Allowance.Extra)
			is.True(all >= test.atLeast && all <= test.atMost)
			is.True(refused == 0 || test.perSecond > 500)
		})
	}
}
