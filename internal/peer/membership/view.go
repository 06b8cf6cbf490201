// Package membership decides which hosts are members of the fleet, which members are this daemon's peers, and how members
// rank for a role. The platform's host list, which can be stale or wrong, only bootstraps the membership; records that hosts
// publish about themselves and failures that peers detect take precedence. The package does no I/O and takes the time as an
// argument.
package membership

import (
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/platform/hosts"
)

// State is the state of a host according to a record.
type State string

const (
	// Alive means that the host published the record itself.
	Alive State = "alive"
	// Suspect means that a peer of the host has not received any message from it in time. A running host refutes the
	// suspicion with a later record.
	Suspect State = "suspect"
	// Left means that the host has announced that it leaves the fleet.
	Left State = "left"
)

// Record states that a host is in a state. Of two records of a host, the one with the higher incarnation is in force, and of
// equal incarnations the one with the higher counter.
type Record struct {
	Host fleet.Host
	// Incarnation increases with each start of the host.
	Incarnation uint64
	// Counter orders the records of one incarnation. The counter of a suspicion is one above that of the record it follows,
	// and the counter of the refutation is one above that of the suspicion.
	Counter uint64
	State   State
}

// supersedes reports whether r takes precedence over another record of the same host.
func (r Record) supersedes(other Record) bool {
	if r.Incarnation != other.Incarnation {
		return r.Incarnation > other.Incarnation
	}
	return r.Counter > other.Counter
}

// Timing holds the timeouts of a View.
type Timing struct {
	// SuspectAfter is the time without a message after which a peer is suspected.
	SuspectAfter time.Duration
	// DeadAfter is the time that a suspected host has to refute the suspicion before it is considered dead.
	DeadAfter time.Duration
	// UnconfirmedTimeout is the time after which a host without a record, known only from the host list or from its
	// messages, is considered dead.
	UnconfirmedTimeout time.Duration
	// ProbeInterval is the interval at which the daemon tries to connect to one of the hosts considered dead, so that the two
	// sides of a partition find each other again.
	ProbeInterval time.Duration
	// ForgetAfter is the time after which a dead host is no longer probed.
	ForgetAfter time.Duration
}

// DefaultTiming suspects a peer after two missed digests, which a host sends to each peer every two seconds, and gives a
// paused host a few seconds to refute. A probe without a response costs three packets of 1,200 bytes, which is 120 bytes a
// second at this interval.
var DefaultTiming = Timing{
	SuspectAfter: 5 * time.Second, DeadAfter: 5 * time.Second, UnconfirmedTimeout: 15 * time.Second, ProbeInterval: 30 * time.Second,
	ForgetAfter: 24 * time.Hour,
}

// View is one daemon's view of the fleet. It is not safe for concurrent use. The exported fields are set before the
// first call.
type View struct {
	// Self is the host of this daemon.
	Self fleet.Host
	// Incarnation increases with each start of this daemon.
	Incarnation uint64
	// PeerCount is the average number of peer connections of a daemon. The daemon chooses half of them; the other half come
	// from daemons that chose it.
	PeerCount int
	Timing    Timing

	statuses map[fleet.HostID]*hostStatus
	// rings holds the hash rings from which peers are chosen. It is reset when the members change.
	rings [][]ringPosition
	// counter is the counter of this daemon's latest own record.
	counter        uint64
	announced      bool
	leaving        bool
	lastTick       time.Time
	lastProbeTime  time.Time
	lastProbedHost fleet.HostID
}

// hostStatus is what this daemon knows about one host.
type hostStatus struct {
	// host comes from the record if there is one, and otherwise from the host list.
	host fleet.Host
	// record is valid if recorded is set.
	record   Record
	recorded bool
	listed   bool
	// leaving is set while the host list states that the platform is about to remove the host.
	leaving bool
	// listedSince is the time at which the host list first contained the host.
	listedSince time.Time
	// suspectedSince is the time at which this daemon learned of the current suspicion.
	suspectedSince time.Time
	// lastHeard is the time of the last message from the host, or of the last change of its connection if that is later.
	lastHeard time.Time
	connected bool
	// chosenSince is the time at which the host became a chosen peer. It is zero if the host is not one.
	chosenSince time.Time
	member      bool
}

// Action is a record that the caller is to disseminate. The implementations are PublishSelf and PublishSuspicion.
type Action interface {
	action()
}

// PublishSelf asks the caller to disseminate this daemon's own record.
type PublishSelf struct {
	Record Record
}

// PublishSuspicion asks the caller to disseminate the suspicion of a silent host.
type PublishSuspicion struct {
	Record Record
}

func (PublishSelf) action()      {}
func (PublishSuspicion) action() {}

// UpdateHostList replaces the entries of the platform's host list.
func (v *View) UpdateHostList(now time.Time, entries []hosts.Entry) {
	for _, status := range v.allStatuses() {
		status.listed, status.leaving = false, false
	}
	for _, entry := range entries {
		status := v.getOrCreate(entry.Host.ID)
		status.listed, status.leaving = true, entry.State == hosts.Leaving
		if status.listedSince.IsZero() {
			status.listedSince = now
		}
		if !status.recorded {
			status.host = entry.Host
		}
	}
	v.updateMembers(now)
}

// ApplyRecord applies a record that was received or published. If a received record about this daemon supersedes its own, as
// a suspicion or a record of an earlier run does, ApplyRecord returns the record that refutes it.
func (v *View) ApplyRecord(now time.Time, record Record) []Action {
	if record.Host.ID == v.Self.ID {
		return v.applyRecordAboutSelf(record)
	}
	status := v.getOrCreate(record.Host.ID)
	if status.recorded && !record.supersedes(status.record) {
		return nil
	}
	if record.State == Suspect {
		status.suspectedSince = now
	}
	if status.host != record.Host {
		v.rings = nil
	}
	status.record, status.recorded, status.host = record, true, record.Host
	v.updateMember(now, status)
	return nil
}

