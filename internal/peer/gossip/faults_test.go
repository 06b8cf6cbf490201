package gossip_test

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/encoding/protowire"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/peer/gossip"
	"rosemarywick.example/rosemarywick/internal/peer/membership"
	"rosemarywick.example/rosemarywick/internal/platform/hosts"
	"rosemarywick.example/rosemarywick/internal/platform/standin"
)

// network connects runners in memory. It imitates the queues and callbacks of the mesh and injects faults. It runs in a
// testing/synctest bubble, so that an hour of fake time passes at once.
type network struct {
	t    *testing.T
	ctx  context.Context
	list *standin.Hosts
	mu   sync.Mutex
	// The fields below are guarded by mu.
	nodes map[fleet.HostID]*node
	// blocked reports whether two hosts cannot reach each other.
	blocked func(a, b fleet.Host) bool
	// alter modifies a message in transit.
	alter func(from, to fleet.HostID, payload []byte) []byte
	// delay returns the extra latency of a message.
	delay func(from, to fleet.HostID, size int) time.Duration
	// itemBytes is the size of published values; at least 100 bytes are used.
	itemBytes int
}

// node is one daemon. It implements the Transport of its runner.
type node struct {
	net    *network
	host   fleet.Host
	runner *gossip.Runner
	stop   func()
	wanted []fleet.Host
	links  map[fleet.HostID]*memoryLink
}

// memoryLink carries messages in one direction until it is canceled.
type memoryLink struct {
	messages chan []byte
	cancel   context.CancelFunc
	ctx      context.Context
}

// linkQueueLength is the number of messages that a link queues before Send blocks.
const linkQueueLength = 8

func (n *node) SetPeers(wanted []fleet.Host) {
	n.net.mu.Lock()
	n.wanted = wanted
	n.net.mu.Unlock()
	n.net.update()
}

func (n *node) Send(ctx context.Context, to fleet.HostID, _ string, payload []byte) error {
	n.net.mu.Lock()
	link := n.links[to]
	if n.net.alter != nil {
		payload = n.net.alter(n.host.ID, to, payload)
	}
	n.net.mu.Unlock()
	if link == nil {
		return errors.New("no link to the host")
	}
	select {
	case link.messages <- payload:
		return nil
	case <-ctx.Done():
	case <-link.ctx.Done():
	}
	return errors.New("link closed before the message was queued")
}

// update opens and closes links according to the peers that the nodes want and the faults that block them.
func (net *network) update() {
	net.mu.Lock()
	wanted := make(map[[2]*node]bool)
	for _, a := range net.nodes {
		for _, host := range a.wanted {
			if b := net.nodes[host.ID]; b != nil && (net.blocked == nil || !net.blocked(a.host, b.host)) {
				wanted[[2]*node{a, b}], wanted[[2]*node{b, a}] = true, true
			}
		}
	}
	var events []func()
	for _, a := range net.nodes {
		for id, link := range a.links {
			if b := net.nodes[id]; b == nil || !wanted[[2]*node{a, b}] {
				link.cancel()
				delete(a.links, id)
				events = append(events, func() { a.runner.PeerDown(id) })
			}
		}
	}
	for pair := range wanted {
		if a, b := pair[0], pair[1]; a.links[b.host.ID] == nil {
			ctx, cancel := context.WithCancel(net.ctx)
			link := &memoryLink{messages: make(chan []byte, linkQueueLength), cancel: cancel, ctx: ctx}
			a.links[b.host.ID] = link
			go net.deliver(a, b, link)
			events = append(events, func() { a.runner.PeerUp(b.host.ID) })
		}
	}
	net.mu.Unlock()
	for _, event := range events {
		event()
	}
}

// deliver passes on the messages of a link until the link is canceled.
func (net *network) deliver(from, to *node, link *memoryLink) {
	for {
		select {
		case payload := <-link.messages:
			delay := time.Millisecond
			net.mu.Lock()
			if net.delay != nil {
				delay += net.delay(from.host.ID, to.host.ID, len(payload))
			}
			net.mu.Unlock()
			if timer.Wait(link.ctx, timer.System{}, delay) != nil {
				return
			}
			to.runner.Receive(link.ctx, from.host.ID, payload)
		case <-link.ctx.Done():
			return
		}
	}
}

