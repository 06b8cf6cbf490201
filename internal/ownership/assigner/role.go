package assigner

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

const (
	// maxTimeoutDoublings bounds how often the deputy's timeout is doubled, so that it stays shorter than that of the
	// watchers.
	maxTimeoutDoublings = 2
	// falseSuspicionMemory is how long a false suspicion extends the timeouts. It covers several changes of role among
	// the few hosts that may take over.
	falseSuspicionMemory = 30 * time.Second
)

// maxWatchers is the number of hosts that watch a group besides holder and deputy. More would only add messages.
const maxWatchers = 4

// peerState is what a host knows about the other hosts of the group.
type peerState struct {
	// rankedHosts are the live hosts including this one, sorted by rendezvous hashing for this service.
	rankedHosts []fleet.Host
	// holderHeardAt is the last time at which this host received a heartbeat from an acting assigner with a majority, or
	// started to wait for one.
	holderHeardAt time.Time
	// askedAt is the last time at which this host asked the holder and the deputy for a heartbeat.
	askedAt time.Time
	// heartbeatSentAt is the time of the last heartbeats that this host sent.
	heartbeatSentAt time.Time
	// formerHosts are the holders and deputies of earlier rows, with the times until which they get heartbeats too. Each
	// of them may still believe that it is the deputy and would take over without heartbeats.
	formerHosts map[fleet.HostID]time.Time
	// deputyHeardAt is the last time at which the deputy reported that it is ready, or at which this host wrote the row.
	deputyHeardAt time.Time
	// stopping is set when this daemon is shutting down.
	stopping bool
	// deputyReadyAt is the last time at which the current deputy reported that it is ready; zero if it has not.
	deputyReadyAt time.Time
	// suspectedHolder is the silent holder that this host replaced, until a message from that host arrives.
	suspectedHolder fleet.HostID
	// falseSuspicions counts recent suspicions of holders that were alive; falseSuspicionAt is the time of the last one.
	falseSuspicions  int
	falseSuspicionAt time.Time
	// seenPlacementWrites is PlacementWrites of the heartbeat that last caused a read of the placement rows.
	seenPlacementWrites uint64
}

// SetHosts sets the live hosts. It ranks them once, and not at each tick, because there may be thousands.
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

// HandleMessage handles a message from the assigner on another host.
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

// handleReadiness records whether the deputy is ready to take over with the epoch reserved in the current row.
func (a *Assigner) handleReadiness(from fleet.HostID, message Readiness) {
	switch {
	case a.Role() != RoleActing || from != a.groupRow.content.Deputy || message.Version != a.groupRow.version:
	case message.Ready:
		a.peers.deputyHeardAt, a.peers.deputyReadyAt = a.now, a.now
	default: // The deputy is stopping or may not use the reserved epoch. Replace it at once.
		a.peers.deputyHeardAt, a.peers.deputyReadyAt = time.Time{}, time.Time{}
	}
}

// handleHeartbeat replies to the holder if the group row names this host as deputy, and takes over if the holder hands
// over.
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

// hasMajority reports whether a majority of the servers has accepted orders recently. An epoch that has not had a
// majority yet gets time to replace members; otherwise holder and deputy would keep superseding each other while no
// majority responds.
func (a *Assigner) hasMajority() bool {
	if !a.tracker.HasMajority() || len(a.groupRow.content.Members) == 0 {
		return a.now.Sub(a.epochStartedAt) < 3*a.Timing.WatcherTimeout
	}
	return a.now.Sub(a.majorityTimeIncreasedAt) < 4*a.Timing.OrderInterval<<a.timeoutDoublings()
}

// tickDeputy takes over if the holder has been silent for too long.
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

// recordFalseSuspicion records that a holder was replaced although it was alive.
func (a *Assigner) recordFalseSuspicion() {
	a.peers.falseSuspicions, a.peers.falseSuspicionAt = min(a.timeoutDoublings()+1, maxTimeoutDoublings), a.now
}

// timeoutDoublings returns how often to double the deputy's timeout and the time within which an acting assigner must
// hear from a majority. Without the doubling, the role changed hands more than once per second on hosts short of CPU
// time, and each holder was replaced before it could grant anything.
func (a *Assigner) timeoutDoublings() int {
	if a.now.Sub(a.peers.falseSuspicionAt) > falseSuspicionMemory {
		return 0
	}
	return a.peers.falseSuspicions
}

// mayUseReservedEpoch reports whether this host may use the reserved epoch. The row must name the host as deputy and
// must have been written after this process first read it, so that no earlier process of the host can have used the
// epoch. No epoch as high as the reserved one may have been seen.
func (a *Assigner) mayUseReservedEpoch() bool {
	return a.groupRow.known && a.groupRow.content.Deputy == a.Host && a.groupRow.version > a.groupRow.firstVersion &&
		a.highestSeenEpoch < a.groupRow.content.ReservedEpoch
}

// tickWatching asks the holder and the deputy for heartbeats, and takes over by writing the group row if both are
// silent.
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

// watcherRank returns the rank of this host among the live hosts other than the holder and the deputy, or maxWatchers if
// that is lower.
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

// chooseDeputy returns another live host. It prefers a host that is not in avoid, and then one in another failure
// domain. It returns an empty ID if there is no other host.
func (a *Assigner) chooseDeputy(avoid ...fleet.HostID) fleet.HostID {
	var own fleet.Locality
	for _, host := range a.peers.rankedHosts {
		if host.ID == a.Host {
			own = host.Locality
		}
	}
	var best fleet.HostID
	highest := 0
	for _, host := range a.peers.rankedHosts {
		score := 1
		if !slices.Contains(avoid, host.ID) {
			score += 2
		}
		if host.Locality.Domain != own.Domain {
			score++
		}
		if host.ID != a.Host && score > highest {
			best, highest = host.ID, score
		}
	}
	return best
}

// PrepareStop announces that this daemon is shutting down, so that another host replaces it as deputy.
func (a *Assigner) PrepareStop(now time.Time) []Action {
	a.beginCall(now)
	a.peers.stopping = true
	return a.takeActions()
}

// MayStop reports whether this host may stop without leaving the group without an assigner: an acting host needs a
// deputy that is ready, and the deputy must have been replaced. Any host may stop if there is no other host. A hand-over
// to a host that is gone would let the leases of the servers expire, because they are shorter than the time it takes to
// notice the loss.
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

// HandOver gives up the role because this daemon is shutting down, and asks the deputy to take over immediately.
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

// sendHeartbeats sends two heartbeats in each order interval. When the holder is lost, the deputy's timeout starts with
// the last heartbeat; with only one per interval, a takeover on a loaded machine left no time to renew the leases.
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

// setGroupRow stores the content of the group row and remembers the holder and the deputy of the previous content.
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