// applyRecordAboutSelf returns the refutation of a record about this daemon that supersedes its own.
func (v *View) applyRecordAboutSelf(record Record) []Action {
	own := v.ownRecord()
	if !record.supersedes(own) {
		return nil
	}
	if record.Incarnation > v.Incarnation {
		// The clock has gone back since an earlier run, so that its records would stay in force.
		v.Incarnation = record.Incarnation + 1
	}
	v.counter = max(v.counter, record.Counter) + 1
	return []Action{PublishSelf{Record: v.ownRecord()}}
}

// ownRecord returns the current record of this daemon.
func (v *View) ownRecord() Record {
	state := Alive
	if v.leaving {
		state = Left
	}
	return Record{Host: v.Self, Incarnation: v.Incarnation, Counter: v.counter, State: state}
}

// Leave returns the record that announces that this daemon leaves the fleet.
func (v *View) Leave() []Action {
	v.leaving = true
	v.counter++
	return []Action{PublishSelf{Record: v.ownRecord()}}
}

// MessageReceived records that a message of a host has arrived.
func (v *View) MessageReceived(now time.Time, id fleet.HostID) {
	status := v.getOrCreate(id)
	status.lastHeard = now
	v.updateMember(now, status)
}

// SetConnected records that the connection to a peer was established or has ended.
func (v *View) SetConnected(now time.Time, id fleet.HostID, connected bool) {
	status := v.getOrCreate(id)
	status.connected = connected
	status.lastHeard = now
	v.updateMember(now, status)
}

// Tick is called about once a second. It updates the members and returns this daemon's first record and the suspicions of
// silent peers.
func (v *View) Tick(now time.Time) []Action {
	var actions []Action
	if !v.announced {
		v.announced = true
		actions = append(actions, PublishSelf{Record: v.ownRecord()})
	}
	v.discountOwnPause(now)
	v.trackChosenPeers(now)
	for _, status := range v.allStatuses() {
		if v.shouldSuspect(now, status) {
			suspicion := status.record
			suspicion.Counter++
			suspicion.State = Suspect
			status.record, status.suspectedSince = suspicion, now
			actions = append(actions, PublishSuspicion{Record: suspicion})
		}
	}
	v.updateMembers(now)
	return actions
}

// shouldSuspect reports whether to suspect a host: it is connected or a chosen peer, and has not sent a message in time.
func (v *View) shouldSuspect(now time.Time, status *hostStatus) bool {
	if !status.recorded || status.record.State != Alive || !status.connected && status.chosenSince.IsZero() {
		return false
	}
	silentSince := status.lastHeard
	if status.chosenSince.After(silentSince) {
		silentSince = status.chosenSince
	}
	return now.Sub(silentSince) > v.Timing.SuspectAfter
}

// discountOwnPause restarts the timeouts of all peers after this daemon itself was paused, since it could not receive any
// messages during the pause.
func (v *View) discountOwnPause(now time.Time) {
	paused := !v.lastTick.IsZero() && now.Sub(v.lastTick) > v.Timing.SuspectAfter
	v.lastTick = now
	if !paused {
		return
	}
	for _, status := range v.allStatuses() {
		if status.connected {
			status.lastHeard = now
		}
		if !status.chosenSince.IsZero() {
			status.chosenSince = now
		}
	}
}

// trackChosenPeers updates the time since which each host has been a chosen peer, so that a new peer has time to connect
// before it is suspected.
func (v *View) trackChosenPeers(now time.Time) {
	chosen := make(map[fleet.HostID]bool)
	for _, host := range v.Peers() {
		chosen[host.ID] = true
	}
	for id, status := range v.allStatuses() {
		switch {
		case !chosen[id]:
			status.chosenSince = time.Time{}
		case status.chosenSince.IsZero():
			status.chosenSince = now
		}
	}
}

// updateMembers decides for each host whether it is a member.
func (v *View) updateMembers(now time.Time) {
	for _, status := range v.allStatuses() {
		v.updateMember(now, status)
	}
}

func (v *View) updateMember(now time.Time, status *hostStatus) {
	if member := v.isMember(now, status); member != status.member {
		status.member, v.rings = member, nil
	}
}

// isMember decides whether a host is a member. Its record takes precedence over its messages, and these over the host list.
func (v *View) isMember(now time.Time, status *hostStatus) bool {
	if status.recorded {
		switch status.record.State {
		case Alive:
			return true
		case Suspect:
			return now.Sub(status.suspectedSince) <= v.Timing.DeadAfter
		case Left:
			return false
		}
	}
	if status.connected || !status.lastHeard.IsZero() && now.Sub(status.lastHeard) <= v.Timing.UnconfirmedTimeout {
		return status.host.PeerAddress.IsValid()
	}
	return status.listed && now.Sub(status.listedSince) <= v.Timing.UnconfirmedTimeout
}

// getOrCreate returns the status of a host, which it creates if the host is unknown.
func (v *View) getOrCreate(id fleet.HostID) *hostStatus {
	statuses := v.allStatuses()
	if statuses[id] == nil {
		statuses[id] = &hostStatus{host: fleet.Host{ID: id}}
	}
	return statuses[id]
}

// allStatuses returns the status of every known host, this daemon included.
func (v *View) allStatuses() map[fleet.HostID]*hostStatus {
	if v.statuses == nil {
		v.statuses = map[fleet.HostID]*hostStatus{v.Self.ID: {host: v.Self, record: v.ownRecord(), recorded: true, member: true}}
	}
	return v.statuses
}
