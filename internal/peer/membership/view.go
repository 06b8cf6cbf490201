// Package membership decides which hosts are members of the fleet, which of them are this daemon's peers, and which
// take a role. The platform's host list only seeds it, as the list lags and has wrong entries; records that the hosts
// publish about themselves and what peers observe correct it. The package does no I/O and takes the time as an argument.
package membership

import (
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/platform/hosts"
)

// State is what a record claims about its host.
type State string

const (
	// Alive means that the host published the record itself.
	Alive State = "alive"
	// Suspect means that a peer of the host has heard nothing of it. The host refutes that with a later record.
	Suspect State = "suspect"
	// Left means that the host has announced its end.
	Left State = "left"
)

// Record is the latest claim about a host. Of two records the one with the higher incarnation, then with the higher
// counter, holds.
type Record struct {
	Host fleet.Host
	// Incarnation rises with each start of the host.
	Incarnation uint64
	// Counter is raised by each claim within an incarnation: a suspicion is one above the record that it doubts, and
	// its refutation one above the suspicion.
	Counter uint64
	State   State
}

func (r Record) supersedes(other Record) bool {
	if r.Incarnation != other.Incarnation {
		return r.Incarnation > other.Incarnation
	}
	return r.Counter > other.Counter
}

// Timing holds the timeouts of the view.
type Timing struct {
	// Silence is the time without a message after which a peer is suspected.
	SuspectAfter time.Duration
	// Confirm is the time that a suspected host has for a refutation before it is taken for dead.
	DeadAfter time.Duration
	// Claim is the time after which a host that only the list knows is taken for dead.
	UnconfirmedTimeout time.Duration
	// Probe is the interval at which one host is tried that is taken for dead but was listed or known, so that the two
	// sides of a partition find each other again.
	ProbeInterval time.Duration
	// Forget is the time after which a dead host is no longer tried.
	ForgetAfter time.Duration
}

// DefaultTiming suspects after two missed digests, which a host sends to each peer every two seconds, and allows a
// paused host a few seconds to refute. A probe costs three packets of 1,200 bytes when there is no response, which is
// 120 bytes a second at this interval.
var DefaultTiming = Timing{
	SuspectAfter: 5 * time.Second, DeadAfter: 5 * time.Second, UnconfirmedTimeout: 15 * time.Second, ProbeInterval: 30 * time.Second,
	ForgetAfter: 24 * time.Hour,
}

// View is one daemon's view of the fleet. It is not safe for concurrent use. The exported fields are set before the
// first call.
type View struct {
	Self        fleet.Host
	Incarnation uint64
	// PeerCount is the number of connections that a daemon is to have on average. It chooses half of them, and as
	// many choose it.
	PeerCount int
	Timing    Timing

	statuses map[fleet.HostID]*hostStatus
	// rings holds the other members in several orders of hashes; it is emptied when the members change.
	rings [][]ringPosition
	// counter is that of this daemon's own latest record.
	counter        uint64
	announced      bool
	leaving        bool
	lastTick       time.Time
	lastProbeTime  time.Time
	lastProbedHost fleet.HostID
}

// knowledge is what is known about one host.
type hostStatus struct {
	// host is from the record if there is one, and else from the list.
	host fleet.Host
	// record is valid if recorded is set.
	record   Record
	recorded bool
	listed   bool
	// leaving is set while the list claims that the host is about to be taken away.
	leaving bool
	// listedSince is the time at which the list first showed the host.
	listedSince time.Time
	// doubted is the time at which the present suspicion became known here.
	suspectedSince time.Time
	// heard is the time of the host's last message on a connection, and connected whether there is one.
	lastHeard time.Time
	connected bool
	// wantedSince is the time since which the host has been a chosen peer without interruption.
	chosenSince time.Time
	member      bool
}

// Action is what the daemon is to do. The implementations are Publish and Doubt.
type Action interface {
	action()
}

// Publish asks for this daemon's own record to be disseminated.
type PublishSelf struct {
	Record Record
}

// Doubt asks for the suspicion of a silent host to be disseminated.
type PublishSuspicion struct {
	Record Record
}

func (PublishSelf) action()      {}
func (PublishSuspicion) action() {}

// Listed takes the host list as it was read.
func (v *View) UpdateHostList(now time.Time, entries []hosts.Entry) {
	for _, k := range v.allStatuses() {
		k.listed, k.leaving = false, false
	}
	for _, entry := range entries {
		k := v.getOrCreate(entry.Host.ID)
		k.listed, k.leaving = true, entry.State == hosts.Leaving
		if k.listedSince.IsZero() {
			k.listedSince = now
		}
		if !k.recorded {
			k.host = entry.Host
		}
	}
	v.updateMembers(now)
}

// Learn takes a record that was received or published. It returns the refutation if the record wrongly doubts this
// daemon, or stems from an earlier run of it.
func (v *View) ApplyRecord(now time.Time, record Record) []Action {
	if record.Host.ID == v.Self.ID {
		return v.applyRecordAboutSelf(record)
	}
	k := v.getOrCreate(record.Host.ID)
	if k.recorded && !record.supersedes(k.record) {
		return nil
	}
	if record.State == Suspect {
		k.suspectedSince = now
	}
	if k.host != record.Host {
		v.rings = nil
	}
	k.record, k.recorded, k.host = record, true, record.Host
	v.updateMember(now, k)
	return nil
}

