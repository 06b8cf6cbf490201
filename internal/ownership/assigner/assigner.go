package assigner

import (
	"fmt"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/ownership/lease"
)

// Timing holds the intervals and timeouts of the protocol.
type Timing struct {
	// OrderInterval is the interval between orders to the same server.
	OrderInterval time.Duration
	// LeaseTerm is the duration of a server's lease. It must be the same for all assigners of a group.
	LeaseDuration time.Duration
	// MaxClockDrift bounds the deviation of each clock's rate from true time; 0.01 means 1%.
	MaxClockDrift float64
	// DeputyTimeout is how long the deputy waits for a heartbeat before it takes over.
	DeputyTimeout time.Duration
	// WatcherTimeout is how long the first watcher waits for the holder and the deputy before it takes over. Each
	// further watcher waits half of it longer, so that they don't write the group row at the same time.
	WatcherTimeout time.Duration
	// ServerTimeout is how long a server may be silent before it gets no more grants.
	ServerTimeout time.Duration
	// StabilizationDelay is how long the set of live servers must be unchanged before partitions are placed or members
	// are changed.
	StabilizationDelay time.Duration
	// RetryInterval is the interval between attempts to read or write the table.
	RetryInterval time.Duration
}

// DefaultTiming returns the timing of the design page.
func DefaultTiming() Timing {
	return Timing{
		OrderInterval:      80 * time.Millisecond,
		LeaseDuration:      500 * time.Millisecond,
		MaxClockDrift:      0.01,
		DeputyTimeout:      200 * time.Millisecond,
		WatcherTimeout:     time.Second,
		ServerTimeout:      240 * time.Millisecond,
		StabilizationDelay: 100 * time.Millisecond,
		RetryInterval:      300 * time.Millisecond,
	}
}

// Assigner is the assigner of one service on one host, for a service whose servers check the orders that they receive.
// It is not safe for concurrent use: the caller holds one lock around every call. The times passed in come from the
// host's monotonic clock and never decrease.
type Assigner struct {
	// Host is the host on which this assigner runs. It is set before first use.
	Host fleet.HostID
	// InstanceID distinguishes this process from all other processes of the host. It is set before first use.
	InstanceID string
	// Service is the service of this group. It is set before first use.
	Service fleet.ServiceName
	// Partitions is the number of hash ranges. It is set before first use.
	Partitions int
	// Placer computes the desired placement of the partitions. It is set before first use.
	Placer Placer
	// Timing holds the intervals and timeouts. It is set before first use.
	Timing Timing
	// omit disables one rule of the protocol. It is set only in tests, which verify that the violation is detected.
	omit lease.Rule

	now     time.Time
	started bool
	actions []Action
	role    Role
	// highestSeenEpoch is the highest epoch known to be used by any assigner of the group.
	highestSeenEpoch fleet.Epoch
	// generation increases whenever this assigner starts or stops acting, so that reports from an earlier period are
	// ignored.
	generation uint64

	groupRow groupRowState
	peers    peerState
	tracker  lease.Tracker

	// epoch is the epoch in which this assigner acts or last acted.
	epoch        fleet.Epoch
	fenceCounter uint64
	servers      map[fleet.UpstreamID]*serverState
	// wantedEvidence is the highest stamp that some decision waits for ledger.Evidence to exceed. Servers whose last
	// order has no later stamp get their next order early.
	wantedMajorityTime lease.LogicalTime
	// evidence is the last value of ledger.Evidence, and evidenceAt is the time at which it last increased.
	lastMajorityTime        lease.LogicalTime
	majorityTimeIncreasedAt time.Time
	epochStartedAt          time.Time
	// majorityLostAt is the time at which it became known that so many members have restarted that no majority is
	// possible. It is zero while a majority is possible.
	majorityLostAt time.Time

	plan plan
}

// Role returns the current role.
func (a *Assigner) Role() Role {
	if a.role == "" {
		return RoleWatching
	}
	return a.role
}

