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
	// candidateRole and candidates choose the daemons that may act for services whose servers check no orders.
	candidateRole  = "unguarded-assigner"
	candidateCount = 3
)

// unguarded runs the keyed services whose servers check no orders.
type unguardedServices struct {
	daemon *Daemon

	mu sync.Mutex
	// running is guarded by mu.
	running map[fleet.ServiceName]*unguardedService
	// ctx is guarded by mu and nil unless run is running.
	ctx   context.Context
	tasks sync.WaitGroup
}

// direct is one such service.
type unguardedService struct {
	runner *grants.UnguardedRunner
	prober *probe.Prober
	cancel context.CancelFunc
}

func newUnguardedServices(d *Daemon) *unguardedServices {
	return &unguardedServices{daemon: d, running: make(map[fleet.ServiceName]*unguardedService)}
}

// run keeps the services informed of candidates and live servers until ctx ends.
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

// configure starts and ends services as the document says.
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
	for name, one := range u.running {
		if !wanted[name] {
			one.cancel()
			delete(u.running, name)
		}
	}
}

// start begins a service. The caller holds mu.
func (u *unguardedServices) start(service *document.Service) *unguardedService {
	d, name := u.daemon, service.Name
	timing := assigner.DefaultUnguardedTiming()
	timing.AuthorityTerm = service.AuthorityDuration
	one := &unguardedService{prober: &probe.Prober{Timer: d.Timer}}
	one.runner = &grants.UnguardedRunner{
		Assigner: &assigner.UnguardedAssigner{
			Host: d.Settings.Host.ID, InstanceID: strconv.FormatUint(d.incarnation, 36), Partitions: service.Partitions,
			Placer: &placer{partitions: service.Partitions, pins: func() []document.Pin { return d.configuration.pins(name) }},
			Timing: timing,
		},
		ConfirmedMap: &assigner.ConfirmedMap{Partitions: service.Partitions},
		Service:      name, Table: d.table, Peers: d.peers, Publisher: d.ownershipMaps, Timer: d.Timer, Log: d.Log,
	}
	ctx, cancel := context.WithCancel(u.ctx)
	one.cancel = cancel
	u.tasks.Go(func() { _ = one.runner.Run(ctx) })
	u.tasks.Go(func() { _ = one.prober.Run(ctx) })
	return one
}

// inform tells each service who may act for it and, where this daemon may, which servers are alive.
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
	for name, one := range u.running {
		service := doc.FindService(name)
		if service == nil {
			continue
		}
		one.runner.SetHosts(hosts)
		if !candidate {
			one.prober.SetUpstreams(nil)
			continue
		}
		one.prober.SetUpstreams(ownerCandidates(service))
		one.runner.SetServers(assignerServers(one.prober.Alive()))
	}
}

func assignerServers(upstreams []fleet.Upstream) []assigner.Server {
	servers := make([]assigner.Server, 0, len(upstreams))
	for _, upstream := range upstreams {
		servers = append(servers, assigner.Server{ID: upstream.ID, Domain: upstream.Locality.Domain, Weight: 1})
	}
	slices.SortFunc(servers, func(a, b assigner.Server) int { return cmp.Compare(a.ID, b.ID) })
	return servers
}

func (u *unguardedServices) runnerOf(service fleet.ServiceName) *grants.UnguardedRunner {
	u.mu.Lock()
	defer u.mu.Unlock()
	if one := u.running[service]; one != nil {
		return one.runner
	}
	return nil
}

// ConfirmedUntil returns the time until which the map of a service is confirmed; it is in the past if it is not.
func (u *unguardedServices) ConfirmedUntil(service fleet.ServiceName) time.Time {
	if edge := u.runnerOf(service); edge != nil {
		if _, until, confirmed := edge.Locate(0); confirmed {
			return until
		}
	}
	return time.Time{}
}
