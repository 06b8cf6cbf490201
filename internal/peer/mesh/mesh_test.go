package mesh_test

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/peer/mesh"
	"rosemarywick.example/rosemarywick/internal/peer/standin"
	"rosemarywick.example/rosemarywick/internal/peer/wire"
)

const timeout = 10 * time.Second

// node is one mesh on loopback with what it received.
type node struct {
	*mesh.Mesh

	socket   *lossy
	received chan string
	// block holds up the handler of "block" until it is closed.
	block chan struct{}
	ups   atomic.Int32
	downs atomic.Int32
	stop  func()
}

// lossy is a socket that loses all packets while cut is set. It hides the other methods of a UDP socket, with which
// packets would pass it by.
type lossy struct {
	net.PacketConn

	cut atomic.Bool
}

func (l *lossy) WriteTo(packet []byte, to net.Addr) (int, error) {
	if l.cut.Load() {
		return len(packet), nil
	}
	return l.PacketConn.WriteTo(packet, to)
}

func (l *lossy) ReadFrom(packet []byte) (int, net.Addr, error) {
	for {
		count, from, err := l.PacketConn.ReadFrom(packet)
		if err != nil || !l.cut.Load() {
			return count, from, err
		}
	}
}

type group struct {
	t         *testing.T
	authority *standin.Authority
	mu        sync.Mutex
	// addresses is guarded by mu.
	addresses map[fleet.HostID]netip.AddrPort
}

func newGroup(t *testing.T) *group {
	authority, err := standin.NewAuthority(time.Now())
	if err != nil {
		t.Fatal(err)
	}
	return &group{t: t, authority: authority, addresses: make(map[fleet.HostID]netip.AddrPort)}
}

func (g *group) resolve(id fleet.HostID) (netip.AddrPort, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	address, found := g.addresses[id]
	return address, found
}

func (g *group) config(id fleet.HostID) *tls.Config {
	config, err := g.authority.TLSConfig(id)
	if err != nil {
		g.t.Fatal(err)
	}
	return config
}

