// Package dissemination measures the gossip protocol between daemons on loopback: how long a change takes until all daemons have
// adopted it, and what the control traffic costs each daemon. All daemons run in one process, each with its own mesh on its own
// UDP port. Processor time and memory are those of the process divided by the number of daemons.
package dissemination

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

// The regions and failure domains of the deployment for which the system is designed.
const (
	regionCount = 3
	domainCount = 11
)

// itemName is the name of the published item.
const itemName = "config"

// Fleet is a set of daemons on loopback that disseminate items to each other.
type Fleet struct {
	// Settings must be set before Start.
	Settings Settings

	daemons []*daemon
	cancel  context.CancelFunc
	tasks   sync.WaitGroup
}

// Settings are the parameters of a measurement.
type Settings struct {
	Daemons int
	// PeerCount is the mean number of connections of each daemon.
	PeerCount int
	// DigestInterval is the interval at which daemons exchange digests, FlushInterval that at which they send adoptions. Zero
	// means the default.
	DigestInterval, FlushInterval time.Duration
	// ItemBytes is the size of the value of the published item.
	ItemBytes int
}

// daemon is the part of a daemon that disseminates items.
type daemon struct {
	runner *gossip.Runner
	mesh   *mesh.Mesh
}

// firstVersion is published at the start. Start waits until all daemons have adopted it, so that measurements begin with a
// connected fleet.
const firstVersion = 1

// Start starts the daemons and waits until each of them knows that all have adopted the first version.
func (f *Fleet) Start(ctx context.Context) error {
	authority, err := peerstandin.NewAuthority(time.Now())
	if err != nil {
		return err
	}
	ctx, f.cancel = context.WithCancel(ctx)
	hostList := standin.NewHosts(timer.System{})
	for i := range f.Settings.Daemons {
		if err := f.addDaemon(i, hostList, authority); err != nil {
			f.Stop()
			return err
		}
	}
	for _, d := range f.daemons {
		f.tasks.Go(func() { _ = d.mesh.Run(ctx) })
		f.tasks.Go(func() { _ = d.runner.Run(ctx) })
		f.tasks.Go(func() { d.announceAdoptions(ctx) })
	}
	if err := f.publish(0, firstVersion); err != nil {
		f.Stop()
		return err
	}
	for !f.allAdopted() {
		if err := timer.Wait(ctx, timer.System{}, 100*time.Millisecond); err != nil {
			f.Stop()
			return errors.Wrap(err, "dissemination: wait until all daemons have adopted the first version")
		}
	}
	return nil
}

// Stop stops the daemons.
func (f *Fleet) Stop() {
	f.cancel()
	f.tasks.Wait()
}

// addDaemon creates daemon number i and adds it to the host list. It does not run it.
func (f *Fleet) addDaemon(i int, hostList *standin.Hosts, authority *peerstandin.Authority) error {
	id := fleet.HostID(fmt.Sprintf("entry-%04d", i))
	config, err := authority.TLSConfig(id)
	if err != nil {
		return err
	}
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	if err != nil {
		return errors.Wrap(err, "dissemination: listen for a daemon")
	}
	address, err := netip.ParseAddrPort(socket.LocalAddr().String())
	if err != nil {
		return errors.Wrap(err, "dissemination: parse the address of a daemon")
	}
	host := fleet.Host{ID: id, PeerAddress: address, Locality: fleet.Locality{
		Region: fleet.Region(fmt.Sprint("region-", i%domainCount%regionCount)),
		Domain: fleet.FailureDomain(fmt.Sprint("domain-", i%domainCount)),
	}}
	hostList.SetState(host, hosts.Live)
	incarnation := uint64(time.Now().UnixNano())
	runner := &gossip.Runner{
		View: &membership.View{
			Self: host, Incarnation: incarnation, PeerCount: f.Settings.PeerCount, Timing: membership.DefaultTiming,
		},
		HostList: hostList, Clock: timer.System{}, Log: zerolog.Nop(),
		DigestInterval: f.Settings.DigestInterval, FlushInterval: f.Settings.FlushInterval,
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

// announceAdoptions announces each version of the item as adopted as soon as it arrives.
func (d *daemon) announceAdoptions(ctx context.Context) {
	watcher := d.runner.Watch(itemName)
	defer watcher.Stop()
	for {
		received, err := watcher.Next(ctx)
		if err != nil {
			return
		}
		d.runner.AnnounceAdopted(received.Version.Major)
	}
}

// allAdopted reports whether every daemon knows that all daemons have adopted the first version.
func (f *Fleet) allAdopted() bool {
	for _, d := range f.daemons {
		if adopted, total := d.runner.CountAdopted(firstVersion); adopted != total || total != len(f.daemons) {
			return false
		}
	}
	return true
}

// publish publishes a version at daemon number at.
func (f *Fleet) publish(at int, version uint64) error {
	_, err := f.daemons[at].runner.Publish(gossip.Item{
		Name: itemName, Version: gossip.Version{Major: version}, Value: make([]byte, f.Settings.ItemBytes),
	})
	return err
}

// heldByAll reports whether every daemon holds the version or a later one.
func (f *Fleet) heldByAll(version uint64) bool {
	for _, d := range f.daemons {
		if got, _ := d.runner.Get(itemName); got.Version.Major < version {
			return false
		}
	}
	return true
}
