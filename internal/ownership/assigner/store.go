package assigner

import (
	"slices"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/ownership/lease"
)

// rowState is what a host knows about the group row.
type rowState struct {
	// known is set once the row was read; version is zero while it does not exist.
	known   bool
	version Version
	content GroupRow
	// first is the version of the row when this process first read it.
	first Version
	// fresh is set by a read and cleared by the decision made on it.
	fresh bool
	// stale is set when the row was written and its new version has not been read.
	stale bool
	// reading is set while a read is outstanding; readAt is the time of the last one, readDue asks for another.
	reading bool
	readDue bool
	readAt  time.Time
	// writing is the outstanding write, or nil; writeAt is the time of the last one.
	writing *WriteRow
	writeAt time.Time
	// tokens are those of this process's writes; one of them in the row proves that the write took effect.
	tokens map[string]struct{}
	writes uint64
}

// readRow reads the row as soon as no other read is outstanding.
func (a *Assigner) readRow() {
	if a.row.reading {
		a.row.readDue = true
		return
	}
	a.row.reading, a.row.readDue, a.row.readAt = true, false, a.now
	a.do(ReadRow{})
}

// readRowIfDue reads the row unless that was tried a moment ago.
func (a *Assigner) readRowIfDue() {
	if !a.row.reading && (a.row.readAt.IsZero() || a.now.Sub(a.row.readAt) >= a.Timing.RetryInterval) {
		a.readRow()
	}
}

// RowUnread tells that the group row could not be read.
func (a *Assigner) RowUnread(now time.Time) []Action {
	a.enter(now)
	a.row.reading = false
	return a.leave()
}

// RowRead tells what the group row contained. A version of zero means that there is no row.
func (a *Assigner) RowRead(now time.Time, version Version, content GroupRow) []Action {
	a.enter(now)
	a.row.reading = false
	first := !a.row.known
	changed := version > a.row.version
	if first {
		a.row.known, a.row.first = true, version
	}
	if first || version >= a.row.version {
		a.row.version = version
		a.replaceRow(content)
		a.row.fresh, a.row.stale = true, false
		a.rowChanged(changed)
	}
	if a.row.readDue {
		a.readRow()
	}
	return a.leave()
}

// rowChanged draws the conclusions from a row that was read.
func (a *Assigner) rowChanged(changed bool) {
	content := a.row.content
	_, own := a.row.tokens[content.Token]
	if own && content.Epoch > a.epoch && content.Epoch >= a.seen {
		a.begin(content.Epoch, ReasonRowWritten)
		return
	}
	a.observe(content.Epoch)
	if a.Role() == RoleActing || !changed {
		return
	}
	a.watch.heard = a.now // The one who wrote it gets time to be heard.
	if a.mayUseReserve() {
		a.changeRole(RoleDeputy, ReasonNamedDeputy)
		a.readPlacement()
	} else {
		a.changeRole(RoleWatching, ReasonNotDeputy)
	}
}

// writeRow writes the group row over the version last read.
func (a *Assigner) writeRow(content GroupRow) {
	content.Token = a.newToken()
	if a.row.tokens == nil {
		a.row.tokens = make(map[string]struct{})
	}
	a.row.tokens[content.Token] = struct{}{}
	write := WriteRow{Expected: a.row.version, Row: content}
	a.row.writing, a.row.writeAt = &write, a.now
	a.do(write)
}

// RowWritten tells how the outstanding write of the group row ended. Unless nothing was written, the row is read to
// learn its new version, or, by its token, whether the write took effect, which is rule G5.
func (a *Assigner) RowWritten(now time.Time, result WriteResult) []Action {
	a.enter(now)
	write := a.row.writing
	a.row.writing = nil
	if write == nil || result == WriteFailed {
		return a.leave()
	}
	a.row.stale = true
	a.readRow()
	done := result == WriteDone || (result == WriteUnknown && a.omit == lease.RuleUnknownWrite)
	// If the row was read since, the answer is late and another write may have followed this one.
	if done && a.row.version == write.Expected {
		a.adopt(write.Row)
	}
	return a.leave()
}

// adopt acts on a row that this host has written.
func (a *Assigner) adopt(content GroupRow) {
	a.replaceRow(content)
	switch {
	case content.Epoch > a.epoch && content.Epoch >= a.seen:
		a.begin(content.Epoch, ReasonRowWritten)
	default:
		a.observe(content.Epoch)
	}
}

