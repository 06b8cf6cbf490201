package grants

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/ownership/assigner"
	"rosemarywick.example/rosemarywick/internal/platform/table"
)

const (
	// tickInterval is the time between two ticks of the assigner. It adds to the time without an owner after a server is
	// lost, so it is short compared to the order interval.
	tickInterval = 5 * time.Millisecond
	// tableTimeout bounds one call of the table service, so that a hanging call does not delay the next attempt.
	tableTimeout = 2 * time.Second
	// sendTimeout bounds the sending of one message. By then, a later message supersedes it.
	sendTimeout = 500 * time.Millisecond
	// handOverTimeout bounds how long a stopping host keeps the acting role until a deputy is ready. Replacing a lost deputy
	// takes one second without its messages, one write and two reads of the table.
	handOverTimeout = 5 * time.Second
)

// Peers carries messages between daemons. Messages may be lost, delayed or duplicated.
type Peers interface {
	// Send sends payload to a host. It blocks until the message has been passed to the network.
	Send(ctx context.Context, to fleet.HostID, topic string, payload []byte) error
	// Handle registers the function that receives the messages of a topic.
	Handle(topic string, receive func(from fleet.HostID, payload []byte))
}

// Publisher distributes assignments to all daemons. Publish is called under the runner's lock, so it must not block or call
// the runner.
type Publisher interface {
	Publish(service fleet.ServiceName, assignments []fleet.Assignment)
}

// Runner runs the assigner of one keyed service on one host. Every daemon has a Runner for each keyed service. For each
// service, at most one is acting, one is the deputy, and the others are watching.
type Runner struct {
	// Assigner makes the decisions. Set its fields before Run; afterwards only the Runner may use it.
	Assigner *assigner.Assigner
	// Table holds the group row and the placement rows.
	Table table.Store
	// Peers carries messages to the other daemons.
	Peers Peers
	// Publisher distributes the assignments.
	Publisher Publisher
	// Client sends orders to the servers.
	Client *Client
	// Timer is the host's clock.
	Timer timer.Clock
	// Log receives a line for each change of role and for each new kind of table failure.
	Log zerolog.Logger

	// mu guards Assigner and all fields below.
	mu            sync.Mutex
	addresses     map[fleet.UpstreamID]netip.AddrPort
	orderQueues   map[fleet.UpstreamID]chan assigner.SendOrder
	messages      *outbox
	groupJobs     chan assigner.Action
	placementJobs chan assigner.Action
	// running is true from the start of Run until the role is handed over. Steps are ignored otherwise.
	running bool
	ctx     context.Context
	tasks   sync.WaitGroup
}

// assignerTopic returns the topic of the messages between the assigners of a service.
func assignerTopic(service fleet.ServiceName) string {
	return "ownership/" + string(service)
}

// SetUpstreams sets the servers that the configuration lists for the service. It may be called at any time.
func (r *Runner) SetUpstreams(upstreams []fleet.Upstream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.addresses == nil {
		r.addresses = make(map[fleet.UpstreamID]netip.AddrPort)
	}
	servers := make([]assigner.Server, 0, len(upstreams))
	for _, upstream := range upstreams {
		r.addresses[upstream.ID] = upstream.Address
		servers = append(servers, assigner.Server{ID: upstream.ID, Domain: upstream.Locality.Domain, Weight: 1})
	}
	r.Assigner.SetServers(servers)
}

// SetHosts sets the hosts that run daemons, including this one. It may be called at any time.
func (r *Runner) SetHosts(hosts []fleet.Host) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Assigner.SetHosts(hosts)
}

// SetLoads sets the measured load of each partition. It may be called at any time.
func (r *Runner) SetLoads(loads map[fleet.PartitionID]float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Assigner.SetLoads(loads)
}

// SetHotKeys sets the keys that should have a partition of their own. It must be called periodically, since hot keys are added
// and removed only while this host is acting and knows the holdings of all servers.
func (r *Runner) SetHotKeys(keys []fleet.KeyHash) {
	r.step(func(now time.Time) []assigner.Action { return r.Assigner.SetHotKeys(now, slices.Clone(keys)) })
}

// Role returns the role of this host and the epoch in which it is acting or was acting last.
func (r *Runner) Role() (assigner.Role, fleet.Epoch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Assigner.Role(), r.Assigner.Epoch()
}

