package keymap

import (
	"cmp"
	"slices"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// ErrMalformed means that an encoded chunk could not be decoded.
var ErrMalformed = errors.New("keymap: malformed chunk")

// EncodeChunk encodes the assignments of one chunk, and returns the encoding and the chunk's version. A chunk lists each server
// once and refers to it by position, since most assignments of a service name the same few servers.
func EncodeChunk(index int, assignments []fleet.Assignment) ([]byte, fleet.Fence, error) {
	version := Version(assignments)
	chunk := &Chunk{
		Index: uint32(index), VersionEpoch: uint64(version.Epoch), VersionCounter: version.Counter, Servers: []string{""},
	}
	positions := map[fleet.UpstreamID]uint32{"": 0}
	positionOf := func(server fleet.UpstreamID) uint32 {
		position, found := positions[server]
		if !found {
			position = uint32(len(chunk.Servers))
			positions[server] = position
			chunk.Servers = append(chunk.Servers, string(server))
		}
		return position
	}
	for _, assignment := range assignments {
		chunk.Partitions = append(chunk.Partitions, uint32(assignment.Partition))
		chunk.Owners = append(chunk.Owners, positionOf(assignment.Owner))
		chunk.Standbys = append(chunk.Standbys, positionOf(assignment.Standby))
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

// DecodeChunk decodes a chunk and returns its index and its assignments.
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
			return 0, nil, errors.Wrap(ErrMalformed, "lists have different lengths")
		}
	}
	if len(chunk.Keys) != 0 && len(chunk.Keys) != count {
		return 0, nil, errors.Wrap(ErrMalformed, "only some of the assignments have a key")
	}
	assignments := make([]fleet.Assignment, 0, count)
	for i := range count {
		assignment, err := chunk.assignmentAt(i)
		if err != nil {
			return 0, nil, err
		}
		assignments = append(assignments, assignment)
	}
	return int(chunk.Index), assignments, nil
}

// assignmentAt returns the assignment at position i of the chunk's lists.
func (x *Chunk) assignmentAt(i int) (fleet.Assignment, error) {
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

// sortAssignments sorts by partition, then by key.
func sortAssignments(assignments []fleet.Assignment) {
	slices.SortFunc(assignments, func(a, b fleet.Assignment) int {
		return cmp.Or(cmp.Compare(a.Partition, b.Partition), cmp.Compare(a.Key, b.Key))
	})
}
