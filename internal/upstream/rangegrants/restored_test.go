package rangegrants_test

import (
	"testing"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// Guards against two servers that own the same keys because the store came back from an older copy: the assigner takes the
// table of the copy for the last one, whether it goes on itself or another daemon takes over, with or without a newer table.
func TestStoreRestoredFromCopy(t *testing.T) {
	for name, test := range map[string]struct {
		// outage is how long the store is away before it comes back.
		outage time.Duration
		// informed lets the second daemon receive tables as they are written.
		informed bool
		// change happens between the copy and the outage.
		change func(c *cluster, first *daemon)
	}{
		"nothing was lost": {time.Second, true, func(*cluster, *daemon) {}},
		"short outage":     {100 * time.Millisecond, false, moveKeys},
		"long outage":      {3 * time.Second, true, moveKeys},
		"no one knows": {3 * time.Second, false, func(c *cluster, first *daemon) {
			moveKeys(c, first)
			first.stop()
		}},
		"assigner is cut off": {500 * time.Millisecond, false, func(c *cluster, first *daemon) {
			moveKeys(c, first)
			first.update(func(d *daemon) { d.storeRejects = true })
		}},
		"a server is lost": {time.Second, false, func(c *cluster, first *daemon) {
			moveKeys(c, first)
			first.update(func(d *daemon) { d.storeRejects = true })
			c.updateServer("s2", func(s *fakeServer) { s.crashed = true })
		}},
	} {
		t.Run(name, func(t *testing.T) {
			runWithSeeds(t, 5, func(c *cluster, first *daemon, _ uint64) {
				second := c.startDaemon("b")
				second.update(func(d *daemon) { d.followsTable = test.informed })
				sleep(3 * time.Second)
				second.knownTable()
				copied := c.store.copyRows()
				test.change(c, first)
				second.knownTable()
				c.store.update(func(s *fakeStore) { s.down = true })
				sleep(test.outage)
				c.store.restore(copied)
				c.store.update(func(s *fakeStore) { s.down = false })
				sleep(2 * grantDuration)
				c.awaitAllOwned(outageGrantDuration, name)
				c.stopAndCheck(first, second)
			})
		})
	}
}

// moveKeys makes keys change hands several times.
func moveKeys(c *cluster, _ *daemon) {
	for _, id := range []string{"s0", "s1", "s0", "s3"} {
		c.updateServer(fleet.UpstreamID(id), func(s *fakeServer) { s.leaving = true })
		sleep(400 * time.Millisecond)
		c.updateServer(fleet.UpstreamID(id), func(s *fakeServer) { s.leaving = false })
		sleep(400 * time.Millisecond)
	}
}