// start starts a mesh on a fresh socket, or again on the address that it had.
func (g *group) start(id fleet.HostID, config *tls.Config) *node {
	address, known := g.resolve(id)
	if !known {
		address = netip.MustParseAddrPort("127.0.0.1:0")
	}
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		g.t.Fatal(err)
	}
	address = socket.LocalAddr().(*net.UDPAddr).AddrPort()
	g.mu.Lock()
	g.addresses[id] = address
	g.mu.Unlock()
	s := &node{socket: &lossy{PacketConn: socket}, received: make(chan string, 1000), block: make(chan struct{})}
	s.Mesh = &mesh.Mesh{
		Local: fleet.Host{ID: id, PeerAddress: address}, Incarnation: uint64(time.Now().UnixNano()), TLS: config,
		Clock: timer.System{}, Log: zerolog.Nop(), Socket: s.socket, Resolve: g.resolve, IdleTimeout: 2 * time.Second,
		PeerUp: func(fleet.HostID) { s.ups.Add(1) }, PeerDown: func(fleet.HostID) { s.downs.Add(1) },
	}
	s.Handle("note", func(_ context.Context, from fleet.HostID, payload []byte) {
		s.received <- string(from) + ":" + string(payload)
	})
	s.Handle("block", func(ctx context.Context, _ fleet.HostID, _ []byte) {
		select {
		case <-s.block:
		case <-ctx.Done():
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	s.stop = sync.OnceFunc(func() {
		cancel()
		if err := <-done; err != nil {
			g.t.Errorf("run: %v", err)
		}
	})
	g.t.Cleanup(s.stop)
	g.eventually(func() bool { return !errors.Is(s.send("", ""), mesh.ErrNotRunning) })
	return s
}

func (s *node) send(to fleet.HostID, text string) error {
	return s.sendWithin(timeout, to, "note", []byte(text))
}

func (s *node) sendWithin(timeout time.Duration, to fleet.HostID, topic string, payload []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return s.Send(ctx, to, topic, payload)
}

func (g *group) receive(s *node) string {
	g.t.Helper()
	wake := timer.System{}.After(timeout)
	defer wake.Stop()
	select {
	case text := <-s.received:
		return text
	case <-wake.C:
		g.t.Fatal("nothing received")
		return ""
	}
}

func (g *group) eventually(condition func() bool) {
	g.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	for !condition() {
		if timer.Wait(ctx, timer.System{}, 5*time.Millisecond) != nil {
			g.t.Fatal("condition not met in time")
		}
	}
}

func (s *node) peers() (hosts []fleet.HostID) {
	for _, link := range s.Links() {
		if link.Peer {
			hosts = append(hosts, link.Host)
		}
	}
	return hosts
}

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// Guards against messages to a host that is no peer that are lost or arrive out of order.
func TestSendOnDemand(t *testing.T) {
	is := is.New(t)
	g := newGroup(t)
	a, b := g.start("a", g.config("a")), g.start("b", g.config("b"))
	for _, text := range []string{"1", "2", "3"} {
		is.NoErr(a.send("b", text))
	}
	for _, want := range []string{"a:1", "a:2", "a:3"} {
		is.Equal(g.receive(b), want)
	}
	is.NoErr(b.send("a", "back"))
	is.Equal(g.receive(a), "b:back")
	is.Equal(len(a.Links()), 1) // the response used the same connection
	is.Equal(a.ups.Load(), int32(0))
	is.True(errors.Is(a.send("nobody", ""), mesh.ErrUnreachable))
	is.NoErr(a.sendWithin(timeout, "b", "note", make([]byte, wire.MaxEnvelopeSize))) // too large: dropped with a log line
	is.NoErr(a.send("b", "after"))
	is.Equal(g.receive(b), "a:after") // and the connection lives on
}

// Guards against a host that poses as another one, and against one of another authority.
func TestIdentity(t *testing.T) {
	cases := []struct {
		name   string
		config func(g *group) *tls.Config
	}{
		{"certificate of another host", func(g *group) *tls.Config { return g.config("c") }},
		{"other authority", func(g *group) *tls.Config { return newGroup(g.t).config("b") }},
		{"own certificate unsigned by the authority of the others", func(g *group) *tls.Config {
			config := newGroup(g.t).config("b")
			config.RootCAs, config.ClientCAs = g.authority.RootPool(), g.authority.RootPool()
			return config
		}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			g := newGroup(t)
			a, b := g.start("a", g.config("a")), g.start("b", test.config(g))
			is.True(errors.Is(a.send("b", ""), mesh.ErrUnreachable)) // dialed
			_ = b.send("a", "forged")                                // accepted
			c := g.start("c", g.config("c"))
			is.NoErr(c.send("a", "true"))
			is.Equal(g.receive(a), "c:true") // nothing came from the impostor
		})
	}
}

// Guards against a certificate that cannot be replaced without a restart.
func TestCertificateIsReplaced(t *testing.T) {
	is := is.New(t)
	g := newGroup(t)
	config := g.config("b")
	current := config.Certificates[0]
	var mu sync.Mutex
	var served []byte
	get := func() (*tls.Certificate, error) {
		mu.Lock()
		defer mu.Unlock()
		served = current.Certificate[0]
		return &current, nil
	}
	config.Certificates = nil
	config.GetCertificate = func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return get() }
	config.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return get() }
	a, b := g.start("a", g.config("a")), g.start("b", config)
	is.NoErr(a.send("b", "old"))
	is.Equal(g.receive(b), "a:old")
	fresh, err := g.authority.IssueCertificate("b", "")
	is.NoErr(err)
	mu.Lock()
	current = fresh
	mu.Unlock()
	c := g.start("c", g.config("c"))
	is.NoErr(c.send("b", "new"))
	is.Equal(g.receive(b), "c:new")
	mu.Lock()
	defer mu.Unlock()
	is.True(slices.Equal(served, fresh.Certificate[0]))
}

