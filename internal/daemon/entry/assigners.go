package entry

import (
	"context"
	"crypto/rand"
	"sync"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/document"
	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/ownership/ranges"
	"rosemarywick.example/rosemarywick/internal/upstream/notices"
	"rosemarywick.example/rosemarywick/internal/upstream/rangegrants"
)

// newRunID returns a random identifier for one run of a daemon process.
func newRunID() string { return rand.Text() }

// runAssigners runs one assigner for each service with range grants until ctx ends. Each takes part in the election of the
// service's acting assigner. Assigners start and stop as the configuration changes.
func (d *Daemon) runAssigners(ctx context.Context) {
	running := make(map[fleet.ServiceName]context.CancelFunc)
	var tasks sync.WaitGroup
	defer tasks.Wait()
	for {
		changed := d.configuration.Changed()
		wanted := d.guardedServices()
		for name := range wanted {
			if running[name] == nil {
				assignerCtx, cancel := context.WithCancel(ctx)
				running[name] = cancel
				assigner := d.newAssigner(name)
				tasks.Go(func() { _ = assigner.Run(assignerCtx) }) // always nil: it logs its failures and retries
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
			return
		}
	}
}

// guardedServices returns the services whose servers serve only the ranges that they hold grants for.
func (d *Daemon) guardedServices() map[fleet.ServiceName]bool {
	services := make(map[fleet.ServiceName]bool)
	if current := d.configuration.Current(); current != nil {
		for i := range current.Services {
			if current.Services[i].Guard == fleet.GuardHold {
				services[current.Services[i].Name] = true
			}
		}
	}
	return services
}

// newAssigner returns the assigner of a service, ready to run.
func (d *Daemon) newAssigner(name fleet.ServiceName) *rangegrants.Assigner {
	return &rangegrants.Assigner{
		Service: name, Daemon: d.runID, Store: d.Store, Registry: serverRegistry{d.configuration, d.evacuations != nil},
		Client:     d.ServerClient,
		LoadSource: d.loadTracker, Paused: d.isPaused, Candidates: d.node.Relays, Clock: d.Timer, Uptime: d.Timer, Log: d.Log,
		GrantDuration:       scaled(d.Limits.MaxGrantDuration, grantFraction),
		OutageGrantDuration: d.Limits.MaxGrantDuration, LeaseDuration: scaled(d.Limits.MaxGrantDuration, leaseFraction),
		FirstStart: d.FirstStart, Known: func() *ranges.Table { return d.ownershipMap.table(name) },
		OnPlan: func(moves []ranges.MoveSum, highest, mean float64) { d.observePlan(name, moves, highest, mean) },
	}
}

// isPaused reports whether a server has asked this daemon for a pause.
func (d *Daemon) isPaused(server ranges.Owner) bool {
	return d.Timer.Now().Before(d.notices.PausedUntil(notices.Source{ID: server.ID, Incarnation: server.Incarnation}))
}

// serverRegistry lists the servers of a service for its assigner, from the document in force.
type serverRegistry struct {
	configuration *configuration
	// inSteps makes the ranges of leaving servers move in steps up to their drain deadlines.
	inSteps bool
}

var _ rangegrants.Registry = serverRegistry{}

// Servers returns the servers of a service, or nil if the service is unknown.
func (s serverRegistry) Servers(name fleet.ServiceName) []rangegrants.Server {
	current := s.configuration.Current()
	if current == nil {
		return nil
	}
	service := current.FindService(name)
	if service == nil {
		return nil
	}
	list := make([]rangegrants.Server, 0, len(service.Upstreams))
	for _, server := range service.Upstreams {
		next := rangegrants.Server{Owner: ownerOf(server), Slots: server.Slots, Leaving: !server.DrainDeadline.IsZero()}
		if s.inSteps {
			next.DrainDeadline = server.DrainDeadline
		}
		list = append(list, next)
	}
	return list
}

// Changed returns a channel that is closed at the next change.
func (s serverRegistry) Changed() <-chan struct{} {
	return s.configuration.Changed()
}

func ownerOf(upstream document.Upstream) ranges.Owner {
	return ranges.Owner{ID: upstream.ID, Incarnation: upstream.Incarnation, Address: upstream.Address}
}

// scaled returns a fraction of a duration.
func scaled(duration time.Duration, fraction float64) time.Duration {
	return time.Duration(float64(duration) * fraction)
}
