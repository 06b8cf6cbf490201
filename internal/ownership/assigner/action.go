// Package assigner implements the assigner of a service: it elects the host that acts for the group of one service,
// decides which server owns which partition, and says which orders to send and which rows to write. A group is the
// assigners of one service on all hosts; one of them acts, one is its deputy, and the others watch. The package does no
// I/O and reads no clock: the caller passes in events with their times and executes the actions that are returned.
package assigner

import (
	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/ownership/lease"
)

// Action is an operation that the caller of an Assigner or an UnguardedAssigner must execute.
type Action interface {
	action()
}

// SendOrder sends an order to a server. The caller passes the same value to HandleReport or HandleNoReport afterwards.
// At most one order to each server is outstanding.
type SendOrder struct {
	Server fleet.UpstreamID
	Order  fleet.Order

	// member is the incarnation of the server that the group row listed at sending, and stamp is the stamp of the order
	// in the assigner's ledger.
	member      lease.Member
	logicalTime lease.LogicalTime
	// generation is that of the assigner at sending, so that a late report of an earlier period of acting is recognised.
	generation uint64
	// sentHotKeyVersion is the version of the hot-key list in the order, if the order has one.
	sentHotKeyVersion uint64
}

// ReadRow reads the group row. The caller passes the outcome to HandleRowRead or HandleRowReadFailure.
type ReadRow struct{}

// WriteRow writes the group row if it still has the expected version. The caller passes the outcome to HandleRowWritten.
type WriteRow struct {
	Expected Version
	Row      GroupRow
}

// ReadPlacement reads placement rows. The caller passes the outcome to HandlePlacementRead or
// HandlePlacementReadFailure.
type ReadPlacement struct {
	// Indexes are the indexes of the rows; an empty list means all existing rows.
	Indexes []int
}

// WritePlacement writes placement rows in one transaction that also checks the version of the group row. The caller
// passes the outcome to HandlePlacementWritten.
type WritePlacement struct {
	GroupVersion Version
	Rows         []PlacementRow
}

// Publish distributes changed assignments to all daemons.
type Publish struct {
	Assignments []fleet.Assignment
}

// SendMessage sends a message to the assigner of the same service on another host. The message may be lost.
type SendMessage struct {
	To      fleet.HostID
	Message Message
}

// ChangeRole reports a change of this host's role, to be logged.
type ChangeRole struct {
	From, To Role
	Epoch    fleet.Epoch
	Reason   Reason
}

func (SendOrder) action()      {}
func (ReadRow) action()        {}
func (WriteRow) action()       {}
func (ReadPlacement) action()  {}
func (WritePlacement) action() {}
func (Publish) action()        {}
func (SendMessage) action()    {}
func (ChangeRole) action()     {}

// Message is a message between the assigners of one group.
type Message interface {
	message()
}

// Heartbeat announces that the sender acts in an epoch.
type Heartbeat struct {
	Epoch fleet.Epoch
	// Version is the version of the group row that the sender knows.
	Version Version
	// PlacementWrites counts the sender's writes of placement rows; when it changes, the deputy reads the rows again.
	PlacementWrites uint64
	// Majority reports whether a majority of the servers has accepted the sender's orders recently.
	Majority bool
	// HandOver asks the deputy to take over immediately.
	HandOver bool
}

// Readiness is the reply of a host that the group row names as deputy to a heartbeat.
type Readiness struct {
	Version Version
	// Ready reports whether the sender may use the epoch reserved in that version of the group row.
	Ready bool
}

// HeartbeatRequest asks the receiver for a heartbeat. Only an acting assigner replies.
type HeartbeatRequest struct{}

func (Heartbeat) message()        {}
func (Readiness) message()        {}
func (HeartbeatRequest) message() {}

// Role is the role of a host in a group.
type Role string

const (
	// RoleWatching is the role of a host that takes over only if both the holder and the deputy are silent.
	RoleWatching Role = "watching"
	// RoleDeputy is the role of the host that takes over with the reserved epoch if the holder is silent.
	RoleDeputy Role = "deputy"
	// RoleActing is the role of a host that sends orders to the servers.
	RoleActing Role = "acting"
)

// Reason is the reason for a change of role.
type Reason string

const (
	// ReasonNamedDeputy means that the group row names this host as deputy.
	ReasonNamedDeputy Reason = "named-deputy"
	// ReasonNotDeputy means that the group row no longer names this host as deputy.
	ReasonNotDeputy Reason = "not-deputy"
	// ReasonHolderSilent means that the deputy received no heartbeat from the holder within its timeout.
	ReasonHolderSilent Reason = "holder-silent"
	// ReasonHandOver means that the holder handed the role over to this host.
	ReasonHandOver Reason = "hand-over"
	// ReasonRowWritten means that this host wrote the group row with itself as holder.
	ReasonRowWritten Reason = "row-written"
	// ReasonHigherEpoch means that another assigner uses a higher epoch.
	ReasonHigherEpoch Reason = "higher-epoch"
	// ReasonStopping means that this daemon is shutting down.
	ReasonStopping Reason = "stopping"
	// ReasonAuthorityEnded means that the authority from the table expired; only an UnguardedAssigner has such an
	// authority.
	ReasonAuthorityEnded Reason = "authority-ended"
)
