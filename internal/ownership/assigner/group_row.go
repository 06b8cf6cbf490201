package assigner

import (
	"slices"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/ownership/lease"
)

// groupRowState is what a host knows about the group row and its reads and writes of it.
type groupRowState struct {
	// known is set once the row has been read. After that, a version of zero means that the row does not exist.
	known   bool
	version Version
	content GroupRow
	// firstVersion is the version that this process read first.
	firstVersion Version
	// freshlyRead is set by a read and cleared by the takeover that is based on it.
	freshlyRead bool
	// stale is set when this process has written the row and not yet read its new version.
	stale bool
	// reading is set while a read is outstanding; rereadRequested asks for another read after it.
	reading         bool
	rereadRequested bool
	lastReadAt      time.Time
	// pendingWrite is the outstanding write, or nil.
	pendingWrite *WriteRow
	lastWriteAt  time.Time
	// ownTokens holds the tokens of this process's writes. One of them in the row proves that the write took effect.
	ownTokens  map[string]struct{}
	writeCount uint64
}

// readGroupRow reads the row, after the outstanding read if there is one.
func (a *Assigner) readGroupRow() {
	if a.groupRow.reading {
		a.groupRow.rereadRequested = true
		return
	}
	a.groupRow.reading, a.groupRow.rereadRequested, a.groupRow.lastReadAt = true, false, a.now
	a.emit(ReadRow{})
}

// readGroupRowIfDue reads the row unless a read is outstanding or was started within the retry interval.
func (a *Assigner) readGroupRowIfDue() {
	if !a.groupRow.reading && (a.groupRow.lastReadAt.IsZero() || a.now.Sub(a.groupRow.lastReadAt) >= a.Timing.RetryInterval) {
		a.readGroupRow()
	}
}

// HandleRowReadFailure handles a failed read of the group row.
func (a *Assigner) HandleRowReadFailure(now time.Time) []Action {
	a.beginCall(now)
	a.groupRow.reading = false
	return a.takeActions()
}

// HandleRowRead handles the content of the group row. A version of zero means that the row does not exist.
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

// handleNewRow starts or ends the role of this host according to a row that was read. A row with a token of this process
// starts its epoch.
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
	a.peers.holderHeardAt = a.now // The new holder gets the full timeout to send its first heartbeat.
	if a.mayUseReservedEpoch() {
		a.changeRole(RoleDeputy, ReasonNamedDeputy)
		a.readPlacementRows()
	} else {
		a.changeRole(RoleWatching, ReasonNotDeputy)
	}
}

// writeGroupRow writes the group row over the version last read.
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

// HandleRowWritten handles the result of the outstanding write of the group row. Unless the write failed, the row is
// read to learn its new version. If the result is unknown, the epoch is used only once the token in the row proves that
// the write took effect (rule G5).
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
	// A row that was read since may be newer than this write, so that a late result must not replace it.
	if done && a.groupRow.version == write.Expected {
		a.adoptWrittenRow(write.Row)
	}
	return a.takeActions()
}

// adoptWrittenRow handles the success of a write of this host.
func (a *Assigner) adoptWrittenRow(content GroupRow) {
	a.setGroupRow(content)
	switch {
	case content.Epoch > a.epoch && content.Epoch >= a.highestSeenEpoch:
		a.startEpoch(content.Epoch, ReasonRowWritten)
	default:
		a.observeEpoch(content.Epoch)
	}
}

// mayWriteGroupRow reports whether an acting assigner may write the group row now.
func (a *Assigner) mayWriteGroupRow() bool {
	return a.groupRow.known && !a.groupRow.stale && a.groupRow.pendingWrite == nil &&
		(a.groupRow.lastWriteAt.IsZero() || a.now.Sub(a.groupRow.lastWriteAt) >= a.Timing.RetryInterval)
}

// updateGroupRow writes the group row if it is out of date: it records the epoch of a deputy that took over, replaces a
// silent deputy, or changes the members.
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

// needsNewDeputy reports whether the deputy is silent and another host can take its place.
func (a *Assigner) needsNewDeputy() bool {
	if a.now.Sub(a.peers.deputyHeardAt) < a.Timing.WatcherTimeout || a.now.Sub(a.epochStartedAt) < a.Timing.WatcherTimeout {
		return false
	}
	return a.chooseDeputy(a.groupRow.content.Deputy) != ""
}

// updateMembers sets the desired members in next and reports whether they differ from the current ones. A change waits
// until a majority has accepted the current epoch, every lease of an earlier epoch is accounted for, and no server that
// is to be removed from the row holds anything.
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
	if waited < wait || !a.majorityResponds(members) || !a.tracker.CanReplaceMembers(members) {
		return false
	}
	if a.recoveryInProgress() && waited < 2*a.Timing.WatcherTimeout {
		return false
	}
	a.plan.memberChangeSince = time.Time{}
	next.Members, next.PreviousMembers = members, row.Members
	return true
}

// recoveryInProgress reports whether partitions wait for a grant or for the lease of a silent member to expire. A change
// of members would delay both, since it starts an epoch in which the servers that do not respond must be accounted for
// again.
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
		if a.tracker.MayHoldAny(member) && a.now.Sub(server.acceptedAt) > a.Timing.ServerTimeout {
			return true
		}
	}
	return false
}

// desiredMembers returns the members that the row should list: for each configured server the incarnation that responds,
// and for a server that is no longer configured the incarnation that still holds something.
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
			if found && a.tracker.MayHoldAny(member) {
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
