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

// held returns the number of partitions that the servers hold.
func (w *world) held() int {
	count := 0
	for _, server := range w.servers {
		for partition := range fleet.PartitionID(64) {
			if server.Holds(partition) {
				count++
			}
		}
	}
	return count
}

// Guards against a planned stop of the acting host that leaves every key without an owner because the deputy, to whom it
// hands the role, has just been stopped, too.
func TestStopTogetherWithDeputy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, upstreams := newWorld(5)
		hosts := []fleet.Host{{ID: "h1"}, {ID: "h2"}, {ID: "h3"}}
		cancels := make(map[assigner.Role]context.CancelFunc)
		var done sync.WaitGroup
		runners := make(map[*grants.Runner]context.CancelFunc)
		for _, host := range hosts {
			runner := w.runner(host.ID, upstreams, hosts)
			ctx, cancel := context.WithCancel(t.Context())
			done.Go(func() { _ = runner.Run(ctx) })
			runners[runner] = cancel
		}
		_ = timer.Wait(t.Context(), timer.System{}, 3*time.Second)
		is.Equal(w.held(), 64)
		for runner, cancel := range runners {
			role, _ := runner.Role()
			cancels[role] = cancel
		}
		is.Equal(len(cancels), 3) // one acts, one is the deputy, one watches

		cancels[assigner.RoleDeputy]()
		cancels[assigner.RoleActing]()
		for range 500 {
			_ = timer.Wait(t.Context(), timer.System{}, 10*time.Millisecond)
			is.Equal(w.held(), 64) // no partition is without an owner at any time
		}
		cancels[assigner.RoleWatching]()
		done.Wait()
	})
}
