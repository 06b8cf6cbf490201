package gossip_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/peer/gossip"
	"rosemarywick.example/rosemarywick/internal/peer/membership"
	"rosemarywick.example/rosemarywick/internal/peer/mesh"
	peerstandin "rosemarywick.example/rosemarywick/internal/peer/standin"
	"rosemarywick.example/rosemarywick/internal/platform/hosts"
	"rosemarywick.example/rosemarywick/internal/platform/standin"
)

// loopbackFleet is a small fleet of daemons that are connected by QUIC on loopback.
type loopbackFleet struct {
	list      *standin.Hosts
	authority *peerstandin.Authority
	runners   []*gossip.Runner
	meshes    []*mesh.Mesh
	stops     []func()
}

func startFleet(t *testing.T, count int) *loopbackFleet {
	t.Helper()
	authority, err := peerstandin.NewAuthority(time.Now())
	if err != nil {
		t.Fatal(err)
	}
	f := &loopbackFleet{list: standin.NewHosts(timer.System{}), authority: authority}
	for i := range count {
		f.start(t, fleet.HostID(fmt.Sprintf("entry-%d", i)), fleet.FailureDomain(fmt.Sprint("domain-", i%3)))
	}
	t.Cleanup(func() {
		for _, stop := range f.stops {
			stop()
		}
	})
	return f
}

func (f *loopbackFleet) start(t *testing.T, id fleet.HostID, domain fleet.FailureDomain) {
	t.Helper()
	config, err := f.authority.TLSConfig(id)
	if err != nil {
		t.Fatal(err)
	}
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	if err != nil {
		t.Fatal(err)
	}
	host := fleet.Host{
		ID: id, Locality: fleet.Locality{Region: "r", Domain: domain}, PeerAddress: socket.LocalAddr().(*net.UDPAddr).AddrPort(),
	}
	f.list.SetState(host, hosts.Live)
	incarnation := uint64(time.Now().UnixNano())
	runner := &gossip.Runner{
		View:     &membership.View{Self: host, Incarnation: incarnation, PeerCount: 6, Timing: membership.DefaultTiming},
		HostList: f.list, Clock: timer.System{}, Log: zerolog.Nop(), HostListInterval: 200 * time.Millisecond,
	}
	m := &mesh.Mesh{
		Local: host, Incarnation: incarnation, TLS: config, Clock: timer.System{}, Log: zerolog.Nop(), Socket: socket,
		Resolve: runner.Resolve, PeerUp: runner.PeerUp, PeerDown: runner.PeerDown,
	}
	m.Handle(gossip.Topic, runner.Receive)
	runner.Transport = m
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	tasks.Go(func() { _ = m.Run(ctx) })
	tasks.Go(func() { _ = runner.Run(ctx) })
	f.runners = append(f.runners, runner)
	f.meshes = append(f.meshes, m)
	f.stops = append(f.stops, func() { cancel(); tasks.Wait() })
}

// eventually polls a condition and fails the test if it does not hold in time.
func eventually(t *testing.T, within time.Duration, what string, condition func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), within)
	defer cancel()
	for !condition() {
		if timer.Wait(ctx, timer.System{}, 10*time.Millisecond) != nil {
			t.Fatalf("condition not met within %s: %s", within, what)
		}
	}
}

// Guards against daemons that do not discover each other, an item that does not reach every daemon, a count of adoptions that
// is never complete, and goroutines that outlive Run.
func TestFleetDisseminatesItemsAndAdoptions(t *testing.T) {
	defer goleak.VerifyNone(t)
	t.Run("fleet", func(t *testing.T) {
		is := is.New(t)
		const count = 8
		f := startFleet(t, count)
		eventually(t, 10*time.Second, "every daemon knows all members", func() bool {
			for _, runner := range f.runners {
				if len(runner.Members()) != count {
					return false
				}
			}
			return true
		})
		watcher := f.runners[count-1].Watch("config")
		defer watcher.Stop()
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		for version := uint64(1); version <= 3; version++ {
			_, err := f.runners[0].Publish(gossip.Item{
				Name: "config", Version: gossip.Version{Major: version}, Value: make([]byte, 100_000*(version-1)),
			})
			is.NoErr(err)
			item, err := watcher.Next(ctx)
			is.NoErr(err)
			is.Equal(item.Version.Major, version)
		}
		for _, runner := range f.runners {
			eventually(t, 10*time.Second, "the latest item has arrived", func() bool {
				item, found := runner.Get("config")
				return found && item.Version.Major == 3
			})
			runner.AnnounceAdopted(3)
		}
		eventually(t, 10*time.Second, "all daemons have adopted version 3", func() bool {
			adopted, total := f.runners[0].CountAdopted(3)
			return adopted == count && total == count
		})
		adopted, _ := f.runners[0].CountAdopted(4)
		is.Equal(adopted, 0) // version 4 was never published
	})
}
