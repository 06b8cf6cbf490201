package host

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/document"
	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/ownership/assigner"
	"rosemarywick.example/rosemarywick/internal/upstream/grants"
)

const (
	// membersInterval is how often the assigners learn which daemons were seen alive. A host that is only listed must not
	// become a deputy.
	memberRefreshInterval = 500 * time.Millisecond
	// ordersPerServer bounds the connections for orders; one order at a time is under way, the second connection
	// replaces one that is being closed.
	maxConnsPerServer = 2
)

// assigners runs one assigner for each keyed service of the configuration in force.
type assigners struct {
	daemon *Daemon
	client *grants.Client

	mu sync.Mutex
	// running is guarded by mu.
	running map[fleet.ServiceName]*runningAssigner
	// ctx is guarded by mu and nil while no assigner may run.
	ctx     context.Context
	current *document.Document
	tasks   sync.WaitGroup
}

// running is one assigner and the way to end it.
type runningAssigner struct {
	runner *grants.Runner
	cancel context.CancelFunc
}

func newAssigners(d *Daemon) *assigners {
	transport := &http.Transport{MaxConnsPerHost: maxConnsPerServer, DisableCompression: true}
	return &assigners{
		daemon: d, client: &grants.Client{Transport: transport}, running: make(map[fleet.ServiceName]*runningAssigner),
	}
}

// run keeps the assigners informed of the members until ctx ends, and then waits until they have handed over.
func (a *assigners) run(ctx context.Context) error {
	a.activate(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		<-ctx.Done()
		a.tasks.Wait()
	}()
	ticks := a.daemon.Timer.Every(memberRefreshInterval)
	defer ticks.Stop()
	for {
		select {
		case <-ticks.C:
			a.setHosts(a.daemon.peers.gossip.ObservedMembers())
		case <-ended:
			return nil
		}
	}
}

func (a *assigners) activate(ctx context.Context) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ctx = ctx
	a.reconcile()
}

// configure starts and ends assigners as the document says.
func (a *assigners) configure(doc *document.Document) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.current = doc
	a.reconcile()
}

// adjust makes running follow the document. The caller holds mu.
func (a *assigners) reconcile() {
	if a.ctx == nil || a.ctx.Err() != nil || a.current == nil {
		return
	}
	wanted := make(map[fleet.ServiceName]bool)
	for i := range a.current.Services {
		service := &a.current.Services[i]
		if !service.Keyed() || service.Guard == fleet.GuardNone {
			continue
		}
		wanted[service.Name] = true
		if a.running[service.Name] == nil {
			a.running[service.Name] = a.start(service)
		}
		a.running[service.Name].runner.SetUpstreams(ownerCandidates(service))
	}
	for name, one := range a.running {
		if !wanted[name] {
			one.cancel()
			delete(a.running, name)
		}
	}
}

// start begins the assigner of a service. The caller holds mu.
func (a *assigners) start(service *document.Service) *runningAssigner {
	d, name := a.daemon, service.Name
	runner := &grants.Runner{
		Assigner: &assigner.Assigner{
			Host: d.Settings.Host.ID, InstanceID: strconv.FormatUint(d.incarnation, 36), Service: service.Name,
			Partitions: service.Partitions, Timing: assigner.DefaultTiming(),
			Placer: &placer{partitions: service.Partitions, pins: func() []document.Pin { return d.configuration.pins(name) }},
		},
		Table: d.table, Peers: d.peers, Publisher: d.ownershipMaps, Client: a.client, Timer: d.Timer,
		Log: d.Log.With().Str("part", "assigner").Logger(),
	}
	ctx, cancel := context.WithCancel(a.ctx)
	runner.SetHosts(d.peers.gossip.ObservedMembers())
	a.tasks.Go(func() {
		if err := runner.Run(ctx); ctx.Err() == nil {
			d.Log.Error().Err(err).Str("service", string(service.Name)).Msg("assigner ended")
		}
	})
	return &runningAssigner{runner: runner, cancel: cancel}
}

// assignerOf returns the host that announced to act for a service.
func (a *assigners) assignerOf(service fleet.ServiceName) (fleet.HostID, bool) {
	item, found := a.daemon.peers.gossip.Get(assignerPrefix + string(service))
	return fleet.HostID(item.Value), found
}

// balance hands measured loads and the keys that are to have entries to the assigner of a service.
func (a *assigners) setLoads(service fleet.ServiceName, partitions map[fleet.PartitionID]float64, keys []fleet.KeyHash) {
	a.mu.Lock()
	one := a.running[service]
	a.mu.Unlock()
	if one != nil {
		one.runner.SetHotKeys(keys)
		one.runner.SetLoads(partitions)
	}
}

// epoch returns the epoch in which this daemon acted last for a service.
func (a *assigners) lastEpoch(service fleet.ServiceName) fleet.Epoch {
	a.mu.Lock()
	one := a.running[service]
	a.mu.Unlock()
	if one == nil {
		return 0
	}
	_, epoch := one.runner.Role()
	return epoch
}

func (a *assigners) setHosts(members []fleet.Host) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, one := range a.running {
		one.runner.SetHosts(members)
	}
}

// upstreamsOf returns the upstreams of a service that may own keys.
func ownerCandidates(service *document.Service) []fleet.Upstream {
	upstreams := make([]fleet.Upstream, 0, len(service.Upstreams))
	for _, one := range service.Upstreams {
		if !one.Drained {
			upstreams = append(upstreams, fleet.Upstream{
				ID: one.ID, Service: service.Name, Locality: one.Locality, Address: one.Address, Guard: service.Guard,
			})
		}
	}
	return upstreams
}
