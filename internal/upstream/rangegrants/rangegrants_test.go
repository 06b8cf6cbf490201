package rangegrants_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// awaitAllOwned waits until a server owns every key, and fails if that takes longer than within.
func (c *cluster) awaitAllOwned(within time.Duration, when string) {
	c.t.Helper()
	for end := time.Now().Add(within); time.Now().Before(end); sleep(20 * time.Millisecond) {
		if c.unownedKeys() == 0 {
			return
		}
	}
	c.t.Fatalf("%s: %d keys without an owner after %s", when, c.unownedKeys(), within)
}

// stopAndCheck stops the daemons and fails if an invariant was ever violated.
func (c *cluster) stopAndCheck(daemons ...*daemon) {
	c.t.Helper()
	for _, d := range daemons {
		d.stop()
	}
	for _, d := range daemons {
		<-d.done
	}
	sleep(maxDelay)
	if c.violation != nil {
		c.t.Fatal(c.violation)
	}
}

// runWithSeeds runs a scenario with ten seeds. It starts when the first daemon has granted all keys.
func runWithSeeds(t *testing.T, servers int, scenario func(c *cluster, first *daemon, seed uint64)) {
	t.Helper()
	for seed := range uint64(10) {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, seed, servers)
			first := c.startDaemon("a")
			c.awaitAllOwned(5*time.Second, "initially")
			scenario(c, first, seed)
		})
	}
}

// Guards against keys that stay without an owner after a single fault. The time limits follow from the durations of the lease and
// of grants: where nothing proves that a process has ended, its grants have to expire. An assigner that was lost may have sent
// grants with the duration for outages; one that stops says when its grants end.
func TestRecoversFromFault(t *testing.T) {
	cases := []struct {
		name   string
		fault  func(c *cluster, first, second *daemon)
		within time.Duration
	}{
		{"server crashes", func(c *cluster, _, _ *daemon) {
			c.updateServer("s1", func(s *fakeServer) { s.crashed = true })
		}, grantDuration + 2*time.Second},
		{"server crashes and another one gets its address", func(c *cluster, _, _ *daemon) {
			c.replaceServer("s1", "n")
		}, 2 * time.Second},
		{"server stops responding", func(c *cluster, _, _ *daemon) {
			c.updateServer("s1", func(s *fakeServer) { s.unreachable, s.grants = true, nil })
		}, grantDuration + 2*time.Second},
		{"server leaves", func(c *cluster, _, _ *daemon) {
			c.updateServer("s1", func(s *fakeServer) { s.leaving = true })
		}, time.Second},
		{"server restarts under its id", func(c *cluster, _, _ *daemon) { c.startServer("s1") }, 2 * time.Second},
		{"assigner stops", func(c *cluster, first, _ *daemon) {
			first.stop()
			sleep(2 * time.Second)
			c.updateServer("s1", func(s *fakeServer) { s.crashed = true })
		}, grantDuration + 2*time.Second},
		{"assigner loses its connection to the store", func(c *cluster, first, _ *daemon) {
			first.update(func(d *daemon) { d.storeRejects = true })
			sleep(5 * time.Second)
			c.updateServer("s1", func(s *fakeServer) { s.crashed = true })
		}, leaseDuration + outageGrantDuration - 3*time.Second},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 1, 5)
				first := c.startDaemon("a")
				c.awaitAllOwned(5*time.Second, "initially")
				second := c.startDaemon("b")
				sleep(10 * time.Second)
				test.fault(c, first, second)
				sleep(20 * time.Millisecond)
				c.awaitAllOwned(test.within, test.name)
				c.stopAndCheck(first, second)
			})
		})
	}
}

