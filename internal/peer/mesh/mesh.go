// Package mesh keeps QUIC connections between daemons. It holds a connection to each chosen peer, dials any other host
// on demand, and checks with mutual TLS that a host is the one it claims to be. Messages to one host are delivered in
// order while its connection lasts; what was queued when a connection ends is lost, and the packages above repair that.
package mesh

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
	"github.com/rs/zerolog"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/peer/wire"
)

// Defaults of the durations that may be left out.
const (
	// DefaultIdleTimeout is above two digest intervals, so that one lost packet and its retransmission do not end a
	// connection.
	DefaultIdleTimeout = 5 * time.Second
	// DefaultDialTimeout allows for two retransmissions of the first packet.
	DefaultDialTimeout = 2 * time.Second
	// DefaultWriteTimeout bounds the time for which a peer may accept no data before its connection is closed.
	DefaultWriteTimeout = 5 * time.Second
)

const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = 10 * time.Second
	// lingerTime is well above the time that a message takes to the other host.
	retiredLinkLifetime = time.Second
	// queueLength bounds the messages queued for one host.
	outgoingQueueLength = 32
)

var (
	// ErrUnreachable means that no connection to the host could be made or that it ended. The message may or may not
	// have been delivered.
	ErrUnreachable = errors.New("mesh: host unreachable")
	// ErrNotRunning means that Run has not begun or has ended.
	ErrNotRunning = errors.New("mesh: not running")
	// ErrIdentity means that a host's certificate does not name it.
	ErrIdentity = errors.New("mesh: certificate does not name the host")
)

// Handler receives the messages of one topic. It is called by the goroutine that reads the sender's connection, so that
// a handler that blocks delays that sender alone. ctx ends with the connection.
type Handler func(ctx context.Context, from fleet.HostID, payload []byte)

// Mesh keeps the connections of one daemon. The exported fields are set before Run.
type Mesh struct {
	Local fleet.Host
	// Incarnation rises with each start of the daemon, so that a restarted host replaces its old connection.
	Incarnation uint64
	// TLS holds the certificate, and the authorities in RootCAs, of which ClientCAs are a copy when unset. Functions
	// such as GetCertificate and GetClientCertificate replace the certificate at run time.
	TLS   *tls.Config
	Clock timer.Clock
	Log   zerolog.Logger
	// Packets is the socket to use; when nil, Run opens Host.Peer.
	Socket net.PacketConn
	// Resolve returns the address of a host that is dialed on demand.
	Resolve func(fleet.HostID) (netip.AddrPort, bool)
	// PeerUp and PeerDown are called in turn for a host as it is connected as a peer and no longer is. Calls do not
	// overlap and must not block.
	PeerUp, PeerDown func(fleet.HostID)

	IdleTimeout, DialTimeout, WriteTimeout time.Duration

	handlers map[string]Handler

	mu sync.Mutex
	// The fields below are guarded by mu. run is nil unless Run is under way.
	running     *runState
	links       map[fleet.HostID]*link
	dials       map[fleet.HostID]*dialAttempt
	wantedPeers map[fleet.HostID]*wantedPeer
	// open holds all connections that are being read, and ended the traffic of those that no longer are.
	openLinks     map[*link]struct{}
	closedTraffic Traffic
}

// running is what exists while Run is under way.
type runState struct {
	//nolint:containedctx // The context of Run is that of the goroutines which later calls start.
	ctx       context.Context
	transport *quic.Transport
	tasks     sync.WaitGroup
	// events is guarded by the mesh's mu; signal is sent to when it is filled.
	events []peerEvent
	signal chan struct{}
}

type peerEvent struct {
	host fleet.HostID
	up   bool
}

type wantedPeer struct {
	host   fleet.Host
	cancel context.CancelFunc
}

// Handle sets the handler of a topic. It is called before Run.
func (m *Mesh) Handle(topic string, handler Handler) {
	if m.handlers == nil {
		m.handlers = make(map[string]Handler)
	}
	m.handlers[topic] = handler
}

// Run accepts and keeps connections until ctx ends.
func (m *Mesh) Run(ctx context.Context) error {
	m.setDefaultTimeouts()
	packets := m.Socket
	if packets == nil {
		socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(m.Local.PeerAddress))
		if err != nil {
			return errors.Wrap(err, "mesh: listen")
		}
		packets = socket
	}
	defer func() { _ = packets.Close() }()
	transport := &quic.Transport{Conn: packets}
	listener, err := transport.Listen(m.serverTLS(), m.quicConfig())
	if err != nil {
		return errors.Wrap(err, "mesh: listen")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	run := &runState{ctx: ctx, transport: transport, signal: make(chan struct{}, 1)}
	m.beginRun(run)
	m.acceptLoop(run, listener)
	m.endRun()
	cancel()
	_ = listener.Close()
	run.tasks.Wait()
	return errors.Wrap(transport.Close(), "mesh: close")
}

