// Package mesh maintains QUIC connections between daemons. It keeps a connection to each chosen peer, dials other hosts on
// demand, and verifies the identity of a host with mutual TLS. Messages to one host are delivered in order while its
// connection lasts. Messages still queued when a connection ends may be lost, which callers must tolerate or repair.
package mesh

import (
	"context"
	"crypto/sha256"
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

// Defaults of the Mesh's timeouts, which apply where a field is zero.
const (
	// DefaultIdleTimeout exceeds two of the intervals at which peers exchange digests, so that one lost packet and its
	// retransmission do not end a connection.
	DefaultIdleTimeout = 5 * time.Second
	// DefaultDialTimeout allows for two retransmissions of the first handshake packet.
	DefaultDialTimeout = 2 * time.Second
	// DefaultWriteTimeout is how long a write may block before the connection is closed.
	DefaultWriteTimeout = 5 * time.Second
)

const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = 10 * time.Second
	// retiredLinkLifetime is how long a replaced link is still read. It is well above the latency between two hosts.
	retiredLinkLifetime = time.Second
	// outgoingQueueLength limits the number of messages queued for one host.
	outgoingQueueLength = 32
)

var (
	// ErrUnreachable means that no connection to the host could be established, or that it ended or did not accept the
	// message in time. The message may or may not have been delivered.
	ErrUnreachable = errors.New("mesh: host unreachable")
	// ErrNotRunning means that Run has not started or has returned.
	ErrNotRunning = errors.New("mesh: not running")
	// ErrIdentity means that a host's certificate does not name it.
	ErrIdentity = errors.New("mesh: certificate does not name the host")
)

// Handler handles the messages of one topic. It is called by the goroutine that reads the sender's connection, so that a
// handler that blocks delays this sender only. ctx ends with the connection.
type Handler func(ctx context.Context, from fleet.HostID, payload []byte)

// Mesh maintains the connections of one daemon to other daemons. The exported fields are set before Run.
type Mesh struct {
	// Local is the host of this daemon.
	Local fleet.Host
	// Incarnation increases with each start of the daemon, so that a connection of a restarted host replaces the old one.
	Incarnation uint64
	// TLS holds the certificate of this host, and in RootCAs the trusted authorities. ClientCAs defaults to RootCAs.
	// GetCertificate and GetClientCertificate may be set to replace the certificate at run time.
	TLS   *tls.Config
	Clock timer.Clock
	Log   zerolog.Logger
	// Socket is the UDP socket to use. If it is nil, Run listens on Local.PeerAddress.
	Socket net.PacketConn
	// Resolve returns the address of a host to dial on demand. If it is nil, Send reaches connected hosts only.
	Resolve func(fleet.HostID) (netip.AddrPort, bool)
	// Started, if set, is called once Run makes and accepts connections.
	Started func()
	// PeerUp and PeerDown are called alternately for a host when it becomes a connected peer and when it no longer is one.
	// Calls do not overlap and must not block.
	PeerUp, PeerDown func(fleet.HostID)

	IdleTimeout, DialTimeout, WriteTimeout time.Duration
	// ResetSecret is the same for all starts of the daemon on its host, and known to its possible peers only. With it, a daemon
	// tells the peers of its earlier process that their connections have ended; otherwise they notice it after IdleTimeout. Nil
	// disables that.
	ResetSecret []byte

	handlers map[string]Handler

	mu sync.Mutex
	// The fields below are guarded by mu. running is nil unless Run is active.
	running *runState
	// links holds the link in use for each host. Replaced links are in openLinks only.
	links map[fleet.HostID]*link
	// dials holds the dials in progress, and wantedPeers the hosts that SetPeers has set.
	dials       map[fleet.HostID]*dialAttempt
	wantedPeers map[fleet.HostID]*wantedPeer
	// openLinks holds all links that are still read, replaced ones included. closedTraffic is the traffic of links that are
	// no longer read.
	openLinks     map[*link]struct{}
	closedTraffic Traffic
}

// runState exists while Run is active.
type runState struct {
	//nolint:containedctx // Later calls start goroutines that end with the context of Run.
	ctx       context.Context
	transport *quic.Transport
	tasks     sync.WaitGroup
	// events is guarded by the mesh's mu.
	events []peerEvent
	// signal receives a value when an event is added.
	signal chan struct{}
}

// peerEvent is a call of PeerUp or PeerDown to be made.
type peerEvent struct {
	host fleet.HostID
	up   bool
}

