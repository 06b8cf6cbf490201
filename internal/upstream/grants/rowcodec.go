package grants

import (
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/ownership/assigner"
	"rosemarywick.example/rosemarywick/internal/ownership/lease"
)

// wireMember is one start of a server that belongs to the group.
type wireMember struct {
	Server      string `json:"server"`
	Incarnation string `json:"incarnation"`
}

// wireGroupRow is the group row of a service.
type wireGroupRow struct {
	Epoch         uint64       `json:"epoch"`
	ReservedEpoch uint64       `json:"reserve"`
	Holder        string       `json:"holder"`
	Deputy        string       `json:"deputy"`
	Members       []wireMember `json:"members"`
	Previous      []wireMember `json:"previous"`
	Token         string       `json:"token"`
}

// wirePlacement is a placement row. Each place is [partition, owner, standby, epoch, counter, key], where owner and standby
// are indexes into Servers, so that a row of 256 partitions stays below 8 kB.
type wirePlacement struct {
	Servers    []string    `json:"servers"`
	Placements [][6]uint64 `json:"places"`
}

func groupRowName(service fleet.ServiceName) string {
	return "group/" + string(service)
}

func placementPrefix(service fleet.ServiceName) string {
	return fmt.Sprintf("placement/%s/", service)
}

// placementRowName returns the name of a placement row. The number has a fixed width, so that the names sort numerically.
func placementRowName(service fleet.ServiceName, index int) string {
	return fmt.Sprintf("%s%04d", placementPrefix(service), index)
}

func encodeGroupRow(row assigner.GroupRow) ([]byte, error) {
	encoded, err := json.Marshal(wireGroupRow{
		Epoch: uint64(row.Epoch), ReservedEpoch: uint64(row.ReservedEpoch), Holder: string(row.Holder), Deputy: string(row.Deputy),
		Members: encodeMembers(row.Members), Previous: encodeMembers(row.PreviousMembers), Token: row.Token,
	})
	return encoded, errors.Wrap(err, "grants: encode group row")
}

func decodeGroupRow(encoded []byte) (assigner.GroupRow, error) {
	var wire wireGroupRow
	if err := json.Unmarshal(encoded, &wire); err != nil {
		return assigner.GroupRow{}, errors.Mark(errors.Wrap(err, "grants: decode group row"), ErrMalformed)
	}
	return assigner.GroupRow{
		Epoch: fleet.Epoch(wire.Epoch), ReservedEpoch: fleet.Epoch(wire.ReservedEpoch), Holder: fleet.HostID(wire.Holder),
		Deputy: fleet.HostID(wire.Deputy), Members: decodeMembers(wire.Members),
		PreviousMembers: decodeMembers(wire.Previous), Token: wire.Token,
	}, nil
}

func encodeMembers(members []lease.Member) []wireMember {
	wire := make([]wireMember, 0, len(members))
	for _, member := range members {
		wire = append(wire, wireMember{Server: string(member.Server), Incarnation: string(member.Incarnation)})
	}
	return wire
}

func decodeMembers(wire []wireMember) []lease.Member {
	members := make([]lease.Member, 0, len(wire))
	for _, member := range wire {
		members = append(members, lease.Member{
			Server: fleet.UpstreamID(member.Server), Incarnation: fleet.Incarnation(member.Incarnation),
		})
	}
	return members
}

func encodePlacement(places []assigner.PartitionPlacement) ([]byte, error) {
	wire := wirePlacement{Servers: []string{""}}
	indexes := map[fleet.UpstreamID]uint64{"": 0}
	indexOf := func(server fleet.UpstreamID) uint64 {
		index, found := indexes[server]
		if !found {
			index = uint64(len(wire.Servers))
			indexes[server] = index
			wire.Servers = append(wire.Servers, string(server))
		}
		return index
	}
	for _, place := range places {
		wire.Placements = append(wire.Placements, [6]uint64{
			uint64(place.Partition), indexOf(place.Owner), indexOf(place.Standby),
			uint64(place.Fence.Epoch), place.Fence.Counter, uint64(place.Key),
		})
	}
	encoded, err := json.Marshal(wire)
	return encoded, errors.Wrap(err, "grants: encode placement row")
}

func decodePlacement(encoded []byte) ([]assigner.PartitionPlacement, error) {
	var wire wirePlacement
	if err := json.Unmarshal(encoded, &wire); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "grants: decode placement row"), ErrMalformed)
	}
	places := make([]assigner.PartitionPlacement, 0, len(wire.Placements))
	for _, place := range wire.Placements {
		if place[1] >= uint64(len(wire.Servers)) || place[2] >= uint64(len(wire.Servers)) {
			return nil, errors.Wrap(ErrMalformed, "placement row: server index out of range")
		}
		places = append(places, assigner.PartitionPlacement{
			Partition: fleet.PartitionID(place[0]), Owner: fleet.UpstreamID(wire.Servers[place[1]]),
			Standby: fleet.UpstreamID(wire.Servers[place[2]]),
			Fence:   fleet.Fence{Epoch: fleet.Epoch(place[3]), Counter: place[4]}, Key: fleet.KeyHash(place[5]),
		})
	}
	return places, nil
}
