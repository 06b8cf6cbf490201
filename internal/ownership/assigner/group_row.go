package assigner

import (
	"slices"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/ownership/lease"
)

// rowState is what a host knows about the group row.
type groupRowState struct {
	// known is set once the row was read; version is zero while it does not exist.
	known   bool
	version Version
	content GroupRow
	// first is the version of the row when this process first read it.
	firstVersion Version
	// fresh is set by a read and cleared by the decision made on it.
	freshlyRead bool
	// stale is set when the row was written and its new version has not been read.
	stale bool
	// reading is set while a read is outstanding; readAt is the time of the last one, readDue asks for another.
	reading         bool
	rereadRequested bool
	lastReadAt      time.Time
	// writing is the outstanding write, or nil; writeAt is the time of the last one.
	pendingWrite *WriteRow
	lastWriteAt  time.Time
	// tokens are those of this process's writes; one of them in the row proves that the write took effect.
	ownTokens  map[string]struct{}
	writeCount uint64
}

// readRow reads the row as soon as no other read is outstanding.
func (a *Assigner) readGroupRow() {
	if a.groupRow.reading {
		a.groupRow.rereadRequested = true
		return
	}
	a.groupRow.reading, a.groupRow.rereadRequested, a.groupRow.lastReadAt = true, false, a.now
	a.emit(ReadRow{})
}

// readRowIfDue reads the row unless that was tried a moment ago.
func (a *Assigner) readGroupRowIfDue() {
	if !a.groupRow.reading && (a.groupRow.lastReadAt.IsZero() || a.now.Sub(a.groupRow.lastReadAt) >= a.Timing.RetryInterval) {
		a.readGroupRow()
	}
}

// RowUnread tells that the group row could not be read.
func (a *Assigner) HandleRowReadFailure(now time.Time) []Action {
	a.beginCall(now)
	a.groupRow.reading = false
	return a.takeActions()
}

// RowRead tells what the group row contained. A version of zero means that there is no row.
func (a *Assigner) HandleRowRead(now time.Time, version Version, content GroupRow) []Action {
	a.beginCall(now)
	a.groupRow.reading = false
	first := !a.groupRow.known
	changed := version > a.groupRow.version
	if first {
		a.groupRow.known, a.groupRow.firstVersion = true, version
	}
	if first || version >= a.groupRow.version {
		a.groupRow.version = version
		a.setGroupRow(content)
		a.groupRow.freshlyRead, a.groupRow.stale = true, false
		a.handleNewRow(changed)
	}
	if a.groupRow.rereadRequested {
		a.readGroupRow()
	}
	return a.takeActions()
}

// rowChanged draws the conclusions from a row that was read.
func (a *Assigner) handleNewRow(changed bool) {
	content := a.groupRow.content
	_, own := a.groupRow.ownTokens[content.Token]
	if own && content.Epoch > a.epoch && content.Epoch >= a.highestSeenEpoch {
		a.startEpoch(content.Epoch, ReasonRowWritten)
		return
	}
	a.observeEpoch(content.Epoch)
	if a.Role() == RoleActing || !changed {
		return
	}
	a.peers.holderHeardAt = a.now // The one who wrote it gets time to be heard.
	if a.mayUseReservedEpoch() {
		a.changeRole(RoleDeputy, ReasonNamedDeputy)
		a.readPlacementRows()
	} else {
		a.changeRole(RoleWatching, ReasonNotDeputy)
	}
}

// writeRow writes the group row over the version last read.
func (a *Assigner) writeGroupRow(content GroupRow) {
	content.Token = a.newWriteToken()
	if a.groupRow.ownTokens == nil {
		a.groupRow.ownTokens = make(map[string]struct{})
	}
	a.groupRow.ownTokens[content.Token] = struct{}{}
	write := WriteRow{Expected: a.groupRow.version, Row: content}
	a.groupRow.pendingWrite, a.groupRow.lastWriteAt = &write, a.now
	a.emit(write)
}

// RowWritten tells how the outstanding write of the group row ended. Unless nothing was written, the row is read to
// learn its new version, or, by its token, whether the write took effect, which is rule G5.
func (a *Assigner) HandleRowWritten(now time.Time, result WriteResult) []Action {
	a.beginCall(now)
	write := a.groupRow.pendingWrite
	a.groupRow.pendingWrite = nil
	if write == nil || result == WriteFailed {
		return a.takeActions()
	}
	a.groupRow.stale = true
	a.readGroupRow()
	done := result == WriteDone || (result == WriteUnknown && a.omit == lease.RuleUnknownWrite)
	// If the row was read since, the answer is late and another write may have followed this one.
	if done && a.groupRow.version == write.Expected {
		a.adoptWrittenRow(write.Row)
	}
	return a.takeActions()
}

// adopt acts on a row that this host has written.
func (a *Assigner) adoptWrittenRow(content GroupRow) {
	a.setGroupRow(content)
	switch {
	case content.Epoch > a.epoch && content.Epoch >= a.highestSeenEpoch:
		a.startEpoch(content.Epoch, ReasonRowWritten)
	default:
		a.observeEpoch(content.Epoch)
	}
}