// wantedPeer is a host set by SetPeers. cancel stops the goroutine that keeps it connected.
type wantedPeer struct {
	host   fleet.Host
	cancel context.CancelFunc
}

// Handle sets the handler of a topic. It must be called before Run.
func (m *Mesh) Handle(topic string, handler Handler) {
	if m.handlers == nil {
		m.handlers = make(map[string]Handler)
	}
	m.handlers[topic] = handler
}

// Run accepts and maintains connections until ctx ends.
func (m *Mesh) Run(ctx context.Context) error {
	m.setDefaultTimeouts()
	socket := m.Socket
	if socket == nil {
		opened, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(m.Local.PeerAddress))
		if err != nil {
			return errors.Wrap(err, "mesh: open UDP socket")
		}
		socket = opened
	}
	defer func() { _ = socket.Close() }()
	transport := &quic.Transport{Conn: socket, StatelessResetKey: m.resetKey()}
	listener, err := transport.Listen(m.serverTLS(), m.quicConfig())
	if err != nil {
		return errors.Wrap(err, "mesh: listen")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	run := &runState{ctx: ctx, transport: transport, signal: make(chan struct{}, 1)}
	m.beginRun(run)
	if m.Started != nil {
		m.Started()
	}
	m.acceptLoop(run, listener)
	m.endRun()
	cancel()
	_ = listener.Close()
	run.tasks.Wait()
	return errors.Wrap(transport.Close(), "mesh: close transport")
}

// resetKey returns the key of the packets that end the connections of an earlier process of this host, or nil.
func (m *Mesh) resetKey() *quic.StatelessResetKey {
	if m.ResetSecret == nil {
		return nil
	}
	digest := sha256.New()
	digest.Write([]byte("mesh reset " + string(m.Local.ID) + " "))
	digest.Write(m.ResetSecret)
	return (*quic.StatelessResetKey)(digest.Sum(nil))
}

func (m *Mesh) setDefaultTimeouts() {
	for _, timeout := range []struct {
		value    *time.Duration
		fallback time.Duration
	}{
		{&m.IdleTimeout, DefaultIdleTimeout},
		{&m.DialTimeout, DefaultDialTimeout},
		{&m.WriteTimeout, DefaultWriteTimeout},
	} {
		if *timeout.value <= 0 {
			*timeout.value = timeout.fallback
		}
	}
}

func (m *Mesh) quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout: m.DialTimeout,
		MaxIdleTimeout:       m.IdleTimeout,
		// Small windows limit the memory of a connection; the ownership map of a service still takes a few round trips only.
		InitialStreamReceiveWindow:     64 << 10,
		MaxStreamReceiveWindow:         512 << 10,
		InitialConnectionReceiveWindow: 96 << 10,
		MaxConnectionReceiveWindow:     768 << 10,
		MaxIncomingStreams:             1,
		MaxIncomingUniStreams:          -1,
		// Discovery would send several full-size packets on each connection, although little data is ever sent at once.
		DisablePathMTUDiscovery: true,
	}
}

// beginRun initializes the state of a run and starts connecting to the wanted peers.
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

// endRun closes all links and makes the mesh refuse new ones.
func (m *Mesh) endRun() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.running = nil
	for l := range m.openLinks {
		l.close("stopping")
	}
}

// acceptLoop accepts connections until the run ends, and handles each in a goroutine of its own.
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

// dispatchEvents calls PeerUp and PeerDown in the order of the events.
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

// Send queues a message for a host, which it dials if there is no connection. It blocks while the queue of that host is full;
// other hosts cannot delay it. A nil error means that the message was queued, not that it was delivered.
func (m *Mesh) Send(ctx context.Context, to fleet.HostID, topic string, payload []byte) error {
	link, err := m.linkTo(ctx, to)
	if err != nil {
		return err
	}
	return link.enqueue(ctx, &wire.Envelope{Topic: topic, Payload: payload})
}

// SetPeers sets the hosts to keep connected as peers.
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

// startMaintainLocked starts the goroutine that keeps a peer connected, if Run is active. The caller holds mu.
func (m *Mesh) startMaintainLocked(wanted *wantedPeer) {
	if m.running == nil {
		return
	}
	run := m.running
	ctx, cancel := context.WithCancel(run.ctx)
	wanted.cancel = cancel
	run.tasks.Go(func() { m.maintainPeer(ctx, run, wanted.host) })
}
