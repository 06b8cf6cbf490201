package grants_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/ownership/assigner"
	"rosemarywick.example/rosemarywick/internal/ownership/keymap"
	"rosemarywick.example/rosemarywick/internal/ownership/lease"
	"rosemarywick.example/rosemarywick/internal/platform/table"
	"rosemarywick.example/rosemarywick/internal/upstream/grants"
)

// networkDelay is the delay of each table call and of each message in one direction.
const networkDelay = 4 * time.Millisecond

// cluster simulates the network, the table service and the published map in one process, on the virtual time of synctest.
type cluster struct {
	mu      sync.Mutex
	rows    map[string]table.Row
	version table.Version
	// down makes the table service unavailable.
	down    bool
	servers map[string]*grants.Server
	// lost holds the addresses of the servers that do not respond.
	lost      map[string]bool
	handlers  map[fleet.HostID]func(fleet.HostID, []byte)
	published *keymap.Map
}

func (c *cluster) Read(ctx context.Context, names ...string) ([]table.Row, error) {
	_ = timer.Wait(ctx, timer.System{}, networkDelay)
	c.mu.Lock()
	defer c.mu.Unlock()
	var rows []table.Row
	for _, name := range names {
		if row, found := c.rows[name]; found {
			rows = append(rows, row)
		}
	}
	return rows, c.unavailable()
}

func (c *cluster) Scan(ctx context.Context, prefix string) ([]table.Row, error) {
	_ = timer.Wait(ctx, timer.System{}, networkDelay)
	c.mu.Lock()
	defer c.mu.Unlock()
	var rows []table.Row
	for name, row := range c.rows {
		if strings.HasPrefix(name, prefix) {
			rows = append(rows, row)
		}
	}
	return rows, c.unavailable()
}

func (c *cluster) Commit(ctx context.Context, changes ...table.Change) error {
	_ = timer.Wait(ctx, timer.System{}, networkDelay)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, change := range changes {
		if c.rows[change.Name].Version != change.Expected {
			return table.ErrConflict
		}
	}
	for _, change := range changes {
		if change.Write && !c.down {
			c.version++
			c.rows[change.Name] = table.Row{Name: change.Name, Version: c.version, Value: change.Value}
		}
	}
	return c.unavailable()
}

func (c *cluster) setDown(down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down = down
}

// unavailable returns the error of a table call during an outage. The caller holds mu.
func (c *cluster) unavailable() error {
	if c.down {
		return table.ErrUnavailable
	}
	return nil
}

func (c *cluster) RoundTrip(request *http.Request) (*http.Response, error) {
	_ = timer.Wait(request.Context(), timer.System{}, networkDelay)
	c.mu.Lock()
	server, lost := c.servers[request.URL.Host], c.lost[request.URL.Host]
	c.mu.Unlock()
	if lost {
		<-request.Context().Done()
		return nil, request.Context().Err()
	}
	recorder := httptest.NewRecorder()
	server.ServeHTTP(recorder, request)
	_ = timer.Wait(request.Context(), timer.System{}, networkDelay)
	return recorder.Result(), nil
}

func (c *cluster) Publish(_ fleet.ServiceName, changes []fleet.Assignment) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.published, _ = c.published.Merge(changes)
}

// partitionCounts returns the number of partitions of each owner in the published map.
func (c *cluster) partitionCounts() map[fleet.UpstreamID]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := make(map[fleet.UpstreamID]int)
	for p := range c.published.Partitions() {
		counts[c.published.Locate(fleet.KeyHash(p)).Owner]++
	}
	return counts
}

// hostPeers is the grants.Peers of one host.
type hostPeers struct {
	*cluster
	host fleet.HostID
}

func (p hostPeers) Send(ctx context.Context, to fleet.HostID, _ string, payload []byte) error {
	_ = timer.Wait(ctx, timer.System{}, networkDelay)
	p.mu.Lock()
	handle := p.handlers[to]
	p.mu.Unlock()
	if handle != nil {
		handle(p.host, bytes.Clone(payload))
	}
	return nil
}

func (p hostPeers) Handle(_ string, receive func(fleet.HostID, []byte)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.handlers[p.host] = receive
}

