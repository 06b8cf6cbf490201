// Package recovery measures how long partitions have no owner when a server, an assigner or a failure domain is lost, and
// when a partition is moved as planned. It runs real guards and runners over loopback HTTP, with injected delays of the
// links between failure domains; the table and the messages between daemons are stand-ins in the same process.
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
	// domains are the failure domains among which servers and daemons are spread evenly.
	domainCount = 4
	// daemons is the number of entry hosts.
	daemonCount = 12
	// minDelay and maxDelay bound the delay of one way over a link, as in the two present fleets.
	minOneWayDelay = 3 * time.Millisecond
	maxOneWayDelay = 5 * time.Millisecond
	// interval is how often the owners are looked at; results are exact to this.
	sampleInterval = time.Millisecond
)

var errLost = errors.New("recovery: host is lost")

// host is one daemon with its runner.
type host struct {
	id     fleet.HostID
	domain int
	runner *grants.Runner
	lost   atomic.Bool
}

// upstream is one server. A lost one takes no requests and answers nothing.
type upstream struct {
	fleet.Upstream
	domain int
	guard  *grants.Server
	lost   atomic.Bool
}

// world is one group with its daemons, table and network.
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

	// mu guards receivers and known.
	mu        sync.Mutex
	receivers map[fleet.HostID]func(from fleet.HostID, payload []byte)
	// known is the map as a daemon in another failure domain than the assigner has it.
	remoteMap *keymap.Map
}

// pause blocks for the delay of one way over a link.
func (w *cluster) waitOneWay(ctx context.Context) error {
	return timer.Wait(ctx, w.timer, minOneWayDelay+rand.N(maxOneWayDelay-minOneWayDelay))
}

func newCluster(ctx context.Context, setup Benchmark) (*cluster, error) {
	ctx, stop := context.WithCancel(ctx)
	w := &cluster{
		stop: stop, benchmark: setup, remoteMap: keymap.New(setup.Partitions), placer: &roundRobinPlacer{}, byAddress: make(map[string]*upstream),
		receivers: make(map[fleet.HostID]func(fleet.HostID, []byte)),
	}
	w.table.waitOneWay = w.waitOneWay
	for i := range serverCount {
		if err := w.startServer(ctx, i); err != nil {
			stop()
			return nil, err
		}
	}
	for i := range daemonCount {
		w.hosts = append(w.hosts, &host{id: fleet.HostID(fmt.Sprintf("host-%02d", i)), domain: i % domainCount})
	}
	for _, h := range w.hosts {
		w.startRunner(ctx, h)
	}
	return w, nil
}

// close ends all goroutines of the world.
func (w *cluster) stopAll() {
	w.stop()
	w.tasks.Wait()
}

// startServer opens one server on a loopback address.
func (w *cluster) startServer(ctx context.Context, i int) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "recovery: open server")
	}
	id := fleet.UpstreamID(fmt.Sprintf("server-%02d", i))
	u := &upstream{domain: i % domainCount}
	u.Upstream = fleet.Upstream{
		ID: id, Service: service, Locality: fleet.Locality{Domain: domainName(u.domain)},
		Address: netip.MustParseAddrPort(listener.Addr().String()), Guard: fleet.GuardFenced,
	}
	u.guard = &grants.Server{
		Guard: &lease.Guard{Service: service, Incarnation: fleet.Incarnation(id + "-1"), Partitions: w.benchmark.Partitions},
		Timer: w.timer,
	}
	mux := http.NewServeMux()
	mux.Handle(grants.OrdersPath, u.guard)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	w.tasks.Go(func() { _ = server.Serve(listener) })
	w.tasks.Go(func() {
		<-ctx.Done()
		_ = server.Close()
	})
	w.upstreams = append(w.upstreams, u)
	w.byAddress[u.Address.String()] = u
	return nil
}

func domainName(domain int) fleet.FailureDomain {
	return fleet.FailureDomain(fmt.Sprintf("domain-%d", domain))
}

