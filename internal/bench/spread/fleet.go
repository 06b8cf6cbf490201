// Package spread measures the dissemination between daemons on loopback: how long a change takes until it is in force
// everywhere, and what the control traffic costs each daemon. All daemons run in one process, each with its own mesh on
// its own UDP port, so that a figure for one daemon is the process's divided by their number.
package spread

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/peer/gossip"
	"rosemarywick.example/rosemarywick/internal/peer/membership"
	"rosemarywick.example/rosemarywick/internal/peer/mesh"
	peerstandin "rosemarywick.example/rosemarywick/internal/peer/standin"
	"rosemarywick.example/rosemarywick/internal/platform/hosts"
	"rosemarywick.example/rosemarywick/internal/platform/standin"
)

// The design scale has 3 regions and 11 failure domains.
const (
	regions = 3
	domains = 11
)

// item is the name of the published item.
const item = "config"

// Fleet is a number of daemons on loopback.
type Fleet struct {
	// Settings are set before Start.
	Settings Settings

	daemons []*daemon
	cancel  context.CancelFunc
	tasks   sync.WaitGroup
}

// Settings are what the measurements vary.
type Settings struct {
	Daemons int
	// PeerCount is the mean number of connections of a daemon.
	PeerCount int
	// Round and Report are the intervals of digests and of reports; zero means the defaults.
	Round, Report time.Duration
	// ItemBytes is the size of the published item.
	ItemBytes int
}

type daemon struct {
	runner *gossip.Runner
	mesh   *mesh.Mesh
}

// firstVersion is published at the start and waited for, so that the measurements begin with a fleet that is connected.
const firstVersion = 1

// Start starts the daemons and waits until each of them counts all as having the first version in force.
func (f *Fleet) Start(ctx context.Context) error {
	authority, err := peerstandin.NewAuthority(time.Now())
	if err != nil {
		return err
	}
	ctx, f.cancel = context.WithCancel(ctx)
	list := standin.NewHosts(timer.System{})
	for i := range f.Settings.Daemons {
		if err := f.add(i, list, authority); err != nil {
			f.Stop()
			return err
		}
	}
	for _, d := range f.daemons {
		f.tasks.Go(func() { _ = d.mesh.Run(ctx) })
		f.tasks.Go(func() { _ = d.runner.Run(ctx) })
		f.tasks.Go(func() { d.adopt(ctx) })
	}
	if err := f.publish(0, firstVersion); err != nil {
		f.Stop()
		return err
	}
	for !f.complete() {
		if err := timer.Wait(ctx, timer.System{}, 100*time.Millisecond); err != nil {
			f.Stop()
			return errors.Wrap(err, "bench: the daemons do not see one another")
		}
	}
	return nil
}

// Stop stops the daemons.
func (f *Fleet) Stop() {
	f.cancel()
	f.tasks.Wait()
}

func (f *Fleet) add(i int, list *standin.Hosts, authority *peerstandin.Authority) error {
	id := fleet.HostID(fmt.Sprintf("entry-%04d", i))
	config, err := authority.TLSConfig(id)
	if err != nil {
		return err
	}
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	if err != nil {
		return errors.Wrap(err, "bench: listen")
	}
	address, err := netip.ParseAddrPort(socket.LocalAddr().String())
	if err != nil {
		return errors.Wrap(err, "bench: address")
	}
	host := fleet.Host{ID: id, PeerAddress: address, Locality: fleet.Locality{
		Region: fleet.Region(fmt.Sprint("region-", i%domains%regions)),
		Domain: fleet.FailureDomain(fmt.Sprint("domain-", i%domains)),
	}}
	list.SetState(host, hosts.Live)
	incarnation := uint64(time.Now().UnixNano())
	runner := &gossip.Runner{
		View: &membership.View{
			Self: host, Incarnation: incarnation, PeerCount: f.Settings.PeerCount, Timing: membership.DefaultTiming,
		},
		HostList: list, Clock: timer.System{}, Log: zerolog.Nop(),
		DigestInterval: f.Settings.Round, FlushInterval: f.Settings.Report,
	}
	m := &mesh.Mesh{
		Local: host, Incarnation: incarnation, TLS: config, Clock: timer.System{}, Log: zerolog.Nop(), Socket: socket,
		Resolve: runner.Resolve, PeerUp: runner.PeerUp, PeerDown: runner.PeerDown,
	}
	m.Handle(gossip.Topic, runner.Receive)
	runner.Transport = m
	f.daemons = append(f.daemons, &daemon{runner: runner, mesh: m})
	return nil
}

// adopt reports each version of the item as adopted when it arrives.
func (d *daemon) adopt(ctx context.Context) {
	watcher := d.runner.Watch(item)
	defer watcher.Stop()
	for {
		received, err := watcher.Next(ctx)
		if err != nil {
			return
		}
		d.runner.AnnounceAdopted(received.Version.Major)
	}
}

func (f *Fleet) complete() bool {
	for _, d := range f.daemons {
		if at, total := d.runner.CountAdopted(firstVersion); at != total || total != len(f.daemons) {
			return false
		}
	}
	return true
}

// publish publishes a version at one daemon.
func (f *Fleet) publish(at int, version uint64) error {
	_, err := f.daemons[at].runner.Publish(gossip.Item{
		Name: item, Version: gossip.Version{Major: version}, Value: make([]byte, f.Settings.ItemBytes),
	})
	return err
}

// held reports whether every daemon holds the version.
func (f *Fleet) held(version uint64) bool {
	for _, d := range f.daemons {
		if got, _ := d.runner.Get(item); got.Version.Major < version {
			return false
		}
	}
	return true
}
