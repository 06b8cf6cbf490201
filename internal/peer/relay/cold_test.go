package relay

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/peer/wire"
	"rosemarywick.example/rosemarywick/internal/routing/ratelimit"
)

// coldAllowance is what cold upstreams survive in the deployments at hand.
var coldAllowance = ratelimit.Allowance{Factor: 1.5, Extra: 8, Window: time.Second}

// Pattern: the upstreams of a failure domain come back cold at the same moment, and all daemons send them requests. Guards against more
// requests to one of them than it survives while the relay that keeps its schedule vanishes or is replaced, and against upstreams
// that get nothing for long after that.
func TestColdHerdDuringLossOfKeeper(t *testing.T) {
	for name, lose := range map[string]func(n *network, keeper *daemon){
		"no loss":      func(*network, *daemon) {},
		"killed":       func(_ *network, keeper *daemon) { keeper.stop() },
		"planned stop": func(_ *network, keeper *daemon) { keeper.Leave() },
		"silent":       func(n *network, keeper *daemon) { n.setSilent(keeper.Local.ID, "") },
	} {
		for _, daemons := range []int{12, 87} {
			t.Run(fmt.Sprint(name, " ", daemons), func(t *testing.T) {
				inBubble(t, func(t *testing.T) {
					is := is.New(t)
					const herd, limit = 8, 5.6
					n := newNetwork(t, daemons, 4)
					sleep(started)
					var demands []*demand
					var tasks sync.WaitGroup
					for i := range herd {
						next := &demand{network: n, upstream: fleet.UpstreamID(fmt.Sprint("u", i)), limit: limit, cold: true, perSecond: 4 * limit}
						demands = append(demands, next)
						tasks.Go(func() { next.run(9*time.Second, rand.New(rand.NewPCG(uint64(i), uint64(daemons)))) })
					}
					sleep(3 * time.Second)
					relay, ok := n.running()[0].members.keeper("u0")
					is.True(ok)
					n.mu.Lock()
					keeper := n.daemons[relay.Host]
					n.mu.Unlock()
					lose(n, keeper)
					tasks.Wait()
					for _, sent := range demands {
						if most, allowed := sent.busiest(), coldAllowance.Factor*limit+coldAllowance.Extra; float64(most) > allowed {
							t.Errorf("%s got %d requests within a second, allowed %v", sent.upstream, most, allowed)
						}
						is.True(len(sent.sent) >= 20) // at least half of the rate over the whole span
					}
					t.Logf("busiest second: %d requests, sent: %d", demands[0].busiest(), len(demands[0].sent))
				})
			})
		}
	}
}

// Guards against a second schedule for a cold upstream at a relay that does not keep its limit by its own list, and against a daemon
// that does not ask a relay for a while because it has said so.
func TestOnlyKeeperDecidesAboutColdUpstreams(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(t, 4, 2)
		sleep(started)
		keeper, ok := n.running()[0].members.keeper("u")
		is.True(ok)
		cold := ratelimit.Limit{Reason: ratelimit.Cold, PerSecond: 5.6, Allowance: coldAllowance}.Rate()
		stated := ratelimit.Rate{Reason: ratelimit.Stated, PerSecond: 5}
		for _, daemon := range n.running() {
			is.Equal(daemon.decideReserve("u", cold, time.Second) != nil, daemon.Local.ID == keeper.Host)
			is.True(daemon.decideReserve("v", stated, time.Second) != nil)
		}
		asking := n.running()[0]
		sequence, response, ok := asking.reservations.begin(time.Now(), keeper.Run)
		is.True(ok)
		asking.reservations.deliver(&wire.Reserved{Sequence: sequence, NotKeeper: true})
		is.Equal(<-response, nil)
		_, _, ok = asking.reservations.begin(time.Now(), keeper.Run)
		is.True(ok)
	})
}
