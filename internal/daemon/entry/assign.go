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
func newRun() string { return rand.Text() }

// assign takes part in the election of an assigner for each service whose servers hold ranges, until ctx ends.
func (d *Daemon) assign(ctx context.Context) error {
	running := make(map[fleet.ServiceName]context.CancelFunc)
	var tasks sync.WaitGroup
	defer tasks.Wait()
	for {
		changed := d.configuration.Changed()
		wanted := d.held()
		for name := range wanted {
			if running[name] == nil {
				part, cancel := context.WithCancel(ctx)
				running[name] = cancel
				assigner := d.assigner(name)
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
func (d *Daemon) held() map[fleet.ServiceName]bool {
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

func (d *Daemon) assigner(name fleet.ServiceName) *rangegrants.Assigner {
	return &rangegrants.Assigner{
		Service: name, Daemon: d.run, Store: d.Store, Registry: servers{d.configuration}, Client: d.ServerClient, LoadSource: d.loads,
		Clock: d.Timer, Uptime: d.Timer, Log: d.Log, KnownTable: func() *ranges.Table { return d.owners.table(name) },
		GrantDuration: scaled(d.Limits.MaxGrantDuration, usualHoldPart), OutageGrantDuration: d.Limits.MaxGrantDuration,
		LeaseDuration: scaled(d.Limits.MaxGrantDuration, leasePart),
	}
}

// servers shows the assigner the upstreams of the document in force.
type servers struct {
	configuration *configuration
}

var _ rangegrants.Registry = servers{}

// Servers returns the servers of a service.
func (s servers) Servers(name fleet.ServiceName) []rangegrants.Server {
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
func (s servers) Changed() <-chan struct{} {
	return s.configuration.Changed()
}

func ownerOf(one document.Upstream) ranges.Owner {
	return ranges.Owner{ID: one.ID, Incarnation: one.Incarnation, Address: one.Address}
}

func scaled(whole time.Duration, part float64) time.Duration {
	return time.Duration(float64(whole) * part)
}
