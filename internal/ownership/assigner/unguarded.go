package assigner

import (
	"fmt"
	"slices"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// UnguardedTiming holds the intervals and terms of an UnguardedAssigner.
type UnguardedTiming struct {
	// AuthorityTerm is how long a write of the group row entitles its writer to act, counted from before the write was
	// sent.
	AuthorityDuration time.Duration
	// ConfirmationTerm is how long a router may use a confirmed map, counted from before it sent the request.
	ConfirmationDuration time.Duration
	// MaxClockDrift bounds the deviation of each clock's rate from true time; 0.01 means 1%.
	MaxClockDrift float64
	// RetryInterval is the interval between attempts to read or write the table.
	RetryInterval time.Duration
}

// DefaultUnguardedTiming returns the timing of the design page.
func DefaultUnguardedTiming() UnguardedTiming {
	return UnguardedTiming{
		AuthorityDuration: 30 * time.Second, ConfirmationDuration: time.Second,
		MaxClockDrift: 0.01, RetryInterval: 300 * time.Millisecond,
	}
}

// upperBound returns the time on the local clock after which duration has certainly passed on every other clock.
func (t UnguardedTiming) upperBound(duration time.Duration) time.Duration {
	return time.Duration(float64(duration)*(1+t.MaxClockDrift)/(1-t.MaxClockDrift)) + time.Microsecond
}

// lowerBound returns the time on any other clock during which duration has certainly not passed on the local clock.
func (t UnguardedTiming) lowerBound(duration time.Duration) time.Duration {
	return time.Duration(float64(duration) * (1 - t.MaxClockDrift) / (1 + t.MaxClockDrift))
}

// UnguardedAssigner is the assigner on one host for a service whose servers do not check orders (guard none). Instead of
// a lease at each server it has an authority from the table: a lease on the group row. Routers use only a map that the
// assigner has recently confirmed to them. Like Assigner it does no I/O and is not safe for concurrent use; it returns
// the same actions except orders and messages.
type UnguardedAssigner struct {
	// Host is the host on which this assigner runs. It is set before first use.
	Host fleet.HostID
	// InstanceID distinguishes this process from all other processes of the host. It is set before first use.
	InstanceID string
	// Partitions is the number of hash ranges. It is set before first use.
	Partitions int
	// Placer computes the desired placement of the partitions. It is set before first use.
	Placer Placer
	// Timing holds the intervals and terms. It is set before first use.
	Timing UnguardedTiming
	// Candidate is set while this host should take over if no host has the authority. A few candidates suffice.
	Candidate bool

	now      time.Time
	actions  []Action
	groupRow unguardedGroupRow
	// acting is set while this host has the authority, which ends at authorityUntil. The state of the epoch is kept
	// after that, because a late write of this host may still extend the authority if no other host has taken over.
	acting         bool
	epoch          fleet.Epoch
	authorityUntil time.Time
	fenceCounter   uint64
	servers        []Server
	// placementRequested is set when the servers or the epoch have changed since the last placement was computed.
	placementRequested bool
	partitions         []unguardedPartition
	placementRows      unguardedPlacementRows
}

// unguardedGroupRow is what an UnguardedAssigner knows about the group row.
type unguardedGroupRow struct {
	known   bool
	version Version
	content GroupRow
	// versionSince is the time at which the current version was first read. The authority of its writer ends at most one
	// term later.
	versionSince time.Time
	reading      bool
	lastReadAt   time.Time
	pendingWrite *WriteRow
	lastWriteAt  time.Time
	// sentAt holds, by token, a time before each write of this process was sent.
	sentAt     map[string]time.Time
	writeCount uint64
}

// unguardedPlacementRows is what an UnguardedAssigner knows about the placement rows and its reads and writes of them.
type unguardedPlacementRows struct {
	known        bool
	readPending  bool
	lastReadAt   time.Time
	writePending bool
	lastWriteAt  time.Time
	dirty        map[int]struct{}
	versions     map[int]Version
}

// unguardedPartition is the state of one partition.
type unguardedPartition struct {
	owner   fleet.UpstreamID
	standby fleet.UpstreamID
	target  fleet.UpstreamID
	fence   fleet.Fence
	// revokedAt is the time at which the partition was withdrawn from its owner; zero while its owner is confirmed to
	// routers.
	revokedAt time.Time
}

// HasAuthority reports whether this host may act.
func (u *UnguardedAssigner) HasAuthority(now time.Time) bool {
	return u.acting && now.Before(u.authorityUntil)
}

// Holder returns the host that the group row names as holder. Routers send their confirmation requests to it.
func (u *UnguardedAssigner) Holder() fleet.HostID {
	return u.groupRow.content.Holder
}

// SetServers sets the servers that are live and not leaving.
func (u *UnguardedAssigner) SetServers(servers []Server) {
	if !slices.Equal(u.servers, servers) {
		u.servers, u.placementRequested = slices.Clone(servers), true
	}
}

// Tick advances the time. The caller calls it every few milliseconds.
func (u *UnguardedAssigner) Tick(now time.Time) []Action {
	u.now = now
	if u.acting && !now.Before(u.authorityUntil) {
		u.endAuthority(ReasonAuthorityEnded)
	}
	u.updateGroupRow()
	if u.acting {
		u.updatePartitions()
		u.syncPlacementRows()
	}
	return u.takeActions()
}

func (u *UnguardedAssigner) emit(action Action) {
	u.actions = append(u.actions, action)
}

func (u *UnguardedAssigner) takeActions() []Action {
	actions := u.actions
	u.actions = nil
	return actions
}

// endAuthority stops acting but keeps the state of the epoch.
func (u *UnguardedAssigner) endAuthority(reason Reason) {
	u.emit(ChangeRole{From: RoleActing, To: RoleWatching, Epoch: u.epoch, Reason: reason})
	u.acting = false
}

// HandOver gives up the authority because this daemon is shutting down. The returned write lets another host take over
// without waiting for the authority to expire.
func (u *UnguardedAssigner) HandOver(now time.Time) []Action {
	u.now = now
	if u.acting {
		u.endAuthority(ReasonStopping)
		next := u.groupRow.content
		next.Holder = ""
		u.writeGroupRow(next)
	}
	return u.takeActions()
}

// authorityExpired reports whether the authority of the row's writer has ended. A writer that gave up its authority
// confirms nothing more, so that only its last confirmations must expire.
func (u *UnguardedAssigner) authorityExpired() bool {
	term := u.Timing.AuthorityDuration
	if u.groupRow.content.Holder == "" {
		term = u.Timing.ConfirmationDuration
	}
	return u.groupRow.version == 0 || u.now.Sub(u.groupRow.versionSince) > u.Timing.upperBound(term)
}

// updateGroupRow reads the group row, renews the authority once a tenth of its term has passed, and takes over when the
// authority of another host has ended.
func (u *UnguardedAssigner) updateGroupRow() {
	if u.groupRow.pendingWrite != nil || u.now.Sub(u.groupRow.lastWriteAt) < u.Timing.RetryInterval {
		return
	}
	next := u.groupRow.content
	next.Holder = u.Host
	switch {
	case u.acting && u.authorityUntil.Sub(u.now) < u.Timing.AuthorityDuration*9/10:
		u.writeGroupRow(next)
	case !u.groupRow.known || (!u.acting && u.Candidate):
		u.readGroupRowIfDue()
		if u.groupRow.known && u.authorityExpired() {
			next.Epoch++
			u.writeGroupRow(next)
		}
	}
}

// writeGroupRow writes the group row over the version last read.
func (u *UnguardedAssigner) writeGroupRow(next GroupRow) {
	u.groupRow.writeCount++
	next.Token = fmt.Sprintf("%s/%s/%d", u.Host, u.InstanceID, u.groupRow.writeCount)
	if u.groupRow.sentAt == nil {
		u.groupRow.sentAt = make(map[string]time.Time)
	}
	if next.Holder == u.Host {
		u.groupRow.sentAt[next.Token] = u.now
	}
	u.groupRow.pendingWrite, u.groupRow.lastWriteAt = &WriteRow{Expected: u.groupRow.version, Row: next}, u.now
	u.emit(*u.groupRow.pendingWrite)
}

// readGroupRowIfDue reads the group row unless a read is outstanding or was started within the retry interval.
func (u *UnguardedAssigner) readGroupRowIfDue() {
	if !u.groupRow.reading && (u.groupRow.lastReadAt.IsZero() || u.now.Sub(u.groupRow.lastReadAt) >= u.Timing.RetryInterval) {
		u.groupRow.reading, u.groupRow.lastReadAt = true, u.now
		u.emit(ReadRow{})
	}
}

// HandleRowReadFailure handles a failed read of the group row.
func (u *UnguardedAssigner) HandleRowReadFailure(now time.Time) []Action {
	u.now, u.groupRow.reading = now, false
	return u.takeActions()
}

// HandleRowRead handles the content of the group row. A token of this process in the row proves that its write took
// effect.
func (u *UnguardedAssigner) HandleRowRead(now time.Time, version Version, content GroupRow) []Action {
	u.now, u.groupRow.reading = now, false
	if u.groupRow.known && version < u.groupRow.version {
		return u.takeActions()
	}
	if !u.groupRow.known || version != u.groupRow.version {
		u.groupRow.versionSince = now
	}
	u.groupRow.known, u.groupRow.version, u.groupRow.content = true, version, content
	if sent, own := u.groupRow.sentAt[content.Token]; own {
		u.extendAuthority(content.Epoch, sent)
	} else if u.acting && content.Epoch > u.epoch {
		u.endAuthority(ReasonHigherEpoch)
	}
	return u.takeActions()
}

// extendAuthority extends the authority to one term after the given send time of a write that took effect, and starts an
// epoch if it is new.
func (u *UnguardedAssigner) extendAuthority(epoch fleet.Epoch, sent time.Time) {
	until := sent.Add(u.Timing.AuthorityDuration)
	if !u.now.Before(until) {
		return
	}
	if u.epoch != epoch {
		u.epoch, u.fenceCounter, u.authorityUntil = epoch, 0, time.Time{}
		u.placementRows = unguardedPlacementRows{dirty: make(map[int]struct{}), versions: make(map[int]Version)}
		u.partitions = make([]unguardedPartition, u.Partitions)
		u.placementRequested = true
	}
	if !u.acting {
		u.acting = true
		u.emit(ChangeRole{From: RoleWatching, To: RoleActing, Epoch: epoch, Reason: ReasonRowWritten})
	}
	if until.After(u.authorityUntil) {
		u.authorityUntil = until
	}
}

// HandleRowWritten handles the result of the outstanding write of the group row. Unless the write failed, the row is
// read to learn its version and whether the write took effect.
func (u *UnguardedAssigner) HandleRowWritten(now time.Time, result WriteResult) []Action {
	u.now = now
	write := u.groupRow.pendingWrite
	u.groupRow.pendingWrite = nil
	if write == nil || result == WriteFailed {
		return u.takeActions()
	}
	u.groupRow.lastReadAt = time.Time{}
	u.readGroupRowIfDue()
	return u.takeActions()
}
