package fleet

import "time"

// Renewal extends the lease of a server, which covers all its partitions.
type Renewal struct {
	// ClockReading is the reading of the server's own monotonic clock in one of its reports. The lease ends LeaseDuration
	// after it, so that a delayed order does not extend the lease and no clocks need to be synchronized.
	ClockReading  time.Duration
	LeaseDuration time.Duration
}

// Grant makes a server the owner of a partition while the server's lease is valid.
type Grant struct {
	Partition PartitionID
	Fence     Fence
	// Key is the hash of the hot key if the partition belongs to one. It is zero for a hash range.
	Key KeyHash
}

// HotKey is a key with a partition of its own. It does not belong to the partition of its hash range.
type HotKey struct {
	Key       KeyHash
	Partition PartitionID
}

// HotKeyList is the complete list of hot keys of a service. It is a struct so that a pointer to it can tell an empty list
// from no list.
type HotKeyList struct {
	List []HotKey
}

// Order is a message from an assigner to a server of its group. It renews the lease, grants and revokes partitions, or only
// asks for a report.
type Order struct {
	Service ServiceName
	Epoch   Epoch
	// Sequence increases with each order that this assigner sends to this server in this epoch.
	Sequence Sequence
	// Incarnation is the run of the server process that the order is meant for. If it is empty, the order only asks for a
	// report and must not renew, grant or revoke anything.
	Incarnation Incarnation
	// Renewal is nil if the lease is not extended.
	Renewal *Renewal
	Grants  []Grant
	Revokes []PartitionID
	// HotKeys is nil if the server keeps its list of hot keys. A new list takes effect before the revocations and the
	// grants.
	HotKeys *HotKeyList
	// WantHoldings asks for the complete list of holdings in the report.
	WantHoldings bool
}

// Refusal is the reason for which a server did not accept an order.
type Refusal string

const (
	// RefusalNone means that the order was accepted.
	RefusalNone Refusal = ""
	// RefusalEpoch means that the server has accepted a higher epoch.
	RefusalEpoch Refusal = "older-epoch"
	// RefusalSequence means that the order is a duplicate or arrived after a later one.
	RefusalSequence Refusal = "older-sequence"
	// RefusalIncarnation means that the order was meant for another run of the server process.
	RefusalIncarnation Refusal = "other-incarnation"
	// RefusalService means that the server does not belong to the service named in the order.
	RefusalService Refusal = "other-service"
)

// Report is the reply of a server to an order.
type Report struct {
	Incarnation Incarnation
	// ClockReading is the server's own monotonic clock at the time of the reply.
	ClockReading time.Duration
	// HighestEpoch is the highest epoch that the server has accepted, including this order.
	HighestEpoch Epoch
	Refusal      Refusal
	// LeaseRemaining is the rest of the lease by the server's own clock. It is zero or negative if the lease has expired.
	LeaseRemaining time.Duration
	// Holdings is the complete list of partitions that the server owns, including those that it is releasing. It is set
	// only if the order asked for it.
	Holdings []Grant
	// Released lists the partitions whose release was completed in the epoch of the order.
	Released []PartitionID
	// InFlight is the number of requests that the server is running.
	InFlight int
	// Leaving is set if the server is about to shut down and its partitions must be moved.
	Leaving bool
}

// Accepted reports whether the server accepted the order.
func (r Report) Accepted() bool {
	return r.Refusal == RefusalNone
}