// mayWriteRow reports whether an acting assigner may write the group row now.
func (a *Assigner) mayWriteGroupRow() bool {
	return a.groupRow.known && !a.groupRow.stale && a.groupRow.pendingWrite == nil &&
		(a.groupRow.lastWriteAt.IsZero() || a.now.Sub(a.groupRow.lastWriteAt) >= a.Timing.RetryInterval)
}

// tickRow brings the group row up to date: it records the epoch of a deputy that took over, names another deputy in
// place of a silent one, and changes the members.
func (a *Assigner) updateGroupRow() {
	if a.groupRow.stale {
		a.readGroupRowIfDue()
		return
	}
	if !a.mayWriteGroupRow() {
		return
	}
	next := a.groupRow.content
	switch {
	case a.groupRow.content.Epoch < a.epoch:
		next.Epoch, next.ReservedEpoch = a.epoch, a.groupRow.content.ReservedEpoch+1
		next.Holder, next.Deputy = a.Host, a.chooseDeputy(next.Holder)
	case a.updateMembers(&next):
		next.Epoch, next.ReservedEpoch = a.groupRow.content.ReservedEpoch+1, a.groupRow.content.ReservedEpoch+2
	case a.needsNewDeputy():
		next.ReservedEpoch, next.Deputy = a.groupRow.content.ReservedEpoch+1, a.chooseDeputy(next.Deputy)
	default:
		return
	}
	a.peers.deputyHeardAt = a.now
	a.writeGroupRow(next)
}

// deputySilent reports whether there is a host that could be deputy and the present one does not answer.
func (a *Assigner) needsNewDeputy() bool {
	if a.now.Sub(a.peers.deputyHeardAt) < a.Timing.WatcherTimeout || a.now.Sub(a.epochStartedAt) < a.Timing.WatcherTimeout {
		return false
	}
	return a.chooseDeputy(a.groupRow.content.Deputy) != ""
}

// changeMembers puts the wanted members into next and reports whether they differ from the present ones. A change waits
// until the present epoch was accepted by a majority, every lease of an earlier epoch is accounted for, and no server
// that is about to leave the row holds anything.
func (a *Assigner) updateMembers(next *GroupRow) bool {
	members := a.desiredMembers()
	row := a.groupRow.content
	if previous, replace := a.forcedMemberChange(); replace && a.majorityResponds(members) {
		next.Members, next.PreviousMembers = members, previous
		return true
	}
	same := slices.Equal(members, row.Members)
	if same && (len(row.PreviousMembers) == 0 || sameMembers(row.PreviousMembers, row.Members)) {
		a.plan.memberChangeSince = time.Time{}
		return false
	}
	if a.plan.memberChangeSince.IsZero() {
		a.plan.memberChangeSince = a.now
	}
	wait := a.Timing.StabilizationDelay
	if same || (len(row.Members) == 0 && len(members) < len(a.servers)) {
		wait = a.Timing.WatcherTimeout
	}
	waited := a.now.Sub(a.plan.memberChangeSince)
	if waited < wait || !a.majorityResponds(members) || !a.ledger.Replaceable(members) {
		return false
	}
	if a.recoveryInProgress() && waited < 2*a.Timing.WatcherTimeout {
		return false
	}
	a.plan.memberChangeSince = time.Time{}
	next.Members, next.PreviousMembers = members, row.Members
	return true
}

// recovering reports whether partitions wait for a grant or for the end of a silent member's lease. A change of members
// would delay that, since the servers that do not answer are accounted for anew in each epoch.
func (a *Assigner) recoveryInProgress() bool {
	if len(a.groupRow.content.Members) == 0 {
		return false
	}
	for id := range a.plan.pending {
		if partition := a.plan.partitions[id]; partition != nil && !partition.held() {
			return true
		}
	}
	for _, member := range a.groupRow.content.Members {
		server := a.servers[member.Server]
		if a.ledger.Holds(member) && a.now.Sub(server.acceptedAt) > a.Timing.ServerTimeout {
			return true
		}
	}
	return false
}

// wantedMembers returns the members that the row should list: of each configured server the run that answers, and of one
// that is no longer configured the run that still holds something.
func (a *Assigner) desiredMembers() []lease.Member {
	listed := make(map[fleet.UpstreamID]lease.Member)
	for _, member := range a.groupRow.content.Members {
		listed[member.Server] = member
	}
	var members []lease.Member
	for _, id := range a.sortedServers() {
		server := a.servers[id]
		member, found := listed[id]
		switch {
		case !server.configured:
			if found && a.ledger.Holds(member) {
				members = append(members, member)
			}
		case server.runningIncarnation != "" && a.now.Sub(server.heardAt) < a.Timing.ServerTimeout:
			members = append(members, lease.Member{Server: id, Incarnation: server.runningIncarnation})
		case found:
			members = append(members, member)
		}
	}
	return members
}
