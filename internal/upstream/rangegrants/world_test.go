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
	service  = fleet.ServiceName("stock")
	hold     = 3500 * time.Millisecond
	longHold = 10 * time.Second
	lease    = 2 * time.Second
	// slow is how much longer than its length a hold lasts at a server whose clock runs slow.
	slow = 1.02
	// lateMost is above the longest time after which an order or a write is carried out late.
	lateMost = 15 * time.Second
)

// world is a deployment in memory, in a synctest bubble: servers that take grants, a store, and assigners.
type world struct {
	t     *testing.T
	began time.Time
	log   zerolog.Logger

	mu sync.Mutex
	// random is guarded by mu.
	random *rand.Rand
	// servers is guarded by mu.
	servers map[fleet.UpstreamID]*fakeServer
	changed chan struct{}
	store   *fakeStore
	// grants counts the grants that a server took for the first time.
	grants int
	// taken holds the ranges that each server took, with their fences.
	taken map[fleet.UpstreamID][]heldRange
	// conflict is the first moment at which two servers held a key, or took it with the same fence.
	conflict error
}

func newWorld(t *testing.T, seed uint64, servers int) *world {
	w := &world{
		t: t, began: time.Now(), random: rand.New(rand.NewPCG(seed, 1)), servers: make(map[fleet.UpstreamID]*fakeServer),
		taken: make(map[fleet.UpstreamID][]heldRange), changed: make(chan struct{}),
	}
	w.log = zerolog.Nop()
	if os.Getenv("RANGEGRANTS_LOG") != "" {
		w.log = zerolog.New(os.Stdout)
	}
	w.store = &fakeStore{world: w, random: rand.New(rand.NewPCG(seed, 4)), rows: make(map[string]table.Row)}
	for i := range servers {
		w.start(fleet.UpstreamID(fmt.Sprint("s", i)))
	}
	return w
}

// Uptime counts from the start of the world.
func (w *world) Uptime() time.Duration { return time.Since(w.began) }

// fakeServer takes grants by the rules of the servers that the product meets.
type fakeServer struct {
	owner ranges.Owner
	// absent refuses connections, cut does not answer, and late carries orders out some seconds after they came.
	absent, cut, leaving bool
	late                 float64
	holds                []heldRange
	// barred holds the highest fence seen for each key range.
	barred []heldRange
}

type heldRange struct {
	keys  fleet.KeyRange
	fence ranges.Fence
	until time.Time
}

// start starts a server, or starts it again.
func (w *world) start(id fleet.UpstreamID) *fakeServer {
	w.mu.Lock()
	defer w.mu.Unlock()
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(len(w.servers) + 1)}), 80)
	if before := w.servers[id]; before != nil {
		address = before.owner.Address
	}
	return w.startAt(id, address)
}

// succeed ends a server and starts another one at its address. The entry of the ended one stays registered.
func (w *world) succeed(former, id fleet.UpstreamID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.servers[former].absent, w.servers[former].holds = true, nil
	w.startAt(id, w.servers[former].owner.Address)
}

// startAt starts a server at an address. The caller holds mu.
func (w *world) startAt(id fleet.UpstreamID, address netip.AddrPort) *fakeServer {
	run := fleet.Incarnation(fmt.Sprint(time.Since(w.began)))
	one := &fakeServer{owner: ranges.Owner{ID: id, Incarnation: run, Address: address}}
	w.servers[id] = one
	w.notify()
	return one
}

// change changes a server.
func (w *world) change(id fleet.UpstreamID, change func(*fakeServer)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change(w.servers[id])
	w.notify()
}

func (w *world) notify() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// Servers returns the registered servers. One that has crashed stays registered for some time.
func (w *world) Servers(fleet.ServiceName) []rangegrants.Server {
	w.mu.Lock()
	defer w.mu.Unlock()
	var result []rangegrants.Server
	for _, one := range w.servers {
		result = append(result, rangegrants.Server{Owner: one.owner, Slots: 6, Leaving: one.leaving})
	}
	return result
}

// Changed returns a channel that is closed at the next change.
func (w *world) Changed() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.changed
}

