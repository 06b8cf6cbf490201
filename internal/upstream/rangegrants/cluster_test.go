package rangegrants_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/ownership/ranges"
	"rosemarywick.example/rosemarywick/internal/platform/table"
	"rosemarywick.example/rosemarywick/internal/upstream/rangegrants"
)

const (
	service             = fleet.ServiceName("stock")
	grantDuration       = 3500 * time.Millisecond
	outageGrantDuration = 10 * time.Second
	leaseDuration       = 2 * time.Second
	// slowClockFactor is how much longer than its duration a grant lasts at a server whose clock runs slow.
	slowClockFactor = 1.02
	// maxDelay exceeds the longest delay with which a request or a write is applied.
	maxDelay = 15 * time.Second
)

// cluster is an in-memory deployment in a synctest bubble: servers that accept grants, a store, and daemons that run assigners.
// It implements rangegrants.Registry and rangegrants.LoadSource.
type cluster struct {
	t         *testing.T
	startedAt time.Time
	log       zerolog.Logger

	mu sync.Mutex
	// random is guarded by mu.
	random *rand.Rand
	// servers is guarded by mu.
	servers map[fleet.UpstreamID]*fakeServer
	changed chan struct{}
	store   *fakeStore
	// acceptedCount is the number of grants that servers accepted, renewals included.
	acceptedCount int
	// accepted contains the ranges that each process of a server accepted, with their fences.
	accepted map[ranges.Owner][]grantedRange
	// violation describes the first time at which two servers owned a key, or a key was granted without a higher fence.
	violation error
}

func newCluster(t *testing.T, seed uint64, servers int) *cluster {
	c := &cluster{
		t: t, startedAt: time.Now(), random: rand.New(rand.NewPCG(seed, 1)), servers: make(map[fleet.UpstreamID]*fakeServer),
		accepted: make(map[ranges.Owner][]grantedRange), changed: make(chan struct{}),
	}
	c.log = zerolog.Nop()
	if os.Getenv("RANGEGRANTS_LOG") != "" {
		c.log = zerolog.New(os.Stdout)
	}
	c.store = &fakeStore{cluster: c, random: rand.New(rand.NewPCG(seed, 4)), rows: make(map[string]table.Row)}
	for i := range servers {
		c.startServer(fleet.UpstreamID(fmt.Sprint("s", i)))
	}
	return c
}

// Uptime returns the time since the start of the cluster.
func (c *cluster) Uptime() time.Duration { return time.Since(c.startedAt) }

// fakeServer implements the server's side of grants and releases.
type fakeServer struct {
	owner ranges.Owner
	// startedAt is when the process started to accept connections, which stay open until it crashes.
	startedAt time.Time
	// crashed refuses connections, and unreachable lets requests time out.
	crashed, unreachable, leaving bool
	// drainDeadline is until when a leaving server gets requests, or zero.
	drainDeadline time.Time
	// closed refuses new connections while the process still runs and keeps its grants.
	closed bool
	// listed is the process that the registry lists for the server, if it is not the present one.
	listed *ranges.Owner
	// unregistered removes the server from the registry.
	unregistered bool
	// delayRate is the fraction of requests that are applied seconds after they arrived.
	delayRate float64
	grants    []grantedRange
	// fences contains the fence of each accepted request.
	fences []grantedRange
}

type grantedRange struct {
	keys      fleet.KeyRange
	fence     ranges.Fence
	expiresAt time.Time
	// owned is set in an accepted grant if the server owned all its keys already.
	owned bool
}

// owns reports whether a server owns all keys of a range now. The caller holds the cluster's mu.
func (s *fakeServer) owns(keys fleet.KeyRange) bool {
	left := []grantedRange{{keys: keys}}
	for _, granted := range s.grants {
		if !granted.expiresAt.After(time.Now()) {
			continue
		}
		var rest []grantedRange
		for _, piece := range left {
			rest = append(rest, subtract(piece, granted.keys)...)
		}
		left = rest
	}
	return len(left) == 0
}