// Guards against a peer whose handler is stuck, or that does not respond at all, and that holds up messages to others.
func TestStuckPeerDelaysNobody(t *testing.T) {
	for name, stick := range map[string]func(b *node){
		"blocked handler": func(*node) {},
		"paused":          func(b *node) { b.socket.cut.Store(true) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := newGroup(t)
			a, b, c := g.start("a", g.config("a")), g.start("b", g.config("b")), g.start("c", g.config("c"))
			is.NoErr(a.sendWithin(timeout, "b", "block", nil))
			is.NoErr(a.send("c", "first"))
			is.Equal(g.receive(c), "a:first")
			stick(b)
			payload := make([]byte, 100_000)
			sent := 0
			for a.sendWithin(50*time.Millisecond, "b", "note", payload) == nil {
				if sent++; sent > 100 {
					t.Fatal("the queue of the stuck peer has no bound")
				}
			}
			begin := time.Now()
			is.NoErr(a.send("c", "second"))
			is.Equal(g.receive(c), "a:second")
			is.True(time.Since(begin) < time.Second) // the message did not wait for the stuck peer
			close(b.block)
		})
	}
}

// Guards against two hosts that dial each other at once and end without a connection, with two, or without messages
// that were sent meanwhile.
func TestMutualPeers(t *testing.T) {
	for range 8 {
		t.Run("pair", func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			g := newGroup(t)
			a, b := g.start("a", g.config("a")), g.start("b", g.config("b"))
			a.SetPeers([]fleet.Host{b.Local})
			b.SetPeers([]fleet.Host{a.Local})
			const count = 50
			for range count {
				is.NoErr(a.send("b", "x"))
				is.NoErr(b.send("a", "y"))
			}
			for range count {
				is.Equal(g.receive(b), "a:x")
				is.Equal(g.receive(a), "b:y")
			}
			_ = timer.Wait(t.Context(), timer.System{}, 1500*time.Millisecond) // beyond the time for which a worse link is read
			is.True(a.downs.Load() <= 1 && b.downs.Load() <= 1)                // one may have been replaced
			is.Equal(len(a.peers())+len(b.peers()), 2)
			a.SetPeers(nil)
			is.Equal(len(a.peers()), 1) // b still wants the connection
			b.SetPeers(nil)
			g.eventually(func() bool { return len(a.peers()) == 0 && len(b.peers()) == 0 })
			g.eventually(func() bool { return a.ups.Load() == a.downs.Load() && b.ups.Load() == b.downs.Load() })
		})
	}
}

// Guards against a restarted or partitioned peer that does not come back, and a restart that is noticed only when the
// old connection times out.
func TestPeerReturns(t *testing.T) {
	is := is.New(t)
	g := newGroup(t)
	a, b := g.start("a", g.config("a")), g.start("b", g.config("b"))
	a.SetPeers([]fleet.Host{b.Local})
	g.eventually(func() bool { return len(b.peers()) == 1 })

	b.socket.cut.Store(true)
	g.eventually(func() bool { return len(a.peers()) == 0 })
	b.socket.cut.Store(false)
	g.eventually(func() bool { return len(a.peers()) == 1 && len(b.peers()) == 1 })

	b.socket.cut.Store(true) // b ends without a word, as a lost host does
	b.stop()
	restarted := g.start("b", g.config("b"))
	begin := time.Now()
	is.NoErr(restarted.send("a", "again"))
	is.Equal(g.receive(a), "b:again")
	is.NoErr(a.send("b", "welcome"))
	is.Equal(g.receive(restarted), "a:welcome")
	is.True(time.Since(begin) < time.Second) // the new connection replaced the old one at once
	g.eventually(func() bool { return len(restarted.peers()) == 1 })
}
