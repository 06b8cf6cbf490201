package assigner

import (
	"fmt"
	"slices"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// DirectTiming contains the durations for a service whose servers check no orders.
type UnguardedTiming struct {
	// Authority is how long a write of the group row entitles its writer to act, counted from before it was sent.
	AuthorityTerm time.Duration
	// Confirmation is how long a router may use a confirmed map, counted from before it asked.
	ConfirmationTerm time.Duration
	// Drift bounds the deviation of each clock's rate; 0.01 stands for 1%.
	MaxClockDrift float64
	// Retry is the interval between attempts to use the table.
	RetryInterval time.Duration
}

// DefaultDirectTiming returns the durations of the design page.
func DefaultUnguardedTiming() UnguardedTiming {
	return UnguardedTiming{AuthorityTerm: 30 * time.Second, ConfirmationTerm: time.Second, MaxClockDrift: 0.01, RetryInterval: 300 * time.Millisecond}
}

// bound returns how long one must wait on an own clock to be sure that a duration has passed on any other.
func (t UnguardedTiming) upperBound(duration time.Duration) time.Duration {
	return time.Duration(float64(duration)*(1+t.MaxClockDrift)/(1-t.MaxClockDrift)) + time.Microsecond
}

// within returns how long another clock may run so that a duration on the own clock has not passed.
func (t UnguardedTiming) lowerBound(duration time.Duration) time.Duration {
	return time.Duration(float64(duration) * (1 - t.MaxClockDrift) / (1 + t.MaxClockDrift))
}

// Direct is the assigner on one host for a service whose servers check no orders (guard none). Its authority is a lease
// in the table, and its routers use only a map that it has confirmed to them a moment ago. Like Assigner it is a pure
// decision under its user's lock, and returns the same actions but orders.
type UnguardedAssigner struct {
	// Host is the host on which this assigner runs. It is set before first use.
	Host fleet.HostID
	// Run distinguishes this process from all others of the host. It is set before first use.
	InstanceID string
	// Partitions is the number of hash ranges. It is set before first use.
	Partitions int
	// Placer decides where partitions should be. It is set before first use.
	Placer Placer
	// Timing contains the durations. It is set before first use.
	Timing UnguardedTiming
	// Candidate is set while this host should take over when nobody has authority. Only a few hosts need to.
	Candidate bool

	now      time.Time
	actions  []Action
	groupRow unguardedGroupRow
	// acting is set while this host has authority, which ends at until. The state of the epoch is kept after that, since
	// a late write of this host may extend the authority while nobody else has taken over.
	acting             bool
	epoch              fleet.Epoch
	authorityUntil     time.Time
	fenceCounter       uint64
	servers            []Server
	placementRequested bool
	partitions         []unguardedPartition
	placementRows      unguardedPlacementRows
}

// directRow is what is known about the group row.
type unguardedGroupRow struct {
	known   bool
	version Version
	content GroupRow
	// since is the time at which the present version was first read, after which its writer's authority runs at most
	// once more.
	versionSince time.Time
	reading      bool
	lastReadAt   time.Time
	pendingWrite *WriteRow
	lastWriteAt  time.Time
	// sent contains the times before which the writes of this process were sent, by their tokens.
	sentAt     map[string]time.Time
	writeCount uint64
}

// directStore is the state of reading and writing placement rows.
type unguardedPlacementRows struct {
	known        bool
	readPending  bool
	lastReadAt   time.Time
	writePending bool
	lastWriteAt  time.Time
	dirty        map[int]struct{}
	versions     map[int]Version
}

// directSlot is one partition.
type unguardedPartition struct {
	owner   fleet.UpstreamID
	standby fleet.UpstreamID
	target  fleet.UpstreamID
	fence   fleet.Fence
	// revoked is the time since which the partition has not been confirmed; zero while it has an owner.
	revokedAt time.Time
}

// Acts reports whether this host has authority.
func (d *UnguardedAssigner) HasAuthority(now time.Time) bool {
	return d.acting && now.Before(d.authorityUntil)
}

// Holder returns the host that the group row names, so that routers know whom to ask.
func (d *UnguardedAssigner) Holder() fleet.HostID {
	return d.groupRow.content.Holder
}

// SetServers tells which servers are alive and do not leave.
func (d *UnguardedAssigner) SetServers(servers []Server) {
	if !slices.Equal(d.servers, servers) {
		d.servers, d.placementRequested = slices.Clone(servers), true
	}
}

// Tick lets time pass. It is called every few milliseconds.
func (d *UnguardedAssigner) Tick(now time.Time) []Action {
	d.now = now
	if d.acting && !now.Before(d.authorityUntil) {
		d.endAuthority(ReasonAuthorityEnded)
	}
	d.updateGroupRow()
	if d.acting {
		d.updatePartitions()
		d.syncPlacementRows()
	}
	return d.takeActions()
}

func (d *UnguardedAssigner) emit(action Action) {
	d.actions = append(d.actions, action)
}

func (d *UnguardedAssigner) takeActions() []Action {
	actions := d.actions
	d.actions = nil
	return actions
}

func (d *UnguardedAssigner) endAuthority(reason Reason) {
	d.emit(ChangeRole{From: RoleActing, To: RoleWatching, Epoch: d.epoch, Reason: reason})
	d.acting = false
}

// HandOver gives up the authority because this daemon is about to stop. Its user carries out the write that is returned;
// without it the others wait for the end of the authority.
func (d *UnguardedAssigner) HandOver(now time.Time) []Action {
	d.now = now
	if d.acting {
		d.endAuthority(ReasonStopping)
		next := d.groupRow.content
		next.Holder = ""
		d.writeGroupRow(next)
	}
	return d.takeActions()
}

// vacant reports whether the authority of the row's writer has ended. A writer that gave it up confirms nothing more, and
// only its last confirmations have to be waited for.
func (d *UnguardedAssigner) authorityExpired() bool {
	term := d.Timing.AuthorityTerm
	if d.groupRow.content.Holder == "" {
		term = d.Timing.ConfirmationTerm
	}
	return d.groupRow.version == 0 || d.now.Sub(d.groupRow.versionSince) > d.Timing.upperBound(term)
}

// tickRow reads the row, renews the authority when a tenth of it has passed, and takes over when another's has ended.
func (d *UnguardedAssigner) updateGroupRow() {
	if d.groupRow.pendingWrite != nil || d.now.Sub(d.groupRow.lastWriteAt) < d.Timing.RetryInterval {
		return
	}
	next := d.groupRow.content
	next.Holder = d.Host
	switch {
	case d.acting && d.authorityUntil.Sub(d.now) < d.Timing.AuthorityTerm*9/10:
		d.writeGroupRow(next)
	case !d.groupRow.known || (!d.acting && d.Candidate):
		d.readGroupRowIfDue()
		if d.groupRow.known && d.authorityExpired() {
			next.Epoch++
			d.writeGroupRow(next)
		}
	}
}

// write writes the group row over the version last read.
func (d *UnguardedAssigner) writeGroupRow(next GroupRow) {
	d.groupRow.writeCount++
	next.Token = fmt.Sprintf("%s/%s/%d", d.Host, d.InstanceID, d.groupRow.writeCount)
	if d.groupRow.sentAt == nil {
		d.groupRow.sentAt = make(map[string]time.Time)
	}
	if next.Holder == d.Host {
		d.groupRow.sentAt[next.Token] = d.now
	}
	d.groupRow.pendingWrite, d.groupRow.lastWriteAt = &WriteRow{Expected: d.groupRow.version, Row: next}, d.now
	d.emit(*d.groupRow.pendingWrite)
}

// readRow reads the row unless that was tried a moment ago.
func (d *UnguardedAssigner) readGroupRowIfDue() {
	if !d.groupRow.reading && (d.groupRow.lastReadAt.IsZero() || d.now.Sub(d.groupRow.lastReadAt) >= d.Timing.RetryInterval) {
		d.groupRow.reading, d.groupRow.lastReadAt = true, d.now
		d.emit(ReadRow{})
	}
}

// RowUnread tells that the group row could not be read.
func (d *UnguardedAssigner) HandleRowReadFailure(now time.Time) []Action {
	d.now, d.groupRow.reading = now, false
	return d.takeActions()
}

// RowRead tells what the group row contained. A token of this process proves that its write took effect.
func (d *UnguardedAssigner) HandleRowRead(now time.Time, version Version, content GroupRow) []Action {
	d.now, d.groupRow.reading = now, false
	if d.groupRow.known && version < d.groupRow.version {
		return d.takeActions()
	}
	if !d.groupRow.known || version != d.groupRow.version {
		d.groupRow.versionSince = now
	}
	d.groupRow.known, d.groupRow.version, d.groupRow.content = true, version, content
	if sent, own := d.groupRow.sentAt[content.Token]; own {
		d.extendAuthority(content.Epoch, sent)
	} else if d.acting && content.Epoch > d.epoch {
		d.endAuthority(ReasonHigherEpoch)
	}
	return d.takeActions()
}

// authorize extends the authority to that of a write which was sent at the given time.
func (d *UnguardedAssigner) extendAuthority(epoch fleet.Epoch, sent time.Time) {
	until := sent.Add(d.Timing.AuthorityTerm)
	if !d.now.Before(until) {
		return
	}
	if d.epoch != epoch {
		d.epoch, d.fenceCounter, d.authorityUntil = epoch, 0, time.Time{}
		d.placementRows = unguardedPlacementRows{dirty: make(map[int]struct{}), versions: make(map[int]Version)}
		d.partitions = make([]unguardedPartition, d.Partitions)
		d.placementRequested = true
	}
	if !d.acting {
		d.acting = true
		d.emit(ChangeRole{From: RoleWatching, To: RoleActing, Epoch: epoch, Reason: ReasonRowWritten})
	}
	if until.After(d.authorityUntil) {
		d.authorityUntil = until
	}
}

// RowWritten tells how the outstanding write of the group row ended. The row is read in any case but a failure, to learn
// its version and whether the write took effect.
func (d *UnguardedAssigner) HandleRowWritten(now time.Time, result WriteResult) []Action {
	d.now = now
	write := d.groupRow.pendingWrite
	d.groupRow.pendingWrite = nil
	if write == nil || result == WriteFailed {
		return d.takeActions()
	}
	d.groupRow.lastReadAt = time.Time{}
	d.readGroupRowIfDue()
	return d.takeActions()
}