// startServer starts a server, or restarts it at its address.
func (c *cluster) startServer(id fleet.UpstreamID) *fakeServer {
	c.mu.Lock()
	defer c.mu.Unlock()
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(len(c.servers) + 1)}), 80)
	if before := c.servers[id]; before != nil {
		address = before.owner.Address
	}
	return c.startServerAt(id, address)
}

// replaceServer crashes a server and starts another one at its address. The crashed one stays registered.
func (c *cluster) replaceServer(replaced, id fleet.UpstreamID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.servers[replaced].crashed, c.servers[replaced].grants = true, nil
	c.startServerAt(id, c.servers[replaced].owner.Address)
}

// startServerAt starts a server at an address. The caller holds mu.
func (c *cluster) startServerAt(id fleet.UpstreamID, address netip.AddrPort) *fakeServer {
	incarnation := fleet.Incarnation(fmt.Sprint(time.Since(c.startedAt).Nanoseconds()))
	server := &fakeServer{owner: ranges.Owner{ID: id, Incarnation: incarnation, Address: address}, startedAt: time.Now()}
	c.servers[id] = server
	c.notifyChanged()
	return server
}

// updateServer changes the state of a server.
func (c *cluster) updateServer(id fleet.UpstreamID, change func(*fakeServer)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(c.servers[id])
	c.notifyChanged()
}

// notifyChanged wakes the readers of Changed. The caller holds mu.
func (c *cluster) notifyChanged() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// Servers returns the registered servers, crashed ones included.
func (c *cluster) Servers(fleet.ServiceName) []rangegrants.Server {
	c.mu.Lock()
	defer c.mu.Unlock()
	var result []rangegrants.Server
	for _, server := range c.servers {
		if !server.unregistered {
			owner := server.owner
			if server.listed != nil {
				owner = *server.listed
			}
			result = append(result, rangegrants.Server{Owner: owner, Slots: 6, Leaving: server.leaving, DrainDeadline: server.drainDeadline})
		}
	}
	return result
}

// Changed returns a channel that is closed at the next change.
func (c *cluster) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// noLoad is an empty load, prepared for reading by any number of planners.
var noLoad = func() *ranges.Load {
	load := &ranges.Load{}
	load.BuildPrefixSums()
	return load
}()

// Collect returns an empty load.
func (c *cluster) Collect(context.Context, fleet.ServiceName) rangegrants.AggregateLoad {
	return rangegrants.AggregateLoad{Load: noLoad}
}

var errNoResponse = errors.New("no response")

// route returns the server that a request reaches, or the response if it reaches none. unreachable is set if the sender is cut
// off from all servers. The caller holds mu.
func (c *cluster) route(to ranges.Owner, unreachable bool) (*fakeServer, rangegrants.Response) {
	for _, server := range c.servers {
		if server.owner.Address != to.Address || server.crashed || server.closed {
			continue
		}
		switch {
		case server.unreachable || unreachable:
			return nil, rangegrants.NoResponse{NotSent: true, Err: errNoResponse}
		case server.owner.ID != to.ID:
			return nil, rangegrants.AddressTaken{}
		}
		return server, nil
	}
	return nil, rangegrants.Unavailable{Err: errNoResponse}
}

// serverClient is one assigner's connection to the servers.
type serverClient struct {
	*cluster
	// unreachable reports whether this assigner is cut off from all servers.
	unreachable func() bool
}