// modPlacer keeps owners that are alive and places the other partitions on the servers by partition number.
type modPlacer struct{}

func (modPlacer) Place(placements []assigner.PartitionPlacement, servers []assigner.Server) []assigner.PartitionPlacement {
	live := make(map[fleet.UpstreamID]bool)
	for _, server := range servers {
		live[server.ID] = true
	}
	for i := range placements {
		if !live[placements[i].Owner] {
			placements[i].Owner = servers[i%len(servers)].ID
		}
		placements[i].Standby = servers[(i+1)%len(servers)].ID
	}
	return placements
}

// newCluster returns a cluster with some fenced servers, and the upstreams that describe them.
func newCluster(servers int) (*cluster, []fleet.Upstream) {
	c := &cluster{
		rows: map[string]table.Row{}, servers: map[string]*grants.Server{}, lost: map[string]bool{},
		handlers: map[fleet.HostID]func(fleet.HostID, []byte){}, published: keymap.New(64),
	}
	var upstreams []fleet.Upstream
	for i := range servers {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(9000+i))
		id := fleet.UpstreamID(string(rune('a' + i)))
		guard := &lease.Guard{Service: "stock", Incarnation: fleet.Incarnation(id + "-1"), Partitions: 64}
		c.servers[address.String()] = &grants.Server{Guard: guard, Timer: timer.System{}}
		upstreams = append(upstreams, fleet.Upstream{ID: id, Service: "stock", Address: address, Guard: fleet.GuardFenced})
	}
	return c, upstreams
}

// runner returns a runner for a host. It has not been started.
func (c *cluster) runner(host fleet.HostID, upstreams []fleet.Upstream, hosts []fleet.Host) *grants.Runner {
	runner := &grants.Runner{
		Assigner: &assigner.Assigner{
			Host: host, InstanceID: "1", Service: "stock", Partitions: 64, Placer: modPlacer{}, Timing: assigner.DefaultTiming(),
		},
		Table: c, Peers: hostPeers{c, host}, Publisher: c, Client: &grants.Client{Transport: c}, Timer: timer.System{},
		Log: zerolog.Nop(),
	}
	runner.SetUpstreams(upstreams)
	runner.SetHosts(hosts)
	return runner
}

// Guards against a group without an acting assigner, and against an assigner that does not assign all partitions, does not
// move the partitions of a lost server, or does not hand its role to the deputy when it stops.
func TestRunner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, upstreams := newCluster(5)
		hosts := []fleet.Host{{ID: "h1"}, {ID: "h2"}, {ID: "h3"}}
		var runners []*grants.Runner
		cancelByRole := map[assigner.Role]context.CancelFunc{}
		var done sync.WaitGroup
		cancels := make([]context.CancelFunc, len(hosts))
		for i, host := range hosts {
			runner := c.runner(host.ID, upstreams, hosts)
			runners = append(runners, runner)
			ctx, cancel := context.WithCancel(t.Context())
			cancels[i] = cancel
			done.Go(func() { _ = runner.Run(ctx) })
		}
		_ = timer.Wait(t.Context(), timer.System{}, 3*time.Second)
		is.Equal(c.partitionCounts(), map[fleet.UpstreamID]int{"a": 13, "b": 13, "c": 13, "d": 13, "e": 12})
		for i, runner := range runners {
			role, _ := runner.Role()
			cancelByRole[role] = cancels[i]
		}
		is.Equal(len(cancelByRole), 3) // one acting, one deputy, one watching

		c.mu.Lock()
		c.lost[upstreams[0].Address.String()] = true
		c.mu.Unlock()
		_ = timer.Wait(t.Context(), timer.System{}, time.Second)
		is.Equal(c.partitionCounts()["a"], 0) // the partitions of the lost server were moved

		cancelByRole[assigner.RoleActing]()
		_ = timer.Wait(t.Context(), timer.System{}, 200*time.Millisecond)
		acting := 0
		for _, runner := range runners {
			if role, _ := runner.Role(); role == assigner.RoleActing {
				acting++
			}
		}
		is.Equal(acting, 1) // the deputy
		for _, cancel := range cancels {
			cancel()
		}
		done.Wait()
	})
}
