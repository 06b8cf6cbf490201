package dev

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/operator/api"
	"rosemarywick.example/rosemarywick/internal/ownership/lease"
	"rosemarywick.example/rosemarywick/internal/upstream/grants"
	upstream "rosemarywick.example/rosemarywick/internal/upstream/standin"
)

// errNoUpstream means that the fleet has no upstream with the given identifier, or that it is of the wrong kind.
var errNoUpstream = errors.New("dev: no such upstream")

// worker is one fake upstream. Each restart adds a run.
type worker struct {
	upstream fleet.Upstream
	shape    *serviceShape
	// arrivedRequests counts the requests of routers that reached the upstream, including those that it rejected.
	arrivedRequests atomic.Int64
	// notRunning is set while the upstream is stopped or paused, so that its grants do not count as ownership.
	notRunning atomic.Bool

	mu sync.Mutex
	// runs is guarded by mu and not empty once started. The last one is current; the others are kept for their run counts.
	runs []run
}

// run is the simulated process of an upstream between a start and a stop.
type run struct {
	fake *upstream.Worker
	// server is nil for a service without keys.
	server *grants.Server
}

// currentFake returns the fake of the current run.
func (w *worker) currentFake() *upstream.Worker {
	return w.currentRun().fake
}

// currentRun returns the latest run.
func (w *worker) currentRun() run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[len(w.runs)-1]
}

// startWorkers starts the upstreams of all services, distributed evenly over the failure domains.
func (f *Fleet) startWorkers(ctx context.Context) error {
	for i := range f.deployment.services {
		service := &f.deployment.services[i]
		for index := range service.workers {
			domains := f.deployment.domains
			w := &worker{shape: service, upstream: fleet.Upstream{
				ID: upstreamID(service.name, index), Service: service.name,
				Locality: fleet.Locality{Region: f.deployment.region, Domain: domains[index%len(domains)]},
			}}
			if err := f.startRun(ctx, w); err != nil {
				return err
			}
			w.upstream.Address = w.currentFake().Address()
			f.workers = append(f.workers, w)
		}
	}
	return nil
}

// startRun starts a run of an upstream. If the upstream owns keys, the run gets a new incarnation.
func (f *Fleet) startRun(ctx context.Context, w *worker) error {
	var server *grants.Server
	fake := &upstream.Worker{
		ID: w.upstream.ID, Clock: f.Timer, Slots: f.deployment.slots, QueueLimit: f.deployment.slots,
		MaxConnections: f.deployment.connections, ListenAddress: w.upstream.Address, ServiceTime: w.serviceTime,
		InjectFault: func(*http.Request) upstream.Fault { w.arrivedRequests.Add(1); return upstream.FaultNone },
	}
	if w.shape.key != "" && f.Guard != fleet.GuardNone {
		server = &grants.Server{Timer: f.Timer, Guard: &lease.Guard{
			Service: w.upstream.Service, Partitions: devPartitions,
			Incarnation: fleet.Incarnation(strconv.FormatInt(f.Timer.Now().UnixNano(), 36)),
		}}
		fake.Ownership, fake.OrderHandler = server, server
	}
	if err := fake.Start(ctx); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs = append(w.runs, run{fake: fake, server: server})
	return nil
}

// serviceTime returns how long a request takes: the value of its query parameter "work", or else the service time of the
// service.
func (w *worker) serviceTime(r *http.Request) time.Duration {
	if requested, err := time.ParseDuration(r.URL.Query().Get("work")); err == nil {
		return requested
	}
	return w.shape.serviceTime
}

// worker returns the upstream with the given identifier.
func (f *Fleet) worker(id fleet.UpstreamID) (*worker, error) {
	for _, w := range f.workers {
		if w.upstream.ID == id {
			return w, nil
		}
	}
	return nil, errors.Wrapf(errNoUpstream, "%q", string(id))
}

// Upstreams returns the upstreams of a service.
func (f *Fleet) Upstreams(service fleet.ServiceName) []fleet.UpstreamID {
	var list []fleet.UpstreamID
	for _, w := range f.workers {
		if w.upstream.Service == service {
			list = append(list, w.upstream.ID)
		}
	}
	return list
}

