package assigner

import (
	"fmt"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/ownership/lease"
)

// Timing contains the durations of the protocol.
type Timing struct {
	// Round is the interval of orders to each server.
	OrderInterval time.Duration
	// Term is the duration of a lease. All assigners of a group must use the same.
	LeaseTerm time.Duration
	// Drift bounds the deviation of each clock's rate; 0.01 stands for 1%.
	MaxClockDrift float64
	// DeputyTimeout is how long the deputy waits for the holder.
	DeputyTimeout time.Duration
	// WatcherTimeout is how long the first watcher waits for holder and deputy; each further one waits half as long
	// again, so that they do not write at the same time.
	WatcherTimeout time.Duration
	// ServerSilence is how long a server may be silent before partitions are no longer granted to it.
	ServerTimeout time.Duration
	// Settle is how long the set of live servers must stay the same before partitions are placed or members changed.
	StabilizationDelay time.Duration
	// Retry is the interval between attempts to use the table.
	RetryInterval time.Duration
}

// DefaultTiming returns the durations of the design page.
func DefaultTiming() Timing {
	return Timing{
		OrderInterval:      80 * time.Millisecond,
		LeaseTerm:          500 * time.Millisecond,
		MaxClockDrift:      0.01,
		DeputyTimeout:      200 * time.Millisecond,
		WatcherTimeout:     time.Second,
		ServerTimeout:      240 * time.Millisecond,
		StabilizationDelay: 100 * time.Millisecond,
		RetryInterval:      300 * time.Millisecond,
	}
}

// Assigner is the state of one host for the group of one service. It is not safe for concurrent use; its user holds one
// lock around every call. The times passed in are of the host's monotonic clock and never go back.
type Assigner struct {
	// Host is the host on which this assigner runs. It is set before first use.
	Host fleet.HostID
	// Run distinguishes this process from all others of the host. It is set before first use.
	InstanceID string
	// Service is the service of the group. It is set before first use.
	Service fleet.ServiceName
	// Partitions is the number of hash ranges. It is set before first use.
	Partitions int
	// Placer decides where partitions should be. It is set before first use.
	Placer Placer
	// Timing contains the durations. It is set before first use.
	Timing Timing
	// omit is empty but in tests, which show that the omission of a rule is noticed.
	omit lease.Rule

	now     time.Time
	started bool
	actions []Action
	role    Role
	// seen is the highest epoch known to be in use by anyone.
	seen fleet.Epoch
	// run counts the epochs in which this assigner acted.
	run uint64

	row    rowState
	watch  watchState
	ledger lease.Tracker

	// epoch is the one in which this assigner acts or acted last.
	epoch   fleet.Epoch
	counter uint64
	servers map[fleet.UpstreamID]*server
	// wanted is a stamp beyond which evidence is wanted soon.
	wanted lease.LogicalTime
	// evidence is the latest evidence and evidenceAt the time at which it advanced.
	evidence   lease.LogicalTime
	evidenceAt time.Time
	beganAt    time.Time
	// endedAt is the time since which so many members are known to have ended that there can be no majority.
	endedAt time.Time

	plan plan
}

// Role returns the present role.
func (a *Assigner) Role() Role {
	if a.role == "" {
		return RoleWatching
	}
	return a.role
}

// Epoch returns the epoch in which this assigner acts or acted last.
func (a *Assigner) Epoch() fleet.Epoch {
	return a.epoch
}

// Tick lets time pass. It is called every few milliseconds.
func (a *Assigner) Tick(now time.Time) []Action {
	a.enter(now)
	switch a.Role() {
	case RoleWatching:
		a.tickWatching()
	case RoleDeputy:
		a.tickDeputy()
	case RoleActing:
		a.tickActing()
	}
	return a.leave()
}

// enter begins a call.
func (a *Assigner) enter(now time.Time) {
	a.now = now
	if a.started {
		return
	}
	a.started = true
	a.watch.heard = now
	a.ledger.Term, a.ledger.Drift, a.ledger.Omit = a.Timing.LeaseTerm, a.Timing.MaxClockDrift, a.omit
	a.plan.pending = make(map[fleet.PartitionID]struct{})
	a.plan.changed = make(map[fleet.PartitionID]struct{})
	a.plan.placed = make(map[int]*placementRow)
	if a.servers == nil {
		a.servers = make(map[fleet.UpstreamID]*server)
	}
}

// leave ends a call and returns the actions collected.
func (a *Assigner) leave() []Action {
	a.publish()
	actions := a.actions
	a.actions = nil
	return actions
}

func (a *Assigner) do(action Action) {
	a.actions = append(a.actions, action)
}

// changeRole changes the role and tells why.
func (a *Assigner) changeRole(role Role, reason Reason) {
	if a.Role() == role && role != RoleActing {
		return
	}
	a.do(ChangeRole{From: a.Role(), To: role, Epoch: a.epoch, Reason: reason})
	a.role = role
}

// observe notes an epoch that is in use. An acting assigner that sees a higher one steps down, which is rule G6.
func (a *Assigner) observe(epoch fleet.Epoch) {
	a.seen = max(a.seen, epoch)
	if a.Role() != RoleActing || epoch <= a.epoch || a.omit == lease.RuleStepDown {
		return
	}
	a.suspectedWrongly()
	a.stepDown(ReasonHigherEpoch)
}

// stepDown ends the acting role.
func (a *Assigner) stepDown(reason Reason) {
	a.watch.heard = a.now
	a.run++
	a.changeRole(RoleWatching, reason)
	a.readRow()
}

// begin starts to act in an epoch.
func (a *Assigner) begin(epoch fleet.Epoch, reason Reason) {
	a.run++
	a.epoch, a.counter = epoch, 0
	a.seen = max(a.seen, epoch)
	a.beganAt, a.evidenceAt = a.now, a.now
	a.wanted, a.evidence = 0, 0
	a.endedAt = time.Time{}
	a.ledger.Begin(a.row.content.Members, a.row.content.PreviousMembers)
	a.plan.known = a.plan.known && a.Role() != RoleWatching
	a.changeRole(RoleActing, reason)
	a.resetServers()
	a.makeSlots()
	a.plan.reset()
	a.tickActing()
}

// makeSlots makes the slots of all hash ranges. Hosts that only watch need none.
func (a *Assigner) makeSlots() {
	if a.plan.slots != nil {
		return
	}
	a.plan.slots = make(map[fleet.PartitionID]*slot, a.Partitions)
	for p := range a.Partitions {
		a.plan.slots[fleet.PartitionID(p)] = &slot{}
	}
}

// newToken returns a token that no other write uses.
func (a *Assigner) newToken() string {
	a.row.writes++
	return fmt.Sprintf("%s/%s/%d", a.Host, a.InstanceID, a.row.writes)
}