// send applies a request to a server. Some requests are delayed: they are applied seconds after their sender gave up.
func (c serverClient) send(ctx context.Context, to ranges.Owner, apply func(*fakeServer, time.Time) rangegrants.Response) rangegrants.Response {
	_ = timer.Wait(ctx, timer.System{}, 5*time.Millisecond)
	arrivedAt := time.Now()
	c.mu.Lock()
	server, failure := c.route(to, c.unreachable())
	delayed := server != nil && c.random.Float64() < server.delayRate
	var delay time.Duration
	if delayed {
		delay = time.Duration(2+c.random.IntN(8)) * time.Second
	}
	c.mu.Unlock()
	if delayed {
		go func() {
			sleep(delay)
			c.mu.Lock()
			defer c.mu.Unlock()
			if !server.crashed && c.servers[server.owner.ID] == server {
				apply(server, arrivedAt)
			}
		}()
		failure = rangegrants.NoResponse{Err: errNoResponse}
	}
	if failure != nil {
		if _, noResponse := failure.(rangegrants.NoResponse); noResponse {
			<-ctx.Done()
		}
		return failure
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return apply(server, arrivedAt)
}

// Grant implements rangegrants.ServerClient.
func (c serverClient) Grant(ctx context.Context, to ranges.Owner, grant rangegrants.Grant) rangegrants.Response {
	return c.send(ctx, to, func(server *fakeServer, arrivedAt time.Time) rangegrants.Response {
		if !grant.ConnectedBefore.IsZero() && !server.startedAt.Before(grant.ConnectedBefore) {
			return rangegrants.Reconnected{}
		}
		return c.applyGrant(server, grant, arrivedAt)
	})
}

// applyGrant applies a grant to a server and checks the invariants. The caller holds mu.
func (c *cluster) applyGrant(server *fakeServer, grant rangegrants.Grant, arrivedAt time.Time) rangegrants.Response {
	for _, seen := range server.fences {
		if seen.keys.Overlaps(grant.Range) && seen.fence > grant.Fence {
			return rangegrants.Superseded{}
		}
	}
	server.fences = append(server.fences, grantedRange{keys: grant.Range, fence: grant.Fence})
	owned := server.owns(grant.Range)
	expiresAt := arrivedAt.Add(time.Duration(float64(grant.Duration) * slowClockFactor))
	server.grants = append(server.grants, grantedRange{keys: grant.Range, fence: grant.Fence, expiresAt: expiresAt})
	c.acceptedCount++
	c.checkSingleOwner(server, grant.Range, expiresAt)
	c.checkFence(server, grant, expiresAt, owned)
	return rangegrants.Accepted{}
}

// checkSingleOwner records a violation if another server owns a key of the range now. The caller holds mu.
func (c *cluster) checkSingleOwner(server *fakeServer, keys fleet.KeyRange, expiresAt time.Time) {
	now := time.Now()
	if !expiresAt.After(now) {
		return
	}
	for _, other := range c.servers {
		if other == server || other.crashed {
			continue
		}
		for _, owned := range other.grants {
			if owned.keys.Overlaps(keys) && owned.expiresAt.After(now) && c.violation == nil {
				c.violation = errors.Newf("at %s %s and %s own keys of %s", c.Uptime(), server.owner.ID, other.owner.ID, keys)
			}
		}
	}
}

// checkFence records a violation if another server, or an earlier start of this one, accepted a key of the grant with the same or a
// higher fence. The caller holds mu.
func (c *cluster) checkFence(server *fakeServer, grant rangegrants.Grant, expiresAt time.Time, owned bool) {
	if !expiresAt.After(time.Now()) {
		return
	}
	for owner, accepted := range c.accepted {
		for _, before := range accepted {
			if owner != server.owner && before.keys.Overlaps(grant.Range) && before.fence >= grant.Fence && c.violation == nil {
				c.violation = errors.Newf("at %s %s accepted %s with fence %d, but %s had accepted it with %d", c.Uptime(),
					server.owner.ID, grant.Range, grant.Fence, owner.ID, before.fence)
			}
		}
	}
	c.accepted[server.owner] = append(c.accepted[server.owner],
		grantedRange{keys: grant.Range, fence: grant.Fence, expiresAt: expiresAt, owned: owned})
}

// Release implements rangegrants.ServerClient.
func (c serverClient) Release(ctx context.Context, to ranges.Owner, keys fleet.KeyRange, fence ranges.Fence) rangegrants.Response {
	return c.send(ctx, to, func(server *fakeServer, _ time.Time) rangegrants.Response {
		server.fences = append(server.fences, grantedRange{keys: keys, fence: fence})
		var remaining []grantedRange
		for _, owned := range server.grants {
			remaining = append(remaining, subtract(owned, keys)...)
		}
		server.grants = remaining
		return rangegrants.Accepted{Handover: "h"}
	})
}

// subtract returns the parts of a granted range that lie outside keys.
func subtract(granted grantedRange, keys fleet.KeyRange) []grantedRange {
	if !granted.keys.Overlaps(keys) {
		return []grantedRange{granted}
	}
	var result []grantedRange
	if granted.keys.First < keys.First {
		left := granted
		left.keys.Last = keys.First - 1
		result = append(result, left)
	}
	if granted.keys.Last > keys.Last {
		right := granted
		right.keys.First = keys.Last + 1
		result = append(result, right)
	}
	return result
}

// Probe implements rangegrants.ServerClient.
func (c serverClient) Probe(_ context.Context, to ranges.Owner) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	server, _ := c.route(to, c.unreachable())
	return server != nil
}