// start starts a daemon with empty memory, also if it ran before.
func (net *network) start(host fleet.Host) {
	incarnation := uint64(time.Now().UnixNano())
	n := &node{net: net, host: host, links: make(map[fleet.HostID]*memoryLink)}
	n.runner = &gossip.Runner{
		Transport: n, HostList: net.list, Clock: timer.System{}, Log: zerolog.Nop(),
		View: &membership.View{Self: host, Incarnation: incarnation, PeerCount: 6, Timing: membership.DefaultTiming},
	}
	ctx, cancel := context.WithCancel(net.ctx)
	done := make(chan struct{})
	n.stop = func() { cancel(); <-done }
	net.mu.Lock()
	net.nodes[host.ID] = n
	net.mu.Unlock()
	go func() { _ = n.runner.Run(ctx); close(done) }()
}

// kill stops a daemon without an announcement.
func (net *network) kill(id fleet.HostID) {
	net.mu.Lock()
	n := net.nodes[id]
	delete(net.nodes, id)
	net.mu.Unlock()
	net.update()
	n.stop()
}

// testHost returns host i, in one of 2 regions and 4 failure domains.
func testHost(i int) fleet.Host {
	return fleet.Host{
		ID:          fleet.HostID(fmt.Sprintf("entry-%02d", i)),
		PeerAddress: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(7000+i)),
		Locality: fleet.Locality{
			Region: fleet.Region(fmt.Sprint("region-", i%2)), Domain: fleet.FailureDomain(fmt.Sprint("domain-", i%4)),
		},
	}
}

// publish publishes a version of the test item on a host.
func (net *network) publish(id fleet.HostID, version uint64) {
	item := gossip.Item{Name: "config", Version: gossip.Version{Major: version}, Value: make([]byte, max(100, net.itemBytes))}
	if _, err := net.nodes[id].runner.Publish(item); err != nil {
		net.t.Fatal(err)
	}
}

// versionRange returns the lowest and the highest version of the test item among all hosts but the given one.
func (net *network) versionRange(except ...fleet.HostID) (low, high uint64) {
	low = 1 << 62
	for id, n := range net.nodes {
		if len(except) > 0 && id == except[0] {
			continue
		}
		item, _ := n.runner.Get("config")
		low, high = min(low, item.Version.Major), max(high, item.Version.Major)
	}
	return low, high
}

func (net *network) expect(what string, got, want any) {
	net.t.Helper()
	if got != want {
		net.t.Errorf("%s: got %v, want %v", what, got, want)
	}
}

// expectConverged checks that every daemon knows the given number of members and has at least the given version.
func (net *network) expectConverged(members int, version uint64) {
	net.t.Helper()
	low, _ := net.versionRange()
	net.expect("lowest version", low, version)
	for id, n := range net.nodes {
		net.expect("members seen by "+string(id), len(n.runner.Members()), members)
	}
}

const fleetSize = 12