// Guards against a key that is given to another server while a server that leaves still runs requests for it: such a server may
// refuse connections before its last requests have ended, so that a refusal does not prove the end of its process.
func TestLeavingServerRefusesConnections(t *testing.T) {
	for name, leave := range map[string]func(*cluster){
		"draining":     func(c *cluster) { c.updateServer("s1", func(s *fakeServer) { s.leaving, s.closed = true, true }) },
		"unregistered": func(c *cluster) { c.updateServer("s1", func(s *fakeServer) { s.unregistered, s.closed = true, true }) },
	} {
		t.Run(name, func(t *testing.T) {
			runWithSeeds(t, 3, func(c *cluster, first *daemon, _ uint64) {
				sleep(10 * time.Second)
				leave(c)
				sleep(grantDuration + 2*time.Second)
				c.awaitAllOwned(20*time.Millisecond, name)
				c.stopAndCheck(first)
			})
		})
	}
}

// Guards against a key with two owners while new connections to a server are refused that lives and keeps its grants: the assigner
// that finds this out may have granted the keys itself, or have just been elected.
func TestRefusedConnectionsProveNothing(t *testing.T) {
	for name, first := range map[string]func(*cluster, *daemon){
		"same assigner":    func(*cluster, *daemon) {},
		"assigner stops":   func(_ *cluster, first *daemon) { first.stop() },
		"assigner is lost": func(_ *cluster, first *daemon) { first.update(func(d *daemon) { d.storeRejects = true }) },
		"assigner is lost later": func(_ *cluster, first *daemon) {
			sleep(time.Second)
			first.update(func(d *daemon) { d.storeRejects = true })
		},
		"server is back":    func(c *cluster, _ *daemon) { c.reopen("s1", time.Second) },
		"server flickers":   func(c *cluster, _ *daemon) { c.reopen("s1", 400*time.Millisecond) },
		"all are cut off":   func(c *cluster, _ *daemon) { c.closeServers("s0", "s2", "s3") },
		"server leaves too": func(c *cluster, _ *daemon) { c.updateServer("s2", func(s *fakeServer) { s.leaving = true }) },
	} {
		t.Run(name, func(t *testing.T) {
			runWithSeeds(t, 4, func(c *cluster, assigner *daemon, seed uint64) {
				second := c.startDaemon("b")
				sleep(time.Duration(15000+37*seed) * time.Millisecond)
				c.closeServers("s1")
				first(c, assigner)
				sleep(leaseDuration + outageGrantDuration + 3*time.Second)
				c.reopen("s0", 0)
				c.reopen("s2", 0)
				c.reopen("s3", 0)
				c.awaitAllOwned(grantDuration+2*time.Second, name)
				c.stopAndCheck(assigner, second)
			})
		})
	}
}

// Guards against a key with two owners after several planned stops in a row: an assigner that was just elected says when the grants
// of those before it end, and one of them may have sent grants with the duration for outages.
func TestStopsPassOnExpiry(t *testing.T) {
	runWithSeeds(t, 4, func(c *cluster, first *daemon, seed uint64) {
		second := c.startDaemon("b")
		sleep(time.Duration(15000+37*seed) * time.Millisecond)
		c.store.update(func(s *fakeStore) { s.down = true })
		sleep(leaseDuration - 300*time.Millisecond) // grants for an outage are sent
		c.store.update(func(s *fakeStore) { s.down = false })
		sleep(time.Second)
		c.closeServers("s1")
		first.stop()
		sleep(time.Second)
		second.stop()
		third := c.startDaemon("c")
		sleep(2 * outageGrantDuration)
		c.awaitAllOwned(20*time.Millisecond, "after the grants ended")
		c.stopAndCheck(first, second, third)
	})
}