// Worker returns the fake of the current run of an upstream.
func (f *Fleet) Worker(id fleet.UpstreamID) (*upstream.Worker, error) {
	w, err := f.worker(id)
	if err != nil {
		return nil, err
	}
	return w.currentFake(), nil
}

// ArrivedRequests returns the number of requests of routers that reached an upstream, including those that it rejected.
func (f *Fleet) ArrivedRequests(id fleet.UpstreamID) (int64, error) {
	w, err := f.worker(id)
	if err != nil {
		return 0, err
	}
	return w.arrivedRequests.Load(), nil
}

// CrashUpstream ends the current run of an upstream without a shutdown, as a crash does.
func (f *Fleet) CrashUpstream(id fleet.UpstreamID) error {
	w, err := f.worker(id)
	if err == nil {
		w.notRunning.Store(true)
		w.currentFake().Stop()
	}
	return err
}

// PauseUpstream pauses an upstream without its knowledge, as a suspended process or virtual machine is.
func (f *Fleet) PauseUpstream(id fleet.UpstreamID) error {
	w, err := f.worker(id)
	if err == nil {
		w.notRunning.Store(true)
		w.currentFake().Pause()
	}
	return err
}

// ResumeUpstream resumes a paused upstream.
func (f *Fleet) ResumeUpstream(id fleet.UpstreamID) error {
	w, err := f.worker(id)
	if err == nil {
		w.currentFake().Resume()
		w.notRunning.Store(false)
	}
	return err
}

// RestartUpstream crashes an upstream and starts a new run of it, with a new incarnation, on the same address.
func (f *Fleet) RestartUpstream(ctx context.Context, id fleet.UpstreamID) error {
	if err := f.CrashUpstream(id); err != nil {
		return err
	}
	w, err := f.worker(id)
	if err == nil {
		err = f.startRun(ctx, w)
	}
	if err == nil {
		w.notRunning.Store(false)
	}
	return err
}

// ReplaceUpstream drains a keyed upstream, shuts it down once it owns no partitions and has answered all requests, and starts a
// new run on the same address.
func (f *Fleet) ReplaceUpstream(ctx context.Context, id fleet.UpstreamID) error {
	if err := f.StartLeaving(id); err != nil {
		return err
	}
	for f.OwnedPartitions(id) > 0 || f.isNamedOwner(ctx, id) {
		if err := timer.Wait(ctx, f.Timer, readyInterval); err != nil {
			return errors.Wrapf(err, "dev: wait until %s owns no partitions", id)
		}
	}
	fake, err := f.Worker(id)
	if err == nil {
		err = fake.Shutdown(ctx)
	}
	if err != nil {
		return err
	}
	return f.RestartUpstream(ctx, id)
}

// isNamedOwner reports whether any daemon's map names the upstream as an owner, or cannot be read.
func (f *Fleet) isNamedOwner(ctx context.Context, id fleet.UpstreamID) bool {
	for _, host := range f.Hosts() {
		client, err := f.OperatorClient(host)
		if err != nil {
			return true
		}
		list, err := client.ListPartitions(ctx, connect.NewRequest(&api.ListPartitionsRequest{Owner: string(id)}))
		if err != nil || list.Msg.GetTotal() > 0 {
			return true
		}
	}
	return false
}

// StartLeaving makes a keyed upstream ask the assigner to move its partitions to other servers.
func (f *Fleet) StartLeaving(id fleet.UpstreamID) error {
	w, err := f.worker(id)
	if err != nil {
		return err
	}
	server := w.currentRun().server
	if server == nil {
		return errors.Wrapf(errNoUpstream, "%q owns no keys", string(id))
	}
	server.Leave()
	return nil
}

// RunCounts sums how often all runs of all upstreams started a request and took effect for it.
func (f *Fleet) RunCounts(request fleet.RequestID) upstream.RunCounts {
	var sum upstream.RunCounts
	for _, w := range f.workers {
		w.mu.Lock()
		for _, each := range w.runs {
			ran := each.fake.Runs(request)
			sum.Started, sum.Effects = sum.Started+ran.Started, sum.Effects+ran.Effects
		}
		w.mu.Unlock()
	}
	return sum
}
