package rangegrants_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/ownership/ranges"
)

// evacuated is the number of servers of newCluster that TestEvacuation evacuates, and evacuationTime the time until they get no
// requests.
const (
	evacuated      = 4
	evacuationTime = 2500 * time.Millisecond
)

// evacuate makes servers leave with a common drain deadline, and returns how many ranges each process had accepted before.
func (c *cluster) evacuate() map[ranges.Owner]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	accepted := make(map[ranges.Owner]int)
	for i := range evacuated {
		id := fleet.UpstreamID(fmt.Sprint("s", i))
		c.servers[id].leaving, c.servers[id].drainDeadline = true, time.Now().Add(evacuationTime)
		accepted[c.servers[id].owner] = len(c.accepted[c.servers[id].owner])
	}
	c.notifyChanged()
	return accepted
}

// keysThere returns the number of keys that evacuated servers own.
func (c *cluster) keysThere() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum := 0
	for i := range evacuated {
		latest := make(map[fleet.KeyRange]bool) // each renewal is listed
		for _, granted := range c.servers[fleet.UpstreamID(fmt.Sprint("s", i))].grants {
			if granted.expiresAt.After(time.Now()) && !latest[granted.keys] {
				latest[granted.keys] = true
				sum += granted.keys.Size()
			}
		}
	}
	return sum
}

// checkNoNewGrants fails the test if an evacuated server accepted a key that it did not own, whichever of its processes did.
func (c *cluster) checkNoNewGrants(before map[ranges.Owner]int) {
	c.t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	for evacuated := range before {
		for owner, accepted := range c.accepted {
			if owner.ID != evacuated.ID {
				continue
			}
			for _, later := range accepted[before[owner]:] {
				if !later.owned {
					c.t.Errorf("%s was granted %s with fence %d after its evacuation", owner.ID, later.keys, later.fence)
				}
			}
		}
	}
}

// Guards against keys of a third of the servers that all move at once, are still there at the drain deadline, are granted there anew,
// or have two owners, also if the assigner is lost halfway or a server there restarts or is lost.
func TestEvacuation(t *testing.T) {
	for name, test := range map[string]struct {
		// fault happens halfway. within is the time from the evacuation until no key is owned there.
		fault  func(c *cluster, first *daemon)
		within time.Duration
	}{
		"no fault": {nil, evacuationTime},
		"assigner is lost": {func(_ *cluster, first *daemon) {
			first.update(func(d *daemon) { d.storeRejects, d.serversUnreachable = true, true })
		}, leaseDuration + 3*time.Second},
		"server restarts": {func(c *cluster, _ *daemon) {
			c.startServer("s3")
			c.updateServer("s3", func(s *fakeServer) { s.leaving, s.drainDeadline = true, time.Now().Add(time.Second) })
		}, evacuationTime},
		"server crashes": {func(c *cluster, _ *daemon) {
			c.updateServer("s3", func(s *fakeServer) { s.crashed, s.grants = true, nil })
		}, evacuationTime},
	} {
		t.Run(name, func(t *testing.T) {
			testEvacuation(t, test.fault, test.within)
		})
	}
}

// Guards against the same if the assigner stops halfway: it releases its lease, so that the next one is elected at once.
func TestEvacuationOverStop(t *testing.T) {
	testEvacuation(t, func(_ *cluster, first *daemon) { first.stop() }, evacuationTime)
}

// testEvacuation evacuates a third of the servers and checks that no key is owned there after a time.
func testEvacuation(t *testing.T, fault func(c *cluster, first *daemon), within time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, 12)
		first := c.startDaemon("a")
		c.awaitAllOwned(5*time.Second, "initially")
		second := c.startDaemon("b")
		sleep(5 * time.Second)
		started, initial := time.Now(), c.keysThere()
		before := c.evacuate()
		sleep(800 * time.Millisecond)
		if left := c.keysThere(); left < initial/4 || left > initial*3/4 {
			t.Errorf("%d of %d keys are there after two steps", left, initial)
		}
		if fault != nil {
			fault(c, first)
		}
		sleep(within - time.Since(started))
		if left := c.keysThere(); left > 0 {
			t.Errorf("%d of %d keys are still there after %s", left, initial, within)
		}
		c.awaitAllOwned(grantDuration+2*time.Second, "at the end")
		c.checkNoNewGrants(before)
		c.stopAndCheck(first, second)
	})
}
