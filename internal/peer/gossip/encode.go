package gossip

import (
	"net/netip"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/peer/membership"
	"rosemarywick.example/rosemarywick/internal/peer/wire"
)

// memberPrefix is the prefix of the items that hold member records.
const memberPrefix = "member/"

// encode returns the wire form of a message.
func encode(message Message) ([]byte, error) {
	out := &wire.Spread{}
	switch m := message.(type) {
	case RootDigest:
		out.Body = &wire.Spread_Root{Root: &wire.Root{Items: m.Items, Adoptions: m.Adoptions}}
	case BucketDigests:
		out.Body = &wire.Spread_Buckets{Buckets: &wire.Buckets{Digests: m.Digests}}
	case Summary:
		out.Body = &wire.Spread_Summary{Summary: &wire.Summary{Buckets: m.Buckets, Entries: encodeEntries(m.Entries)}}
	case Offer:
		out.Body = &wire.Spread_Offer{Offer: &wire.Summary{Entries: encodeEntries(m.Entries)}}
	case Want:
		out.Body = &wire.Spread_Want{Want: &wire.Want{Names: m.Names}}
	case Items:
		items := make([]*wire.Item, 0, len(m.Items))
		for _, item := range m.Items {
			items = append(items, &wire.Item{
				Name: item.Name, Major: item.Version.Major, Minor: item.Version.Minor, Value: item.Value,
			})
		}
		out.Body = &wire.Spread_Items{Items: &wire.Items{Items: items}}
	case Adoptions:
		out.Body = &wire.Spread_Adoptions{Adoptions: encodeAdoptions(m)}
	}
	payload, err := proto.Marshal(out)
	return payload, errors.Wrap(err, "spread: encode")
}

func encodeEntries(entries []Entry) []*wire.Item {
	items := make([]*wire.Item, 0, len(entries))
	for _, entry := range entries {
		items = append(items, &wire.Item{
			Name: entry.Name, Major: entry.Version.Major, Minor: entry.Version.Minor, Digest: entry.Digest,
		})
	}
	return items
}

func encodeAdoptions(message Adoptions) *wire.Adoptions {
	out := &wire.Adoptions{}
	for version, keys := range message.Hosts {
		adoption := &wire.Adoption{Version: version, Hosts: make([]uint32, 0, len(keys))}
		for _, key := range keys {
			adoption.Hosts = append(adoption.Hosts, uint32(key))
		}
		out.Adoptions = append(out.Adoptions, adoption)
	}
	return out
}

// decode returns a message from its wire form, or nil for a kind that this release does not know.
func decode(payload []byte) (Message, error) {
	in, err := wire.DecodeSpread(payload)
	if err != nil {
		return nil, err
	}
	switch body := in.GetBody().(type) {
	case *wire.Spread_Root:
		root := body.Root
		return RootDigest{Items: root.GetItems(), Adoptions: root.GetAdoptions()}, nil
	case *wire.Spread_Buckets:
		return BucketDigests{Digests: body.Buckets.GetDigests()}, nil
	case *wire.Spread_Summary:
		return Summary{Buckets: body.Summary.GetBuckets(), Entries: decodeEntries(body.Summary.GetEntries())}, nil
	case *wire.Spread_Offer:
		return Offer{Entries: decodeEntries(body.Offer.GetEntries())}, nil
	case *wire.Spread_Want:
		return Want{Names: body.Want.GetNames()}, nil
	case *wire.Spread_Items:
		items := make([]Item, 0, len(body.Items.GetItems()))
		for _, item := range body.Items.GetItems() {
			items = append(items, Item{Name: item.GetName(), Version: versionOf(item), Value: item.GetValue()})
		}
		return Items{Items: items}, nil
	case *wire.Spread_Adoptions:
		return decodeAdoptions(body.Adoptions), nil
	}
	return nil, nil
}

func decodeEntries(items []*wire.Item) []Entry {
	entries := make([]Entry, 0, len(items))
	for _, item := range items {
		entries = append(entries, Entry{Name: item.GetName(), Version: versionOf(item), Digest: item.GetDigest()})
	}
	return entries
}

func decodeAdoptions(in *wire.Adoptions) Adoptions {
	message := Adoptions{Hosts: make(map[uint64][]AdoptionKey)}
	for _, adoption := range in.GetAdoptions() {
		for _, key := range adoption.GetHosts() {
			version := adoption.GetVersion()
			message.Hosts[version] = append(message.Hosts[version], AdoptionKey(key))
		}
	}
	return message
}

func versionOf(item *wire.Item) Version {
	return Version{Major: item.GetMajor(), Minor: item.GetMinor()}
}

// encodeMember returns the item that holds a member record.
func encodeMember(record membership.Record) (Item, error) {
	member := &wire.Member{
		Region: string(record.Host.Locality.Region), Domain: string(record.Host.Locality.Domain),
		Address: record.Host.PeerAddress.String(), State: memberState(record.State),
	}
	value, err := proto.MarshalOptions{Deterministic: true}.Marshal(member)
	return Item{
		Name:    memberPrefix + string(record.Host.ID),
		Version: Version{Major: record.Incarnation, Minor: record.Counter},
		Value:   value,
	}, errors.Wrap(err, "spread: encode member")
}

func memberState(state membership.State) wire.MemberState {
	switch state {
	case membership.Alive:
		return wire.MemberState_MEMBER_STATE_ALIVE
	case membership.Suspect:
		return wire.MemberState_MEMBER_STATE_SUSPECT
	case membership.Left:
		return wire.MemberState_MEMBER_STATE_LEFT
	}
	return wire.MemberState_MEMBER_STATE_UNSPECIFIED
}

// decodeMember returns the record that an item holds. A state that this release does not know counts as alive, since
// only a host that runs publishes new states.
func decodeMember(item Item) (membership.Record, error) {
	member, err := wire.DecodeMember(item.Value)
	if err != nil {
		return membership.Record{}, err
	}
	address, err := netip.ParseAddrPort(member.GetAddress())
	if err != nil {
		return membership.Record{}, errors.Wrap(err, "spread: address of a member")
	}
	state := membership.Alive
	switch member.GetState() {
	case wire.MemberState_MEMBER_STATE_SUSPECT:
		state = membership.Suspect
	case wire.MemberState_MEMBER_STATE_LEFT:
		state = membership.Left
	case wire.MemberState_MEMBER_STATE_UNSPECIFIED, wire.MemberState_MEMBER_STATE_ALIVE:
	}
	return membership.Record{
		Host: fleet.Host{
			ID:          fleet.HostID(item.Name[len(memberPrefix):]),
			Locality:    fleet.Locality{Region: fleet.Region(member.GetRegion()), Domain: fleet.FailureDomain(member.GetDomain())},
			PeerAddress: address,
		},
		Incarnation: item.Version.Major, Counter: item.Version.Minor, State: state,
	}, nil
}
