// Package host wires one daemon: it connects the decisions, the edges to callers, upstreams, peers, operators and the
// platform, and starts and stops them in order. It decides nothing itself.
package host

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"rosemarywick.example/rosemarywick/internal/core/settings"
	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/daemon/certificates"
	"rosemarywick.example/rosemarywick/internal/platform/hosts"
	"rosemarywick.example/rosemarywick/internal/platform/objects"
	"rosemarywick.example/rosemarywick/internal/platform/table"
)

// leaveNotice is how long the mesh keeps running after the daemon announced its end, so that its peers read it.
const leaveNotice = 300 * time.Millisecond

// Daemon is one router process. The exported fields are set before Run.
type Daemon struct {
	Settings *settings.Settings
	Timer    timer.Clock
	Log      zerolog.Logger
	// CallerListener and OperatorListener are the sockets for callers and operators. Where one is nil, the daemon opens
	// the address of the settings itself.
	CallerListener, OperatorListener net.Listener
	// Listening is called with the address for callers once requests are accepted. It may be nil.
	Listening func(netip.AddrPort)
	// Packets is the socket for the connections to peers. If it is nil, the daemon opens the peer address itself.
	PeerSocket net.PacketConn

	certificates *certificates.Store
	table        *table.Client
	objects      *objects.Client
	hosts        *hosts.Client

	begin sync.Once
	// running is closed when the daemon has started its tasks.
	running chan struct{}

	// incarnation rises with each start of a daemon on the same host.
	incarnation   uint64
	peers         *peers
	maps          *maps
	configuration *configuration
	assigners     *assigners
	unguarded     *unguarded
	loads         *loads
	requests      *requests
	lookups       *lookups
	operators     *operators
}

// Run serves until ctx ends and then stops gracefully: it stops to be ready, hands over its roles, finishes the requests
// in flight and leaves the fleet, all within the stop timeout of the settings.
func (d *Daemon) Run(ctx context.Context) error {
	d.Log = d.Log.With().Str("host", string(d.Settings.Host.ID)).Logger()
	if err := d.prepare(); err != nil {
		return err
	}
	defer d.closeClients()
	d.Log.Info().Str("domain", string(d.Settings.Host.Locality.Domain)).
		Str("callers", d.Settings.CallerAddress.String()).Msg("daemon starting")
	stages := newStages(ctx)
	d.start(stages)
	close(d.started())
	err := stages.wait(ctx)
	d.stop(stages)
	failed := stages.finish()
	d.Log.Info().Msg("daemon stopped")
	if err != nil {
		return err
	}
	return failed
}

func (d *Daemon) prepare() error {
	d.incarnation = uint64(d.Timer.Now().UnixNano())
	d.certificates = &certificates.Store{Files: d.Settings.TLS, Timer: d.Timer, Log: d.Log}
	if err := d.certificates.Load(); err != nil {
		return err
	}
	d.table = &table.Client{Address: d.Settings.PlatformAddress}
	d.objects = &objects.Client{Address: d.Settings.PlatformAddress}
	d.hosts = &hosts.Client{Address: d.Settings.PlatformAddress}
	d.maps = newMaps(d)
	d.peers = newPeers(d)
	d.assigners = newAssigners(d)
	d.unguarded = newUnguarded(d)
	d.configuration = newConfiguration(d)
	d.loads = newLoads(d)
	d.requests = newRequests(d)
	d.lookups = newLookups(d)
	d.operators = newOperators(d)
	d.requests.front.Ready = d.operators.ready
	return nil
}

func (d *Daemon) closeClients() {
	d.requests.router.Close()
	d.table.Close()
	d.objects.Close()
	d.hosts.Close()
}

// start begins all tasks, each in the stage in which it is stopped.
func (d *Daemon) start(stages *stages) {
	stages.run(stageFleet, d.certificates.Run)
	stages.run(stageFleet, d.peers.mesh.Run)
	stages.run(stageFleet, d.peers.spread.Run)
	stages.run(stageFleet, d.maps.publish)
	stages.run(stageFleet, d.maps.follow)
	stages.run(stageFleet, d.configuration.follow)
	stages.run(stageFleet, d.configuration.follower.Run)
	stages.run(stageFleet, d.requests.archive.Run)
	stages.run(stageFleet, d.requests.claims.Run)
	stages.run(stageFleet, d.requests.router.Run)
	stages.run(stageFleet, d.requests.returns)
	stages.run(stageFleet, d.operators.serve)
	stages.run(stageRoles, d.assigners.run)
	stages.run(stageFleet, d.unguarded.run)
	stages.run(stageRoles, d.assigners.announce)
	stages.run(stageRoles, d.loads.run)
	stages.run(stageRequests, d.requests.front.Run)
}

// stop ends the stages in their order.
func (d *Daemon) stop(stages *stages) {
	d.Log.Info().Dur("timeout", d.Settings.StopTimeout).Msg("daemon stopping")
	d.operators.stopping.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), d.Settings.StopTimeout)
	defer cancel()
	_ = timer.Wait(ctx, d.Timer, d.Settings.BalancerGrace)
	stages.stop(stageRoles)
	stages.stop(stageRequests)
	d.peers.spread.Leave()
	_ = timer.Wait(ctx, d.Timer, leaveNotice)
	stages.stop(stageFleet)
}

// stage is a set of tasks that are stopped together.
type stage int

const (
	stageRoles stage = iota
	stageRequests
	stageFleet
	stageCount
)

// stages runs the tasks of a daemon. The first task that fails ends the wait.
type stages struct {
	failed  context.Context
	fail    context.CancelCauseFunc
	groups  [stageCount]errgroup.Group
	cancels [stageCount]context.CancelFunc
	parents [stageCount]context.Context
	once    sync.Once
}

func newStages(ctx context.Context) *stages {
	s := &stages{}
	s.failed, s.fail = context.WithCancelCause(context.WithoutCancel(ctx))
	for i := range s.parents {
		s.parents[i], s.cancels[i] = context.WithCancel(s.failed)
	}
	return s
}

// run starts a task in a stage. A task that returns before its stage is stopped has failed.
func (s *stages) run(of stage, task func(context.Context) error) {
	ctx := s.parents[of]
	s.groups[of].Go(func() error {
		err := task(ctx)
		stopped := ctx.Err() != nil
		if stopped {
			return nil //nolint:nilerr // a task that was stopped returns its context's error
		}
		if err == nil {
			err = errors.New("host: task ended early")
		}
		s.fail(err)
		return err
	})
}

// wait blocks until ctx ends or a task fails, and returns the task's error.
func (s *stages) wait(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-s.failed.Done():
		return context.Cause(s.failed)
	}
}

// stop ends the tasks of a stage and waits for them.
func (s *stages) stop(of stage) {
	s.cancels[of]()
	_ = s.groups[of].Wait()
}

// finish returns the first error of any task.
func (s *stages) finish() error {
	s.once.Do(func() { s.fail(nil) })
	for i := range s.groups {
		if err := s.groups[i].Wait(); err != nil {
			return err
		}
	}
	return nil
}

// started returns the channel that is closed when the tasks of the daemon run.
func (d *Daemon) started() chan struct{} {
	d.begin.Do(func() { d.running = make(chan struct{}) })
	return d.running
}

// Served reports whether the daemon knows an owner of every partition of every keyed service. It may be called while Run
// runs.
func (d *Daemon) AllPartitionsOwned() bool {
	select {
	case <-d.started():
		return d.configuration.Current() != nil && d.maps.served()
	default:
		return false
	}
}
