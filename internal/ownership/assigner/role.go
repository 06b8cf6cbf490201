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
	mostWrong = 2
	// wrongMemory is for how long a wrong suspicion makes a host wait longer. It covers several turns of the role among
	// the few hosts that may take it.
	wrongMemory = 30 * time.Second
)

// watchers is the number of hosts that watch a group besides holder and deputy. More would only add messages.
const watchers = 4

// watchState is what a host knows about the other hosts.
type watchState struct {
	// hosts are the live hosts, this one included, by their rendezvous rank for this service.
	hosts []fleet.Host
	// heard is the last time at which an acting assigner with a majority was heard.
	heard time.Time
	// asked is the last time at which holder and deputy were asked.
	asked time.Time
	// beat is the last time at which a heartbeat was sent to the deputy.
	beat time.Time
	// former are the hosts that earlier rows named, until the given times. They hear the heartbeats too, since each may
	// still believe that it is the deputy and would take over when it hears nothing.
	former map[fleet.HostID]time.Time
	// ready is the last time at which the deputy said that it stands by.
	ready time.Time
	// stopping is set when this host is about to stop.
	stopping bool
	// standsBy is the last time at which the deputy that the row names said so; zero if it never did.
	standsBy time.Time
	// suspected is the holder that this host replaced because it was silent, until it is heard again.
	suspected fleet.HostID
	// wrong counts the suspicions that proved wrong lately, and wrongAt is the time of the last one.
	wrong   int
	wrongAt time.Time
	// placements is the count in the last heartbeat heard.
	placements uint64
}

// SetHosts tells which hosts are alive. They are ranked here and not when time passes, since there are thousands.
func (a *Assigner) SetHosts(hosts []fleet.Host) {
	weights := make(map[fleet.HostID]uint64, len(hosts))
	for _, host := range hosts {
		weights[host.ID] = xxhash.Sum64String(string(a.Service) + "/" + string(host.ID))
	}
	a.watch.hosts = slices.Clone(hosts)
	slices.SortFunc(a.watch.hosts, func(x, y fleet.Host) int {
		return cmp.Or(cmp.Compare(weights[y.ID], weights[x.ID]), cmp.Compare(x.ID, y.ID))
	})
}

// Received handles a message from the assigner on another host.
func (a *Assigner) Received(now time.Time, from fleet.HostID, message Message) []Action {
	a.enter(now)
	if from == a.watch.suspected {
		a.watch.suspected = ""
		a.suspectedWrongly()
	}
	switch message := message.(type) {
	case Heartbeat:
		a.receivedHeartbeat(from, message)
	case Readiness:
		a.receivedReadiness(from, message)
	case HeartbeatRequest:
		if a.Role() == RoleActing {
			a.do(SendMessage{To: from, Message: a.heartbeat()})
		}
	}
	return a.leave()
}

func (a *Assigner) receivedReadiness(from fleet.HostID, message Readiness) {
	switch {
	case a.Role() != RoleActing || from != a.row.content.Deputy || message.Version != a.row.version:
	case message.Ready:
		a.watch.ready, a.watch.standsBy = a.now, a.now
	default: // It is being stopped or may not use the reserved epoch, and is replaced without waiting for its silence.
		a.watch.ready, a.watch.standsBy = time.Time{}, time.Time{}
	}
}

func (a *Assigner) receivedHeartbeat(from fleet.HostID, beat Heartbeat) {
	a.observe(beat.Epoch)
	if beat.Epoch < a.seen || a.Role() == RoleActing {
		return
	}
	if beat.Majority {
		a.watch.heard = a.now
	}
	if beat.Version > a.row.version {
		a.readRow()
	}
	if a.Role() != RoleDeputy {
		if a.row.content.Deputy == a.Host {
			a.do(SendMessage{To: from, Message: Readiness{Version: a.row.version}})
		}
		return
	}
	if beat.HandOver && beat.Epoch == a.row.content.Epoch && a.mayUseReserve() {
		a.begin(a.row.content.ReservedEpoch, ReasonHandOver)
		return
	}
	if beat.PlacementWrites != a.watch.placements && a.now.Sub(a.plan.readAt) >= a.Timing.WatcherTimeout {
		a.watch.placements = beat.PlacementWrites
		a.readPlacement()
	}
	a.do(SendMessage{To: from, Message: Readiness{Version: a.row.version, Ready: !a.watch.stopping}})
}

