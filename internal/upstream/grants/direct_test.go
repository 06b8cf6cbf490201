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

// Guards against routers of an unguarded service that get no confirmed map, keep one beyond the outage of the table that
// ends the authority, or wait for the whole authority after it was handed over.
func TestDirect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, _ := newWorld(0)
		hosts := []fleet.HostID{"h1", "h2", "h3", "h4"}
		var nodes []*grants.UnguardedRunner
		var cancels []context.CancelFunc
		var done sync.WaitGroup
		for _, host := range hosts {
			node := &grants.UnguardedRunner{
				Assigner: &assigner.UnguardedAssigner{
					Host: host, InstanceID: "1", Partitions: 64, Placer: spread{}, Timing: assigner.DefaultUnguardedTiming(),
				},
				ConfirmedMap: &assigner.ConfirmedMap{Partitions: 64}, Service: "stock", Table: w, Peers: port{w, host},
				Publisher: w, Timer: timer.System{}, Log: zerolog.Nop(),
			}
			node.SetHosts(hosts[:3])
			node.SetServers([]assigner.Server{{ID: "a"}, {ID: "b"}})
			ctx, cancel := context.WithCancel(t.Context())
			nodes, cancels = append(nodes, node), append(cancels, cancel)
			done.Go(func() { _ = node.Run(ctx) })
		}
		confirmed := func() (count int) {
			for _, node := range nodes {
				if found, _, ok := node.Locate(7); ok && found.Owner != "" {
					count++
				}
			}
			return count
		}
		pass := func(length time.Duration) { _ = timer.Wait(t.Context(), timer.System{}, length) }

		pass(3 * time.Second)
		is.Equal(confirmed(), 4) // all routers, one of them on a host that cannot have authority
		w.setDown(true)
		pass(20 * time.Second)
		is.Equal(confirmed(), 4) // the authority outlasts a short outage
		pass(15 * time.Second)
		is.Equal(confirmed(), 0) // the authority has ended
		w.setDown(false)
		pass(35 * time.Second)
		is.Equal(confirmed(), 4)
		for i, node := range nodes {
			if node.HasAuthority() {
				cancels[i]()
				nodes = append(nodes[:i:i], nodes[i+1:]...)
				break
			}
		}
		pass(3 * time.Second)
		is.Equal(confirmed(), 3) // another host took over after the hand-over
		for _, cancel := range cancels {
			cancel()
		}
		done.Wait()
	})
}
