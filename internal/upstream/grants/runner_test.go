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

const delay = 4 * time.Millisecond

// world is a network, a table and a map in one process; its delays are on the virtual time of synctest.
type world struct {
	mu       sync.Mutex
	rows     map[string]table.Row
	version  table.Version
	down     bool
	servers  map[string]*grants.Server
	lost     map[string]bool
	handlers map[fleet.HostID]func(fleet.HostID, []byte)
	known    *keymap.Map
}

func (w *world) Read(ctx context.Context, names ...string) ([]table.Row, error) {
	_ = timer.Wait(ctx, timer.System{}, delay)
	w.mu.Lock()
	defer w.mu.Unlock()
	var rows []table.Row
	for _, name := range names {
		if row, found := w.rows[name]; found {
			rows = append(rows, row)
		}
	}
	return rows, w.outage()
}

func (w *world) Scan(ctx context.Context, prefix string) ([]table.Row, error) {
	_ = timer.Wait(ctx, timer.System{}, delay)
	w.mu.Lock()
	defer w.mu.Unlock()
	var rows []table.Row
	for name, row := range w.rows {
		if strings.HasPrefix(name, prefix) {
			rows = append(rows, row)
		}
	}
	return rows, w.outage()
}

func (w *world) Commit(ctx context.Context, changes ...table.Change) error {
	_ = timer.Wait(ctx, timer.System{}, delay)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, change := range changes {
		if w.rows[change.Name].Version != change.Expected {
			return table.ErrConflict
		}
	}
	for _, change := range changes {
		if change.Write && !w.down {
			w.version++
			w.rows[change.Name] = table.Row{Name: change.Name, Version: w.version, Value: change.Value}
		}
	}
	return w.outage()
}

func (w *world) setDown(down bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.down = down
}

func (w *world) outage() error {
	if w.down {
		return table.ErrUnavailable
	}
	return nil
}

func (w *world) RoundTrip(request *http.Request) (*http.Response, error) {
	_ = timer.Wait(request.Context(), timer.System{}, delay)
	w.mu.Lock()
	server, lost := w.servers[request.URL.Host], w.lost[request.URL.Host]
	w.mu.Unlock()
	if lost {
		<-request.Context().Done()
		return nil, request.Context().Err()
	}
	recorder := httptest.NewRecorder()
	server.ServeHTTP(recorder, request)
	_ = timer.Wait(request.Context(), timer.System{}, delay)
	return recorder.Result(), nil
}

func (w *world) Publish(_ fleet.ServiceName, changes []fleet.Assignment) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.known, _ = w.known.Merge(changes)
}

func (w *world) owners() map[fleet.UpstreamID]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	counts := make(map[fleet.UpstreamID]int)
	for p := range w.known.Partitions() {
		counts[w.known.Locate(fleet.KeyHash(p)).Owner]++
	}
	return counts
}

// port is one daemon's access to its peers.
type port struct {
	*world
	host fleet.HostID
}

func (p port) Send(ctx context.Context, to fleet.HostID, _ string, payload []byte) error {
	_ = timer.Wait(ctx, timer.System{}, delay)
	p.mu.Lock()
	handle := p.handlers[to]
	p.mu.Unlock()
	if handle != nil {
		handle(p.host, bytes.Clone(payload))
	}
	return nil
}

func (p port) Handle(_ string, receive func(fleet.HostID, []byte)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.handlers[p.host] = receive
}

// spread places each partition on a live server by its number and leaves owners that are alive where they are.
type spread struct{}

func (spread) Place(places []assigner.PartitionPlacement, servers []assigner.Server) []assigner.PartitionPlacement {
	live := make(map[fleet.UpstreamID]bool)
	for _, server := range servers {
		live[server.ID] = true
	}
	for i := range places {
		if !live[places[i].Owner] {
			places[i].Owner = servers[i%len(servers)].ID
		}
		places[i].Standby = servers[(i+1)%len(servers)].ID
	}
	return places
}

func newWorld(servers int) (*world, []fleet.Upstream) {
	w := &world{
		rows: map[string]table.Row{}, servers: map[string]*grants.Server{}, lost: map[string]bool{},
		handlers: map[fleet.HostID]func(fleet.HostID, []byte){}, known: keymap.New(64),
	}
	var upstreams []fleet.Upstream
	for i := range servers {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(9000+i))
		id := fleet.UpstreamID(string(rune('a' + i)))
		guard := &lease.Guard{Service: "stock", Incarnation: fleet.Incarnation(id + "-1"), Partitions: 64}
		w.servers[address.String()] = &grants.Server{Guard: guard, Timer: timer.System{}}
		upstreams = append(upstreams, fleet.Upstream{ID: id, Service: "stock", Address: address, Guard: fleet.GuardFenced})
	}
	return w, upstreams
}

func (w *world) runner(host fleet.HostID, upstreams []fleet.Upstream, hosts []fleet.Host) *grants.Runner {
	runner := &grants.Runner{
		Assigner: &assigner.Assigner{
			Host: host, InstanceID: "1", Service: "stock", Partitions: 64, Placer: spread{}, Timing: assigner.DefaultTiming(),
		},
		Table: w, Peers: port{w, host}, Publisher: w, Client: &grants.Client{Transport: w}, Timer: timer.System{},
		Log: zerolog.Nop(),
	}
	runner.SetUpstreams(upstreams)
	runner.SetHosts(hosts)
	return runner
}

// Guards against a group that gets no assigner, or an assigner that does not bring all partitions to servers, move those
// of a lost server, and hand the role over without a gap.
func TestRunner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, upstreams := newWorld(5)
		hosts := []fleet.Host{{ID: "h1"}, {ID: "h2"}, {ID: "h3"}}
		var runners []*grants.Runner
		stops := map[assigner.Role]context.CancelFunc{}
		var done sync.WaitGroup
		cancels := make([]context.CancelFunc, len(hosts))
		for i, host := range hosts {
			runner := w.runner(host.ID, upstreams, hosts)
			runners = append(runners, runner)
			ctx, cancel := context.WithCancel(t.Context())
			cancels[i] = cancel
			done.Go(func() { _ = runner.Run(ctx) })
		}
		_ = timer.Wait(t.Context(), timer.System{}, 3*time.Second)
		is.Equal(w.owners(), map[fleet.UpstreamID]int{"a": 13, "b": 13, "c": 13, "d": 13, "e": 12})
		for i, runner := range runners {
			role, _ := runner.Role()
			stops[role] = cancels[i]
		}
		is.Equal(len(stops), 3) // one acts, one is the deputy, one watches

		w.mu.Lock()
		w.lost[upstreams[0].Address.String()] = true
		w.mu.Unlock()
		_ = timer.Wait(t.Context(), timer.System{}, time.Second)
		is.Equal(w.owners()["a"], 0) // moved away from the lost server

		stops[assigner.RoleActing]()
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
