package host

import (
	"context"
	"net"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"rosemarywick.example/rosemarywick/internal/core/document"
	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/observe/records"
	"rosemarywick.example/rosemarywick/internal/operator/config"
	"rosemarywick.example/rosemarywick/internal/operator/rpc"
	"rosemarywick.example/rosemarywick/internal/routing/balance"
)

// operatorService serves the operator API and the metrics. It collects what they show from the parts of the daemon.
type operatorService struct {
	daemon *Daemon
	server *rpc.Server
	// stopping is set when the daemon begins to stop.
	stopping atomic.Bool
}

func newOperatorService(d *Daemon) *operatorService {
	o := &operatorService{daemon: d}
	finder := &records.Finder{Ring: d.requestPath.ring, Peers: d.recordLookups, Store: d.objects, Clock: d.Timer}
	o.server = &rpc.Server{
		Config: d.configuration.store, Fleet: o, Ownership: o, Upstreams: o, Records: d.requestPath.ring, Explainer: finder,
		OnStored: o.applyStored, Metrics: d.requestPath.metrics.Handler(), Credentials: d.certificates, Clock: d.Timer, Log: d.Log,
	}
	return o
}

// serve serves the operator API until ctx ends.
func (o *operatorService) serve(ctx context.Context) error {
	listener := o.daemon.OperatorListener
	if listener == nil {
		var err error
		listener, err = new(net.ListenConfig).Listen(ctx, "tcp", o.daemon.Settings.OperatorAddress.String())
		if err != nil {
			return errors.Wrap(err, "listen for operators")
		}
	}
	return o.server.Serve(ctx, listener)
}

// ready reports whether the load balancer should route callers to this daemon.
func (o *operatorService) ready() bool {
	return !o.stopping.Load() && o.daemon.configuration.Current() != nil
}

// applyStored puts a revision that this daemon has stored into force, without waiting until it is read from the table.
func (o *operatorService) applyStored(revision *config.Revision) {
	content, err := revision.Encode()
	if err != nil {
		o.daemon.Log.Error().Err(err).Uint64("version", revision.Version).
			Msg("encode stored configuration: waiting until it is read from the table")
		return
	}
	o.daemon.configuration.adoptEncoded(content)
}

// Hosts returns the daemons that are members of the fleet, with their configuration versions and assigner roles.
func (o *operatorService) Hosts() []rpc.Host {
	d := o.daemon
	members := d.peers.gossip.Members()
	assigners := d.assigners.announcedServices()
	list := make([]rpc.Host, 0, len(members))
	for _, member := range members {
		entry := rpc.Host{
			Host: member, State: rpc.HostLive, LastSeen: d.Timer.Now(), ConfigVersion: d.peers.gossip.AdoptedVersion(member.ID),
			AssignerOf: assigners[member.ID],
		}
		if member.ID == d.Settings.Host.ID {
			state := d.configuration.adopter.State()
			entry.ConfigVersion = state.Version()
			if state.Rejected != nil {
				entry.Rejection = state.Rejected.Reason.Error()
			}
			if o.stopping.Load() {
				entry.State = rpc.HostLeaving
			}
		}
		list = append(list, entry)
	}
	return list
}

// Services returns the keyed services.
func (o *operatorService) Services() []fleet.ServiceName {
	return o.daemon.ownershipMaps.services()
}

// Assignments returns the assignments of all partitions and hot keys of a service, or false if it has no map.
func (o *operatorService) Assignments(service fleet.ServiceName) ([]fleet.Assignment, bool) {
	current := o.daemon.ownershipMaps.get(service)
	if current == nil {
		return nil, false
	}
	var list []fleet.Assignment
	for index := range current.Chunks() {
		list = append(list, current.Chunk(index)...)
	}
	return append(list, current.HotKeys()...), true
}

// Locate returns the hash and the assignment of a key.
func (o *operatorService) Locate(service fleet.ServiceName, key string) (rpc.Location, bool) {
	hash := fleet.HashKey(key)
	assignment, found := o.daemon.ownershipMaps.Locate(service, hash)
	return rpc.Location{KeyHash: hash, Assignment: assignment, Dedicated: assignment.Key != 0}, found
}

// Upstreams returns the upstreams of the configuration in force with what this daemon observes of them.
func (o *operatorService) Upstreams() []rpc.Upstream {
	doc := o.daemon.configuration.Current()
	if doc == nil {
		return nil
	}
	var list []rpc.Upstream
	for i := range doc.Services {
		list = append(list, o.serviceUpstreams(&doc.Services[i])...)
	}
	return list
}

// serviceUpstreams returns the upstreams of one service with their load, health and number of partitions.
func (o *operatorService) serviceUpstreams(service *document.Service) []rpc.Upstream {
	owned := make(map[fleet.UpstreamID]int)
	assignments, _ := o.Assignments(service.Name)
	for _, assignment := range assignments {
		owned[assignment.Owner]++
	}
	observed := o.daemon.requestPath.router.Upstreams(service.Name)
	var list []rpc.Upstream
	for _, upstream := range service.Upstreams {
		seen := observed[upstream.ID]
		list = append(list, rpc.Upstream{
			Upstream: upstream, Service: service.Name, Guard: service.Guard, State: upstreamState(seen.Health), InFlight: seen.InFlight,
			Queued: seen.Queued, Limit: seen.Limit, Partitions: owned[upstream.ID],
		})
	}
	return list
}

// upstreamState converts the health of an upstream to its state in the operator API.
func upstreamState(health balance.Health) rpc.UpstreamState {
	switch health {
	case balance.Healthy:
		return rpc.UpstreamHealthy
	case balance.Unhealthy:
		return rpc.UpstreamUnhealthy
	case balance.Draining:
		return rpc.UpstreamDraining
	case balance.Unseen:
	}
	return rpc.UpstreamUnknown
}
