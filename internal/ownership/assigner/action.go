// Package assigner decides for the assigner of a group: who holds the role, which server owns which partition, and what
// to send and to write next. It does no I/O and reads no clock: its user passes in what happened and when, and carries
// out the actions that are returned.
package assigner

import (
	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/ownership/lease"
)

// Action is one thing that the user of an Assigner must do.
type Action interface {
	action()
}

// SendOrder sends an order to a server. Its user answers with Reported or Unanswered, passing the same value. At most
// one order to a server is outstanding at a time.
type SendOrder struct {
	Server fleet.UpstreamID
	Order  fleet.Order

	member lease.Member
	stamp  lease.LogicalTime
	// run distinguishes the epochs and roles of this assigner, so that late answers are recognised.
	run uint64
	// entries is the version of the list of hot keys in the order, if it has one.
	entries uint64
}

// ReadRow reads the group row. Its user answers with RowRead or RowUnread.
type ReadRow struct{}

// WriteRow writes the group row if it still has the expected version. Its user answers with RowWritten.
type WriteRow struct {
	Expected Version
	Row      GroupRow
}

// ReadPlacement reads placement rows. Its user answers with PlacementRead or PlacementUnread.
type ReadPlacement struct {
	// Rows are the numbers of the rows; none stands for all that exist.
	Indexes []int
}

// WritePlacement writes placement rows in one transaction which also checks that the group row has the given version.
// Its user answers with PlacementWritten.
type WritePlacement struct {
	GroupVersion Version
	Rows         []PlacementRow
}

// Publish makes assignments known to all daemons.
type Publish struct {
	Assignments []fleet.Assignment
}

// SendMessage sends a message to the assigner of the same service on another host. It may be lost.
type SendMessage struct {
	To      fleet.HostID
	Message Message
}

// ChangeRole tells that the role of this host changed, for the log.
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

// Message is what the assigners of a service on several hosts tell one another.
type Message interface {
	message()
}

// Heartbeat tells that the sender acts in an epoch.
type Heartbeat struct {
	Epoch   fleet.Epoch
	Version Version
	// Placements rises with each write of placement rows, so that the deputy reads them again.
	PlacementWrites uint64
	// Majority is set while a majority of the servers accepts the sender's orders.
	Majority bool
	// HandOver asks the deputy to start at once.
	HandOver bool
}

// Readiness is the deputy's answer to a heartbeat.
type Readiness struct {
	Version Version
	// Ready is set when the sender may use the epoch reserved in that version of the group row.
	Ready bool
}

// Question asks whether the receiver acts; an acting assigner answers with a heartbeat.
type HeartbeatRequest struct{}

func (Heartbeat) message()        {}
func (Readiness) message()        {}
func (HeartbeatRequest) message() {}

// Role says what a host does for a group.
type Role string

const (
	// RoleWatching means that the host does nothing unless holder and deputy are both silent.
	RoleWatching Role = "watching"
	// RoleDeputy means that the host takes over with the reserved epoch when the holder is silent.
	RoleDeputy Role = "deputy"
	// RoleActing means that the host sends orders.
	RoleActing Role = "acting"
)

// Reason says why a role changed.
type Reason string

const (
	// ReasonNamedDeputy means that the group row names this host as deputy.
	ReasonNamedDeputy Reason = "named-deputy"
	// ReasonNotDeputy means that the group row no longer names this host as deputy.
	ReasonNotDeputy Reason = "not-deputy"
	// ReasonHolderSilent means that the deputy heard nothing of the holder for too long.
	ReasonHolderSilent Reason = "holder-silent"
	// ReasonHandOver means that the holder handed over the role.
	ReasonHandOver Reason = "hand-over"
	// ReasonRowWritten means that the group row with this host as holder was written.
	ReasonRowWritten Reason = "row-written"
	// ReasonHigherEpoch means that a higher epoch was seen.
	ReasonHigherEpoch Reason = "higher-epoch"
	// ReasonStopping means that this daemon is about to stop.
	ReasonStopping Reason = "stopping"
	// ReasonAuthorityEnded means that the authority from the table ended for a service whose servers check no orders.
	ReasonAuthorityEnded Reason = "authority-ended"
)
