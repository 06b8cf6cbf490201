// Package host assembles a daemon that shares its state with peers. It connects the decision logic with the interfaces to
// callers, upstreams, peers, operators and the platform, and starts and stops all parts in order. It holds no decision logic
// of its own.
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
	"rosemarywick.example/rosemarywick/internal/daemon/shutdown"
	"rosemarywick.example/rosemarywick/internal/platform/hosts"
	"rosemarywick.example/rosemarywick/internal/platform/objects"
	"rosemarywick.example/rosemarywick/internal/platform/table"
)

// leaveNoticeDuration is how long the mesh keeps running after the daemon announced that it leaves, so that its peers receive
// the announcement.
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
	// PeerSocket is the UDP socket for the connections to peers. If it is nil, the daemon opens the peer address of the settings.
	PeerSocket net.PacketConn

	certificates *certificates.Store
	table        *table.Client
	objects      *objects.Client
	hosts        *hosts.Client

	startOnce sync.Once
	// tasksStarted is closed when the daemon has started its tasks.
	tasksStarted chan struct{}

	// incarnation increases with each start of a daemon on the same host.
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

// Run serves until ctx ends and then stops gracefully: it reports that it is not ready, hands over its roles, finishes the
// requests in flight and leaves the fleet, all within the stop timeout of the settings.
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

// prepare loads the certificates, and creates the parts of the daemon and connects them.
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

// closeClients closes idle connections to upstreams and to the platform.
func (d *Daemon) closeClients() {
	d.requestPath.router.Close()
	d.table.Close()
	d.objects.Close()
	d.hosts.Close()
}

// start starts all tasks, each in the stage in which it is stopped.
func (d *Daemon) start(stages *taskStages) {
	stages.run(stageFleet, d.certificates.Run)
	stages.run(stageFleet, d.peers.mesh.Run)
	stages.run(stageFleet, d.peers.gossip.Run)
	stages.run(stageFleet, d.ownershipMaps.publish)
	stages.run(stageFleet, d.ownershipMaps.followPeers)
	stages.run(stageFleet, d.configuration.followPeers)
	stages.run(stageFleet, d.configuration.poller.Run)
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

// stop waits until the load balancer has noticed that the daemon is not ready, and then stops the stages in their order.
func (d *Daemon) stop(stages *taskStages) {
	d.Log.Info().Dur("timeout", d.Settings.StopTimeout).Msg("daemon stopping")
	d.operatorService.stopping.Store(true)
	schedule, now := d.stopSchedule(), d.Timer.Now()
	d.requestPath.router.Stop(now.Add(schedule.Accept), now.Add(schedule.End))
	ctx, cancel := context.WithTimeout(context.Background(), d.Settings.StopTimeout)
	defer cancel()
	_ = timer.Wait(ctx, d.Timer, schedule.Accept)
	stages.stop(stageRoles)
	stages.stop(stageRequests)
	d.peers.gossip.Leave()
	_ = timer.Wait(ctx, d.Timer, leaveNoticeDuration)
	stages.stop(stageFleet)
}

// stopSchedule returns how the time of a stop is divided.
func (d *Daemon) stopSchedule() shutdown.Schedule {
	return shutdown.NewSchedule(shutdown.Bounds{Timeout: d.Settings.StopTimeout, BalancerGrace: d.Settings.BalancerGrace})
}

// stopStage identifies a group of tasks that are stopped together. The stages are stopped in this order.
type stopStage int

const (
	// stageRoles holds the tasks of the roles that this daemon has for the fleet, such as assigner.
	stageRoles stopStage = iota
	// stageRequests accepts and runs the requests of callers.
	stageRequests
	// stageFleet holds everything that roles and requests depend on.
	stageFleet
	stageCount
)

// taskStages runs the tasks of a daemon in stages. The first task that fails ends wait.
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
func (s *taskStages) run(stage stopStage, task func(context.Context) error) {
	ctx := s.contexts[stage]
	s.groups[stage].Go(func() error {
		err := task(ctx)
		stopped := ctx.Err() != nil
		if stopped {
			return nil //nolint:nilerr // a task that was stopped returns its context's error
		}
		if err == nil {
			err = errors.New("host: task returned before its stage was stopped")
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
func (s *taskStages) stop(stage stopStage) {
	s.cancels[stage]()
	_ = s.groups[stage].Wait()
}

// finish cancels all tasks, waits for them, and returns the error of the first stage in which one failed.
func (s *taskStages) finish() error {
	s.once.Do(func() { s.fail(nil) })
	for i := range s.groups {
		if err := s.groups[i].Wait(); err != nil {
			return err
		}
	}
	return nil
}

// started returns a channel that is closed when Run has started the tasks of the daemon.
func (d *Daemon) started() chan struct{} {
	d.startOnce.Do(func() { d.tasksStarted = make(chan struct{}) })
	return d.tasksStarted
}

// AllPartitionsOwned reports whether the daemon knows an owner of every partition of every keyed service. It may be called at
// any time, also before Run.
func (d *Daemon) AllPartitionsOwned() bool {
	select {
	case <-d.started():
		return d.configuration.Current() != nil && d.ownershipMaps.allOwned()
	default:
		return false
	}
}
