// Package recovery measures how long partitions are without an owner when a server, an assigner or a failure domain fails, and
// when a partition is moved as planned. It runs the real lease guards and assigner runners over loopback HTTP and injects the
// network latency between failure domains. The table service and the messages between daemons are in-process fakes.
package recovery

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/ownership/assigner"
	"rosemarywick.example/rosemarywick/internal/ownership/keymap"
	"rosemarywick.example/rosemarywick/internal/ownership/lease"
	"rosemarywick.example/rosemarywick/internal/upstream/grants"
)

const (
	service     = fleet.ServiceName("stock")
	serverCount = 15
	// domainCount is the number of failure domains, over which servers and daemons are distributed evenly.
	domainCount = 4
	// daemonCount is the number of hosts that run a daemon.
	daemonCount = 12
	// minOneWayDelay and maxOneWayDelay are the range of the one-way network latency, as in the two existing deployments.
	minOneWayDelay = 3 * time.Millisecond
	maxOneWayDelay = 5 * time.Millisecond
	// sampleInterval is the interval at which the owners are sampled, and so the resolution of the results.
	sampleInterval = time.Millisecond
)

var errLost = errors.New("recovery: host has failed")

// host is a simulated host. Of its daemon, only the assigner runner runs. lost is set once the host has failed.
type host struct {
	id     fleet.HostID
	domain int
	runner *grants.Runner
	lost   atomic.Bool
}

// upstream is one server. Once lost is set it has failed: it admits no requests and answers no messages.
type upstream struct {
	fleet.Upstream
	domain int
	guard  *grants.Server
	lost   atomic.Bool
}

// cluster holds the servers of one service, the daemons, the table service and the network between them.
type cluster struct {
	timer     timer.System
	benchmark Benchmark
	table     memoryTable
	hosts     []*host
	upstreams []*upstream
	byAddress map[string]*upstream
	placer    *roundRobinPlacer
	stop      context.CancelFunc
	tasks     sync.WaitGroup

	// mu guards receivers and remoteMap.
	mu sync.Mutex
	// receivers holds the function that receives the messages to each daemon.
	receivers map[fleet.HostID]func(from fleet.HostID, payload []byte)
	// remoteMap is the ownership map of a daemon in another failure domain than the assigner.
	remoteMap *keymap.Map
}

// waitOneWay blocks for a random one-way network latency.
func (c *cluster) waitOneWay(ctx context.Context) error {
	return timer.Wait(ctx, c.timer, minOneWayDelay+rand.N(maxOneWayDelay-minOneWayDelay))
}

func newCluster(ctx context.Context, benchmark Benchmark) (*cluster, error) {
	ctx, stop := context.WithCancel(ctx)
	c := &cluster{
		stop: stop, benchmark: benchmark, remoteMap: keymap.New(benchmark.Partitions), placer: &roundRobinPlacer{},
		byAddress: make(map[string]*upstream),
		receivers: make(map[fleet.HostID]func(fleet.HostID, []byte)),
	}
	c.table.waitOneWay = c.waitOneWay
	for i := range serverCount {
		if err := c.startServer(ctx, i); err != nil {
			stop()
			return nil, err
		}
	}
	for i := range daemonCount {
		c.hosts = append(c.hosts, &host{id: fleet.HostID(fmt.Sprintf("host-%02d", i)), domain: i % domainCount})
	}
	for _, h := range c.hosts {
		c.startRunner(ctx, h)
	}
	return c, nil
}

// stopAll stops all goroutines of the cluster and waits for them.
func (c *cluster) stopAll() {
	c.stop()
	c.tasks.Wait()
}

// startServer starts server number i on a loopback address.
func (c *cluster) startServer(ctx context.Context, i int) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "recovery: listen for a server")
	}
	id := fleet.UpstreamID(fmt.Sprintf("server-%02d", i))
	u := &upstream{domain: i % domainCount}
	u.Upstream = fleet.Upstream{
		ID: id, Service: service, Locality: fleet.Locality{Domain: domainName(u.domain)},
		Address: netip.MustParseAddrPort(listener.Addr().String()), Guard: fleet.GuardFenced,
	}
	u.guard = &grants.Server{
		Guard: &lease.Guard{Service: service, Incarnation: fleet.Incarnation(id + "-1"), Partitions: c.benchmark.Partitions},
		Timer: c.timer,
	}
	mux := http.NewServeMux()
	mux.Handle(grants.OrdersPath, u.guard)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	c.tasks.Go(func() { _ = server.Serve(listener) })
	c.tasks.Go(func() {
		<-ctx.Done()
		_ = server.Close()
	})
	c.upstreams = append(c.upstreams, u)
	c.byAddress[u.Address.String()] = u
	return nil
}

