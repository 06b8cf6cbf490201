package dev

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/core/settings"
	"rosemarywick.example/rosemarywick/internal/daemon/host"
)

// errNoDaemon means that no daemon with the given host identifier runs in this process.
var errNoDaemon = errors.New("dev: no such daemon")

// instance is one daemon in this process.
type instance struct {
	settings   *settings.Settings
	daemon     *host.Daemon
	peerSocket *lossySocket
	cancel     context.CancelFunc
	// ended is closed when the daemon has ended. err is its error and is set before.
	ended chan struct{}
	err   error
	// stopping is set before the fleet stops the daemon, so that its end does not count as a failure.
	stopping atomic.Bool
}

// lossySocket is the UDP socket of a daemon for its peers. It can drop all packets, to simulate the loss of the host.
type lossySocket struct {
	net.PacketConn
	// dropping is set while all packets are dropped in both directions.
	dropping atomic.Bool
}

// ReadFrom returns the next packet that is not dropped.
func (s *lossySocket) ReadFrom(p []byte) (int, net.Addr, error) {
	for {
		n, from, err := s.PacketConn.ReadFrom(p)
		if err != nil || !s.dropping.Load() {
			return n, from, err
		}
	}
}

// WriteTo sends a packet, or drops it without an error as a network does.
func (s *lossySocket) WriteTo(p []byte, to net.Addr) (int, error) {
	if s.dropping.Load() {
		return len(p), nil
	}
	return s.PacketConn.WriteTo(p, to)
}

// SetReadBuffer sets the size of the system's receive buffer. quic-go logs a warning for a socket without this method.
func (s *lossySocket) SetReadBuffer(bytes int) error {
	return s.PacketConn.(*net.UDPConn).SetReadBuffer(bytes)
}

// SetWriteBuffer sets the size of the system's send buffer; quic-go logs a warning for a socket without this method.
func (s *lossySocket) SetWriteBuffer(bytes int) error {
	return s.PacketConn.(*net.UDPConn).SetWriteBuffer(bytes)
}

// launchDaemon starts one more daemon.
func (f *Fleet) launchDaemon(ctx context.Context) (*instance, error) {
	opened, err := openSockets(ctx)
	if err != nil {
		return nil, err
	}
	loaded, err := f.newSettings(opened.addresses())
	if err != nil {
		opened.close()
		return nil, err
	}
	inst := &instance{settings: loaded, peerSocket: &lossySocket{PacketConn: opened.peer}, ended: make(chan struct{})}
	inst.daemon = &host.Daemon{
		Settings: loaded, Timer: f.Timer, Log: f.Log, PeerSocket: inst.peerSocket,
		CallerListener: opened.callers, OperatorListener: opened.operators,
	}
	lifetime, cancel := context.WithCancel(context.WithoutCancel(ctx))
	inst.cancel = cancel
	f.mu.Lock()
	f.running = append(f.running, inst)
	f.mu.Unlock()
	go f.runDaemon(lifetime, inst)
	return inst, nil
}

// writeSpareSettings writes the settings file of a daemon for another process. Its ports are free when it is written, but may
// be taken until the daemon starts.
func (f *Fleet) writeSpareSettings(ctx context.Context) (*settings.Settings, error) {
	opened, err := openSockets(ctx)
	if err != nil {
		return nil, err
	}
	opened.close()
	return f.newSettings(opened.addresses())
}

// runDaemon runs a daemon and reports a failure if it ends without being stopped.
func (f *Fleet) runDaemon(ctx context.Context, inst *instance) {
	inst.err = inst.daemon.Run(ctx)
	close(inst.ended)
	if inst.stopping.Load() {
		return
	}
	select {
	case f.failures <- errors.CombineErrors(inst.err, errors.Newf("daemon %s ended", inst.settings.Host.ID)):
	default:
	}
}

// stopInstance stops a daemon gracefully, waits until it has ended and removes it from the host list.
func (f *Fleet) stopInstance(inst *instance) error {
	inst.stopping.Store(true)
	inst.cancel()
	<-inst.ended
	f.platform.Hosts.Remove(inst.settings.Host.ID)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running = slices.DeleteFunc(f.running, func(other *instance) bool { return other == inst })
	return inst.err
}

// instances returns a copy of the list of running daemons.
func (f *Fleet) instances() []*instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.running)
}

// instance returns the running daemon with the given identifier.
func (f *Fleet) instance(id fleet.HostID) (*instance, error) {
	for _, inst := range f.instances() {
		if inst.settings.Host.ID == id {
			return inst, nil
		}
	}
	return nil, errors.Wrapf(errNoDaemon, "%q", string(id))
}

// Hosts returns the host identifiers of the daemons in this process, including those that are stopping.
func (f *Fleet) Hosts() []fleet.HostID {
	var list []fleet.HostID
	for _, inst := range f.instances() {
		list = append(list, inst.settings.Host.ID)
	}
	return list
}

// CallerAddress returns the address on which a daemon accepts callers.
func (f *Fleet) CallerAddress(id fleet.HostID) (netip.AddrPort, error) {
	inst, err := f.instance(id)
	if err != nil {
		return netip.AddrPort{}, err
	}
	return inst.settings.CallerAddress, nil
}

// AddDaemon starts one more daemon and returns once it knows an owner of every partition.
func (f *Fleet) AddDaemon(ctx context.Context) (fleet.HostID, error) {
	inst, err := f.launchDaemon(ctx)
	if err != nil {
		return "", err
	}
	return inst.settings.Host.ID, f.waitForOwners(ctx, inst)
}

// StopDaemon stops a daemon gracefully and returns when it has ended.
func (f *Fleet) StopDaemon(id fleet.HostID) error {
	inst, err := f.instance(id)
	if err != nil {
		return err
	}
	return f.stopInstance(inst)
}

// SimulateHostLoss stops a daemon without notice to its peers, as the loss of its host would. All its packets are dropped from
// now on, so it cannot hand over its roles, and it does not wait for the load balancer. Unlike with a real loss, requests in
// flight there still complete, and an acting assigner without a ready deputy goes on for up to 5 s, cut off from its peers.
func (f *Fleet) SimulateHostLoss(id fleet.HostID) error {
	inst, err := f.instance(id)
	if err != nil {
		return err
	}
	inst.peerSocket.dropping.Store(true)
	inst.settings.BalancerGrace = 0
	return f.stopInstance(inst)
}
