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

// network connects runners in memory, with the queues and events of the mesh and with faults. It runs in a bubble of
// testing/synctest, so that an hour passes at once.
type network struct {
	t    *testing.T
	ctx  context.Context
	list *standin.Hosts
	mu   sync.Mutex
	// The fields below are guarded by mu. blocked reports whether two hosts cannot reach each other.
	nodes   map[fleet.HostID]*node
	blocked func(a, b fleet.Host) bool
	// alter changes a message on its way.
	alter func(from, to fleet.HostID, payload []byte) []byte
	delay func(from, to fleet.HostID, size int) time.Duration
	// itemBytes is the size of published items, which is 100 when it is zero.
	itemBytes int
}

// node is one daemon; it is the transport of its runner.
type node struct {
	net    *network
	host   fleet.Host
	runner *gossip.Runner
	stop   func()
	wanted []fleet.Host
	links  map[fleet.HostID]*pipe
}

// pipe carries messages in one direction until it is closed.
type pipe struct {
	messages chan []byte
	cancel   context.CancelFunc
	ctx      context.Context
}

const queued = 8

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
		return errors.New("no link")
	}
	select {
	case link.messages <- payload:
		return nil
	case <-ctx.Done():
	case <-link.ctx.Done():
	}
	return errors.New("link ended")
}

// update opens and closes links as hosts want them and as faults allow.
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
			link := &pipe{messages: make(chan []byte, queued), cancel: cancel, ctx: ctx}
			a.links[b.host.ID] = link
			go net.carry(a, b, link)
			events = append(events, func() { a.runner.PeerUp(b.host.ID) })
		}
	}
	net.mu.Unlock()
	for _, event := range events {
		event()
	}
}

