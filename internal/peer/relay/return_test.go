package relay

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"
)

// returnSeeds is the number of seeds of TestChangesWhileRelayReturns for each size; longer runs are started by hand.
var returnSeeds = flag.Int("relay.seeds", 10, "seeds of TestChangesWhileRelayReturns")

// Guards against a follower that leaves a relay which passes changes on for another one that was just lost, or has just begun,
// and so is without changes until that one is found to be silent. The relay of a domain is killed and back within a second,
// twice, at random times; its followers turn to those of other domains and back.
func TestChangesWhileRelayReturns(t *testing.T) {
	for _, size := range []struct{ daemons, domains int }{{60, 4}, {295, 6}} {
		if raceDetector && size.daemons > 100 {
			continue
		}
		for seed := range uint64(*returnSeeds) {
			t.Run(fmt.Sprint(size.daemons, " daemons, seed ", seed), func(t *testing.T) {
				inBubble(t, func(t *testing.T) {
					n := newNetworkWithin(t, size.daemons, size.domains, drainLimit)
					sleep(started)
					random := rand.New(rand.NewPCG(seed, uint64(size.daemons)))
					changes := newChanges(n)
					for range 2 {
						changes.run(time.Duration(random.IntN(1500)) * time.Millisecond)
						lost := n.relayOf("d0")
						if lost == nil { // the role is being taken over
							continue
						}
						lost.stop()
						changes.run(time.Duration(random.IntN(1000)) * time.Millisecond)
						var index int
						_, _ = fmt.Sscanf(string(lost.Local.ID), "h%d", &index)
						n.start(index, size.domains, size.daemons, 0)
					}
					changes.run(5 * time.Second)
					n.checkNoRegress()
				})
			})
		}
	}
}

// changes writes changes and checks that all daemons adopt each of them in time.
type changes struct {
	network *network
	// written holds the time of each change, whose value is its index.
	written []time.Time
	// startedAt is when each process was first seen.
	startedAt map[string]time.Time
}

func newChanges(n *network) *changes {
	c := &changes{network: n, startedAt: make(map[string]time.Time)}
	for _, d := range n.running() {
		c.startedAt[d.Process] = time.Now().Add(-drainLimit)
	}
	return c
}

// run writes a change every 60 ms for some time. A daemon that has run for drainLimit must have each change within drainLimit.
func (c *changes) run(span time.Duration) {
	for end := time.Now().Add(span); time.Now().Before(end); {
		c.network.store.write("t/a", strconv.Itoa(len(c.written)))
		c.written = append(c.written, time.Now())
		for range 3 {
			sleep(20 * time.Millisecond)
			c.check()
		}
	}
}

func (c *changes) check() {
	now := time.Now()
	for _, d := range c.network.running() {
		if c.startedAt[d.Process].IsZero() {
			c.startedAt[d.Process] = now
		}
		latest, err := strconv.Atoi(d.value("t/a"))
		if err != nil || now.Sub(c.startedAt[d.Process]) < drainLimit || latest+1 >= len(c.written) {
			continue
		}
		if late := now.Sub(c.written[latest+1]); late > drainLimit {
			c.network.t.Fatalf("%s lacks change %d after %v", d.Local.ID, latest+1, late)
		}
	}
}
