package host

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/document"
	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/ownership/assigner"
	"rosemarywick.example/rosemarywick/internal/upstream/grants"
	"rosemarywick.example/rosemarywick/internal/upstream/probe"
)

const (
	// candidateRole and candidateCount select the daemons that may act as assigner of unguarded services.
	candidateRole  = "unguarded-assigner"
	candidateCount = 3
)

// unguardedServices runs the assigners and confirmed maps of the keyed services whose servers do not check ownership.
type unguardedServices struct {
	daemon *Daemon

	mu sync.Mutex
	// running is guarded by mu: the services that are configured.
	running map[fleet.ServiceName]*unguardedService
	// ctx is guarded by mu: the context of run, or nil unless run is running.
	ctx   context.Context
	tasks sync.WaitGroup
}

// unguardedService is the assigner and confirmed map of one service, the prober of its servers, and the function that stops
// both.
type unguardedService struct {
	runner *grants.UnguardedRunner
	prober *probe.Prober
	cancel context.CancelFunc
}

func newUnguardedServices(d *Daemon) *unguardedServices {
	return &unguardedServices{daemon: d, running: make(map[fleet.ServiceName]*unguardedService)}
}

// run passes the candidate hosts and the live servers to the services until ctx ends, and waits until they have ended.
func (u *unguardedServices) run(ctx context.Context) error {
	u.mu.Lock()
	u.ctx = ctx
	u.mu.Unlock()
	u.configure(u.daemon.configuration.Current())
	ticks := u.daemon.Timer.Every(memberRefreshInterval)
	defer ticks.Stop()
	for {
		select {
		case <-ticks.C:
			u.refresh()
		case <-ctx.Done():
			u.mu.Lock()
			u.ctx = nil
			u.mu.Unlock()
			u.tasks.Wait()
			return nil
		}
	}
}

// configure starts and stops services so that they match the document.
func (u *unguardedServices) configure(doc *document.Document) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.ctx == nil || doc == nil {
		return
	}
	wanted := make(map[fleet.ServiceName]bool)
	for i := range doc.Services {
		service := &doc.Services[i]
		if !service.Keyed() || service.Guard != fleet.GuardNone {
			continue
		}
		wanted[service.Name] = true
		if u.running[service.Name] == nil {
			u.running[service.Name] = u.start(service)
		}
	}
	for name, started := range u.running {
		if !wanted[name] {
			started.cancel()
			delete(u.running, name)
		}
	}
}

// start creates and starts the assigner, the confirmed map and the prober of a service. The caller holds mu.
func (u *unguardedServices) start(service *document.Service) *unguardedService {
	d, name := u.daemon, service.Name
	timing := assigner.DefaultUnguardedTiming()
	timing.AuthorityDuration = service.AuthorityDuration
	started := &unguardedService{prober: &probe.Prober{Timer: d.Timer}}
	started.runner = &grants.UnguardedRunner{
		Assigner: &assigner.UnguardedAssigner{
			Host: d.Settings.Host.ID, InstanceID: strconv.FormatUint(d.incarnation, 36), Partitions: service.Partitions,
			Placer: &placer{partitions: service.Partitions, pins: func() []document.Pin { return d.configuration.pins(name) }},
			Timing: timing,
		},
		ConfirmedMap: &assigner.ConfirmedMap{Partitions: service.Partitions},
		Service:      name, Table: d.table, Peers: d.peers, Publisher: d.ownershipMaps, Timer: d.Timer, Log: d.Log,
	}
	ctx, cancel := context.WithCancel(u.ctx)
	started.cancel = cancel
	u.tasks.Go(func() { _ = started.runner.Run(ctx) })
	u.tasks.Go(func() { _ = started.prober.Run(ctx) })
	return started
}

// refresh passes the candidate hosts to each service. Only a candidate probes the servers and passes those that are alive.
func (u *unguardedServices) refresh() {
	doc := u.daemon.configuration.Current()
	if doc == nil {
		return
	}
	var hosts []fleet.HostID
	candidate := false
	for _, host := range u.daemon.peers.gossip.TopRanked(candidateRole, candidateCount) {
		hosts = append(hosts, host.ID)
		candidate = candidate || host.ID == u.daemon.Settings.Host.ID
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	for name, started := range u.running {
		service := doc.FindService(name)
		if service == nil {
			continue
		}
		started.runner.SetHosts(hosts)
		if !candidate {
			started.prober.SetUpstreams(nil)
			continue
		}
		started.prober.SetUpstreams(ownerCandidates(service))
		started.runner.SetServers(assignerServers(started.prober.Alive()))
	}
}

// assignerServers converts upstreams to servers of equal weight, sorted by their identifiers.
func assignerServers(upstreams []fleet.Upstream) []assigner.Server {
	servers := make([]assigner.Server, 0, len(upstreams))
	for _, upstream := range upstreams {
		servers = append(servers, assigner.Server{ID: upstream.ID, Domain: upstream.Locality.Domain, Weight: 1})
	}
	slices.SortFunc(servers, func(a, b assigner.Server) int { return cmp.Compare(a.ID, b.ID) })
	return servers
}

// runnerOf returns the runner of a service, or nil if the service is not unguarded.
func (u *unguardedServices) runnerOf(service fleet.ServiceName) *grants.UnguardedRunner {
	u.mu.Lock()
	defer u.mu.Unlock()
	if started := u.running[service]; started != nil {
		return started.runner
	}
	return nil
}

// ConfirmedUntil returns the time until which the map of a service is confirmed, or the zero time if it is not confirmed.
func (u *unguardedServices) ConfirmedUntil(service fleet.ServiceName) time.Time {
	if runner := u.runnerOf(service); runner != nil {
		if _, until, confirmed := runner.Locate(0); confirmed {
			return until
		}
	}
	return time.Time{}
}
