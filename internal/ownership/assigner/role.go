package assigner

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

const (
	// mostWrong is how often the timeout of the deputy is doubled at most, so that it stays below that of the watchers.
	maxTimeoutDoublings = 2
	// wrongMemory is for how long a wrong suspicion makes a host wait longer. It covers several turns of the role among
	// the few hosts that may take it.
	falseSuspicionMemory = 30 * time.Second
)

// watchers is the number of hosts that watch a group besides holder and deputy. More would only add messages.
const maxWatchers = 4

// watchState is what a host knows about the other hosts.
type peerState struct {
	// hosts are the live hosts, this one included, by their rendezvous rank for this service.
	rankedHosts []fleet.Host
	// heard is the last time at which an acting assigner with a majority was heard.
	holderHeardAt time.Time
	// asked is the last time at which holder and deputy were asked.
	askedAt time.Time
	// beat is the last time at which a heartbeat was sent to the deputy.
	heartbeatSentAt time.Time
	// former are the hosts that earlier rows named, until the given times. They hear the heartbeats too, since each may
	// still believe that it is the deputy and would take over when it hears nothing.
	formerHosts map[fleet.HostID]time.Time
	// ready is the last time at which the deputy said that it stands by.
	deputyHeardAt time.Time
	// stopping is set when this host is about to stop.
	stopping bool
	// standsBy is the last time at which the deputy that the row names said so; zero if it never did.
	deputyReadyAt time.Time
	// suspected is the holder that this host replaced because it was silent, until it is heard again.
	suspectedHolder fleet.HostID
	// wrong counts the suspicions that proved wrong lately, and wrongAt is the time of the last one.
	falseSuspicions  int
	falseSuspicionAt time.Time
	// placements is the count in the last heartbeat heard.
	seenPlacementWrites uint64
}

// SetHosts tells which hosts are alive. They are ranked here and not when time passes, since there are thousands.
func (a *Assigner) SetHosts(hosts []fleet.Host) {
	weights := make(map[fleet.HostID]uint64, len(hosts))
	for _, host := range hosts {
		weights[host.ID] = xxhash.Sum64String(string(a.Service) + "/" + string(host.ID))
	}
	a.peers.rankedHosts = slices.Clone(hosts)
	slices.SortFunc(a.peers.rankedHosts, func(x, y fleet.Host) int {
		return cmp.Or(cmp.Compare(weights[y.ID], weights[x.ID]), cmp.Compare(x.ID, y.ID))
	})
}

// Received handles a message from the assigner on another host.
func (a *Assigner) HandleMessage(now time.Time, from fleet.HostID, message Message) []Action {
	a.beginCall(now)
	if from == a.peers.suspectedHolder {
		a.peers.suspectedHolder = ""
		a.recordFalseSuspicion()
	}
	switch message := message.(type) {
	case Heartbeat:
		a.handleHeartbeat(from, message)
	case Readiness:
		a.handleReadiness(from, message)
	case HeartbeatRequest:
		if a.Role() == RoleActing {
			a.emit(SendMessage{To: from, Message: a.newHeartbeat()})
		}
	}
	return a.takeActions()
}

func (a *Assigner) handleReadiness(from fleet.HostID, message Readiness) {
	switch {
	case a.Role() != RoleActing || from != a.groupRow.content.Deputy || message.Version != a.groupRow.version:
	case message.Ready:
		a.peers.deputyHeardAt, a.peers.deputyReadyAt = a.now, a.now
	default: // It is being stopped or may not use the reserved epoch, and is replaced without waiting for its silence.
		a.peers.deputyHeardAt, a.peers.deputyReadyAt = time.Time{}, time.Time{}
	}
}

func (a *Assigner) handleHeartbeat(from fleet.HostID, heartbeat Heartbeat) {
	a.observeEpoch(heartbeat.Epoch)
	if heartbeat.Epoch < a.highestSeenEpoch || a.Role() == RoleActing {
		return
	}
	if heartbeat.Majority {
		a.peers.holderHeardAt = a.now
	}
	if heartbeat.Version > a.groupRow.version {
		a.readGroupRow()
	}
	if a.Role() != RoleDeputy {
		if a.groupRow.content.Deputy == a.Host {
			a.emit(SendMessage{To: from, Message: Readiness{Version: a.groupRow.version}})
		}
		return
	}
	if heartbeat.HandOver && heartbeat.Epoch == a.groupRow.content.Epoch && a.mayUseReservedEpoch() {
		a.startEpoch(a.groupRow.content.ReservedEpoch, ReasonHandOver)
		return
	}
	if heartbeat.PlacementWrites != a.peers.seenPlacementWrites && a.now.Sub(a.plan.lastReadAt) >= a.Timing.WatcherTimeout {
		a.peers.seenPlacementWrites = heartbeat.PlacementWrites
		a.readPlacementRows()
	}
	a.emit(SendMessage{To: from, Message: Readiness{Version: a.groupRow.version, Ready: !a.peers.stopping}})
}

