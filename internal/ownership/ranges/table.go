// Package ranges assigns ranges of key numbers to servers. It serves deployments whose servers accept time-limited grants of
// key ranges, each with a fencing token: a table in the platform's store records the owner and the fence of each range, and a
// grant is sent only after the table names it. The package does no I/O and reads no clock.
package ranges

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// Fence is a fencing token that orders the grants of a key. No two writes of the table issue the same fence.
type Fence uint64

// Owner identifies one process of a server.
type Owner struct {
	ID          fleet.UpstreamID  `json:"id"`
	Incarnation fleet.Incarnation `json:"run"`
	Address     netip.AddrPort    `json:"address"`
}

// SameProcess reports whether both are the same incarnation of the same server. It ignores the address.
func (o Owner) SameProcess(other Owner) bool {
	return o.ID == other.ID && o.Incarnation == other.Incarnation
}

// FormerOwner is a server that may still have a valid grant of a range that was assigned to another one. An empty owner
// stands for any server.
type FormerOwner struct {
	Owner
	// GrantsExpireAt is the time of the store's clock at which every grant to the server has expired.
	GrantsExpireAt time.Duration `json:"free-at"`
	// Unreachable is set if the server cannot be asked to release the range, so that it is free no earlier than at GrantsExpireAt
	// unless the server comes back.
	Unreachable bool `json:"unreachable,omitempty"`
}

// Assignment is a range of keys and the server that owns it.
type Assignment struct {
	Range fleet.KeyRange `json:"range"`
	// Owner has an empty ID while no server is available for the range.
	Owner Owner `json:"owner"`
	// Fence is higher than that of every earlier assignment of any key in the range.
	Fence Fence `json:"fence"`
	// FormerOwners must have released the range, or their grants must have expired, before the range is granted to Owner.
	FormerOwners []FormerOwner `json:"formers,omitempty"`
}

// Table holds the assignments of one service. It is immutable once published.
type Table struct {
	// Term increases each time another assigner takes over.
	Term uint64 `json:"term"`
	// Fence is the highest fence used so far.
	Fence Fence `json:"fence"`
	// Era is the store's era in which the table was written. A table that is stored in a later era came back from a copy, and
	// later ones may have been lost.
	Era uint32 `json:"era,omitempty"`
	// UnsureUntil is the time of the store's clock until which servers that the table does not name may own keys, because of
	// tables that the store has lost. It is zero if there are none.
	UnsureUntil time.Duration `json:"unsure-until,omitempty"`
	// Daemons is the number of daemons that send requests to the servers.
	Daemons int `json:"daemons"`
	// Assignments are ordered by key and do not overlap. They cover all keys, or there are none.
	Assignments []Assignment `json:"holdings"`
}

// ErrMalformed means that a stored table could not be decoded.
var ErrMalformed = errors.New("ranges: malformed table")

// Parse decodes and validates a table.
func Parse(content []byte) (*Table, error) {
	result, err := decode(content)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "ranges: parse table"), ErrMalformed)
	}
	next := 0
	for _, assignment := range result.Assignments {
		if int(assignment.Range.First) != next || assignment.Range.Last < assignment.Range.First || assignment.Fence > result.Fence {
			return nil, errors.Wrapf(ErrMalformed, "range %s is out of order or its fence exceeds that of the table", assignment.Range)
		}
		next = int(assignment.Range.Last) + 1
	}
	if next != 0 && next != int(fleet.MaxNumericKey)+1 {
		return nil, errors.Wrap(ErrMalformed, "ranges do not cover all keys")
	}
	return result, nil
}

// fencesPerEra is the number of fences that can be issued in one era of the store.
const fencesPerEra = 1 << 32

// FirstFence returns a fence that is higher than all that were issued before an era of the store.
func FirstFence(era uint32) Fence { return Fence(era) * fencesPerEra }

// Precedes reports whether a table is older than another one of the same service. Each table that changes owners has a higher
// fence, and each assigner a higher term, also across eras of the store.
func (t *Table) Precedes(other *Table) bool {
	return t.Fence < other.Fence || t.Fence == other.Fence && t.Term < other.Term
}

// Recover returns the table with which to go on after the store has come back from an older copy. t is the newest table that is
// known. Its successors may have been lost, and with them grants that last until unsureUntil.
func (t *Table) Recover(era uint32, unsureUntil time.Duration) *Table {
	next := t.Clone()
	next.Era, next.UnsureUntil = era, max(t.UnsureUntil, unsureUntil)
	next.Fence = max(next.Fence, FirstFence(era))
	return next
}

// Refence returns a copy in which every assignment has a new fence, under the same owner.
func (t *Table) Refence() *Table {
	next := t.Clone()
	if len(next.Assignments) > 0 {
		next.Fence++
	}
	for i := range next.Assignments {
		next.Assignments[i].Fence = next.Fence
	}
	return next
}

// Clone returns a deep copy.
func (t *Table) Clone() *Table {
	result := *t
	result.Assignments = slices.Clone(t.Assignments)
	for i := range result.Assignments {
		result.Assignments[i].FormerOwners = slices.Clone(result.Assignments[i].FormerOwners)
	}
	return &result
}

// Locate returns the assignment that contains a key, or nil.
func (t *Table) Locate(key fleet.NumericKey) *Assignment {
	index, found := slices.BinarySearchFunc(t.Assignments, key, func(assignment Assignment, key fleet.NumericKey) int {
		switch {
		case assignment.Range.Last < key:
			return -1
		case assignment.Range.First > key:
			return 1
		}
		return 0
	})
	if !found {
		return nil
	}
	return &t.Assignments[index]
}
