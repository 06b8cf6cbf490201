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
	highestSeenEpoch fleet.Epoch
	// run counts the epochs in which this assigner acted.
	generation uint64

	groupRow groupRowState
	peers    peerState
	ledger   lease.Ledger

	// epoch is the one in which this assigner acts or acted last.
	epoch        fleet.Epoch
	fenceCounter uint64
	servers      map[fleet.UpstreamID]*serverState
	// wanted is a stamp beyond which evidence is wanted soon.
	wantedEvidence lease.Stamp
	// evidence is the latest evidence and evidenceAt the time at which it advanced.
	evidence       lease.Stamp
	evidenceAt     time.Time
	epochStartedAt time.Time
	// endedAt is the time since which so many members are known to have ended that there can be no majority.
	majorityLostAt time.Time

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
	a.beginCall(now)
	switch a.Role() {
	case RoleWatching:
		a.tickWatching()
	case RoleDeputy:
		a.tickDeputy()
	case RoleActing:
		a.tickActing()
	}
	return a.takeActions()
}

// enter begins a call.
func (a *Assigner) beginCall(now time.Time) {
	a.now = now
	if a.started {
		return
	}
	a.started = true
	a.peers.holderHeardAt = now
	a.ledger.Term, a.ledger.Drift, a.ledger.Omit = a.Timing.LeaseTerm, a.Timing.MaxClockDrift, a.omit
	a.plan.pending = make(map[fleet.PartitionID]struct{})
	a.plan.unpublished = make(map[fleet.PartitionID]struct{})
	a.plan.rows = make(map[int]*placementRowState)
	if a.servers == nil {
		a.servers = make(map[fleet.UpstreamID]*serverState)
	}
}

// leave ends a call and returns the actions collected.
func (a *Assigner) takeActions() []Action {
	a.publishChanges()
	actions := a.actions
	a.actions = nil
	return actions
}

func (a *Assigner) emit(action Action) {
	a.actions = append(a.actions, action)
}

// changeRole changes the role and tells why.
func (a *Assigner) changeRole(role Role, reason Reason) {
	if a.Role() == role && role != RoleActing {
		return
	}
	a.emit(ChangeRole{From: a.Role(), To: role, Epoch: a.epoch, Reason: reason})
	a.role = role
}

// observe notes an epoch that is in use. An acting assigner that sees a higher one steps down, which is rule G6.
func (a *Assigner) observeEpoch(epoch fleet.Epoch) {
	a.highestSeenEpoch = max(a.highestSeenEpoch, epoch)
	if a.Role() != RoleActing || epoch <= a.epoch || a.omit == lease.RuleStepDown {
		return
	}
	a.recordFalseSuspicion()
	a.stepDown(ReasonHigherEpoch)
}

// stepDown ends the acting role.
func (a *Assigner) stepDown(reason Reason) {
	a.peers.holderHeardAt = a.now
	a.generation++
	a.changeRole(RoleWatching, reason)
	a.readGroupRow()
}

// begin starts to act in an epoch.
func (a *Assigner) startEpoch(epoch fleet.Epoch, reason Reason) {
	a.generation++
	a.epoch, a.fenceCounter = epoch, 0
	a.highestSeenEpoch = max(a.highestSeenEpoch, epoch)
	a.epochStartedAt, a.evidenceAt = a.now, a.now
	a.wantedEvidence, a.evidence = 0, 0
	a.majorityLostAt = time.Time{}
	a.ledger.Begin(a.groupRow.content.Members, a.groupRow.content.PreviousMembers)
	a.plan.rowsKnown = a.plan.rowsKnown && a.Role() != RoleWatching
	a.changeRole(RoleActing, reason)
	a.resetServers()
	a.initPartitions()
	a.plan.reset()
	a.tickActing()
}

// makeSlots makes the slots of all hash ranges. Hosts that only watch need none.
func (a *Assigner) initPartitions() {
	if a.plan.partitions != nil {
		return
	}
	a.plan.partitions = make(map[fleet.PartitionID]*partitionState, a.Partitions)
	for p := range a.Partitions {
		a.plan.partitions[fleet.PartitionID(p)] = &partitionState{}
	}
}

// newToken returns a token that no other write uses.
func (a *Assigner) newWriteToken() string {
	a.groupRow.writeCount++
	return fmt.Sprintf("%s/%s/%d", a.Host, a.InstanceID, a.groupRow.writeCount)
}
