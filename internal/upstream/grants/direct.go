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

// askInterval is how often a router asks for a confirmation. Three may be lost before the confirmation of 1 s ends.
const confirmInterval = 250 * time.Millisecond

// Direct runs both sides of a service whose servers check no orders on one host: the assigner, which has authority on at
// most one host, and the router's confirmed map.
type UnguardedRunner struct {
	// Assigner decides. Its own fields are set before Run; the Direct then has sole use of it.
	Assigner *assigner.UnguardedAssigner
	// Confirmed is the router's side. Its own fields are set before Run; the Direct then has sole use of it.
	ConfirmedMap *assigner.ConfirmedMap
	// Service is the service.
	Service fleet.ServiceName
	// Table holds the group row and the placement rows.
	Table table.Store
	// Peers reaches the other daemons.
	Peers Peers
	// Publisher makes assignments known for display. Routers use Locate instead.
	Publisher Publisher
	// Timer is the host's clock.
	Timer timer.Clock
	// Log receives one line for each change of role and each failure of the table.
	Log zerolog.Logger

	// mu guards Assigner, Confirmed and the fields below.
	mu              sync.Mutex
	hosts           []fleet.HostID
	authorityHolder fleet.HostID
	hostIndex       int
	groupJobs       chan assigner.Action
	placementJobs   chan assigner.Action
	messages        *outbox
	running         bool
}

// SetServers tells which servers are alive and do not leave. It may be called at any time.
func (d *UnguardedRunner) SetServers(servers []assigner.Server) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.Assigner.SetServers(servers)
}

// SetHosts tells which hosts may have authority, this one included if it may. All daemons must be given the same few.
func (d *UnguardedRunner) SetHosts(hosts []fleet.HostID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.hosts = hosts
	d.Assigner.Candidate = false
	for _, host := range hosts {
		d.Assigner.Candidate = d.Assigner.Candidate || host == d.Assigner.Host
	}
}

// Locate returns the assignment of a key and the time at which a request forwarded to its owner must have ended. It
// reports false when the map is not confirmed.
func (d *UnguardedRunner) Locate(key fleet.KeyHash) (fleet.Assignment, time.Time, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ConfirmedMap.Locate(d.Timer.Now(), key)
}

// Acts reports whether this host has authority.
func (d *UnguardedRunner) HasAuthority() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.Assigner.HasAuthority(d.Timer.Now())
}

// Run runs until ctx ends, and then gives up the authority if this host has it.
func (d *UnguardedRunner) Run(ctx context.Context) error {
	work, cancel := context.WithCancel(ctx)
	var tasks sync.WaitGroup
	d.prepare(newOutbox(work, &tasks, d.Peers, confirmTopic(d.Service)))
	d.Peers.Handle(confirmTopic(d.Service), d.receive)
	tasks.Go(func() { d.newRowStore().run(work, d.groupJobs) })
	tasks.Go(func() { d.newRowStore().run(work, d.placementJobs) })
	tasks.Go(func() { d.askPeriodically(work) })
	ticks := d.Timer.Every(tickInterval)
	defer ticks.Stop()
	for ctx.Err() == nil {
		select {
		case <-ticks.C:
			d.step(d.Assigner.Tick)
		case <-ctx.Done():
		}
	}
	d.messages.close()
	cancel()
	tasks.Wait()
	d.handOver(ctx)
	return context.Cause(ctx)
}

// rows returns a store for one goroutine.
func (d *UnguardedRunner) newRowStore() *rowStore {
	return &rowStore{table: d.Table, service: d.Service, log: d.Log, observer: d.Assigner, step: d.step}
}

func (d *UnguardedRunner) prepare(messages *outbox) {
	d.mu.Lock()
	defer d.mu.Unlock()
	// One read and one write of each kind are outstanding, and as many of an epoch that ended in the meantime.
	d.groupJobs, d.placementJobs = make(chan assigner.Action, 4), make(chan assigner.Action, 4)
	d.messages = messages
	d.running = true
}

