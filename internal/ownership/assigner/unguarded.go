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
	AuthorityTerm time.Duration
	// ConfirmationTerm is how long a router may use a confirmed map, counted from before it sent the request.
	ConfirmationTerm time.Duration
	// MaxClockDrift bounds the deviation of each clock's rate from true time; 0.01 means 1%.
	MaxClockDrift float64
	// RetryInterval is the interval between attempts to read or write the table.
	RetryInterval time.Duration
}

// DefaultUnguardedTiming returns the timing of the design page.
func DefaultUnguardedTiming() UnguardedTiming {
	return UnguardedTiming{AuthorityTerm: 30 * time.Second, ConfirmationTerm: time.Second, MaxClockDrift: 0.01, RetryInterval: 300 * time.Millisecond}
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
	acting             bool
	epoch              fleet.Epoch
	authorityUntil     time.Time
	fenceCounter       uint64
	servers            []Server
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
func (d *UnguardedAssigner) HasAuthority(now time.Time) bool {
	return d.acting && now.Before(d.authorityUntil)
}

// Holder returns the host that the group row names as holder. Routers send their confirmation requests to it.
func (d *UnguardedAssigner) Holder() fleet.HostID {
	return d.groupRow.content.Holder
}

// SetServers sets the servers that are live and not leaving.
func (d *UnguardedAssigner) SetServers(servers []Server) {
	if !slices.Equal(d.servers, servers) {
		d.servers, d.placementRequested = slices.Clone(servers), true
	}
}

// Tick advances the time. The caller calls it every few milliseconds.
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

// HandOver gives up the authority because this daemon is shutting down. The returned write lets another host take over
// without waiting for the authority to expire.
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

// authorityExpired reports whether the authority of the row's writer has ended. A writer that gave up its authority
// confirms nothing more, so that only its last confirmations must expire.
func (d *UnguardedAssigner) authorityExpired() bool {
	term := d.Timing.AuthorityTerm
	if d.groupRow.content.Holder == "" {
		term = d.Timing.ConfirmationTerm
	}
	return d.groupRow.version == 0 || d.now.Sub(d.groupRow.versionSince) > d.Timing.upperBound(term)
}

// updateGroupRow reads the group row, renews the authority once a tenth of its term has passed, and takes over when the
// authority of another host has ended.
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

// writeGroupRow writes the group row over the version last read.
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

// readGroupRowIfDue reads the group row unless a read is outstanding or was started within the retry interval.
func (d *UnguardedAssigner) readGroupRowIfDue() {
	if !d.groupRow.reading && (d.groupRow.lastReadAt.IsZero() || d.now.Sub(d.groupRow.lastReadAt) >= d.Timing.RetryInterval) {
		d.groupRow.reading, d.groupRow.lastReadAt = true, d.now
		d.emit(ReadRow{})
	}
}

// HandleRowReadFailure handles a failed read of the group row.
func (d *UnguardedAssigner) HandleRowReadFailure(now time.Time) []Action {
	d.now, d.groupRow.reading = now, false
	return d.takeActions()
}

// HandleRowRead handles the content of the group row. A token of this process in the row proves that its write took
// effect.
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

// extendAuthority extends the authority to one term after the given send time of a write that took effect, and starts an
// epoch if it is new.
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

// HandleRowWritten handles the result of the outstanding write of the group row. Unless the write failed, the row is
// read to learn its version and whether the write took effect.
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
