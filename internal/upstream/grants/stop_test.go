package grants_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/ownership/assigner"
	"rosemarywick.example/rosemarywick/internal/upstream/grants"
)

// heldPartitions returns the number of partitions that the servers hold.
func (c *cluster) heldPartitions() int {
	count := 0
	for _, server := range c.servers {
		for partition := range fleet.PartitionID(64) {
			if server.Holds(partition) {
				count++
			}
		}
	}
	return count
}

// Guards against a planned stop of the acting host that leaves all keys without an owner, because the deputy that takes over
// the role has just been stopped as well.
func TestStopTogetherWithDeputy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, upstreams := newCluster(5)
		hosts := []fleet.Host{{ID: "h1"}, {ID: "h2"}, {ID: "h3"}}
		cancelByRole := make(map[assigner.Role]context.CancelFunc)
		var done sync.WaitGroup
		runners := make(map[*grants.Runner]context.CancelFunc)
		for _, host := range hosts {
			runner := c.runner(host.ID, upstreams, hosts)
			ctx, cancel := context.WithCancel(t.Context())
			done.Go(func() { _ = runner.Run(ctx) })
			runners[runner] = cancel
		}
		_ = timer.Wait(t.Context(), timer.System{}, 3*time.Second)
		is.Equal(c.heldPartitions(), 64)
		for runner, cancel := range runners {
			role, _ := runner.Role()
			cancelByRole[role] = cancel
		}
		is.Equal(len(cancelByRole), 3) // one acting, one deputy, one watching

		cancelByRole[assigner.RoleDeputy]()
		cancelByRole[assigner.RoleActing]()
		for range 500 {
			_ = timer.Wait(t.Context(), timer.System{}, 10*time.Millisecond)
			is.Equal(c.heldPartitions(), 64) // every partition has an owner at any time
		}
		cancelByRole[assigner.RoleWatching]()
		done.Wait()
	})
}