func (net *network) carry(from, to *node, link *pipe) {
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

// start starts a daemon, or starts it again with empty memory.
func (net *network) start(host fleet.Host) {
	incarnation := uint64(time.Now().UnixNano())
	n := &node{net: net, host: host, links: make(map[fleet.HostID]*pipe)}
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

func (net *network) kill(id fleet.HostID) {
	net.mu.Lock()
	n := net.nodes[id]
	delete(net.nodes, id)
	net.mu.Unlock()
	net.update()
	n.stop()
}

func place(i int) fleet.Host {
	return fleet.Host{
		ID:          fleet.HostID(fmt.Sprintf("entry-%02d", i)),
		PeerAddress: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(7000+i)),
		Locality: fleet.Locality{
			Region: fleet.Region(fmt.Sprint("region-", i%2)), Domain: fleet.FailureDomain(fmt.Sprint("domain-", i%4)),
		},
	}
}

func (net *network) publish(id fleet.HostID, version uint64) {
	item := gossip.Item{Name: "config", Version: gossip.Version{Major: version}, Value: make([]byte, max(100, net.itemBytes))}
	if _, err := net.nodes[id].runner.Publish(item); err != nil {
		net.t.Fatal(err)
	}
}

// version returns the lowest and the highest version of the item among the given hosts.
func (net *network) version(except ...fleet.HostID) (low, high uint64) {
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

// converged checks that every daemon counts the given members and holds the version.
func (net *network) converged(members int, version uint64) {
	net.t.Helper()
	low, _ := net.version()
	net.expect("lowest version", low, version)
	for id, n := range net.nodes {
		net.expect("members seen by "+string(id), len(n.runner.Members()), members)
	}
}

const fleetSize = 12

// Guards against a fault, named by each case, that splits the fleet, delays an item for others or makes it go back.
func TestFaults(t *testing.T) {
	cases := []struct {
		name string
		run  func(net *network)
	}{
		{"none: nobody is suspected", func(net *network) {
			net.sleep(10 * time.Minute)
			for i := range fleetSize {
				record, _ := net.nodes["entry-00"].runner.Get("member/" + string(place(i).ID))
				net.expect("suspicions and refutations of "+record.Name, record.Version.Minor, uint64(0))
			}
		}},
		{"list wrong: a host that does not exist and one omitted", func(net *network) {
			net.list.Misreport(fleet.Host{ID: "ghost", PeerAddress: place(50).PeerAddress}, hosts.Live)
			net.list.Misreport(place(3), "")
			net.sleep(time.Minute)
			net.publish("entry-00", 2)
			net.sleep(time.Second)
			net.converged(fleetSize, 2)
		}},
		{"list lags: shows a lost host, lacks a new one", func(net *network) {
			net.kill("entry-05")
			net.start(place(20))
			net.sleep(time.Minute)
			net.publish("entry-20", 2)
			net.sleep(time.Second)
			net.converged(fleetSize, 2)
		}},
		{"list unavailable", func(net *network) {
			net.list.SetOutage(standin.OutageRefused)
			net.kill("entry-05")
			net.sleep(30 * time.Second)
			net.publish("entry-00", 2)
			net.sleep(time.Second)
			net.converged(fleetSize-1, 2)
		}},
		{"three neighbours lost at once", func(net *network) {
			for _, id := range []fleet.HostID{"entry-01", "entry-05", "entry-09"} {
				net.kill(id)
			}
			net.sleep(40 * time.Second)
			net.publish("entry-00", 2)
			net.sleep(time.Second)
			net.converged(fleetSize-3, 2)
		}},
		{"host restarted with empty memory", func(net *network) {
			net.publish("entry-00", 5)
			for _, n := range net.nodes {
				n.runner.AnnounceAdopted(5)
			}
			net.sleep(2 * time.Second)
			net.kill("entry-05")
			net.sleep(time.Second)
			net.start(place(5))
			net.sleep(5 * time.Second)
			net.converged(fleetSize, 5)
			at, total := net.nodes["entry-00"].runner.CountAdopted(5)
			net.expect("in force before it adopts", [2]int{at, total}, [2]int{fleetSize - 1, fleetSize})
			net.nodes["entry-05"].runner.AnnounceAdopted(5)
			net.sleep(5 * time.Second)
			at, total = net.nodes["entry-00"].runner.CountAdopted(5)
			net.expect("in force", [2]int{at, total}, [2]int{fleetSize, fleetSize})
		}},
		{"peer slow: 2 s for each message", func(net *network) {
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
				low, _ := net.version("entry-04")
				net.expect("version at the other hosts", low, version)
			}
			net.setFaults(func() { net.delay = nil })
			net.sleep(30 * time.Second)
			net.converged(fleetSize, 199)
		}},
		{"peer slow: offers items and delivers them late", func(net *network) {
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
				low, _ := net.version("entry-04")
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
			net.converged(fleetSize, 2)
		}},
		{"region partitioned for an hour and healed", func(net *network) {
			net.setFaults(func() {
				net.blocked = func(a, b fleet.Host) bool { return a.Locality.Region != b.Locality.Region }
			})
			net.publish("entry-00", 7)
			net.sleep(time.Minute)
			net.publish("entry-01", 3) // conflicting changes on both sides
			net.sleep(time.Hour)
			_, high := net.version()
			net.expect("highest version", high, uint64(7))
			net.expect("members on one side", len(net.nodes["entry-00"].runner.Members()), fleetSize/2)
			item, _ := net.nodes["entry-03"].runner.Get("config")
			net.expect("version on the other side", item.Version.Major, uint64(3))
			net.setFaults(func() { net.blocked = nil })
			net.sleep(45 * time.Second)
			net.converged(fleetSize, 7)
		}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				net := &network{t: t, ctx: ctx, list: standin.NewHosts(timer.System{}), nodes: make(map[fleet.HostID]*node)}
				for i := range fleetSize {
					net.list.Set(place(i), hosts.Live)
				}
				for i := range fleetSize {
					net.start(place(i))
				}
				net.sleep(5 * time.Second)
				net.publish("entry-02", 1)
				net.sleep(time.Second)
				net.converged(fleetSize, 1)
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
