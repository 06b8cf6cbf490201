package fleet

import "time"

// Renewal extends the lease of a whole server.
type Renewal struct {
	// Reading is the server's own monotonic clock reading, taken from one of its reports. The lease ends Term after
	// it, so that a delayed order cannot lengthen the lease and no two clocks need to agree.
	ClockReading time.Duration
	Term         time.Duration
}

// Grant makes a server the owner of a partition for as long as its lease runs.
type Grant struct {
	Partition PartitionID
	Fence     Fence
	// Key is the key of a hot-key entry, and zero for a hash range.
	Key KeyHash
}

// Entry is the dedicated entry of one hot key. The key belongs to this partition and no longer to its hash range.
type HotKey struct {
	Key       KeyHash
	Partition PartitionID
}

// Entries is the full list of the hot-key entries of a service. It is a struct so that an empty list differs from none.
type HotKeyList struct {
	List []HotKey
}

// Order is what an assigner sends to a server of its group.
type Order struct {
	Service ServiceName
	Epoch   Epoch
	// Sequence rises with each order that this assigner sends to this server in this epoch.
	Sequence Sequence
	// Incarnation is the run of the server that the order is meant for. An empty one only asks for a report:
	// such an order may neither renew, nor grant, nor revoke.
	Incarnation Incarnation
	// Renewal is nil when the lease is not to be extended.
	Renewal *Renewal
	Grants  []Grant
	Revokes []PartitionID
	// Entries is nil when the server's list of hot-key entries is to stay as it is. It takes effect before the
	// revocations and the grants.
	HotKeys *HotKeyList
	// WantHoldings asks for the full list of holdings in the report.
	WantHoldings bool
}

// Refusal says why a server did not accept an order.
type Refusal string

const (
	// RefusalNone means that the order was accepted.
	RefusalNone Refusal = ""
	// RefusalEpoch means that the server has accepted a higher epoch.
	RefusalEpoch Refusal = "older-epoch"
	// RefusalSequence means that the order is a repetition or came after a later one.
	RefusalSequence Refusal = "older-sequence"
	// RefusalIncarnation means that the order was meant for another run of the server.
	RefusalIncarnation Refusal = "other-incarnation"
	// RefusalService means that the server does not belong to the service named in the order.
	RefusalService Refusal = "other-service"
)

// Report is a server's answer to an order.
type Report struct {
	Incarnation Incarnation
	// Reading is the server's own monotonic clock at the time of the answer.
	ClockReading time.Duration
	// HighestEpoch is the highest epoch that the server has accepted, this order included.
	HighestEpoch Epoch
	Refusal      Refusal
	// LeaseLeft is how long the lease still runs by the server's own clock; zero or less when it has lapsed.
	LeaseRemaining time.Duration
	// Holdings is the full list of partitions held, including those being released. It is meaningful only if the
	// order asked for it.
	Holdings []Grant
	// Released lists the partitions whose release has completed in the epoch of the order.
	Released []PartitionID
	// InFlight counts the requests being run.
	InFlight int
	// Leaving is set when the server is about to stop and wants its partitions to be moved.
	Leaving bool
}

// Accepted reports whether the server accepted the order.
func (r Report) Accepted() bool {
	return r.Refusal == RefusalNone
}