// Guards against a key with two owners because the entry of an earlier start of a server is written late: the keys of the present process
// would be given on while it holds them. The assigner may have seen the present entry, or may not.
func TestLateEntryOfEarlierStart(t *testing.T) {
	for name, newAssigner := range map[string]bool{"known": false, "new assigner": true} {
		t.Run(name, func(t *testing.T) {
			runWithSeeds(t, 4, func(c *cluster, first *daemon, seed uint64) {
				second := c.startDaemon("b")
				sleep(time.Duration(15000+37*seed) * time.Millisecond)
				c.mu.Lock()
				earlier := c.servers["s1"].owner
				c.startServerAt("s1", netip.MustParseAddrPort("10.0.1.1:80"))
				c.mu.Unlock()
				sleep(grantDuration + 2*time.Second)
				if newAssigner {
					first.stop()
				}
				c.updateServer("s1", func(s *fakeServer) { s.listed = &earlier })
				sleep(time.Second)
				c.updateServer("s1", func(s *fakeServer) { s.listed = nil })
				sleep(outageGrantDuration)
				c.awaitAllOwned(time.Second, name)
				c.stopAndCheck(first, second)
			})
		})
	}
}

// Guards against a server that is granted keys with the fence of its earlier start: it starts again under its ID and address, and the
// registry does not show it, because it cannot reach the store. The assigner may change meanwhile.
func TestServerRestartsUnseen(t *testing.T) {
	for name, newAssigner := range map[string]bool{"same assigner": false, "new assigner": true} {
		t.Run(name, func(t *testing.T) {
			runWithSeeds(t, 4, func(c *cluster, first *daemon, seed uint64) {
				second := c.startDaemon("b")
				sleep(time.Duration(15000+37*seed) * time.Millisecond)
				c.mu.Lock()
				earlier := c.servers["s1"].owner
				c.servers["s1"].crashed = true
				c.mu.Unlock()
				if newAssigner {
					first.stop()
				}
				sleep(time.Duration(seed%3) * 50 * time.Millisecond)
				c.startServer("s1")
				c.updateServer("s1", func(s *fakeServer) { s.listed = &earlier })
				sleep(5 * time.Second)
				c.awaitAllOwned(time.Second, "while the entry is the earlier one")
				c.updateServer("s1", func(s *fakeServer) { s.listed = nil })
				sleep(3 * time.Second)
				c.awaitAllOwned(time.Second, "after the server registered")
				c.stopAndCheck(first, second)
			})
		})
	}
}

// Guards against a server that is granted keys with the fence of its earlier start because a plan has moved a part of its range
// meanwhile: the rest keeps its fence, and must not pass for a range that was never granted.
func TestServerRestartsUnseenDuringMove(t *testing.T) {
	for name, lostWrites := range map[string]bool{"store responds": false, "responses of the store are lost": true} {
		t.Run(name, func(t *testing.T) {
			runWithSeeds(t, 2, func(c *cluster, first *daemon, seed uint64) {
				second := c.startDaemon("b")
				sleep(time.Duration(15000+37*seed) * time.Millisecond)
				if lostWrites {
					c.store.update(func(s *fakeStore) { s.ackLossRate = 0.5 })
				}
				c.startServer("n") // it gets a part of the ranges of the others
				sleep(time.Duration(seed) * 5 * time.Millisecond)
				for _, id := range []fleet.UpstreamID{"s0", "s1"} {
					c.mu.Lock()
					earlier := c.servers[id].owner
					c.mu.Unlock()
					c.startServer(id)
					c.updateServer(id, func(s *fakeServer) { s.listed = &earlier })
				}
				sleep(5 * time.Second)
				c.store.update(func(s *fakeStore) { s.ackLossRate = 0 })
				sleep(3 * time.Second)
				c.awaitAllOwned(time.Second, "while the entries are the earlier ones")
				c.stopAndCheck(first, second)
			})
		})
	}
}

// closeServers makes servers refuse new connections.
func (c *cluster) closeServers(ids ...fleet.UpstreamID) {
	for _, id := range ids {
		c.updateServer(id, func(s *fakeServer) { s.closed = true })
	}
}

// reopen makes a server accept connections again after a pause.
func (c *cluster) reopen(id fleet.UpstreamID, after time.Duration) {
	sleep(after)
	c.updateServer(id, func(s *fakeServer) { s.closed = false })
}

