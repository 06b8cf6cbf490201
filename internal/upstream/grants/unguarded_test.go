package grants_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/ownership/assigner"
	"rosemarywick.example/rosemarywick/internal/upstream/grants"
)

// Guards against routers of an unguarded service that get no confirmed map, that use it after a table outage has let the
// authority expire, or that wait for the expiry of an authority that was handed over.
func TestUnguardedRunner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, _ := newCluster(0)
		hosts := []fleet.HostID{"h1", "h2", "h3", "h4"}
		var runners []*grants.UnguardedRunner
		var cancels []context.CancelFunc
		var done sync.WaitGroup
		for _, host := range hosts {
			runner := &grants.UnguardedRunner{
				Assigner: &assigner.UnguardedAssigner{
					Host: host, InstanceID: "1", Partitions: 64, Placer: modPlacer{}, Timing: assigner.DefaultUnguardedTiming(),
				},
				ConfirmedMap: &assigner.ConfirmedMap{Partitions: 64}, Service: "stock", Table: c, Peers: hostPeers{c, host},
				Publisher: c, Timer: timer.System{}, Log: zerolog.Nop(),
			}
			runner.SetHosts(hosts[:3])
			runner.SetServers([]assigner.Server{{ID: "a"}, {ID: "b"}})
			ctx, cancel := context.WithCancel(t.Context())
			runners, cancels = append(runners, runner), append(cancels, cancel)
			done.Go(func() { _ = runner.Run(ctx) })
		}
		confirmed := func() (count int) {
			for _, runner := range runners {
				if found, _, ok := runner.Locate(7); ok && found.Owner != "" {
					count++
				}
			}
			return count
		}
		wait := func(duration time.Duration) { _ = timer.Wait(t.Context(), timer.System{}, duration) }

		wait(3 * time.Second)
		is.Equal(confirmed(), 4) // all routers, including the one on a host that may not have authority
		c.setDown(true)
		wait(20 * time.Second)
		is.Equal(confirmed(), 4) // the authority survives a short outage of the table
		wait(15 * time.Second)
		is.Equal(confirmed(), 0) // the authority has expired
		c.setDown(false)
		wait(35 * time.Second)
		is.Equal(confirmed(), 4)
		for i, runner := range runners {
			if runner.HasAuthority() {
				cancels[i]()
				runners = append(runners[:i:i], runners[i+1:]...)
				break
			}
		}
		wait(3 * time.Second)
		is.Equal(confirmed(), 3) // another host has taken over
		for _, cancel := range cancels {
			cancel()
		}
		done.Wait()
	})
}