func (v *View) applyRecordAboutSelf(record Record) []Action {
	own := v.ownRecord()
	if !record.supersedes(own) {
		return nil
	}
	if record.Incarnation > v.Incarnation {
		// The clock has gone back since an earlier run, whose records would otherwise stay in force.
		v.Incarnation = record.Incarnation + 1
	}
	v.counter = max(v.counter, record.Counter) + 1
	return []Action{PublishSelf{Record: v.ownRecord()}}
}

func (v *View) ownRecord() Record {
	state := Alive
	if v.leaving {
		state = Left
	}
	return Record{Host: v.Self, Incarnation: v.Incarnation, Counter: v.counter, State: state}
}

// Leave announces the end of this daemon.
func (v *View) Leave() []Action {
	v.leaving = true
	v.counter++
	return []Action{PublishSelf{Record: v.ownRecord()}}
}

// Heard notes a message from a host on a connection.
func (v *View) MessageReceived(now time.Time, id fleet.HostID) {
	k := v.getOrCreate(id)
	k.lastHeard = now
	v.updateMember(now, k)
}

// Connected notes that the connection to a peer was made or has ended.
func (v *View) SetConnected(now time.Time, id fleet.HostID, connected bool) {
	k := v.getOrCreate(id)
	k.connected = connected
	k.lastHeard = now
	v.updateMember(now, k)
}

// Tick is called at intervals of about a second. It publishes this daemon's first record and the suspicion of silent
// peers, and takes hosts for dead whose time is up.
func (v *View) Tick(now time.Time) []Action {
	var actions []Action
	if !v.announced {
		v.announced = true
		actions = append(actions, PublishSelf{Record: v.ownRecord()})
	}
	v.discountOwnPause(now)
	v.trackChosenPeers(now)
	for _, k := range v.allStatuses() {
		if v.shouldSuspect(now, k) {
			suspicion := k.record
			suspicion.Counter++
			suspicion.State = Suspect
			k.record, k.suspectedSince = suspicion, now
			actions = append(actions, PublishSuspicion{Record: suspicion})
		}
	}
	v.updateMembers(now)
	return actions
}

// silent reports whether a host is to be suspected: it is connected or a chosen peer, and has not been heard of in time.
func (v *View) shouldSuspect(now time.Time, k *hostStatus) bool {
	if !k.recorded || k.record.State != Alive || !k.connected && k.chosenSince.IsZero() {
		return false
	}
	since := k.lastHeard
	if k.chosenSince.After(since) {
		since = k.chosenSince
	}
	return now.Sub(since) > v.Timing.SuspectAfter
}

// excusePause discounts a time in which this daemon itself did not run, as it then heard of nobody.
func (v *View) discountOwnPause(now time.Time) {
	paused := !v.lastTick.IsZero() && now.Sub(v.lastTick) > v.Timing.SuspectAfter
	v.lastTick = now
	if !paused {
		return
	}
	for _, k := range v.allStatuses() {
		if k.connected {
			k.lastHeard = now
		}
		if !k.chosenSince.IsZero() {
			k.chosenSince = now
		}
	}
}

// markWanted notes since when each chosen peer has been one, so that a new peer has time to connect.
func (v *View) trackChosenPeers(now time.Time) {
	chosen := make(map[fleet.HostID]bool)
	for _, host := range v.Peers() {
		chosen[host.ID] = true
	}
	for id, k := range v.allStatuses() {
		switch {
		case !chosen[id]:
			k.chosenSince = time.Time{}
		case k.chosenSince.IsZero():
			k.chosenSince = now
		}
	}
}

// assess decides for each host whether it is a member.
func (v *View) updateMembers(now time.Time) {
	for _, k := range v.allStatuses() {
		v.updateMember(now, k)
	}
}

func (v *View) updateMember(now time.Time, k *hostStatus) {
	if member := v.isMember(now, k); member != k.member {
		k.member, v.rings = member, nil
	}
}

func (v *View) isMember(now time.Time, k *hostStatus) bool {
	if k.recorded {
		switch k.record.State {
		case Alive:
			return true
		case Suspect:
			return now.Sub(k.suspectedSince) <= v.Timing.DeadAfter
		case Left:
			return false
		}
	}
	if k.connected || !k.lastHeard.IsZero() && now.Sub(k.lastHeard) <= v.Timing.UnconfirmedTimeout {
		return k.host.PeerAddress.IsValid()
	}
	return k.listed && now.Sub(k.listedSince) <= v.Timing.UnconfirmedTimeout
}

func (v *View) getOrCreate(id fleet.HostID) *hostStatus {
	known := v.allStatuses()
	if known[id] == nil {
		known[id] = &hostStatus{host: fleet.Host{ID: id}}
	}
	return known[id]
}

func (v *View) allStatuses() map[fleet.HostID]*hostStatus {
	if v.statuses == nil {
		v.statuses = map[fleet.HostID]*hostStatus{v.Self.ID: {host: v.Self, record: v.ownRecord(), recorded: true, member: true}}
	}
	return v.statuses
}