// Run runs the assigner until ctx ends. It then keeps the role until the deputy is ready, for at most handOverTimeout, and
// hands it over.
func (r *Runner) Run(ctx context.Context) error {
	workCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	r.prepare(workCtx)
	r.Peers.Handle(assignerTopic(r.Assigner.Service), r.receive)
	for _, jobs := range []chan assigner.Action{r.groupJobs, r.placementJobs} {
		rows := &rowStore{
			table: r.Table, service: r.Assigner.Service, log: r.Log, observer: r.Assigner, step: r.step,
		}
		r.tasks.Go(func() { rows.run(workCtx, jobs) })
	}
	r.tickUntil(ctx, func() bool { return false })
	r.step(r.Assigner.PrepareStop)
	handOverCtx, cancelHandOver := context.WithTimeout(workCtx, handOverTimeout)
	r.tickUntil(handOverCtx, r.canHandOver)
	cancelHandOver()
	r.handOver(ctx)
	r.messages.close()
	cancel()
	r.tasks.Wait()
	return context.Cause(ctx)
}

// tickUntil ticks the assigner until ctx ends or done returns true.
func (r *Runner) tickUntil(ctx context.Context, done func() bool) {
	ticks := r.Timer.Every(tickInterval)
	defer ticks.Stop()
	for !done() {
		select {
		case <-ticks.C:
			r.step(r.Assigner.Tick)
		case <-ctx.Done():
			return
		}
	}
}

// canHandOver reports whether the role can be handed over without a time in which no host is acting.
func (r *Runner) canHandOver() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Assigner.MayStop(r.Timer.Now())
}

// prepare sets up the state that lasts for one Run.
func (r *Runner) prepare(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.orderQueues = make(map[fleet.UpstreamID]chan assigner.SendOrder)
	r.messages = newOutbox(ctx, &r.tasks, r.Peers, assignerTopic(r.Assigner.Service))
	// The assigner has at most one read and one write of each kind outstanding, so sends never block while mu is held.
	r.groupJobs = make(chan assigner.Action, 2)
	r.placementJobs = make(chan assigner.Action, 2)
	r.ctx, r.running = ctx, true
}

// step runs one step of the assigner and dispatches the resulting actions. Both happen under mu, so that actions are
// dispatched in the order in which they were decided.
func (r *Runner) step(decide func(now time.Time) []assigner.Action) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.running {
		return
	}
	for _, action := range decide(r.Timer.Now()) {
		r.execute(action)
	}
}

// execute passes an action to the goroutine that performs it. The caller holds mu.
func (r *Runner) execute(action assigner.Action) {
	switch action := action.(type) {
	case assigner.SendOrder:
		r.postOrder(action)
	case assigner.ReadRow, assigner.WriteRow:
		r.groupJobs <- action
	case assigner.ReadPlacement, assigner.WritePlacement:
		r.placementJobs <- action
	case assigner.Publish:
		r.Publisher.Publish(r.Assigner.Service, action.Assignments)
	case assigner.SendMessage:
		r.postMessage(action)
	case assigner.ChangeRole:
		logRoleChange(r.Log, r.Assigner.Service, action)
	}
}

// logRoleChange logs a change of role.
func logRoleChange(log zerolog.Logger, service fleet.ServiceName, change assigner.ChangeRole) {
	log.Info().Str("service", string(service)).
		Str("from", string(change.From)).Str("to", string(change.To)).Uint64("epoch", uint64(change.Epoch)).
		Str("reason", string(change.Reason)).Msg("assigner role changed")
}

// postOrder queues an order to its server. It replaces a queued order of an earlier epoch, which the server would refuse
// anyway. The caller holds mu.
func (r *Runner) postOrder(order assigner.SendOrder) {
	orders := r.orderQueues[order.Server]
	if orders == nil {
		orders = make(chan assigner.SendOrder, 1)
		r.orderQueues[order.Server] = orders
		ctx := r.ctx
		r.tasks.Go(func() { r.sendOrders(ctx, orders) })
	}
	select {
	case <-orders:
	default:
	}
	orders <- order
}

// sendOrders sends the orders to one server, one at a time, until ctx ends.
func (r *Runner) sendOrders(ctx context.Context, orders <-chan assigner.SendOrder) {
	for {
		select {
		case <-ctx.Done():
			return
		case order := <-orders:
			r.sendOrder(ctx, order)
		}
	}
}

// sendOrder sends one order and passes the report, or its absence, to the assigner.
func (r *Runner) sendOrder(ctx context.Context, order assigner.SendOrder) {
	r.mu.Lock()
	address := r.addresses[order.Server]
	timeout := 2 * r.Assigner.Timing.OrderInterval
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	report, err := r.Client.Send(ctx, address, order.Order)
	r.step(func(now time.Time) []assigner.Action {
		if err != nil {
			return r.Assigner.HandleNoReport(now, order)
		}
		return r.Assigner.HandleReport(now, order, report)
	})
}