// startRunner starts the runner of one daemon.
func (w *cluster) startRunner(ctx context.Context, h *host) {
	var upstreams []fleet.Upstream
	for _, u := range w.upstreams {
		upstreams = append(upstreams, u.Upstream)
	}
	var hosts []fleet.Host
	for _, each := range w.hosts {
		hosts = append(hosts, fleet.Host{ID: each.id, Locality: fleet.Locality{Domain: domainName(each.domain)}})
	}
	transport := &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}
	h.runner = &grants.Runner{
		Assigner: &assigner.Assigner{
			Host: h.id, InstanceID: "1", Service: service, Partitions: w.benchmark.Partitions, Placer: w.placer,
			Timing: assigner.DefaultTiming(),
		},
		Table: hostTable{table: &w.table, host: h}, Peers: peerTransport{cluster: w, from: h}, Publisher: mapPublisher{cluster: w, from: h, ctx: ctx},
		Client: &grants.Client{Transport: delayedTransport{cluster: w, from: h, next: transport}},
		Timer:  w.timer, Log: w.benchmark.Log,
	}
	h.runner.SetUpstreams(upstreams)
	h.runner.SetHosts(hosts)
	w.tasks.Go(func() {
		_ = h.runner.Run(ctx)
		transport.CloseIdleConnections()
	})
}

// slowLink delays orders and reports, and loses them when one end is lost.
type delayedTransport struct {
	cluster *cluster
	from    *host
	next    http.RoundTripper
}

// RoundTrip delays the request and the response. A message to or from a lost process stays unanswered.
func (l delayedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	if err := l.cluster.waitOneWay(request.Context()); err != nil {
		return nil, err
	}
	if l.lost(request) {
		<-request.Context().Done()
		return nil, errLost
	}
	response, err := l.next.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if err = l.cluster.waitOneWay(request.Context()); err == nil && l.lost(request) {
		err = errLost
	}
	if err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}

func (l delayedTransport) lost(request *http.Request) bool {
	return l.from.lost.Load() || l.cluster.byAddress[request.URL.Host].lost.Load()
}

// link carries messages between daemons.
type peerTransport struct {
	cluster *cluster
	from    *host
}

// Send delivers a message after the delay of the link.
func (l peerTransport) Send(ctx context.Context, to fleet.HostID, _ string, payload []byte) error {
	if err := l.cluster.waitOneWay(ctx); err != nil {
		return err
	}
	l.cluster.mu.Lock()
	receive := l.cluster.receivers[to]
	l.cluster.mu.Unlock()
	if receive == nil || l.from.lost.Load() || l.cluster.findHost(to).lost.Load() {
		return errLost
	}
	receive(l.from.id, payload)
	return nil
}

// Handle registers the receiver of a daemon.
func (l peerTransport) Handle(_ string, receive func(from fleet.HostID, payload []byte)) {
	l.cluster.mu.Lock()
	defer l.cluster.mu.Unlock()
	l.cluster.receivers[l.from.id] = receive
}

// feed carries assignments from an assigner to a daemon elsewhere.
type mapPublisher struct {
	cluster *cluster
	from    *host
	ctx     context.Context
}

// Publish merges the assignments into the other daemon's map after the delay of the link.
func (f mapPublisher) Publish(_ fleet.ServiceName, assignments []fleet.Assignment) {
	f.cluster.tasks.Go(func() {
		if f.cluster.waitOneWay(f.ctx) != nil || f.from.lost.Load() {
			return
		}
		f.cluster.mu.Lock()
		defer f.cluster.mu.Unlock()
		f.cluster.remoteMap, _ = f.cluster.remoteMap.Merge(assignments)
	})
}

func (w *cluster) findHost(id fleet.HostID) *host {
	for _, h := range w.hosts {
		if h.id == id {
			return h
		}
	}
	return nil
}

// acting returns the daemon that acts as the assigner, or nil.
func (w *cluster) actingAssigner() *host {
	for _, h := range w.hosts {
		if role, _ := h.runner.Role(); role == assigner.RoleActing && !h.lost.Load() {
			return h
		}
	}
	return nil
}

// snapshot returns the other daemon's map.
func (w *cluster) remoteMapSnapshot() *keymap.Map {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.remoteMap
}