// handOver gives up the authority with a last write, so that the next host need not wait for its end.
func (d *UnguardedRunner) handOver(ctx context.Context) {
	d.mu.Lock()
	d.running = false
	actions := d.Assigner.HandOver(d.Timer.Now())
	d.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), sendTimeout)
	defer cancel()
	for _, action := range actions {
		switch action := action.(type) {
		case assigner.WriteRow:
			d.newRowStore().writeGroupRow(ctx, action)
		case assigner.ChangeRole:
			logRoleChange(d.Log, d.Service, action)
		default:
		}
	}
}

// step lets the decision take one step and carries out its actions.
func (d *UnguardedRunner) step(decide func(now time.Time) []assigner.Action) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.running {
		return
	}
	for _, action := range decide(d.Timer.Now()) {
		switch action := action.(type) {
		case assigner.ReadRow, assigner.WriteRow:
			d.groupJobs <- action
		case assigner.ReadPlacement, assigner.WritePlacement:
			d.placementJobs <- action
		case assigner.Publish:
			d.Publisher.Publish(d.Service, action.Assignments)
		case assigner.ChangeRole:
			logRoleChange(d.Log, d.Service, action)
		default:
		}
	}
}

// ask asks for a confirmation at intervals: the host that has authority if it is known, else one host after another.
func (d *UnguardedRunner) askPeriodically(ctx context.Context) {
	ticks := d.Timer.Every(confirmInterval)
	defer ticks.Stop()
	for {
		select {
		case <-ticks.C:
		case <-ctx.Done():
			return
		}
		to, payload, err := d.nextQuestion()
		if err != nil {
			d.Log.Error().Err(err).Str("service", string(d.Service)).Msg("question not encoded")
			continue
		}
		if to != "" {
			d.messages.post(to, payload)
		}
	}
}

// nextQuestion returns the next question and the host to ask. The question of this host to itself is answered at once.
func (d *UnguardedRunner) nextQuestion() (fleet.HostID, []byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Timer.Now()
	question := d.ConfirmedMap.NewRequest(now)
	if answer, has := d.Assigner.Confirm(now, question); has {
		d.ConfirmedMap.ApplyConfirmation(answer)
		return "", nil, nil
	}
	to := d.authorityHolder
	d.authorityHolder = ""
	if to == "" || to == d.Assigner.Host {
		to = ""
		if len(d.hosts) > 0 {
			d.hostIndex++
			to = d.hosts[d.hostIndex%len(d.hosts)]
		}
	}
	if to == d.Assigner.Host {
		return "", nil, nil
	}
	payload, err := encodeQuestion(question)
	return to, payload, err
}

// receive handles a question of a router or an answer to this host's router.
func (d *UnguardedRunner) receive(from fleet.HostID, payload []byte) {
	wire, err := decodeConfirmMessage(payload)
	if err == nil && wire.Answer != nil {
		err = d.handleAnswer(from, wire.Answer)
	} else if err == nil {
		err = d.handleQuestion(from, wire.Question)
	}
	if err != nil {
		d.Log.Warn().Err(err).Str("service", string(d.Service)).Str("from", string(from)).Msg("confirmation failed")
	}
}

func (d *UnguardedRunner) handleAnswer(from fleet.HostID, wire *wireConfirmation) error {
	answer, err := wire.confirmation()
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if wire.Holder != "" {
		d.authorityHolder = fleet.HostID(wire.Holder)
		return nil
	}
	d.authorityHolder = from
	d.ConfirmedMap.ApplyConfirmation(answer)
	return nil
}

func (d *UnguardedRunner) handleQuestion(from fleet.HostID, wire *wireConfirmQuestion) error {
	d.mu.Lock()
	answer, has := d.Assigner.Confirm(d.Timer.Now(), wire.question())
	holder := d.Assigner.Holder()
	d.mu.Unlock()
	var payload []byte
	var err error
	switch {
	case has:
		payload, err = encodeConfirmation(answer)
	case holder != "" && holder != d.Assigner.Host:
		payload, err = encodeHolder(holder)
	default:
		return nil
	}
	if err != nil {
		return err
	}
	d.messages.post(from, payload)
	return nil
}
