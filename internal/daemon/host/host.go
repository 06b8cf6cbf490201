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
const leaveNoticeDuration = 300 * time.Millisecond

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

	startOnce sync.Once
	// running is closed when the daemon has started its tasks.
	tasksStarted chan struct{}

	// incarnation rises with each start of a daemon on the same host.
	incarnation       uint64
	peers             *peers
	ownershipMaps     *ownershipMaps
	configuration     *configuration
	assigners         *assigners
	unguardedServices *unguardedServices
	loadTracker       *loadTracker
	requestPath       *requestPath
	recordLookups     *recordLookups
	operatorService   *operatorService
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
	stages := newTaskStages(ctx)
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
	d.ownershipMaps = newOwnershipMaps(d)
	d.peers = newPeers(d)
	d.assigners = newAssigners(d)
	d.unguardedServices = newUnguardedServices(d)
	d.configuration = newConfiguration(d)
	d.loadTracker = newLoadTracker(d)
	d.requestPath = newRequestPath(d)
	d.recordLookups = newRecordLookups(d)
	d.operatorService = newOperatorService(d)
	d.requestPath.front.Ready = d.operatorService.ready
	return nil
}

func (d *Daemon) closeClients() {
	d.requestPath.router.Close()
	d.table.Close()
	d.objects.Close()
	d.hosts.Close()
}

// start begins all tasks, each in the stage in which it is stopped.
func (d *Daemon) start(stages *taskStages) {
	stages.run(stageFleet, d.certificates.Run)
	stages.run(stageFleet, d.peers.mesh.Run)
	stages.run(stageFleet, d.peers.gossip.Run)
	stages.run(stageFleet, d.ownershipMaps.publish)
	stages.run(stageFleet, d.ownershipMaps.followPeers)
	stages.run(stageFleet, d.configuration.followPeers)
	stages.run(stageFleet, d.configuration.follower.Run)
	stages.run(stageFleet, d.requestPath.archive.Run)
	stages.run(stageFleet, d.requestPath.claims.Run)
	stages.run(stageFleet, d.requestPath.router.Run)
	stages.run(stageFleet, d.requestPath.probeLeaving)
	stages.run(stageFleet, d.operatorService.serve)
	stages.run(stageRoles, d.assigners.run)
	stages.run(stageFleet, d.unguardedServices.run)
	stages.run(stageRoles, d.assigners.announce)
	stages.run(stageRoles, d.loadTracker.run)
	stages.run(stageRequests, d.requestPath.front.Run)
}

// stop ends the stages in their order.
func (d *Daemon) stop(stages *taskStages) {
	d.Log.Info().Dur("timeout", d.Settings.StopTimeout).Msg("daemon stopping")
	d.operatorService.stopping.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), d.Settings.StopTimeout)
	defer cancel()
	_ = timer.Wait(ctx, d.Timer, d.Settings.BalancerGrace)
	stages.stop(stageRoles)
	stages.stop(stageRequests)
	d.peers.gossip.Leave()
	_ = timer.Wait(ctx, d.Timer, leaveNoticeDuration)
	stages.stop(stageFleet)
}

// stage is a set of tasks that are stopped together.
type stopStage int

const (
	stageRoles stopStage = iota
	stageRequests
	stageFleet
	stageCount
)

// stages runs the tasks of a daemon. The first task that fails ends the wait.
type taskStages struct {
	failedContext context.Context
	fail          context.CancelCauseFunc
	groups        [stageCount]errgroup.Group
	cancels       [stageCount]context.CancelFunc
	contexts      [stageCount]context.Context
	once          sync.Once
}

func newTaskStages(ctx context.Context) *taskStages {
	s := &taskStages{}
	s.failedContext, s.fail = context.WithCancelCause(context.WithoutCancel(ctx))
	for i := range s.contexts {
		s.contexts[i], s.cancels[i] = context.WithCancel(s.failedContext)
	}
	return s
}

// run starts a task in a stage. A task that returns before its stage is stopped has failed.
func (s *taskStages) run(of stopStage, task func(context.Context) error) {
	ctx := s.contexts[of]
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
func (s *taskStages) wait(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-s.failedContext.Done():
		return context.Cause(s.failedContext)
	}
}

// stop ends the tasks of a stage and waits for them.
func (s *taskStages) stop(of stopStage) {
	s.cancels[of]()
	_ = s.groups[of].Wait()
}

// finish returns the first error of any task.
func (s *taskStages) finish() error {
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
	d.startOnce.Do(func() { d.tasksStarted = make(chan struct{}) })
	return d.tasksStarted
}

// Served reports whether the daemon knows an owner of every partition of every keyed service. It may be called while Run
// runs.
func (d *Daemon) AllPartitionsOwned() bool {
	select {
	case <-d.started():
		return d.configuration.Current() != nil && d.ownershipMaps.allOwned()
	default:
		return false
	}
}