// Collect knows no load.
func (w *world) Collect(context.Context, fleet.ServiceName) rangegrants.AggregateLoad {
	return rangegrants.AggregateLoad{Load: &ranges.Load{}}
}

var errSilent = errors.New("no answer")

// reach delivers an order, or returns why it cannot be. The caller holds mu.
func (w *world) reach(server ranges.Owner, cut bool) (*fakeServer, rangegrants.Response) {
	for _, one := range w.servers {
		if one.owner.Address != server.Address || one.absent {
			continue
		}
		switch {
		case one.cut || cut:
			return nil, rangegrants.NoResponse{NotSent: true, Err: errSilent}
		case one.owner.ID != server.ID:
			return nil, rangegrants.ProcessGone{}
		}
		return one, nil
	}
	return nil, rangegrants.ProcessGone{}
}

// orders is one assigner's way to the servers.
type orders struct {
	*world
	// cut is set while this assigner reaches no server.
	cut func() bool
}

// order sends an order. One that is late is carried out seconds after its sender gave up.
func (o orders) order(ctx context.Context, server ranges.Owner, do func(*fakeServer, time.Time) rangegrants.Response) rangegrants.Response {
	_ = timer.Wait(ctx, timer.System{}, 5*time.Millisecond)
	arrived := time.Now()
	o.mu.Lock()
	one, failed := o.reach(server, o.cut())
	late := one != nil && o.random.Float64() < one.late
	var delay time.Duration
	if late {
		delay = time.Duration(2+o.random.IntN(8)) * time.Second
	}
	o.mu.Unlock()
	if late {
		go func() {
			pass(delay)
			o.mu.Lock()
			defer o.mu.Unlock()
			if !one.absent && o.servers[one.owner.ID] == one {
				do(one, arrived)
			}
		}()
		failed = rangegrants.NoResponse{Err: errSilent}
	}
	if failed != nil {
		if _, silent := failed.(rangegrants.NoResponse); silent {
			<-ctx.Done()
		}
		return failed
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return do(one, arrived)
}

// Grant grants a range.
func (o orders) Grant(ctx context.Context, server ranges.Owner, grant rangegrants.Grant) rangegrants.Response {
	return o.order(ctx, server, func(one *fakeServer, arrived time.Time) rangegrants.Response {
		return o.grant(one, grant, arrived)
	})
}

// grant applies a grant. The caller holds mu.
func (w *world) grant(one *fakeServer, grant rangegrants.Grant, arrived time.Time) rangegrants.Response {
	for _, barred := range one.barred {
		if barred.keys.Overlaps(grant.Range) && barred.fence > grant.Fence {
			return rangegrants.Superseded{}
		}
	}
	one.barred = append(one.barred, heldRange{keys: grant.Range, fence: grant.Fence})
	until := arrived.Add(time.Duration(float64(grant.Duration) * slow))
	one.holds = append(one.holds, heldRange{keys: grant.Range, fence: grant.Fence, until: until})
	w.grants++
	w.check(one, grant.Range, until)
	w.checkFence(one, grant, until)
	return rangegrants.Accepted{}
}

// check notes whether another server holds a key of the range now. The caller holds mu.
func (w *world) check(one *fakeServer, keys fleet.KeyRange, until time.Time) {
	now := time.Now()
	if !until.After(now) {
		return
	}
	for _, other := range w.servers {
		if other == one || other.absent {
			continue
		}
		for _, held := range other.holds {
			if held.keys.Overlaps(keys) && held.until.After(now) && w.conflict == nil {
				w.conflict = errors.Newf("at %s %s and %s hold keys of %s", w.Uptime(), one.owner.ID, other.owner.ID, keys)
			}
		}
	}
}

// checkFence notes whether another server took a key of the grant with its fence or a higher one. The caller holds mu.
func (w *world) checkFence(one *fakeServer, grant rangegrants.Grant, until time.Time) {
	if !until.After(time.Now()) {
		return
	}
	for id, taken := range w.taken {
		for _, before := range taken {
			if id != one.owner.ID && before.keys.Overlaps(grant.Range) && before.fence >= grant.Fence && w.conflict == nil {
				w.conflict = errors.Newf("at %s %s took %s with fence %d, %s had it with %d", w.Uptime(), one.owner.ID, grant.Range,
					grant.Fence, id, before.fence)
			}
		}
	}
	w.taken[one.owner.ID] = append(w.taken[one.owner.ID], heldRange{keys: grant.Range, fence: grant.Fence, until: until})
}

// Release releases a range.
func (o orders) Release(ctx context.Context, server ranges.Owner, keys fleet.KeyRange, fence ranges.Fence) rangegrants.Response {
	return o.order(ctx, server, func(one *fakeServer, _ time.Time) rangegrants.Response {
		one.barred = append(one.barred, heldRange{keys: keys, fence: fence})
		var kept []heldRange
		for _, held := range one.holds {
			kept = append(kept, without(held, keys)...)
		}
		one.holds = kept
		return rangegrants.Accepted{Handover: "h"}
	})
}

// without returns what is left of a held range.
func without(held heldRange, keys fleet.KeyRange) []heldRange {
	if !held.keys.Overlaps(keys) {
		return []heldRange{held}
	}
	var result []heldRange
	if held.keys.First < keys.First {
		left := held
		left.keys.Last = keys.First - 1
		result = append(result, left)
	}
	if held.keys.Last > keys.Last {
		right := held
		right.keys.First = keys.Last + 1
		result = append(result, right)
	}
	return result
}

// Probe asks a server whether it works.
func (o orders) Probe(_ context.Context, server ranges.Owner) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	one, _ := o.reach(server, o.cut())
	return one != nil
}