func domainName(domain int) fleet.FailureDomain {
	return fleet.FailureDomain(fmt.Sprintf("domain-%d", domain))
}

// startRunner starts the assigner runner of one daemon.
func (c *cluster) startRunner(ctx context.Context, h *host) {
	var upstreams []fleet.Upstream
	for _, u := range c.upstreams {
		upstreams = append(upstreams, u.Upstream)
	}
	var hosts []fleet.Host
	for _, peer := range c.hosts {
		hosts = append(hosts, fleet.Host{ID: peer.id, Locality: fleet.Locality{Domain: domainName(peer.domain)}})
	}
	transport := &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}
	h.runner = &grants.Runner{
		Assigner: &assigner.Assigner{
			Host: h.id, InstanceID: "1", Service: service, Partitions: c.benchmark.Partitions, Placer: c.placer,
			Timing: assigner.DefaultTiming(),
		},
		Table: hostTable{table: &c.table, host: h}, Peers: peerTransport{cluster: c, from: h},
		Publisher: mapPublisher{cluster: c, from: h, ctx: ctx},
		Client:    &grants.Client{Transport: delayedTransport{cluster: c, from: h, next: transport}},
		Timer:     c.timer, Log: c.benchmark.Log,
	}
	h.runner.SetUpstreams(upstreams)
	h.runner.SetHosts(hosts)
	c.tasks.Go(func() {
		_ = h.runner.Run(ctx)
		transport.CloseIdleConnections()
	})
}

// delayedTransport carries orders and reports between a daemon and the servers. It delays them by the network latency, and
// drops them if either end has failed.
type delayedTransport struct {
	cluster *cluster
	from    *host
	next    http.RoundTripper
}

// RoundTrip delays the request and the response. It blocks until the deadline of the request if either end has failed when the
// request arrives, and fails if either end has failed when the response arrives.
func (t delayedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	if err := t.cluster.waitOneWay(request.Context()); err != nil {
		return nil, err
	}
	if t.lost(request) {
		<-request.Context().Done()
		return nil, errLost
	}
	response, err := t.next.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if err = t.cluster.waitOneWay(request.Context()); err == nil && t.lost(request) {
		err = errLost
	}
	if err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}

// lost reports whether either end of the connection has failed.
func (t delayedTransport) lost(request *http.Request) bool {
	return t.from.lost.Load() || t.cluster.byAddress[request.URL.Host].lost.Load()
}

// peerTransport carries messages between daemons. It implements grants.Peers.
type peerTransport struct {
	cluster *cluster
	from    *host
}

// Send delivers a message after the network latency.
func (t peerTransport) Send(ctx context.Context, to fleet.HostID, _ string, payload []byte) error {
	if err := t.cluster.waitOneWay(ctx); err != nil {
		return err
	}
	t.cluster.mu.Lock()
	receive := t.cluster.receivers[to]
	t.cluster.mu.Unlock()
	if receive == nil || t.from.lost.Load() || t.cluster.findHost(to).lost.Load() {
		return errLost
	}
	receive(t.from.id, payload)
	return nil
}

// Handle registers the function that receives the messages to the daemon.
func (t peerTransport) Handle(_ string, receive func(from fleet.HostID, payload []byte)) {
	t.cluster.mu.Lock()
	defer t.cluster.mu.Unlock()
	t.cluster.receivers[t.from.id] = receive
}

// mapPublisher sends assignments from an assigner to a daemon in another failure domain. It implements grants.Publisher.
type mapPublisher struct {
	cluster *cluster
	from    *host
	ctx     context.Context
}

// Publish merges the assignments into the remote map after the network latency.
func (p mapPublisher) Publish(_ fleet.ServiceName, assignments []fleet.Assignment) {
	p.cluster.tasks.Go(func() {
		if p.cluster.waitOneWay(p.ctx) != nil || p.from.lost.Load() {
			return
		}
		p.cluster.mu.Lock()
		defer p.cluster.mu.Unlock()
		p.cluster.remoteMap, _ = p.cluster.remoteMap.Merge(assignments)
	})
}

// findHost returns the host with the given ID, or nil.
func (c *cluster) findHost(id fleet.HostID) *host {
	for _, h := range c.hosts {
		if h.id == id {
			return h
		}
	}
	return nil
}

// actingAssigner returns the live host that acts as the assigner, or nil.
func (c *cluster) actingAssigner() *host {
	for _, h := range c.hosts {
		if role, _ := h.runner.Role(); role == assigner.RoleActing && !h.lost.Load() {
			return h
		}
	}
	return nil
}

// remoteMapSnapshot returns the current ownership map of the remote daemon.
func (c *cluster) remoteMapSnapshot() *keymap.Map {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.remoteMap
}