func (a *Assigner) newHeartbeat() Heartbeat {
	return Heartbeat{
		Epoch: a.epoch, Version: a.groupRow.version, PlacementWrites: a.plan.rowWrites, Majority: a.hasMajority(),
	}
}

// hasMajority reports whether a majority of the servers accepted orders lately. An epoch that has had none yet gets the
// time to replace members, since otherwise holder and deputy would supersede one another while no majority answers.
func (a *Assigner) hasMajority() bool {
	if !a.ledger.Quorum() || len(a.groupRow.content.Members) == 0 {
		return a.now.Sub(a.epochStartedAt) < 3*a.Timing.WatcherTimeout
	}
	return a.now.Sub(a.evidenceAt) < 4*a.Timing.OrderInterval<<a.timeoutDoublings()
}

// tickDeputy takes over when the holder has been silent for too long.
func (a *Assigner) tickDeputy() {
	if !a.mayUseReservedEpoch() {
		a.changeRole(RoleWatching, ReasonNotDeputy)
		return
	}
	if !a.plan.rowsKnown {
		a.readPlacementIfDue()
	}
	if a.now.Sub(a.peers.holderHeardAt) > a.Timing.DeputyTimeout<<a.timeoutDoublings() {
		a.peers.suspectedHolder = a.groupRow.content.Holder
		a.startEpoch(a.groupRow.content.ReservedEpoch, ReasonHolderSilent)
	}
}

// suspectedWrongly notes that a holder was replaced though it was alive.
func (a *Assigner) recordFalseSuspicion() {
	a.peers.falseSuspicions, a.peers.falseSuspicionAt = min(a.timeoutDoublings()+1, maxTimeoutDoublings), a.now
}

// wrongLately returns how often the timeout of the deputy, and the time in which an assigner has to hear from a majority, are
// to be doubled. On machines that are short of processor time the role changed hands more than once a second without that,
// and each holder was replaced before it could grant anything.
func (a *Assigner) timeoutDoublings() int {
	if a.now.Sub(a.peers.falseSuspicionAt) > falseSuspicionMemory {
		return 0
	}
	return a.peers.falseSuspicions
}

// mayUseReserve reports whether this host may use the reserved epoch: the row names it as deputy, it was written after
// this process first read the row, so that no earlier process of the host can have used the epoch, and no such epoch
// has been seen.
func (a *Assigner) mayUseReservedEpoch() bool {
	return a.groupRow.known && a.groupRow.content.Deputy == a.Host && a.groupRow.version > a.groupRow.firstVersion &&
		a.highestSeenEpoch < a.groupRow.content.ReservedEpoch
}

// tickWatching asks holder and deputy, and takes over with a write when both are silent.
func (a *Assigner) tickWatching() {
	if !a.groupRow.known {
		a.readGroupRowIfDue()
		return
	}
	rank := a.watcherRank()
	if rank >= maxWatchers {
		a.peers.holderHeardAt = a.now
		return
	}
	wait := a.Timing.WatcherTimeout + time.Duration(rank)*a.Timing.WatcherTimeout/2
	if a.groupRow.version == 0 {
		wait = time.Duration(rank) * a.Timing.WatcherTimeout / 2
	}
	if a.now.Sub(a.peers.holderHeardAt) >= wait {
		a.takeOver()
		return
	}
	if a.now.Sub(a.peers.askedAt) >= a.Timing.WatcherTimeout/4 {
		a.peers.askedAt = a.now
		a.requestHeartbeat(a.groupRow.content.Holder)
		a.requestHeartbeat(a.groupRow.content.Deputy)
	}
}

func (a *Assigner) requestHeartbeat(host fleet.HostID) {
	if host != "" && host != a.Host {
		a.emit(SendMessage{To: host, Message: HeartbeatRequest{}})
	}
}

// takeOver reads the row once more and then writes it with this host as holder.
func (a *Assigner) takeOver() {
	if a.groupRow.pendingWrite != nil {
		return
	}
	if !a.groupRow.freshlyRead {
		a.readGroupRowIfDue()
		return
	}
	a.groupRow.freshlyRead = false
	next := a.groupRow.content
	next.Epoch, next.ReservedEpoch = a.groupRow.content.ReservedEpoch+1, a.groupRow.content.ReservedEpoch+2
	next.Holder, next.Deputy = a.Host, a.chooseDeputy(next.Holder, next.Deputy)
	a.writeGroupRow(next)
}