func (a *Assigner) heartbeat() Heartbeat {
	return Heartbeat{
		Epoch: a.epoch, Version: a.row.version, PlacementWrites: a.plan.writes, Majority: a.hasMajority(),
	}
}

// hasMajority reports whether a majority of the servers accepted orders lately. An epoch that has had none yet gets the
// time to replace members, since otherwise holder and deputy would supersede one another while no majority answers.
func (a *Assigner) hasMajority() bool {
	if !a.ledger.HasMajority() || len(a.row.content.Members) == 0 {
		return a.now.Sub(a.beganAt) < 3*a.Timing.WatcherTimeout
	}
	return a.now.Sub(a.evidenceAt) < 4*a.Timing.OrderInterval<<a.wrongLately()
}

// tickDeputy takes over when the holder has been silent for too long.
func (a *Assigner) tickDeputy() {
	if !a.mayUseReserve() {
		a.changeRole(RoleWatching, ReasonNotDeputy)
		return
	}
	if !a.plan.known {
		a.readPlacementIfUnknown()
	}
	if a.now.Sub(a.watch.heard) > a.Timing.DeputyTimeout<<a.wrongLately() {
		a.watch.suspected = a.row.content.Holder
		a.begin(a.row.content.ReservedEpoch, ReasonHolderSilent)
	}
}

// suspectedWrongly notes that a holder was replaced though it was alive.
func (a *Assigner) suspectedWrongly() {
	a.watch.wrong, a.watch.wrongAt = min(a.wrongLately()+1, mostWrong), a.now
}

// wrongLately returns how often the timeout of the deputy, and the time in which an assigner has to hear from a majority, are
// to be doubled. On machines that are short of processor time the role changed hands more than once a second without that,
// and each holder was replaced before it could grant anything.
func (a *Assigner) wrongLately() int {
	if a.now.Sub(a.watch.wrongAt) > wrongMemory {
		return 0
	}
	return a.watch.wrong
}

// mayUseReserve reports whether this host may use the reserved epoch: the row names it as deputy, it was written after
// this process first read the row, so that no earlier process of the host can have used the epoch, and no such epoch
// has been seen.
func (a *Assigner) mayUseReserve() bool {
	return a.row.known && a.row.content.Deputy == a.Host && a.row.version > a.row.first &&
		a.seen < a.row.content.ReservedEpoch
}

// tickWatching asks holder and deputy, and takes over with a write when both are silent.
func (a *Assigner) tickWatching() {
	if !a.row.known {
		a.readRowIfDue()
		return
	}
	rank := a.rank()
	if rank >= watchers {
		a.watch.heard = a.now
		return
	}
	wait := a.Timing.WatcherTimeout + time.Duration(rank)*a.Timing.WatcherTimeout/2
	if a.row.version == 0 {
		wait = time.Duration(rank) * a.Timing.WatcherTimeout / 2
	}
	if a.now.Sub(a.watch.heard) >= wait {
		a.takeOver()
		return
	}
	if a.now.Sub(a.watch.asked) >= a.Timing.WatcherTimeout/4 {
		a.watch.asked = a.now
		a.ask(a.row.content.Holder)
		a.ask(a.row.content.Deputy)
	}
}

func (a *Assigner) ask(host fleet.HostID) {
	if host != "" && host != a.Host {
		a.do(SendMessage{To: host, Message: HeartbeatRequest{}})
	}
}

// takeOver reads the row once more and then writes it with this host as holder.
func (a *Assigner) takeOver() {
	if a.row.writing != nil {
		return
	}
	if !a.row.fresh {
		a.readRowIfDue()
		return
	}
	a.row.fresh = false
	next := a.row.content
	next.Epoch, next.ReservedEpoch = a.row.content.ReservedEpoch+1, a.row.content.ReservedEpoch+2
	next.Holder, next.Deputy = a.Host, a.chooseDeputy(next.Holder, next.Deputy)
	a.writeRow(next)
}