// mayWriteRow reports whether an acting assigner may write the group row now.
func (a *Assigner) mayWriteRow() bool {
	return a.row.known && !a.row.stale && a.row.writing == nil &&
		(a.row.writeAt.IsZero() || a.now.Sub(a.row.writeAt) >= a.Timing.RetryInterval)
}

// tickRow brings the group row up to date: it records the epoch of a deputy that took over, names another deputy in
// place of a silent one, and changes the members.
func (a *Assigner) tickRow() {
	if a.row.stale {
		a.readRowIfDue()
		return
	}
	if !a.mayWriteRow() {
		return
	}
	next := a.row.content
	switch {
	case a.row.content.Epoch < a.epoch:
		next.Epoch, next.ReservedEpoch = a.epoch, a.row.content.ReservedEpoch+1
		next.Holder, next.Deputy = a.Host, a.chooseDeputy(next.Holder)
	case a.changeMembers(&next):
		next.Epoch, next.ReservedEpoch = a.row.content.ReservedEpoch+1, a.row.content.ReservedEpoch+2
	case a.deputySilent():
		next.ReservedEpoch, next.Deputy = a.row.content.ReservedEpoch+1, a.chooseDeputy(next.Deputy)
	default:
		return
	}
	a.watch.ready = a.now
	a.writeRow(next)
}

// deputySilent reports whether there is a host that could be deputy and the present one does not answer.
func (a *Assigner) deputySilent() bool {
	if a.now.Sub(a.watch.ready) < a.Timing.WatcherTimeout || a.now.Sub(a.beganAt) < a.Timing.WatcherTimeout {
		return false
	}
	return a.chooseDeputy(a.row.content.Deputy) != ""
}

// changeMembers puts the wanted members into next and reports whether they differ from the present ones. A change waits
// until the present epoch was accepted by a majority, every lease of an earlier epoch is accounted for, and no server
// that is about to leave the row holds anything.
func (a *Assigner) changeMembers(next *GroupRow) bool {
	members := a.wantedMembers()
	row := a.row.content
	if previous, replace := a.replacement(); replace && a.answering(members) {
		next.Members, next.PreviousMembers = members, previous
		return true
	}
	same := slices.Equal(members, row.Members)
	if same && (len(row.PreviousMembers) == 0 || sameSet(row.PreviousMembers, row.Members)) {
		a.plan.memberChange = time.Time{}
		return false
	}
	if a.plan.memberChange.IsZero() {
		a.plan.memberChange = a.now
	}
	wait := a.Timing.StabilizationDelay
	if same || (len(row.Members) == 0 && len(members) < len(a.servers)) {
		wait = a.Timing.WatcherTimeout
	}
	waited := a.now.Sub(a.plan.memberChange)
	if waited < wait || !a.answering(members) || !a.ledger.CanReplaceMembers(members) {
		return false
	}
	if a.recovering() && waited < 2*a.Timing.WatcherTimeout {
		return false
	}
	a.plan.memberChange = time.Time{}
	next.Members, next.PreviousMembers = members, row.Members
	return true
}

// recovering reports whether partitions wait for a grant or for the end of a silent member's lease. A change of members
// would delay that, since the servers that do not answer are accounted for anew in each epoch.
func (a *Assigner) recovering() bool {
	if len(a.row.content.Members) == 0 {
		return false
	}
	for id := range a.plan.pending {
		if entry := a.plan.slots[id]; entry != nil && !entry.held() {
			return true
		}
	}
	for _, member := range a.row.content.Members {
		known := a.servers[member.Server]
		if a.ledger.MayHoldAny(member) && a.now.Sub(known.acceptedAt) > a.Timing.ServerTimeout {
			return true
		}
	}
	return false
}

// wantedMembers returns the members that the row should list: of each configured server the run that answers, and of one
// that is no longer configured the run that still holds something.
func (a *Assigner) wantedMembers() []lease.Member {
	listed := make(map[fleet.UpstreamID]lease.Member)
	for _, member := range a.row.content.Members {
		listed[member.Server] = member
	}
	var members []lease.Member
	for _, id := range a.serverOrder() {
		entry := a.servers[id]
		member, found := listed[id]
		switch {
		case !entry.configured:
			if found && a.ledger.MayHoldAny(member) {
				members = append(members, member)
			}
		case entry.current != "" && a.now.Sub(entry.heard) < a.Timing.ServerTimeout:
			members = append(members, lease.Member{Server: id, Incarnation: entry.current})
		case found:
			members = append(members, member)
		}
	}
	return members
}
