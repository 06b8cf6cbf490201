// Package wire holds the messages that daemons exchange, and reads and writes them within bounds. Unknown fields are
// ignored, so that a daemon understands the peers of the previous and the next release.
package wire

import (
	"bufio"
	"io"
	"slices"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

// Bounds of what a daemon accepts from its peers.
const (
	// MaxEnvelope bounds one message. The largest item is the map of a service with 65,536 partitions, about 2 MB.
	MaxEnvelopeSize = 8 << 20
	// MaxName bounds the length of an item's name.
	MaxNameLength = 256
	// MaxBuckets bounds the number of buckets of a digest.
	MaxBuckets = 1024
	// MaxEntries bounds the number of items, entries, names or adoptions in one message.
	MaxEntries = 65536
)

// ErrMalformed means that a message could not be decoded or exceeds its bounds.
var ErrMalformed = errors.New("wire: malformed message")

// ReadEnvelope reads the next message of a connection. It returns io.EOF only at the end of the stream between two
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

// WriteEnvelope writes one message with its length before it.
func WriteEnvelope(writer io.Writer, envelope *Envelope) error {
	if size := proto.Size(envelope); size > MaxEnvelopeSize {
		return errors.Wrapf(ErrMalformed, "%d bytes exceed %d", size, MaxEnvelopeSize)
	}
	_, err := protodelim.MarshalTo(writer, envelope)
	return errors.Wrap(err, "wire: write message")
}

// DecodeSpread decodes a dissemination message and checks its bounds. A message of a kind that this release does not
// know has no body and is no error.
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
				return nil, errors.Wrap(ErrMalformed, "name empty or too long")
			}
		}
	}
	names := message.GetWant().GetNames()
	if len(names) > MaxEntries || slices.ContainsFunc(names, func(name string) bool { return !validName(name) }) {
		return nil, errors.Wrap(ErrMalformed, "names empty, too long or too many")
	}
	reports := 0
	for _, adoption := range message.GetAdoptions().GetAdoptions() {
		reports += len(adoption.GetHosts())
	}
	if reports > MaxEntries {
		return nil, errors.Wrap(ErrMalformed, "too many adoptions")
	}
	return message, nil
}

func validName(name string) bool {
	return name != "" && len(name) <= MaxNameLength
}

// DecodeMember decodes the value of a member item.
func DecodeMember(value []byte) (*Member, error) {
	member := &Member{}
	if err := (proto.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(value, member); err != nil {
		return nil, errors.Wrapf(ErrMalformed, "%v", err)
	}
	return member, nil
}
