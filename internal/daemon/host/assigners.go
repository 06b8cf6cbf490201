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
	// memberRefreshInterval is how often the assigners are told which daemons were observed alive. A host that is only in the
	// host list must not become a deputy.
	memberRefreshInterval = 500 * time.Millisecond
	// maxConnsPerServer limits the connections for grants and other orders to a server. Only one order is in flight at a time;
	// the second connection replaces one that is being closed.
	maxConnsPerServer = 2
)

// assigners runs one assigner for each keyed service of the configuration in force whose servers check ownership.
type assigners struct {
	daemon *Daemon
	client *grants.Client

	mu sync.Mutex
	// running is guarded by mu.
	running map[fleet.ServiceName]*runningAssigner
	// ctx is guarded by mu: the context of run, or nil before run. No assigner runs before.
	ctx context.Context
	// current is guarded by mu: the document in force.
	current *document.Document
	tasks   sync.WaitGroup
}

// runningAssigner is an assigner and the function that stops it.
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

// run passes the observed members to the assigners until ctx ends, and then waits until they have handed over their roles.
func (a *assigners) run(ctx context.Context) error {
	a.activate(ctx)
	allEnded := make(chan struct{})
	go func() {
		defer close(allEnded)
		<-ctx.Done()
		a.tasks.Wait()
	}()
	ticks := a.daemon.Timer.Every(memberRefreshInterval)
	defer ticks.Stop()
	for {
		select {
		case <-ticks.C:
			a.setHosts(a.daemon.peers.gossip.ObservedMembers())
		case <-allEnded:
			return nil
		}
	}
}

// activate allows assigners to run within ctx and starts those of the document in force.
func (a *assigners) activate(ctx context.Context) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ctx = ctx
	a.reconcile()
}

// configure starts and stops assigners so that they match the document.
func (a *assigners) configure(doc *document.Document) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.current = doc
	a.reconcile()
}

// reconcile starts the missing assigners, stops those of removed services and updates the upstreams of all. The caller
// holds mu.
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
	for name, started := range a.running {
		if !wanted[name] {
			started.cancel()
			delete(a.running, name)
		}
	}
}

// start starts the assigner of a service. The caller holds mu.
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
			d.Log.Error().Err(err).Str("service", string(service.Name)).
				Msg("run assigner: this daemon has no assigner for the service from now on")
		}
	})
	return &runningAssigner{runner: runner, cancel: cancel}
}

// assignerOf returns the host that announced itself as the acting assigner of a service.
func (a *assigners) assignerOf(service fleet.ServiceName) (fleet.HostID, bool) {
	item, found := a.daemon.peers.gossip.Get(assignerPrefix + string(service))
	return fleet.HostID(item.Value), found
}

// setLoads passes the measured load of each partition, and the keys that need map entries of their own, to the assigner of a
// service.
func (a *assigners) setLoads(service fleet.ServiceName, partitions map[fleet.PartitionID]float64, keys []fleet.KeyHash) {
	a.mu.Lock()
	target := a.running[service]
	a.mu.Unlock()
	if target != nil {
		target.runner.SetHotKeys(keys)
		target.runner.SetLoads(partitions)
	}
}

// lastEpoch returns the epoch in which this daemon last acted as assigner of a service, or zero.
func (a *assigners) lastEpoch(service fleet.ServiceName) fleet.Epoch {
	a.mu.Lock()
	started := a.running[service]
	a.mu.Unlock()
	if started == nil {
		return 0
	}
	_, epoch := started.runner.Role()
	return epoch
}

func (a *assigners) setHosts(members []fleet.Host) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, started := range a.running {
		started.runner.SetHosts(members)
	}
}

// ownerCandidates returns the upstreams of a service that may own keys, which are those that are not drained.
func ownerCandidates(service *document.Service) []fleet.Upstream {
	upstreams := make([]fleet.Upstream, 0, len(service.Upstreams))
	for _, upstream := range service.Upstreams {
		if !upstream.Drained {
			upstreams = append(upstreams, fleet.Upstream{
				ID: upstream.ID, Service: service.Name, Locality: upstream.Locality, Address: upstream.Address, Guard: service.Guard,
			})
		}
	}
	return upstreams
}