// Guards against grants that expire while the store is down, for an outage as long as lease and grants are meant to bridge.
func TestStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 1, 5)
		first, second := c.startDaemon("a"), c.startDaemon("b")
		c.awaitAllOwned(5*time.Second, "initially")
		sleep(10 * time.Second)
		c.store.update(func(s *fakeStore) { s.down = true })
		for range 9 {
			sleep(time.Second)
			is.Equal(c.unownedKeys(), 0)
		}
		c.store.update(func(s *fakeStore) { s.down = false })
		sleep(3 * time.Second)
		is.Equal(c.unownedKeys(), 0)
		c.stopAndCheck(first, second)
	})
}

// Guards against reassigning the keys of an unreachable server before its grants have expired there. Its clock runs slow by the
// maximum drift; if the expiry did not allow for drift, the next owner would be granted the keys too early.
func TestSlowServerClock(t *testing.T) {
	runWithSeeds(t, 3, func(c *cluster, first *daemon, seed uint64) {
		sleep(time.Duration(15000+37*seed) * time.Millisecond)
		c.updateServer("s1", func(s *fakeServer) { s.unreachable = true })
		sleep(grantDuration + 3*time.Second)
		c.stopAndCheck(first)
	})
}

// Guards against a renewal that is applied by another server, which started at the owner's address before the assigner noticed
// that the owner had ended: the new server has seen no fence yet, so it would not reject the old one.
func TestAddressReused(t *testing.T) {
	runWithSeeds(t, 5, func(c *cluster, first *daemon, seed uint64) {
		sleep(time.Duration(5000+113*seed) * time.Millisecond)
		c.replaceServer("s1", "n")
		c.awaitAllOwned(grantDuration, "after its address was reused")
		c.stopAndCheck(first)
	})
}

// Guards against grants from an assigner whose host was suspended for longer than its lease. The monotonic clock of the process
// stops during a suspension, so that its timers do not end the term.
func TestSuspendedAssigner(t *testing.T) {
	runWithSeeds(t, 5, func(c *cluster, first *daemon, seed uint64) {
		is := is.New(c.t)
		sleep(time.Duration(5000+113*seed) * time.Millisecond)
		first.update(func(d *daemon) { d.suspended += 2 * leaseDuration; d.storeRejects = true })
		sleep(10 * time.Millisecond) // requests that were in flight
		before := c.acceptedGrants()
		sleep(leaseDuration)
		is.Equal(c.acceptedGrants(), before)
		c.stopAndCheck(first)
	})
}

// Guards against a grant that is sent before its assignment is in the table: the assigner cannot write the table, its lease
// expires, and the next assigner renews the grants that the stored table lists.
func TestTableIsWrittenBeforeGrant(t *testing.T) {
	runWithSeeds(t, 3, func(c *cluster, first *daemon, seed uint64) {
		second := c.startDaemon("b")
		sleep(time.Duration(5000+113*seed) * time.Millisecond)
		first.update(func(d *daemon) { d.storeRejects = true })
		c.updateServer("s1", func(s *fakeServer) { s.leaving = true })
		sleep(leaseDuration / 2)
		c.updateServer("s1", func(s *fakeServer) { s.leaving = false })
		c.awaitAllOwned(leaseDuration+grantDuration, "after another assigner was elected")
		sleep(grantDuration)
		c.stopAndCheck(first, second)
	})
}

// acceptedGrants returns the number of grants that servers accepted, renewals included.
func (c *cluster) acceptedGrants() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.acceptedCount
}

