package host

import (
	"context"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/ownership/assigner"
	"rosemarywick.example/rosemarywick/internal/peer/gossip"
)

// assignerPrefix begins the names of the items that say which host acts as the assigner of a service.
const assignerPrefix = "assigner/"

// announceInterval is how often a daemon looks whether it became an assigner and tells the others.
const announceInterval = 500 * time.Millisecond

// announce tells the other daemons for which services this one acts as assigner, until ctx ends.
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

func (a *assigners) announceService(service fleet.ServiceName, epoch fleet.Epoch) {
	item := gossip.Item{
		Name: assignerPrefix + string(service), Version: gossip.Version{Major: uint64(epoch)},
		Value: []byte(a.daemon.Settings.Host.ID),
	}
	if _, err := a.daemon.peers.gossip.Publish(item); err != nil {
		a.daemon.Log.Error().Err(err).Str("service", string(service)).Msg("assigner not announced")
	}
}

// known returns the services of which each host is the assigner, as far as this daemon was told.
func (a *assigners) announcedServices() map[fleet.HostID][]fleet.ServiceName {
	services := make(map[fleet.HostID][]fleet.ServiceName)
	for _, service := range a.daemon.ownershipMaps.services() {
		if id, found := a.assignerOf(service); found {
			services[id] = append(services[id], service)
		}
	}
	return services
}

// acting returns the services for which this daemon acts as assigner, with its epochs.
func (a *assigners) actingEpochs() map[fleet.ServiceName]fleet.Epoch {
	a.mu.Lock()
	defer a.mu.Unlock()
	roles := make(map[fleet.ServiceName]fleet.Epoch)
	for name, one := range a.running {
		if role, epoch := one.runner.Role(); role == assigner.RoleActing {
			roles[name] = epoch
		}
	}
	return roles
}
