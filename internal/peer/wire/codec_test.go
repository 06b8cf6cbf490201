package wire_test

import (
	"bufio"
	"bytes"
	"io"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"rosemarywick.example/rosemarywick/internal/peer/wire"
)

// encodeEnvelope returns the encoding of a message.
func encodeEnvelope(t testing.TB, message *wire.Envelope) []byte {
	var out bytes.Buffer
	if err := wire.WriteEnvelope(&out, message); err != nil {
		t.Fatal(err)
	}
	return out.Bytes()
}

// Guards against a decoder that panics or ignores a limit, and against an accepted message that changes when it is encoded
// and decoded again.
func FuzzReadEnvelope(f *testing.F) {
	payload, err := proto.Marshal(&wire.Spread{Body: &wire.Spread_Root{Root: &wire.Root{Items: 1, Adoptions: 2}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(encodeEnvelope(f, &wire.Envelope{Topic: "spread", Payload: payload}))
	f.Add(encodeEnvelope(f, &wire.Envelope{Hello: &wire.Hello{Host: "entry-1", Incarnation: 7, Peer: true}}))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x7f})
	f.Fuzz(func(t *testing.T, data []byte) {
		reader := bufio.NewReader(bytes.NewReader(data))
		for {
			message, err := wire.ReadEnvelope(reader)
			if err != nil {
				if !errors.Is(err, io.EOF) && !errors.Is(err, wire.ErrMalformed) {
					t.Fatalf("error is neither io.EOF nor ErrMalformed: %v", err)
				}
				return
			}
			decoded, err := wire.ReadEnvelope(bufio.NewReader(bytes.NewReader(encodeEnvelope(t, message))))
			if err != nil || !proto.Equal(message, decoded) {
				t.Fatalf("round trip changed %v to %v, error %v", message, decoded, err)
			}
			gossipMessage, err := wire.DecodeSpread(message.GetPayload())
			if err != nil {
				continue
			}
			for _, item := range gossipMessage.GetItems().GetItems() {
				if len(item.GetName()) > wire.MaxNameLength {
					t.Fatal("item name exceeds MaxNameLength")
				}
			}
			_, _ = wire.DecodeMember(message.GetPayload())
		}
	})
}

// Guards against messages that exceed a limit and are accepted.
func TestLimits(t *testing.T) {
	is := is.New(t)
	_, err := wire.ReadEnvelope(bufio.NewReader(bytes.NewReader(protowire.AppendVarint(nil, wire.MaxEnvelopeSize+1))))
	is.True(errors.Is(err, wire.ErrMalformed)) // rejected by its length prefix, before memory is allocated
	is.True(wire.WriteEnvelope(io.Discard, &wire.Envelope{Payload: make([]byte, wire.MaxEnvelopeSize)}) != nil)
	for title, message := range map[string]*wire.Spread{
		"item name too long":   {Body: &wire.Spread_Items{Items: &wire.Items{Items: []*wire.Item{{Name: strings.Repeat("x", 257)}}}}},
		"item name empty":      {Body: &wire.Spread_Offer{Offer: &wire.Summary{Entries: []*wire.Item{{Major: 1}}}}},
		"requested name empty": {Body: &wire.Spread_Want{Want: &wire.Want{Names: []string{""}}}},
		"too many buckets":     {Body: &wire.Spread_Buckets{Buckets: &wire.Buckets{Digests: make([]uint32, wire.MaxBuckets+1)}}},
		"too many adoptions": {Body: &wire.Spread_Adoptions{Adoptions: &wire.Adoptions{
			Adoptions: []*wire.Adoption{{Hosts: make([]uint32, wire.MaxEntries+1)}},
		}}},
		"too many requested names": {Body: &wire.Spread_Want{Want: &wire.Want{Names: make([]string, wire.MaxEntries+1)}}},
	} {
		payload, err := proto.Marshal(message)
		is.NoErr(err)
		_, err = wire.DecodeSpread(payload)
		if !errors.Is(err, wire.ErrMalformed) {
			t.Errorf("%s: %v", title, err)
		}
	}
}

// Guards against a daemon that rejects unknown fields or message types, which peers of the next release may send.
func TestUnknownFieldsAndTypesAreIgnored(t *testing.T) {
	is := is.New(t)
	future := protowire.AppendBytes(protowire.AppendTag(nil, 900, protowire.BytesType), []byte("new"))
	known, err := proto.Marshal(&wire.Spread{Body: &wire.Spread_Root{Root: &wire.Root{Items: 5}}})
	is.NoErr(err)
	message, err := wire.DecodeSpread(append(known, future...))
	is.NoErr(err)
	is.Equal(message.GetRoot().GetItems(), uint64(5))
	message, err = wire.DecodeSpread(future)
	is.NoErr(err)
	is.True(message.GetBody() == nil) // unknown message type
}
