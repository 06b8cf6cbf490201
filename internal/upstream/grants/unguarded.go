package grants

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/ownership/assigner"
	"rosemarywick.example/rosemarywick/internal/platform/table"
)

// confirmInterval is the time between two questions of a router. A confirmation is valid for 1 s, so three may be lost.
const confirmInterval = 250 * time.Millisecond

// UnguardedRunner runs, on one host, both sides of an unguarded service, whose servers accept no orders: the assigner, which
// has authority on at most one host, and the router's confirmed map.
type UnguardedRunner struct {
	// Assigner makes the decisions. Set its fields before Run; afterwards only the UnguardedRunner may use it.
	Assigner *assigner.UnguardedAssigner
	// ConfirmedMap is the map of the router. Set its fields before Run; afterwards only the UnguardedRunner may use it.
	ConfirmedMap *assigner.ConfirmedMap
	// Service is the name of the unguarded service.
	Service fleet.ServiceName
	// Table holds the group row and the placement rows.
	Table table.Store
	// Peers carries messages to the other daemons.
	Peers Peers
	// Publisher publishes assignments for display only. Routers use Locate instead.
	Publisher Publisher
	// Timer is the host's clock.
	Timer timer.Clock
	// Log receives a line for each change of role and for each new kind of table failure.
	Log zerolog.Logger

	// mu guards Assigner, ConfirmedMap and the fields below.
	mu sync.Mutex
	// hosts lists the hosts that may have authority.
	hosts []fleet.HostID
	// authorityHolder is the host that presumably has authority; it is empty if none is known.
	authorityHolder fleet.HostID
	// hostIndex selects the host to ask while authorityHolder is empty.
	hostIndex     int
	groupJobs     chan assigner.Action
	placementJobs chan assigner.Action
	messages      *outbox
	// running is true from the start of Run until the hand-over. Steps are ignored otherwise.
	running bool
}

// SetServers sets the servers that are alive and not about to stop. It may be called at any time.
func (r *UnguardedRunner) SetServers(servers []assigner.Server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Assigner.SetServers(servers)
}

// SetHosts sets the hosts that may have authority, including this one if it may. All daemons must be given the same hosts.
func (r *UnguardedRunner) SetHosts(hosts []fleet.HostID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hosts = hosts
	r.Assigner.Candidate = false
	for _, host := range hosts {
		r.Assigner.Candidate = r.Assigner.Candidate || host == r.Assigner.Host
	}
}

// Locate returns the assignment of a key and the time by which a request forwarded to its owner must have ended. It returns
// false if the map is not confirmed.
func (r *UnguardedRunner) Locate(key fleet.KeyHash) (fleet.Assignment, time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ConfirmedMap.Locate(r.Timer.Now(), key)
}

// HasAuthority reports whether the assigner of this host has authority.
func (r *UnguardedRunner) HasAuthority() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Assigner.HasAuthority(r.Timer.Now())
}

// Run runs the assigner and the router's side until ctx ends, and then gives up the authority if this host has it.
func (r *UnguardedRunner) Run(ctx context.Context) error {
	workCtx, cancel := context.WithCancel(ctx)
	var tasks sync.WaitGroup
	r.prepare(newOutbox(workCtx, &tasks, r.Peers, confirmTopic(r.Service)))
	r.Peers.Handle(confirmTopic(r.Service), r.receive)
	tasks.Go(func() { r.newRowStore().run(workCtx, r.groupJobs) })
	tasks.Go(func() { r.newRowStore().run(workCtx, r.placementJobs) })
	tasks.Go(func() { r.requestConfirmations(workCtx) })
	ticks := r.Timer.Every(tickInterval)
	defer ticks.Stop()
	for ctx.Err() == nil {
		select {
		case <-ticks.C:
			r.step(r.Assigner.Tick)
		case <-ctx.Done():
		}
	}
	r.messages.close()
	cancel()
	tasks.Wait()
	r.handOver(ctx)
	return context.Cause(ctx)
}

// newRowStore returns a rowStore for the use of a single goroutine.
func (r *UnguardedRunner) newRowStore() *rowStore {
	return &rowStore{table: r.Table, service: r.Service, log: r.Log, observer: r.Assigner, step: r.step}
}

// prepare sets up the state that lasts for one Run.
func (r *UnguardedRunner) prepare(messages *outbox) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// At most one read and one write of each kind are outstanding, plus as many of an epoch that has just ended. With this
	// capacity, step never blocks on a channel while it holds mu.
	r.groupJobs, r.placementJobs = make(chan assigner.Action, 4), make(chan assigner.Action, 4)
	r.messages = messages
	r.running = true
}

