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
	// tickInterval is how often the decision sees time pass. It adds to the time without an owner after a loss, so it
	// is short compared to a round.
	tickInterval = 5 * time.Millisecond
	// tableTimeout bounds one call of the table service, so that an outage does not hold up the next attempt.
	tableTimeout = 2 * time.Second
	// sendTimeout bounds the sending of one message. One that waits for longer is superseded by the next round.
	sendTimeout = 500 * time.Millisecond
	// reliefTimeout bounds how long a host that stops goes on acting until a deputy stands by. Replacing a lost deputy
	// takes a second of silence, a write and two reads of the table.
	handOverTimeout = 5 * time.Second
)

// Peers carries messages between the daemons. Messages may be lost, late or repeated.
type Peers interface {
	// Send sends payload to a host. It blocks until the message was handed to the network.
	Send(ctx context.Context, to fleet.HostID, topic string, payload []byte) error
	// Handle registers the receiver of the messages of a topic.
	Handle(topic string, receive func(from fleet.HostID, payload []byte))
}

// Publisher makes assignments known to all daemons. Publish must not block and must not call the Runner.
type Publisher interface {
	Publish(service fleet.ServiceName, assignments []fleet.Assignment)
}

// Runner runs the assigner of one keyed service on one host. Every daemon has one for each keyed service; at most one of
// them acts, one is the deputy, and the others watch.
type Runner struct {
	// Assigner decides. Its own fields are set before Run; the Runner then has sole use of it.
	Assigner *assigner.Assigner
	// Table holds the group row and the placement rows.
	Table table.Store
	// Peers reaches the other daemons.
	Peers Peers
	// Publisher makes assignments known.
	Publisher Publisher
	// Client sends orders.
	Client *Client
	// Timer is the host's clock.
	Timer timer.Clock
	// Log receives one line for each change of role and each failure of the table.
	Log zerolog.Logger

	// mu guards Assigner and all fields below.
	mu            sync.Mutex
	addresses     map[fleet.UpstreamID]netip.AddrPort
	orderQueues   map[fleet.UpstreamID]chan assigner.SendOrder
	messages      *outbox
	groupJobs     chan assigner.Action
	placementJobs chan assigner.Action
	// running is set while Run is.
	running bool
	ctx     context.Context
	tasks   sync.WaitGroup
}

// topic returns the topic of the messages between the assigners of a service.
func assignerTopic(service fleet.ServiceName) string {
	return "ownership/" + string(service)
}

// SetUpstreams tells which servers the configuration lists for the service. It may be called at any time.
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

// SetHosts tells which hosts run daemons, this one included. It may be called at any time.
func (r *Runner) SetHosts(hosts []fleet.Host) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Assigner.SetHosts(hosts)
}

// SetLoads tells the measured load of the partitions. It may be called at any time.
func (r *Runner) SetLoads(loads map[fleet.PartitionID]float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Assigner.SetLoads(loads)
}

// SetHotKeys tells which keys should have an entry of their own. It is called again at intervals, since entries are
// added and removed only while this host acts and knows all holdings.
func (r *Runner) SetHotKeys(keys []fleet.KeyHash) {
	r.step(func(now time.Time) []assigner.Action { return r.Assigner.SetHotKeys(now, slices.Clone(keys)) })
}

// Role returns the role of this host and the epoch in which it acts or acted last.
func (r *Runner) Role() (assigner.Role, fleet.Epoch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Assigner.Role(), r.Assigner.Epoch()
}

// Run runs the assigner until ctx ends, and then hands the role to the deputy once that stands by.
func (r *Runner) Run(ctx context.Context) error {
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	r.prepare(work)
	r.Peers.Handle(assignerTopic(r.Assigner.Service), r.receive)
	for _, jobs := range []chan assigner.Action{r.groupJobs, r.placementJobs} {
		rows := &rowStore{
			table: r.Table, service: r.Assigner.Service, log: r.Log, observer: r.Assigner, step: r.step,
		}
		r.tasks.Go(func() { rows.run(work, jobs) })
	}
	r.tickUntil(ctx, func() bool { return false })
	r.step(r.Assigner.PrepareStop)
	relief, end := context.WithTimeout(work, handOverTimeout)
	r.tickUntil(relief, r.canHandOver)
	end()
	r.handOver(ctx)
	r.messages.close()
	cancel()
	r.tasks.Wait()
	return context.Cause(ctx)
}

// tick lets time pass until ctx ends or done holds.
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

// relieved reports whether the role can be handed over without a gap.
func (r *Runner) canHandOver() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Assigner.MayStop(r.Timer.Now())
}

func (r *Runner) prepare(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.orderQueues = make(map[fleet.UpstreamID]chan assigner.SendOrder)
	r.messages = newOutbox(ctx, &r.tasks, r.Peers, assignerTopic(r.Assigner.Service))
	// The decision has at most one read and one write of each kind outstanding.
	r.groupJobs = make(chan assigner.Action, 2)
	r.placementJobs = make(chan assigner.Action, 2)
	r.ctx, r.running = ctx, true
}

// step lets the decision take one step and carries out its actions. All steps are taken under one lock, and the actions
// are handed out under it too, so that they are carried out in the order in which they were decided.
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

// execute hands an action to the goroutine that carries it out. The caller holds mu.
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

// logRole writes the line of a change of role.
func logRoleChange(log zerolog.Logger, service fleet.ServiceName, change assigner.ChangeRole) {
	log.Info().Str("service", string(service)).
		Str("from", string(change.From)).Str("to", string(change.To)).Uint64("epoch", uint64(change.Epoch)).
		Str("reason", string(change.Reason)).Msg("assigner role changed")
}

// post hands an order to the goroutine of its server. An order of an earlier epoch that still waits there is replaced,
// since the server would refuse it anyway. The caller holds mu.
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

// sendOrders sends the orders of one server, one at a time.
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
			return r.Assigner.Unanswered(now, order)
		}
		return r.Assigner.Reported(now, order, report)
	})
}