func (m *Mesh) setDefaultTimeouts() {
	for _, setting := range []struct {
		value    *time.Duration
		standard time.Duration
	}{
		{&m.IdleTimeout, DefaultIdleTimeout},
		{&m.DialTimeout, DefaultDialTimeout},
		{&m.WriteTimeout, DefaultWriteTimeout},
	} {
		if *setting.value <= 0 {
			*setting.value = setting.standard
		}
	}
}

func (m *Mesh) quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout: m.DialTimeout,
		MaxIdleTimeout:       m.IdleTimeout,
		// Small windows keep the memory of a connection low; a map of a service passes in a few round trips.
		InitialStreamReceiveWindow:     64 << 10,
		MaxStreamReceiveWindow:         512 << 10,
		InitialConnectionReceiveWindow: 96 << 10,
		MaxConnectionReceiveWindow:     768 << 10,
		MaxIncomingStreams:             1,
		MaxIncomingUniStreams:          -1,
		// Discovery sends several full-size packets on each connection, for which little is ever sent at once.
		DisablePathMTUDiscovery: true,
	}
}

func (m *Mesh) beginRun(run *runState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.running = run
	m.links = make(map[fleet.HostID]*link)
	m.openLinks = make(map[*link]struct{})
	m.dials = make(map[fleet.HostID]*dialAttempt)
	run.tasks.Go(func() { m.dispatchEvents(run) })
	for _, wanted := range m.wantedPeers {
		m.startMaintainLocked(wanted)
	}
}

func (m *Mesh) endRun() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.running = nil
	for l := range m.openLinks {
		l.close("stopping")
	}
}

// accept takes connections until ctx ends, each in a goroutine of its own.
func (m *Mesh) acceptLoop(run *runState, listener *quic.Listener) {
	for {
		conn, err := listener.Accept(run.ctx)
		if err != nil {
			return
		}
		run.tasks.Go(func() {
			link, err := m.acceptLink(run, conn)
			if err != nil {
				m.Log.Debug().Err(err).Stringer("from", conn.RemoteAddr()).Msg("peer connection refused")
				_ = conn.CloseWithError(0, "refused")
				return
			}
			m.readLoop(run, link)
		})
	}
}

// dispatch calls PeerUp and PeerDown in the order of events.
func (m *Mesh) dispatchEvents(run *runState) {
	for {
		select {
		case <-run.signal:
		case <-run.ctx.Done():
			return
		}
		m.mu.Lock()
		events := run.events
		run.events = nil
		m.mu.Unlock()
		for _, event := range events {
			switch {
			case event.up && m.PeerUp != nil:
				m.PeerUp(event.host)
			case !event.up && m.PeerDown != nil:
				m.PeerDown(event.host)
			}
		}
	}
}

// Send queues a message to a host, which is dialed if there is no connection. It waits while the queue of that host is
// full, and never for another host. No error means that the message was queued, not that it arrived.
func (m *Mesh) Send(ctx context.Context, to fleet.HostID, topic string, payload []byte) error {
	link, err := m.linkTo(ctx, to)
	if err != nil {
		return err
	}
	return link.enqueue(ctx, &wire.Envelope{Topic: topic, Payload: payload})
}

// SetPeers states which hosts are to be kept connected as peers.
func (m *Mesh) SetPeers(hosts []fleet.Host) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.wantedPeers == nil {
		m.wantedPeers = make(map[fleet.HostID]*wantedPeer)
	}
	for id, wanted := range m.wantedPeers {
		if !slices.Contains(hosts, wanted.host) {
			wanted.cancel()
			delete(m.wantedPeers, id)
		}
	}
	for _, host := range hosts {
		if m.wantedPeers[host.ID] == nil && host.ID != m.Local.ID {
			wanted := &wantedPeer{host: host, cancel: func() {}}
			m.wantedPeers[host.ID] = wanted
			m.startMaintainLocked(wanted)
		}
	}
}

// keepLocked starts the goroutine that keeps a peer connected. The caller holds mu.
func (m *Mesh) startMaintainLocked(wanted *wantedPeer) {
	if m.running == nil {
		return
	}
	run := m.running
	ctx, cancel := context.WithCancel(run.ctx)
	wanted.cancel = cancel
	run.tasks.Go(func() { m.maintainPeer(ctx, run, wanted.host) })
}
