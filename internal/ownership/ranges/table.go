// Package ranges decides which server holds which range of key numbers. It serves deployments whose servers take grants of
// ranges for a bounded time, each with a fence: a table in the platform's store names the holder and the fence of each
// range, and a grant is sent only after the table says so. It does no I/O and has no clock.
package ranges

import (
	"encoding/json"
	"net/netip"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// Fence orders the grants of a key. The table hands out each fence in one write only.
type Fence uint64

// Owner is one run of a server.
type Owner struct {
	ID          fleet.UpstreamID  `json:"id"`
	Incarnation fleet.Incarnation `json:"run"`
	Address     netip.AddrPort    `json:"address"`
}

// Is reports whether both are the same run of the same server.
func (o Owner) SameProcess(other Owner) bool {
	return o.ID == other.ID && o.Incarnation == other.Incarnation
}

// Former is a server that may still hold a range.
type FormerOwner struct {
	Owner
	// FreeAt is the time of the store's clock at which every hold of the server has run out.
	GrantsExpireAt time.Duration `json:"free-at"`
}

// Holding is one range and the server that is to hold it.
type Assignment struct {
	Range fleet.KeyRange `json:"range"`
	// Owner has no id while no server can hold the range.
	Owner Owner `json:"owner"`
	// Fence is above that of every earlier holding of any of its keys.
	Fence Fence `json:"fence"`
	// Formers must have released the range, or must be free, before the owner may be granted it.
	FormerOwners []FormerOwner `json:"formers,omitempty"`
}

// Table says who holds what in one service. It is not changed once it is published.
type Table struct {
	// Term rises with each assigner that takes over.
	Term uint64 `json:"term"`
	// Fence is the highest fence handed out.
	Fence Fence `json:"fence"`
	// Daemons is the number of daemons that share the upstreams.
	Daemons int `json:"daemons"`
	// Holdings are ordered by key, do not overlap, and cover all keys unless there are none.
	Assignments []Assignment `json:"holdings"`
}

// ErrMalformed means that a table could not be read.
var ErrMalformed = errors.New("ranges: malformed table")

// Parse reads a table.
func Parse(text []byte) (*Table, error) {
	result := &Table{}
	if err := json.Unmarshal(text, result); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "ranges: parse table"), ErrMalformed)
	}
	next := 0
	for _, one := range result.Assignments {
		if int(one.Range.First) != next || one.Range.Last < one.Range.First || one.Fence > result.Fence {
			return nil, errors.Wrapf(ErrMalformed, "holding %s", one.Range)
		}
		next = int(one.Range.Last) + 1
	}
	if next != 0 && next != int(fleet.MaxNumericKey)+1 {
		return nil, errors.Wrap(ErrMalformed, "keys are missing")
	}
	return result, nil
}

// Encode writes a table.
func (t *Table) Encode() []byte {
	text, err := json.Marshal(t)
	if err != nil {
		panic(err) // every field can be encoded
	}
	return text
}

// Clone returns a copy that may be changed.
func (t *Table) Clone() *Table {
	result := *t
	result.Assignments = slices.Clone(t.Assignments)
	for i := range result.Assignments {
		result.Assignments[i].FormerOwners = slices.Clone(result.Assignments[i].FormerOwners)
	}
	return &result
}

// Locate returns the holding of a key, or nil.
func (t *Table) Locate(key fleet.NumericKey) *Assignment {
	index, found := slices.BinarySearchFunc(t.Assignments, key, func(one Assignment, key fleet.NumericKey) int {
		switch {
		case one.Range.Last < key:
			return -1
		case one.Range.First > key:
			return 1
		}
		return 0
	})
	if !found {
		return nil
	}
	return &t.Assignments[index]
}