// unownedKeys returns the number of keys that no server owns.
func (c *cluster) unownedKeys() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	var owned [int(fleet.MaxNumericKey) + 1]bool
	now := time.Now()
	for _, server := range c.servers {
		for _, granted := range server.grants {
			if server.crashed || !granted.expiresAt.After(now) {
				continue
			}
			for key := int(granted.keys.First); key <= int(granted.keys.Last); key++ {
				owned[key] = true
			}
		}
	}
	count := 0
	for _, keyOwned := range owned {
		if !keyOwned {
			count++
		}
	}
	return count
}

// daemon runs one assigner, with faults of its own.
type daemon struct {
	stop context.CancelFunc
	done chan struct{}

	cluster *cluster

	mu sync.Mutex
	// serversUnreachable cuts the daemon off from all servers, and storeRejects makes the store unavailable to it.
	serversUnreachable, storeRejects bool
	// suspended is the total time for which the daemon's machine was suspended. Its timers do not include it.
	suspended time.Duration
	// known is the newest table that the daemon has received. It follows the store while followsTable is set.
	known        *ranges.Table
	followsTable bool
}

// knownTable returns the newest table that the daemon has received.
func (d *daemon) knownTable() *ranges.Table {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.followsTable {
		return d.known
	}
	d.cluster.store.mu.Lock()
	row, ok := d.cluster.store.rows[rangegrants.TableRow(service)]
	d.cluster.store.mu.Unlock()
	if !ok {
		return d.known
	}
	current, err := ranges.Parse(row.Value)
	if err == nil && (d.known == nil || d.known.Precedes(current)) {
		d.known = current
	}
	return d.known
}

// Uptime includes suspensions.
func (d *daemon) Uptime() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cluster.Uptime() + d.suspended
}

func (d *daemon) update(change func(*daemon)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change(d)
}

// getter returns a function that reads a field under the lock.
func (d *daemon) getter(read func(*daemon) bool) func() bool {
	return func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		return read(d)
	}
}

// startDaemon starts a daemon with an assigner on a host. Its stop function ends it and releases the lease.
func (c *cluster) startDaemon(host string) *daemon {
	ctx, stop := context.WithCancel(c.t.Context())
	d := &daemon{stop: stop, done: make(chan struct{}), cluster: c}
	store := &storeClient{fakeStore: c.store, daemon: d, rejected: d.getter(func(d *daemon) bool { return d.storeRejects })}
	assigner := &rangegrants.Assigner{
		Service: service, Daemon: host + "/" + fmt.Sprint(c.Uptime()), Store: store, Registry: c,
		Client:     serverClient{cluster: c, unreachable: d.getter(func(d *daemon) bool { return d.serversUnreachable })},
		LoadSource: c, Clock: timer.System{}, Uptime: d, Log: c.log.With().Str("daemon", host).Logger(),
		Candidates: func() int { return 3 }, Known: d.knownTable,
		GrantDuration: grantDuration, OutageGrantDuration: outageGrantDuration, LeaseDuration: leaseDuration,
	}
	go func() {
		defer close(d.done)
		_ = assigner.Run(ctx)
	}()
	c.t.Cleanup(func() { stop(); <-d.done; sleep(maxDelay) })
	return d
}

// sleep waits in the fake time of the synctest bubble.
func sleep(duration time.Duration) {
	_ = timer.Wait(context.Background(), timer.System{}, duration)
}
