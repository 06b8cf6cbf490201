package entry

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/routing/balance"
)

// Guards against a daemon that does not learn what daemons of other failure domains measured at an upstream, against requests that
// are counted twice, and against malformed messages that change the sums.
func TestFleetLoadsOfTwoDomains(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		adopted := make(map[fleet.UpstreamID]balance.FleetLoad)
		newLoads := func() *fleetLoads {
			return &fleetLoads{
				clock: timer.System{}, log: zerolog.Nop(),
				upstreams: func() map[fleet.ServiceName][]fleet.UpstreamID {
					return map[fleet.ServiceName][]fleet.UpstreamID{"s": {"u1", "u2"}}
				},
				onSums: func(_ fleet.ServiceName, loads map[fleet.UpstreamID]balance.FleetLoad) { adopted = loads },
			}
		}
		one, other := newLoads(), newLoads()
		is.Equal(one.Sums(), nil)
		is.Equal(one.TakeDomain(), nil)
		for range 60 { // 10 requests/s of 200 ms in one domain, and 20/s of 500 ms in the other
			_ = timer.Wait(t.Context(), timer.System{}, time.Second)
			one.Add(unkeyedReport{"s": {"u1": {10, 2000}, "gone": {1, 1}, "u2": {-1, 5}}})
			other.Add(unkeyedReport{"s": {"u1": {20, 10000}}})
			one.AddDomain(other.TakeDomain())
			is.Equal(other.TakeDomain(), nil)
			for _, malformed := range [][]byte{{1}, {9, 's'}, {1, 's', 1, 0, 0, 0, 0, 255}, {1, 's', 200, 1}} {
				one.AddDomain(malformed)
				other.Adopt(malformed)
			}
			if sums := one.Sums(); sums != nil {
				other.Adopt(sums)
			}
		}
		is.Equal(len(adopted), 1)
		is.Equal(adopted["u1"].MeanDuration, 400*time.Millisecond)
		is.True(adopted["u1"].InFlight > 11.5 && adopted["u1"].InFlight <= 12)
	})
}