// unowned returns the number of keys that nobody holds.
func (w *world) unowned() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	var owned [int(fleet.MaxNumericKey) + 1]bool
	now := time.Now()
	for _, one := range w.servers {
		for _, held := range one.holds {
			if one.absent || !held.until.After(now) {
				continue
			}
			for key := int(held.keys.First); key <= int(held.keys.Last); key++ {
				owned[key] = true
			}
		}
	}
	count := 0
	for _, one := range owned {
		if !one {
			count++
		}
	}
	return count
}

// daemon is one assigner with faults of its own.
type daemon struct {
	stop context.CancelFunc
	done chan struct{}

	world *world

	mu           sync.Mutex
	cut, refused bool
	// suspended is how long the machine of the daemon has been suspended in all. Its timers do not know.
	suspended time.Duration
}

// Uptime counts suspensions.
func (d *daemon) Uptime() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.world.Uptime() + d.suspended
}

func (d *daemon) set(change func(*daemon)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change(d)
}

func (d *daemon) get(read func(*daemon) bool) func() bool {
	return func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		return read(d)
	}
}

// assign starts an assigner on a host. Calling stop ends it with a resignation.
func (w *world) assign(host string) *daemon {
	ctx, stop := context.WithCancel(w.t.Context())
	d := &daemon{stop: stop, done: make(chan struct{}), world: w}
	store := &view{fakeStore: w.store, daemon: d, refused: d.get(func(d *daemon) bool { return d.refused })}
	assigner := &rangegrants.Assigner{
		Service: service, Daemon: host + "/" + fmt.Sprint(w.Uptime()), Store: store, Registry: w,
		Client: orders{world: w, cut: d.get(func(d *daemon) bool { return d.cut })}, LoadSource: w, Clock: timer.System{}, Uptime: d,
		Log: w.log.With().Str("daemon", host).Logger(), KnownTable: func() *ranges.Table { return &ranges.Table{Daemons: 3} },
		GrantDuration: hold, OutageGrantDuration: longHold, LeaseDuration: lease,
	}
	go func() {
		defer close(d.done)
		_ = assigner.Run(ctx)
	}()
	w.t.Cleanup(func() { stop(); <-d.done; pass(lateMost) })
	return d
}

// pass lets the time of the test's bubble pass.
func pass(span time.Duration) {
	_ = timer.Wait(context.Background(), timer.System{}, span)
}