// rank returns the place of this host among the live hosts, without the holder and the deputy, up to the number of
// watchers.
func (a *Assigner) watcherRank() int {
	rank := 0
	for _, host := range a.peers.rankedHosts {
		if host.ID == a.Host || rank == maxWatchers {
			break
		}
		if host.ID != a.groupRow.content.Holder && host.ID != a.groupRow.content.Deputy {
			rank++
		}
	}
	return rank
}

// chooseDeputy returns a live host, if possible none of those to avoid and in another failure domain than this one.
func (a *Assigner) chooseDeputy(avoid ...fleet.HostID) fleet.HostID {
	var own fleet.Place
	for _, host := range a.peers.rankedHosts {
		if host.ID == a.Host {
			own = host.Place
		}
	}
	var best fleet.HostID
	highest := 0
	for _, host := range a.peers.rankedHosts {
		score := 1
		if !slices.Contains(avoid, host.ID) {
			score += 2
		}
		if host.Place.Domain != own.Domain {
			score++
		}
		if host.ID != a.Host && score > highest {
			best, highest = host.ID, score
		}
	}
	return best
}

// Retire says that this host is about to stop, so that it should be replaced as deputy.
func (a *Assigner) PrepareStop(now time.Time) []Action {
	a.beginCall(now)
	a.peers.stopping = true
	return a.takeActions()
}

// Relieved reports whether this host may stop without leaving the group without an assigner: another host stands by as
// deputy if this one acts, and another one is the deputy if this one is. It is also relieved if there is no other host.
// Without that, the hand-over would go to a host that is gone, and the leases of the servers, which last for less time
// than it takes to notice that, would end.
func (a *Assigner) MayStop(now time.Time) bool {
	others := slices.ContainsFunc(a.peers.rankedHosts, func(host fleet.Host) bool {
		return host.ID != a.Host && (a.Role() == RoleActing || host.ID != a.groupRow.content.Holder)
	})
	switch {
	case !others || a.Role() == RoleWatching:
		return true
	case a.Role() == RoleDeputy:
		return false
	}
	return !a.peers.deputyReadyAt.IsZero() && now.Sub(a.peers.deputyReadyAt) <= a.Timing.DeputyTimeout
}

// HandOver gives up the role because this daemon is about to stop, and tells the deputy to start at once.
func (a *Assigner) HandOver(now time.Time) []Action {
	a.beginCall(now)
	if a.Role() == RoleActing {
		heartbeat := a.newHeartbeat()
		heartbeat.HandOver = true
		if a.groupRow.content.Deputy != "" && a.groupRow.content.Deputy != a.Host {
			a.emit(SendMessage{To: a.groupRow.content.Deputy, Message: heartbeat})
		}
		a.generation++
		a.changeRole(RoleWatching, ReasonStopping)
	}
	return a.takeActions()
}

// sendBeats sends the heartbeats, two in each round: after the loss of the holder the deputy's timeout begins with the
// last heartbeat, and with one in each round a takeover on a loaded machine left no time to renew the leases.
func (a *Assigner) sendHeartbeats() {
	if a.now.Sub(a.peers.heartbeatSentAt) < a.Timing.OrderInterval/2 {
		return
	}
	a.peers.heartbeatSentAt = a.now
	a.sendHeartbeat(a.groupRow.content.Deputy)
	former := make([]fleet.HostID, 0, len(a.peers.formerHosts))
	for host, until := range a.peers.formerHosts {
		if a.now.After(until) {
			delete(a.peers.formerHosts, host)
		} else if host != a.groupRow.content.Deputy {
			former = append(former, host)
		}
	}
	slices.Sort(former)
	for _, host := range former {
		a.sendHeartbeat(host)
	}
}

func (a *Assigner) sendHeartbeat(host fleet.HostID) {
	if host != "" && host != a.Host {
		a.emit(SendMessage{To: host, Message: a.newHeartbeat()})
	}
}

// replaceRow takes over the content of the group row and remembers the hosts that the one before it named.
func (a *Assigner) setGroupRow(content GroupRow) {
	if a.peers.formerHosts == nil {
		a.peers.formerHosts = make(map[fleet.HostID]time.Time)
	}
	for _, host := range []fleet.HostID{a.groupRow.content.Holder, a.groupRow.content.Deputy} {
		a.peers.formerHosts[host] = a.now.Add(2 * a.Timing.WatcherTimeout)
	}
	if content.Deputy != a.groupRow.content.Deputy || content.ReservedEpoch != a.groupRow.content.ReservedEpoch {
		a.peers.deputyReadyAt = time.Time{}
	}
	a.groupRow.content = content
}
