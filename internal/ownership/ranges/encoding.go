package ranges

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

const (
	// formatCompact is the first byte of a table in the compact form. A table in the form of earlier releases is a JSON object.
	formatCompact = 1
	// maxDecodedBytes limits a table after decompression.
	maxDecodedBytes = 8 << 20
)

// compactTable is the compact form of a table: each owner stands in it once. It is encoded as JSON and compressed with DEFLATE,
// since a table has to fit into one row of the store. Releases before this form do not read it; they keep the table that they
// have.
type compactTable struct {
	Term        uint64              `json:"t"`
	Fence       Fence               `json:"f"`
	Era         uint32              `json:"e,omitempty"`
	UnsureUntil time.Duration       `json:"u,omitempty"`
	Daemons     int                 `json:"d"`
	Owners      []Owner             `json:"o"`
	Assignments []compactAssignment `json:"a"`
}

// compactAssignment is an assignment that begins where the one before it ends.
type compactAssignment struct {
	Last fleet.NumericKey `json:"l"`
	// Owner is the index of the owner, counted from 1, or 0 if there is none.
	Owner   int             `json:"o,omitempty"`
	Fence   Fence           `json:"f"`
	Formers []compactFormer `json:"w,omitempty"`
}

// compactFormer is a former owner. Owner is its index, counted from 1.
type compactFormer struct {
	Owner          int           `json:"o"`
	GrantsExpireAt time.Duration `json:"e"`
	Unreachable    bool          `json:"u,omitempty"`
}

// Encode returns the table in the compact form, as Parse reads it.
func (t *Table) Encode() []byte {
	compact := compactTable{Term: t.Term, Fence: t.Fence, Era: t.Era, UnsureUntil: t.UnsureUntil, Daemons: t.Daemons}
	indices := make(map[Owner]int)
	indexOf := func(owner Owner) int {
		if owner == (Owner{}) {
			return 0
		}
		if indices[owner] == 0 {
			compact.Owners = append(compact.Owners, owner)
			indices[owner] = len(compact.Owners)
		}
		return indices[owner]
	}
	for _, assignment := range t.Assignments {
		next := compactAssignment{Last: assignment.Range.Last, Owner: indexOf(assignment.Owner), Fence: assignment.Fence}
		for _, former := range assignment.FormerOwners {
			next.Formers = append(next.Formers, compactFormer{
				Owner: indexOf(former.Owner), GrantsExpireAt: former.GrantsExpireAt, Unreachable: former.Unreachable,
			})
		}
		compact.Assignments = append(compact.Assignments, next)
	}
	content := bytes.NewBuffer([]byte{formatCompact})
	// Writing to a buffer does not fail, and every field can be encoded.
	writer, err := flate.NewWriter(content, flate.DefaultCompression)
	if err == nil {
		err = errors.CombineErrors(json.NewEncoder(writer).Encode(compact), writer.Close())
	}
	if err != nil {
		panic(err)
	}
	return content.Bytes()
}

// decode decodes a table in the compact form or in that of earlier releases.
func decode(content []byte) (*Table, error) {
	if len(content) == 0 || content[0] != formatCompact {
		result := &Table{}
		return result, errors.Wrap(json.Unmarshal(content, result), "ranges: decode JSON")
	}
	reader := flate.NewReader(bytes.NewReader(content[1:]))
	text, err := io.ReadAll(io.LimitReader(reader, maxDecodedBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "ranges: decompress table")
	}
	if len(text) > maxDecodedBytes {
		return nil, errors.Newf("ranges: table exceeds %d bytes", maxDecodedBytes)
	}
	var compact compactTable
	if err := json.Unmarshal(text, &compact); err != nil {
		return nil, errors.Wrap(err, "ranges: decode compact table")
	}
	return compact.expand()
}

// expand returns the table. It fails if an index does not name an owner.
func (c *compactTable) expand() (*Table, error) {
	result := &Table{Term: c.Term, Fence: c.Fence, Era: c.Era, UnsureUntil: c.UnsureUntil, Daemons: c.Daemons}
	var invalid error
	ownerAt := func(index int) Owner {
		if index < 0 || index > len(c.Owners) {
			invalid = errors.Newf("ranges: %d is not the index of an owner", index)
		}
		if index <= 0 || invalid != nil {
			return Owner{}
		}
		return c.Owners[index-1]
	}
	first := fleet.NumericKey(0)
	for _, assignment := range c.Assignments {
		next := Assignment{
			Range: fleet.KeyRange{First: first, Last: assignment.Last}, Owner: ownerAt(assignment.Owner), Fence: assignment.Fence,
		}
		for _, former := range assignment.Formers {
			next.FormerOwners = append(next.FormerOwners, FormerOwner{
				Owner: ownerAt(former.Owner), GrantsExpireAt: former.GrantsExpireAt, Unreachable: former.Unreachable,
			})
		}
		result.Assignments = append(result.Assignments, next)
		first = assignment.Last + 1
	}
	return result, invalid
}