// Epoch returns the epoch in which this assigner acts or last acted.
func (a *Assigner) Epoch() fleet.Epoch {
	return a.epoch
}

// Tick advances the time. The caller calls it every few milliseconds.
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

// beginCall sets the time of a call and initializes the state on the first one.
func (a *Assigner) beginCall(now time.Time) {
	a.now = now
	if a.started {
		return
	}
	a.started = true
	a.peers.holderHeardAt = now
	a.tracker.LeaseDuration, a.tracker.MaxClockDrift, a.tracker.Omit = a.Timing.LeaseDuration, a.Timing.MaxClockDrift, a.omit
	a.plan.pending = make(map[fleet.PartitionID]struct{})
	a.plan.unpublished = make(map[fleet.PartitionID]struct{})
	a.plan.rows = make(map[int]*placementRowState)
	if a.servers == nil {
		a.servers = make(map[fleet.UpstreamID]*serverState)
	}
}

// takeActions ends a call: it publishes the changes and returns the actions that the call emitted.
func (a *Assigner) takeActions() []Action {
	a.publishChanges()
	actions := a.actions
	a.actions = nil
	return actions
}

func (a *Assigner) emit(action Action) {
	a.actions = append(a.actions, action)
}

// changeRole sets the role and emits the change with its reason.
func (a *Assigner) changeRole(role Role, reason Reason) {
	if a.Role() == role && role != RoleActing {
		return
	}
	a.emit(ChangeRole{From: a.Role(), To: role, Epoch: a.epoch, Reason: reason})
	a.role = role
}

// observeEpoch records an epoch that is in use. An acting assigner steps down if the epoch is higher than its own (rule
// G6).
func (a *Assigner) observeEpoch(epoch fleet.Epoch) {
	a.highestSeenEpoch = max(a.highestSeenEpoch, epoch)
	if a.Role() != RoleActing || epoch <= a.epoch || a.omit == lease.RuleStepDown {
		return
	}
	a.recordFalseSuspicion()
	a.stepDown(ReasonHigherEpoch)
}

// stepDown stops acting and reads the group row, which names the new holder.
func (a *Assigner) stepDown(reason Reason) {
	a.peers.holderHeardAt = a.now
	a.generation++
	a.changeRole(RoleWatching, reason)
	a.readGroupRow()
}

// startEpoch starts to act in an epoch. It discards everything that was agreed with the servers in earlier epochs.
func (a *Assigner) startEpoch(epoch fleet.Epoch, reason Reason) {
	a.generation++
	a.epoch, a.fenceCounter = epoch, 0
	a.highestSeenEpoch = max(a.highestSeenEpoch, epoch)
	a.epochStartedAt, a.majorityTimeIncreasedAt = a.now, a.now
	a.wantedMajorityTime, a.lastMajorityTime = 0, 0
	a.majorityLostAt = time.Time{}
	a.tracker.Begin(a.groupRow.content.Members, a.groupRow.content.PreviousMembers)
	a.plan.rowsKnown = a.plan.rowsKnown && a.Role() != RoleWatching
	a.changeRole(RoleActing, reason)
	a.resetServers()
	a.initPartitions()
	a.plan.reset()
	a.tickActing()
}

// initPartitions creates the state of all hash ranges. It is not called on hosts that only watch.
func (a *Assigner) initPartitions() {
	if a.plan.partitions != nil {
		return
	}
	a.plan.partitions = make(map[fleet.PartitionID]*partitionState, a.Partitions)
	for p := range a.Partitions {
		a.plan.partitions[fleet.PartitionID(p)] = &partitionState{}
	}
}

// newWriteToken returns a token that is unique to one write of the group row.
func (a *Assigner) newWriteToken() string {
	a.groupRow.writeCount++
	return fmt.Sprintf("%s/%s/%d", a.Host, a.InstanceID, a.groupRow.writeCount)
}
