package keymap

import (
	"cmp"
	"slices"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// ErrMalformed means that bytes are not an encoded chunk.
var ErrMalformed = errors.New("keymap: malformed chunk")

// EncodeChunk returns the encoding of the assignments of one chunk and its version. Servers are listed once in each
// chunk, since most assignments of a service name the same few.
func EncodeChunk(index int, assignments []fleet.Assignment) ([]byte, fleet.Fence, error) {
	version := Version(assignments)
	chunk := &Chunk{
		Index: uint32(index), VersionEpoch: uint64(version.Epoch), VersionCounter: version.Counter, Servers: []string{""},
	}
	positions := map[fleet.UpstreamID]uint32{"": 0}
	position := func(server fleet.UpstreamID) uint32 {
		at, found := positions[server]
		if !found {
			at = uint32(len(chunk.Servers))
			positions[server] = at
			chunk.Servers = append(chunk.Servers, string(server))
		}
		return at
	}
	for _, assignment := range assignments {
		chunk.Partitions = append(chunk.Partitions, uint32(assignment.Partition))
		chunk.Owners = append(chunk.Owners, position(assignment.Owner))
		chunk.Standbys = append(chunk.Standbys, position(assignment.Standby))
		chunk.Epochs = append(chunk.Epochs, uint64(assignment.Fence.Epoch))
		chunk.Counters = append(chunk.Counters, assignment.Fence.Counter)
		chunk.Moving = append(chunk.Moving, assignment.Moving)
		if assignment.Key != 0 {
			chunk.Keys = append(chunk.Keys, uint64(assignment.Key))
		}
	}
	encoded, err := proto.Marshal(chunk)
	return encoded, version, errors.Wrap(err, "keymap: encode chunk")
}

// DecodeChunk returns the index and the assignments of an encoded chunk.
func DecodeChunk(encoded []byte) (int, []fleet.Assignment, error) {
	chunk := &Chunk{}
	if err := proto.Unmarshal(encoded, chunk); err != nil {
		return 0, nil, errors.Mark(errors.Wrap(err, "keymap: decode chunk"), ErrMalformed)
	}
	count := len(chunk.Partitions)
	for _, length := range []int{
		len(chunk.Owners), len(chunk.Standbys), len(chunk.Epochs), len(chunk.Counters), len(chunk.Moving),
	} {
		if length != count {
			return 0, nil, errors.Wrap(ErrMalformed, "lists of different lengths")
		}
	}
	if len(chunk.Keys) != 0 && len(chunk.Keys) != count {
		return 0, nil, errors.Wrap(ErrMalformed, "keys for some of the assignments only")
	}
	assignments := make([]fleet.Assignment, 0, count)
	for i := range count {
		assignment, err := chunk.assignment(i)
		if err != nil {
			return 0, nil, err
		}
		assignments = append(assignments, assignment)
	}
	return int(chunk.Index), assignments, nil
}

// assignment returns the assignment at one position of the lists.
func (x *Chunk) assignment(i int) (fleet.Assignment, error) {
	if int(x.Owners[i]) >= len(x.Servers) || int(x.Standbys[i]) >= len(x.Servers) {
		return fleet.Assignment{}, errors.Wrap(ErrMalformed, "server position out of range")
	}
	assignment := fleet.Assignment{
		Partition: fleet.PartitionID(x.Partitions[i]),
		Owner:     fleet.UpstreamID(x.Servers[x.Owners[i]]),
		Standby:   fleet.UpstreamID(x.Servers[x.Standbys[i]]),
		Fence:     fleet.Fence{Epoch: fleet.Epoch(x.Epochs[i]), Counter: x.Counters[i]},
		Moving:    x.Moving[i],
	}
	if len(x.Keys) > 0 {
		assignment.Key = fleet.KeyHash(x.Keys[i])
	}
	return assignment, nil
}

func sortAssignments(assignments []fleet.Assignment) {
	slices.SortFunc(assignments, func(a, b fleet.Assignment) int {
		return cmp.Or(cmp.Compare(a.Partition, b.Partition), cmp.Compare(a.Key, b.Key))
	})
}
