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
func (t UnguardedTiming) bound(duration time.Duration) time.Duration {
	return time.Duration(float64(duration)*(1+t.MaxClockDrift)/(1-t.MaxClockDrift)) + time.Microsecond
}

// within returns how long another clock may run so that a duration on the own clock has not passed.
func (t UnguardedTiming) within(duration time.Duration) time.Duration {
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

	now     time.Time
	actions []Action
	row     directRow
	// acting is set while this host has authority, which ends at until. The state of the epoch is kept after that, since
	// a late write of this host may extend the authority while nobody else has taken over.
	acting  bool
	epoch   fleet.Epoch
	until   time.Time
	counter uint64
	servers []Server
	replace bool
	slots   []directSlot
	store   directStore
}

// directRow is what is known about the group row.
type directRow struct {
	known   bool
	version Version
	content GroupRow
	// since is the time at which the present version was first read, after which its writer's authority runs at most
	// once more.
	since   time.Time
	reading bool
	readAt  time.Time
	writing *WriteRow
	writeAt time.Time
	// sent contains the times before which the writes of this process were sent, by their tokens.
	sent   map[string]time.Time
	writes uint64
}

// directStore is the state of reading and writing placement rows.
type directStore struct {
	known    bool
	reading  bool
	readAt   time.Time
	writing  bool
	writeAt  time.Time
	dirty    map[int]struct{}
	versions map[int]Version
}

// directSlot is one partition.
type directSlot struct {
	owner   fleet.UpstreamID
	standby fleet.UpstreamID
	target  fleet.UpstreamID
	fence   fleet.Fence
	// revoked is the time since which the partition has not been confirmed; zero while it has an owner.
	revoked time.Time
}

// Acts reports whether this host has authority.
func (d *UnguardedAssigner) HasAuthority(now time.Time) bool {
	return d.acting && now.Before(d.until)
}

// Holder returns the host that the group row names, so that routers know whom to ask.
func (d *UnguardedAssigner) Holder() fleet.HostID {
	return d.row.content.Holder
}

// SetServers tells which servers are alive and do not leave.
func (d *UnguardedAssigner) SetServers(servers []Server) {
	if !slices.Equal(d.servers, servers) {
		d.servers, d.replace = slices.Clone(servers), true
	}
}

// Tick lets time pass. It is called every few milliseconds.
func (d *UnguardedAssigner) Tick(now time.Time) []Action {
	d.now = now
	if d.acting && !now.Before(d.until) {
		d.stop(ReasonAuthorityEnded)
	}
	d.tickRow()
	if d.acting {
		d.tickSlots()
		d.tickStore()
	}
	return d.leave()
}

func (d *UnguardedAssigner) do(action Action) {
	d.actions = append(d.actions, action)
}

func (d *UnguardedAssigner) leave() []Action {
	actions := d.actions
	d.actions = nil
	return actions
}

func (d *UnguardedAssigner) stop(reason Reason) {
	d.do(ChangeRole{From: RoleActing, To: RoleWatching, Epoch: d.epoch, Reason: reason})
	d.acting = false
}

// HandOver gives up the authority because this daemon is about to stop. Its user carries out the write that is returned;
// without it the others wait for the end of the authority.
func (d *UnguardedAssigner) HandOver(now time.Time) []Action {
	d.now = now
	if d.acting {
		d.stop(ReasonStopping)
		next := d.row.content
		next.Holder = ""
		d.write(next)
	}
	return d.leave()
}

// vacant reports whether the authority of the row's writer has ended. A writer that gave it up confirms nothing more, and
// only its last confirmations have to be waited for.
func (d *UnguardedAssigner) vacant() bool {
	term := d.Timing.AuthorityTerm
	if d.row.content.Holder == "" {
		term = d.Timing.ConfirmationTerm
	}
	return d.row.version == 0 || d.now.Sub(d.row.since) > d.Timing.bound(term)
}

// tickRow reads the row, renews the authority when a tenth of it has passed, and takes over when another's has ended.
func (d *UnguardedAssigner) tickRow() {
	if d.row.writing != nil || d.now.Sub(d.row.writeAt) < d.Timing.RetryInterval {
		return
	}
	next := d.row.content
	next.Holder = d.Host
	switch {
	case d.acting && d.until.Sub(d.now) < d.Timing.AuthorityTerm*9/10:
		d.write(next)
	case !d.row.known || (!d.acting && d.Candidate):
		d.readRow()
		if d.row.known && d.vacant() {
			next.Epoch++
			d.write(next)
		}
	}
}

// write writes the group row over the version last read.
func (d *UnguardedAssigner) write(next GroupRow) {
	d.row.writes++
	next.Token = fmt.Sprintf("%s/%s/%d", d.Host, d.InstanceID, d.row.writes)
	if d.row.sent == nil {
		d.row.sent = make(map[string]time.Time)
	}
	if next.Holder == d.Host {
		d.row.sent[next.Token] = d.now
	}
	d.row.writing, d.row.writeAt = &WriteRow{Expected: d.row.version, Row: next}, d.now
	d.do(*d.row.writing)
}

// readRow reads the row unless that was tried a moment ago.
func (d *UnguardedAssigner) readRow() {
	if !d.row.reading && (d.row.readAt.IsZero() || d.now.Sub(d.row.readAt) >= d.Timing.RetryInterval) {
		d.row.reading, d.row.readAt = true, d.now
		d.do(ReadRow{})
	}
}

// RowUnread tells that the group row could not be read.
func (d *UnguardedAssigner) RowUnread(now time.Time) []Action {
	d.now, d.row.reading = now, false
	return d.leave()
}

// RowRead tells what the group row contained. A token of this process proves that its write took effect.
func (d *UnguardedAssigner) RowRead(now time.Time, version Version, content GroupRow) []Action {
	d.now, d.row.reading = now, false
	if d.row.known && version < d.row.version {
		return d.leave()
	}
	if !d.row.known || version != d.row.version {
		d.row.since = now
	}
	d.row.known, d.row.version, d.row.content = true, version, content
	if sent, own := d.row.sent[content.Token]; own {
		d.authorize(content.Epoch, sent)
	} else if d.acting && content.Epoch > d.epoch {
		d.stop(ReasonHigherEpoch)
	}
	return d.leave()
}

// authorize extends the authority to that of a write which was sent at the given time.
func (d *UnguardedAssigner) authorize(epoch fleet.Epoch, sent time.Time) {
	until := sent.Add(d.Timing.AuthorityTerm)
	if !d.now.Before(until) {
		return
	}
	if d.epoch != epoch {
		d.epoch, d.counter, d.until = epoch, 0, time.Time{}
		d.store = directStore{dirty: make(map[int]struct{}), versions: make(map[int]Version)}
		d.slots = make([]directSlot, d.Partitions)
		d.replace = true
	}
	if !d.acting {
		d.acting = true
		d.do(ChangeRole{From: RoleWatching, To: RoleActing, Epoch: epoch, Reason: ReasonRowWritten})
	}
	if until.After(d.until) {
		d.until = until
	}
}

// RowWritten tells how the outstanding write of the group row ended. The row is read in any case but a failure, to learn
// its version and whether the write took effect.
func (d *UnguardedAssigner) RowWritten(now time.Time, result WriteResult) []Action {
	d.now = now
	write := d.row.writing
	d.row.writing = nil
	if write == nil || result == WriteFailed {
		return d.leave()
	}
	d.row.readAt = time.Time{}
	d.readRow()
	return d.leave()
}