// Guards against a key with two owners during random faults, and against keys that stay without an owner after the faults.
func TestRandomFaults(t *testing.T) {
	seeds := 60
	if testing.Short() {
		seeds = 20
	}
	for seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, uint64(seed), 5)
				daemons := []*daemon{c.startDaemon("a"), c.startDaemon("b"), c.startDaemon("c")}
				c.awaitAllOwned(5*time.Second, "initially")
				random := rand.New(rand.NewPCG(uint64(seed), 2))
				for range 12 {
					c.changeRandomFault(random, daemons)
					sleep(time.Duration(random.IntN(3000)) * time.Millisecond)
				}
				c.endFaults(daemons)
				c.awaitAllOwned(outageGrantDuration+leaseDuration+6*time.Second, "after the last fault")
				c.stopAndCheck(daemons...)
			})
		})
	}
}

// Guards against a renewal that is sent after the table assigned its range to another server: servers that own several ranges
// respond slowly, so that a round of renewals takes longer than a move.
func TestDelayedRequests(t *testing.T) {
	for seed := range 40 {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, uint64(seed), 6)
				first := c.startDaemon("a")
				c.awaitAllOwned(5*time.Second, "initially")
				random := rand.New(rand.NewPCG(uint64(seed), 3))
				for range 6 { // several ranges for each server
					id := fleet.UpstreamID(fmt.Sprint("s", random.IntN(6)))
					c.updateServer(id, func(s *fakeServer) { s.leaving = true })
					sleep(time.Second)
					c.updateServer(id, func(s *fakeServer) { s.leaving = false })
					sleep(time.Second)
				}
				for i := range 6 {
					c.updateServer(fleet.UpstreamID(fmt.Sprint("s", i)), func(s *fakeServer) { s.delayRate = 0.4 })
				}
				for range 20 {
					id := fleet.UpstreamID(fmt.Sprint("s", random.IntN(6)))
					c.updateServer(id, func(s *fakeServer) { s.leaving = !s.leaving })
					sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
				}
				c.stopAndCheck(first)
			})
		})
	}
}

// changeRandomFault starts or ends one random fault.
func (c *cluster) changeRandomFault(random *rand.Rand, daemons []*daemon) {
	id := fleet.UpstreamID(fmt.Sprint("s", random.IntN(5)))
	target := daemons[random.IntN(len(daemons))]
	flip := random.IntN(2) == 0
	switch random.IntN(11) {
	case 0:
		c.updateServer(id, func(s *fakeServer) { s.unreachable = flip })
	case 1:
		c.updateServer(id, func(s *fakeServer) { s.crashed, s.grants = true, nil })
	case 2, 3:
		c.startServer(id)
	case 4:
		c.updateServer(id, func(s *fakeServer) { s.leaving = flip })
	case 5:
		c.updateServer(id, func(s *fakeServer) { s.delayRate = 0.5 })
	case 6:
		target.update(func(d *daemon) { d.storeRejects = flip })
	case 7:
		target.update(func(d *daemon) { d.serversUnreachable = flip })
	case 8:
		c.store.update(func(s *fakeStore) { s.down = flip })
	case 9:
		c.store.update(func(s *fakeStore) { s.ackLossRate, s.delayRate = 0.3*random.Float64(), 0.3*random.Float64() })
	case 10:
		c.updateServer(id, func(s *fakeServer) { s.closed = flip })
	}
}

// endFaults ends all faults and restarts crashed servers.
func (c *cluster) endFaults(daemons []*daemon) {
	c.store.update(func(s *fakeStore) { s.down, s.ackLossRate, s.delayRate = false, 0, 0 })
	for _, target := range daemons {
		target.update(func(d *daemon) { d.serversUnreachable, d.storeRejects = false, false })
	}
	for i := range 5 {
		id := fleet.UpstreamID(fmt.Sprint("s", i))
		c.mu.Lock()
		gone := c.servers[id].crashed
		c.mu.Unlock()
		if gone {
			c.startServer(id)
		}
		c.updateServer(id, func(s *fakeServer) { s.unreachable, s.closed, s.leaving, s.delayRate = false, false, false, 0 })
	}
}