// Guards against faults that split the fleet, delay an item for unaffected hosts or revert an item to an older version. Each
// case injects the fault that its name states.
func TestRunnersConvergeUnderFaults(t *testing.T) {
	cases := []struct {
		name string
		run  func(net *network)
	}{
		{"no fault: no host is suspected", func(net *network) {
			net.sleep(10 * time.Minute)
			for i := range fleetSize {
				record, _ := net.nodes["entry-00"].runner.Get("member/" + string(testHost(i).ID))
				net.expect("suspicions and refutations of "+record.Name, record.Version.Minor, uint64(0))
			}
		}},
		{"host list wrong: lists a host that does not exist and omits one that runs", func(net *network) {
			net.list.Misreport(fleet.Host{ID: "ghost", PeerAddress: testHost(50).PeerAddress}, hosts.Live)
			net.list.Misreport(testHost(3), "")
			net.sleep(time.Minute)
			net.publish("entry-00", 2)
			net.sleep(time.Second)
			net.expectConverged(fleetSize, 2)
		}},
		{"host list stale: lists a lost host and omits a new one", func(net *network) {
			net.kill("entry-05")
			net.start(testHost(20))
			net.sleep(time.Minute)
			net.publish("entry-20", 2)
			net.sleep(time.Second)
			net.expectConverged(fleetSize, 2)
		}},
		{"host list unavailable", func(net *network) {
			net.list.SetOutage(standin.OutageRefused)
			net.kill("entry-05")
			net.sleep(30 * time.Second)
			net.publish("entry-00", 2)
			net.sleep(time.Second)
			net.expectConverged(fleetSize-1, 2)
		}},
		{"three hosts lost at once", func(net *network) {
			for _, id := range []fleet.HostID{"entry-01", "entry-05", "entry-09"} {
				net.kill(id)
			}
			net.sleep(40 * time.Second)
			net.publish("entry-00", 2)
			net.sleep(time.Second)
			net.expectConverged(fleetSize-3, 2)
		}},
		{"host restarted with empty memory", func(net *network) {
			net.publish("entry-00", 5)
			for _, n := range net.nodes {
				n.runner.AnnounceAdopted(5)
			}
			net.sleep(2 * time.Second)
			net.kill("entry-05")
			net.sleep(time.Second)
			net.start(testHost(5))
			net.sleep(5 * time.Second)
			net.expectConverged(fleetSize, 5)
			adopted, total := net.nodes["entry-00"].runner.CountAdopted(5)
			net.expect("adopted and total before the restarted host adopts", [2]int{adopted, total}, [2]int{fleetSize - 1, fleetSize})
			net.nodes["entry-05"].runner.AnnounceAdopted(5)
			net.sleep(5 * time.Second)
			adopted, total = net.nodes["entry-00"].runner.CountAdopted(5)
			net.expect("adopted and total", [2]int{adopted, total}, [2]int{fleetSize, fleetSize})
		}},
		{"slow peer: receives each message after 2 s", func(net *network) {
			net.setFaults(func() {
				net.delay = func(_, to fleet.HostID, _ int) time.Duration {
					if to == "entry-04" {
						return 2 * time.Second
					}
					return 0
				}
			})
			for version := uint64(2); version < 200; version++ {
				net.publish("entry-00", version)
				net.sleep(100 * time.Millisecond)
				low, _ := net.versionRange("entry-04")
				net.expect("version at the other hosts", low, version)
			}
			net.setFaults(func() { net.delay = nil })
			net.sleep(30 * time.Second)
			net.expectConverged(fleetSize, 199)
		}},
		{"slow peer: offers large items and delivers them late", func(net *network) {
			net.setFaults(func() {
				net.delay = func(from, _ fleet.HostID, size int) time.Duration {
					if from == "entry-04" && size > 1000 {
						return 5 * time.Second
					}
					return 0
				}
				net.itemBytes = 10_000
			})
			for version := uint64(2); version < 30; version++ {
				net.publish([]fleet.HostID{"entry-00", "entry-03", "entry-06"}[version%3], version)
				net.sleep(time.Second)
				low, _ := net.versionRange("entry-04")
				net.expect("version at the other hosts", low, version)
			}
		}},
		{"peer of another release: unknown fields and messages", func(net *network) {
			future := protowire.AppendBytes(protowire.AppendTag(nil, 900, protowire.BytesType), []byte("new"))
			net.setFaults(func() {
				net.alter = func(from, _ fleet.HostID, payload []byte) []byte {
					if from == "entry-04" {
						return append(append([]byte{}, payload...), future...)
					}
					return payload
				}
			})
			net.publish("entry-04", 2)
			net.sleep(10 * time.Second)
			net.expectConverged(fleetSize, 2)
		}},
		{"regions partitioned for an hour, then reconnected", func(net *network) {
			net.setFaults(func() {
				net.blocked = func(a, b fleet.Host) bool { return a.Locality.Region != b.Locality.Region }
			})
			net.publish("entry-00", 7)
			net.sleep(time.Minute)
			net.publish("entry-01", 3) // the two sides publish conflicting versions
			net.sleep(time.Hour)
			_, high := net.versionRange()
			net.expect("highest version", high, uint64(7))
			net.expect("members on one side", len(net.nodes["entry-00"].runner.Members()), fleetSize/2)
			item, _ := net.nodes["entry-03"].runner.Get("config")
			net.expect("version on the other side", item.Version.Major, uint64(3))
			net.setFaults(func() { net.blocked = nil })
			net.sleep(45 * time.Second)
			net.expectConverged(fleetSize, 7)
		}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				net := &network{t: t, ctx: ctx, list: standin.NewHosts(timer.System{}), nodes: make(map[fleet.HostID]*node)}
				for i := range fleetSize {
					net.list.SetState(testHost(i), hosts.Live)
				}
				for i := range fleetSize {
					net.start(testHost(i))
				}
				net.sleep(5 * time.Second)
				net.publish("entry-02", 1)
				net.sleep(time.Second)
				net.expectConverged(fleetSize, 1)
				test.run(net)
			})
		})
	}
}

func (net *network) sleep(delay time.Duration) {
	_ = timer.Wait(net.ctx, timer.System{}, delay)
}

// setFaults changes the faults of the network.
func (net *network) setFaults(change func()) {
	net.mu.Lock()
	change()
	net.mu.Unlock()
	net.update()
}
