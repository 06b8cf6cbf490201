package relay

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/platform/table"
)

// Guards against daemons that never learn of a new relay, because all relays that they know are cut off from the store and the one
// that they follow can't read who has replaced it.
func TestNewRelayIsAnnounced(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetworkWithin(t, 60, 4, drainLimit)
		sleep(started)
		lost := []*daemon{n.relayOf("d0"), n.relayOf("d1"), n.relayOf("d2"), n.relayOf("d3")}
		n.store.set(func() {
			for _, d := range lost {
				n.store.cut[d.Local.ID] = true
			}
		})
		for range 200 {
			if !slices.Contains(lost, n.relayOf("d0")) {
				break
			}
			sleep(100 * time.Millisecond)
		}
		is.True(!slices.Contains(lost, n.relayOf("d0")))
		sleep(100 * time.Millisecond)
		n.store.write("t/a", "2")
		n.awaitValue("t/a", "2", drainLimit) // the relays that were cut off follow the new one
		n.checkNoRegress()
	})
}

// Guards against a daemon that goes through an outdated list of relays again and again, none of which is a relay any more, and takes
// them for relays that are cut off from the store.
func TestOutdatedListOfRelays(t *testing.T) {
	for name, outdate := range map[string]func(n *network, d *daemon, others []fleet.HostID){
		"daemons with the present list": func(_ *network, d *daemon, others []fleet.HostID) {
			d.members.mu.Lock()
			defer d.members.mu.Unlock()
			for domain, relay := range d.members.relays {
				relay.Host, relay.Run, relay.version = others[0], string(others[0])+"/old", 1
				d.members.relays[domain], d.members.versions[domain] = relay, 1
				others = others[1:]
			}
		},
		"daemons whose lists are outdated too": func(_ *network, d *daemon, others []fleet.HostID) {
			d.members.mu.Lock()
			defer d.members.mu.Unlock()
			for domain, relay := range d.members.relays {
				relay.Host, relay.Run, relay.version = others[0], string(others[0])+"/old", 1<<40
				d.members.relays[domain], d.members.versions[domain] = relay, 1<<40
				others = others[1:]
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				n := newNetworkWithin(t, 12, 2, drainLimit)
				sleep(started)
				var outdated *daemon
				var others []fleet.HostID
				for _, d := range n.running() {
					switch {
					case d == n.relayOf("d0") || d == n.relayOf("d1"):
					case outdated == nil:
						outdated = d
					default:
						others = append(others, d.Local.ID)
					}
				}
				outdate(n, outdated, others)
				n.setSilent(n.relayOf(string(outdated.Local.Locality.Domain)).Local.ID, outdated.Local.ID)
				n.store.write("t/a", "2")
				n.awaitValueAt([]*daemon{outdated}, "t/a", "2", drainLimit)
			})
		})
	}
}

// Guards against rows of the list of relays that are older than the known ones, or that belong to another table, when a peer sends them.
func TestListOfPeerIsChecked(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(t, 8, 2)
		sleep(started)
		d := n.relayOf("d1")
		known := d.members.of("d0")
		seed, _ := d.members.authority()
		content, err := encodeMessage(relaysMessage([]table.Row{
			{Name: relayRowPrefix + "d0", Version: known.version - 1, Value: []byte(`{"host":"h9"}`)},
			{Name: relayRowPrefix + "d0", Version: known.version - 1},
			{Name: authorityRow, Version: 1 << 40, Value: []byte("seed")},
			{Name: "t/a", Version: 1 << 40, Value: []byte("x")},
		}))
		is.NoErr(err)
		d.receive(t.Context(), "h5", content)
		is.Equal(d.members.of("d0"), known)
		unchanged, _ := d.members.authority()
		is.Equal(unchanged, seed)
		n.awaitValue("t/a", "1", 0)
	})
}
