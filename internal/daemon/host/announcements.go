package host

import (
	"context"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/ownership/assigner"
	"rosemarywick.example/rosemarywick/internal/peer/gossip"
)

// assignerPrefix is the prefix of the gossip items that name the acting assigner of a service: "assigner/SERVICE".
const assignerPrefix = "assigner/"

// announceInterval is how often a daemon checks for which services it acts as assigner and announces them to its peers.
const announceInterval = 500 * time.Millisecond

// announce announces to the peers for which services this daemon acts as assigner, until ctx ends.
func (a *assigners) announce(ctx context.Context) error {
	ticks := a.daemon.Timer.Every(announceInterval)
	defer ticks.Stop()
	for {
		select {
		case <-ticks.C:
			for service, epoch := range a.actingEpochs() {
				a.announceService(service, epoch)
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// announceService publishes this daemon as the acting assigner of a service. The epoch orders announcements of different hosts.
func (a *assigners) announceService(service fleet.ServiceName, epoch fleet.Epoch) {
	item := gossip.Item{
		Name: assignerPrefix + string(service), Version: gossip.Version{Major: uint64(epoch)},
		Value: []byte(a.daemon.Settings.Host.ID),
	}
	if _, err := a.daemon.peers.gossip.Publish(item); err != nil {
		a.daemon.Log.Error().Err(err).Str("service", string(service)).
			Msg("announce assigner role to peers: retrying at the next interval")
	}
}

// announcedServices returns the services of which each host is the acting assigner, as announced to this daemon.
func (a *assigners) announcedServices() map[fleet.HostID][]fleet.ServiceName {
	services := make(map[fleet.HostID][]fleet.ServiceName)
	for _, service := range a.daemon.ownershipMaps.services() {
		if id, found := a.assignerOf(service); found {
			services[id] = append(services[id], service)
		}
	}
	return services
}

// actingEpochs returns the services for which this daemon acts as assigner, and the epoch of its role for each.
func (a *assigners) actingEpochs() map[fleet.ServiceName]fleet.Epoch {
	a.mu.Lock()
	defer a.mu.Unlock()
	epochs := make(map[fleet.ServiceName]fleet.Epoch)
	for name, started := range a.running {
		if role, epoch := started.runner.Role(); role == assigner.RoleActing {
			epochs[name] = epoch
		}
	}
	return epochs
}