// rank returns the place of this host among the live hosts, without the holder and the deputy, up to the number of
// watchers.
func (a *Assigner) rank() int {
	rank := 0
	for _, host := range a.watch.hosts {
		if host.ID == a.Host || rank == watchers {
			break
		}
		if host.ID != a.row.content.Holder && host.ID != a.row.content.Deputy {
			rank++
		}
	}
	return rank
}

// chooseDeputy returns a live host, if possible none of those to avoid and in another failure domain than this one.
func (a *Assigner) chooseDeputy(avoid ...fleet.HostID) fleet.HostID {
	var own fleet.Locality
	for _, host := range a.watch.hosts {
		if host.ID == a.Host {
			own = host.Locality
		}
	}
	var best fleet.HostID
	highest := 0
	for _, host := range a.watch.hosts {
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

// Retire says that this host is about to stop, so that it should be replaced as deputy.
func (a *Assigner) PrepareStop(now time.Time) []Action {
	a.enter(now)
	a.watch.stopping = true
	return a.leave()
}

// Relieved reports whether this host may stop without leaving the group without an assigner: another host stands by as
// deputy if this one acts, and another one is the deputy if this one is. It is also relieved if there is no other host.
// Without that, the hand-over would go to a host that is gone, and the leases of the servers, which last for less time
// than it takes to notice that, would end.
func (a *Assigner) MayStop(now time.Time) bool {
	others := slices.ContainsFunc(a.watch.hosts, func(host fleet.Host) bool {
		return host.ID != a.Host && (a.Role() == RoleActing || host.ID != a.row.content.Holder)
	})
	switch {
	case !others || a.Role() == RoleWatching:
		return true
	case a.Role() == RoleDeputy:
		return false
	}
	return !a.watch.standsBy.IsZero() && now.Sub(a.watch.standsBy) <= a.Timing.DeputyTimeout
}

// HandOver gives up the role because this daemon is about to stop, and tells the deputy to start at once.
func (a *Assigner) HandOver(now time.Time) []Action {
	a.enter(now)
	if a.Role() == RoleActing {
		beat := a.heartbeat()
		beat.HandOver = true
		if a.row.content.Deputy != "" && a.row.content.Deputy != a.Host {
			a.do(SendMessage{To: a.row.content.Deputy, Message: beat})
		}
		a.run++
		a.changeRole(RoleWatching, ReasonStopping)
	}
	return a.leave()
}

// sendBeats sends the heartbeats, two in each round: after the loss of the holder the deputy's timeout begins with the
// last heartbeat, and with one in each round a takeover on a loaded machine left no time to renew the leases.
func (a *Assigner) sendBeats() {
	if a.now.Sub(a.watch.beat) < a.Timing.OrderInterval/2 {
		return
	}
	a.watch.beat = a.now
	a.beat(a.row.content.Deputy)
	former := make([]fleet.HostID, 0, len(a.watch.former))
	for host, until := range a.watch.former {
		if a.now.After(until) {
			delete(a.watch.former, host)
		} else if host != a.row.content.Deputy {
			former = append(former, host)
		}
	}
	slices.Sort(former)
	for _, host := range former {
		a.beat(host)
	}
}

func (a *Assigner) beat(host fleet.HostID) {
	if host != "" && host != a.Host {
		a.do(SendMessage{To: host, Message: a.heartbeat()})
	}
}

// replaceRow takes over the content of the group row and remembers the hosts that the one before it named.
func (a *Assigner) replaceRow(content GroupRow) {
	if a.watch.former == nil {
		a.watch.former = make(map[fleet.HostID]time.Time)
	}
	for _, host := range []fleet.HostID{a.row.content.Holder, a.row.content.Deputy} {
		a.watch.former[host] = a.now.Add(2 * a.Timing.WatcherTimeout)
	}
	if content.Deputy != a.row.content.Deputy || content.ReservedEpoch != a.row.content.ReservedEpoch {
		a.watch.standsBy = time.Time{}
	}
	a.row.content = content
}