// handOver gives up the authority with a final write to the table, so that the next host need not wait until it expires.
func (r *UnguardedRunner) handOver(ctx context.Context) {
	r.mu.Lock()
	r.running = false
	actions := r.Assigner.HandOver(r.Timer.Now())
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), sendTimeout)
	defer cancel()
	for _, action := range actions {
		switch action := action.(type) {
		case assigner.WriteRow:
			r.newRowStore().writeGroupRow(ctx, action)
		case assigner.ChangeRole:
			logRoleChange(r.Log, r.Service, action)
		default:
		}
	}
}

// step runs one step of the assigner under mu and dispatches the resulting actions.
func (r *UnguardedRunner) step(decide func(now time.Time) []assigner.Action) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.running {
		return
	}
	for _, action := range decide(r.Timer.Now()) {
		switch action := action.(type) {
		case assigner.ReadRow, assigner.WriteRow:
			r.groupJobs <- action
		case assigner.ReadPlacement, assigner.WritePlacement:
			r.placementJobs <- action
		case assigner.Publish:
			r.Publisher.Publish(r.Service, action.Assignments)
		case assigner.ChangeRole:
			logRoleChange(r.Log, r.Service, action)
		default:
		}
	}
}

// askPeriodically asks for a confirmation of the map: the host that has authority if it is known, else each host in turn.
func (r *UnguardedRunner) requestConfirmations(ctx context.Context) {
	ticks := r.Timer.Every(confirmInterval)
	defer ticks.Stop()
	for {
		select {
		case <-ticks.C:
		case <-ctx.Done():
			return
		}
		to, payload, err := r.nextRequest()
		if err != nil {
			r.Log.Error().Err(err).Str("service", string(r.Service)).Msg("question not encoded")
			continue
		}
		if to != "" {
			r.messages.post(to, payload)
		}
	}
}

// nextQuestion returns the next question and the host to ask. If this host has authority, it answers its own question
// directly and returns no host.
func (r *UnguardedRunner) nextRequest() (fleet.HostID, []byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Timer.Now()
	question := r.ConfirmedMap.NewRequest(now)
	if answer, ok := r.Assigner.Confirm(now, question); ok {
		r.ConfirmedMap.ApplyConfirmation(answer)
		return "", nil, nil
	}
	to := r.authorityHolder
	r.authorityHolder = ""
	if to == "" || to == r.Assigner.Host {
		to = ""
		if len(r.hosts) > 0 {
			r.hostIndex++
			to = r.hosts[r.hostIndex%len(r.hosts)]
		}
	}
	if to == r.Assigner.Host {
		return "", nil, nil
	}
	payload, err := encodeConfirmationRequest(question)
	return to, payload, err
}

// receive handles a message of another host: a question of its router, or an answer to the router of this host.
func (r *UnguardedRunner) receive(from fleet.HostID, payload []byte) {
	wire, err := decodeConfirmMessage(payload)
	if err == nil && wire.Confirmation != nil {
		err = r.handleConfirmation(from, wire.Confirmation)
	} else if err == nil {
		err = r.handleRequest(from, wire.Request)
	}
	if err != nil {
		r.Log.Warn().Err(err).Str("service", string(r.Service)).Str("from", string(from)).Msg("confirmation failed")
	}
}

// handleAnswer applies a confirmation, or notes which host has authority.
func (r *UnguardedRunner) handleConfirmation(from fleet.HostID, wire *wireConfirmation) error {
	answer, err := wire.confirmation()
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if wire.Holder != "" {
		r.authorityHolder = fleet.HostID(wire.Holder)
		return nil
	}
	r.authorityHolder = from
	r.ConfirmedMap.ApplyConfirmation(answer)
	return nil
}

// handleQuestion sends a confirmation if this host has authority, or else the name of the host that has it, if known.
func (r *UnguardedRunner) handleRequest(from fleet.HostID, wire *wireConfirmationRequest) error {
	r.mu.Lock()
	answer, ok := r.Assigner.Confirm(r.Timer.Now(), wire.request())
	holder := r.Assigner.Holder()
	r.mu.Unlock()
	var payload []byte
	var err error
	switch {
	case ok:
		payload, err = encodeConfirmation(answer)
	case holder != "" && holder != r.Assigner.Host:
		payload, err = encodeHolder(holder)
	default:
		return nil
	}
	if err != nil {
		return err
	}
	r.messages.post(from, payload)
	return nil
}
