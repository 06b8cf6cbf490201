// Package wire defines the protobuf messages that daemons exchange, and encodes and decodes them with size limits. Decoders
// ignore unknown fields, so that a daemon understands peers of the previous and the next release.
package wire

import (
	"bufio"
	"io"
	"slices"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

// Limits of the messages that a daemon accepts from its peers.
const (
	// MaxEnvelopeSize limits one message, in bytes. The largest item is the ownership map of a service with 65,536 partitions,
	// which has about 2 MB.
	MaxEnvelopeSize = 8 << 20
	// MaxNameLength limits the name of an item, in bytes.
	MaxNameLength = 256
	// MaxBuckets limits the number of buckets in a message.
	MaxBuckets = 1024
	// MaxEntries limits the number of items, entries, names or adoptions in a message.
	MaxEntries = 65536
)

// ErrMalformed means that a message could not be decoded or exceeds a limit.
var ErrMalformed = errors.New("wire: malformed message")

// ReadEnvelope reads the next length-prefixed message of a stream. It returns io.EOF only if the stream ends between two
// messages.
func ReadEnvelope(reader *bufio.Reader) (*Envelope, error) {
	envelope := &Envelope{}
	options := protodelim.UnmarshalOptions{
		MaxSize:          MaxEnvelopeSize,
		UnmarshalOptions: proto.UnmarshalOptions{DiscardUnknown: true},
	}
	if err := options.UnmarshalFrom(reader, envelope); err != nil {
		if errors.Is(err, io.EOF) {
			return nil, io.EOF
		}
		return nil, errors.Wrapf(ErrMalformed, "%v", err)
	}
	return envelope, nil
}

// WriteEnvelope writes one message, prefixed with its length. It writes nothing if the message exceeds MaxEnvelopeSize.
func WriteEnvelope(writer io.Writer, envelope *Envelope) error {
	if size := proto.Size(envelope); size > MaxEnvelopeSize {
		return errors.Wrapf(ErrMalformed, "message of %d bytes exceeds the limit of %d", size, MaxEnvelopeSize)
	}
	_, err := protodelim.MarshalTo(writer, envelope)
	return errors.Wrap(err, "wire: write message")
}

// DecodeSpread decodes a gossip message and checks its limits. A message of a type that this release does not know is returned
// without a body; it is not an error.
func DecodeSpread(payload []byte) (*Spread, error) {
	message := &Spread{}
	if err := (proto.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(payload, message); err != nil {
		return nil, errors.Wrapf(ErrMalformed, "%v", err)
	}
	if len(message.GetBuckets().GetDigests()) > MaxBuckets || len(message.GetSummary().GetBuckets()) > MaxBuckets {
		return nil, errors.Wrap(ErrMalformed, "too many buckets")
	}
	for _, items := range [][]*Item{
		message.GetSummary().GetEntries(), message.GetOffer().GetEntries(), message.GetItems().GetItems(),
	} {
		if len(items) > MaxEntries {
			return nil, errors.Wrap(ErrMalformed, "too many items")
		}
		for _, item := range items {
			if !validName(item.GetName()) {
				return nil, errors.Wrap(ErrMalformed, "item name is empty or too long")
			}
		}
	}
	names := message.GetWant().GetNames()
	if len(names) > MaxEntries || slices.ContainsFunc(names, func(name string) bool { return !validName(name) }) {
		return nil, errors.Wrap(ErrMalformed, "requested names are empty, too long or too many")
	}
	adoptionCount := 0
	for _, adoption := range message.GetAdoptions().GetAdoptions() {
		adoptionCount += len(adoption.GetHosts())
	}
	if adoptionCount > MaxEntries {
		return nil, errors.Wrap(ErrMalformed, "too many adoptions")
	}
	return message, nil
}

// validName reports whether an item's name has a valid length.
func validName(name string) bool {
	return name != "" && len(name) <= MaxNameLength
}

// DecodeMember decodes a member record, which is the value of an item.
func DecodeMember(value []byte) (*Member, error) {
	member := &Member{}
	if err := (proto.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(value, member); err != nil {
		return nil, errors.Wrapf(ErrMalformed, "%v", err)
	}
	return member, nil
}
