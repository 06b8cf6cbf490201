package entry

import (
	"context"
	"crypto/rand"
	"sync"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/document"
	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/ownership/ranges"
	"rosemarywick.example/rosemarywick/internal/upstream/rangegrants"
)

// newRun names one run of a daemon.
func newRunID() string { return rand.Text() }

// assign takes part in the election of an assigner for each service whose servers hold ranges, until ctx ends.
func (d *Daemon) runAssigners(ctx context.Context) error {
	running := make(map[fleet.ServiceName]context.CancelFunc)
	var tasks sync.WaitGroup
	defer tasks.Wait()
	for {
		changed := d.configuration.Changed()
		wanted := d.guardedServices()
		for name := range wanted {
			if running[name] == nil {
				part, cancel := context.WithCancel(ctx)
				running[name] = cancel
				assigner := d.newAssigner(name)
				tasks.Go(func() { _ = assigner.Run(part) }) // it fails never: its troubles are logged where they are met
			}
		}
		for name, cancel := range running {
			if !wanted[name] {
				cancel()
				delete(running, name)
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			for _, cancel := range running {
				cancel()
			}
			return nil
		}
	}
}

// held returns the services whose servers hold ranges.
func (d *Daemon) guardedServices() map[fleet.ServiceName]bool {
	result := make(map[fleet.ServiceName]bool)
	if current := d.configuration.Current(); current != nil {
		for i := range current.Services {
			if current.Services[i].Guard == fleet.GuardHold {
				result[current.Services[i].Name] = true
			}
		}
	}
	return result
}

func (d *Daemon) newAssigner(name fleet.ServiceName) *rangegrants.Assigner {
	return &rangegrants.Assigner{
		Service: name, Daemon: d.runID, Store: d.Store, Registry: serverRegistry{d.configuration}, Client: d.ServerClient, LoadSource: d.loadTracker,
		Clock: d.Timer, Uptime: d.Timer, Log: d.Log, KnownTable: func() *ranges.Table { return d.ownershipMap.table(name) },
		GrantDuration: scaled(d.Limits.MaxGrantDuration, grantFraction), OutageGrantDuration: d.Limits.MaxGrantDuration,
		LeaseDuration: scaled(d.Limits.MaxGrantDuration, leaseFraction),
	}
}

// servers shows the assigner the upstreams of the document in force.
type serverRegistry struct {
	configuration *configuration
}

var _ rangegrants.Registry = serverRegistry{}

// Servers returns the servers of a service.
func (s serverRegistry) Servers(name fleet.ServiceName) []rangegrants.Server {
	current := s.configuration.Current()
	if current == nil {
		return nil
	}
	service := current.FindService(name)
	if service == nil {
		return nil
	}
	result := make([]rangegrants.Server, 0, len(service.Upstreams))
	for _, one := range service.Upstreams {
		result = append(result, rangegrants.Server{Owner: ownerOf(one), Slots: one.Slots, Leaving: !one.DrainDeadline.IsZero()})
	}
	return result
}

// Changed returns a channel that is closed at the next change.
func (s serverRegistry) Changed() <-chan struct{} {
	return s.configuration.Changed()
}

func ownerOf(one document.Upstream) ranges.Owner {
	return ranges.Owner{ID: one.ID, Incarnation: one.Incarnation, Address: one.Address}
}

func scaled(whole time.Duration, part float64) time.Duration {
	return time.Duration(float64(whole) * part)
}
