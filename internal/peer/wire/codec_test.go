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

func envelope(t testing.TB, message *wire.Envelope) []byte {
	var out bytes.Buffer
	if err := wire.WriteEnvelope(&out, message); err != nil {
		t.Fatal(err)
	}
	return out.Bytes()
}

// Guards against a decoder that panics, exceeds its bounds or changes a message that it accepts.
func FuzzReadEnvelope(f *testing.F) {
	payload, err := proto.Marshal(&wire.Spread{Body: &wire.Spread_Root{Root: &wire.Root{Items: 1, Adoptions: 2}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(envelope(f, &wire.Envelope{Topic: "spread", Payload: payload}))
	f.Add(envelope(f, &wire.Envelope{Hello: &wire.Hello{Host: "entry-1", Incarnation: 7, Peer: true}}))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x7f})
	f.Fuzz(func(t *testing.T, data []byte) {
		reader := bufio.NewReader(bytes.NewReader(data))
		for {
			message, err := wire.ReadEnvelope(reader)
			if err != nil {
				if !errors.Is(err, io.EOF) && !errors.Is(err, wire.ErrMalformed) {
					t.Fatalf("error of another layer: %v", err)
				}
				return
			}
			again, err := wire.ReadEnvelope(bufio.NewReader(bytes.NewReader(envelope(t, message))))
			if err != nil || !proto.Equal(message, again) {
				t.Fatalf("%v became %v, %v", message, again, err)
			}
			spread, err := wire.DecodeSpread(message.GetPayload())
			if err != nil {
				continue
			}
			for _, item := range spread.GetItems().GetItems() {
				if len(item.GetName()) > wire.MaxNameLength {
					t.Fatal("name exceeds its bound")
				}
			}
			_, _ = wire.DecodeMember(message.GetPayload())
		}
	})
}

// Guards against messages beyond the bounds that are accepted.
func TestBounds(t *testing.T) {
	is := is.New(t)
	_, err := wire.ReadEnvelope(bufio.NewReader(bytes.NewReader(protowire.AppendVarint(nil, wire.MaxEnvelopeSize+1))))
	is.True(errors.Is(err, wire.ErrMalformed)) // refused by its length, before the memory is taken
	is.True(wire.WriteEnvelope(io.Discard, &wire.Envelope{Payload: make([]byte, wire.MaxEnvelopeSize)}) != nil)
	for name, message := range map[string]*wire.Spread{
		"long name": {Body: &wire.Spread_Items{Items: &wire.Items{Items: []*wire.Item{{Name: strings.Repeat("x", 257)}}}}},
		"no name":   {Body: &wire.Spread_Offer{Offer: &wire.Summary{Entries: []*wire.Item{{Major: 1}}}}},
		"no want":   {Body: &wire.Spread_Want{Want: &wire.Want{Names: []string{""}}}},
		"buckets":   {Body: &wire.Spread_Buckets{Buckets: &wire.Buckets{Digests: make([]uint32, wire.MaxBuckets+1)}}},
		"adoptions": {Body: &wire.Spread_Adoptions{Adoptions: &wire.Adoptions{
			Adoptions: []*wire.Adoption{{Hosts: make([]uint32, wire.MaxEntries+1)}},
		}}},
		"many wants": {Body: &wire.Spread_Want{Want: &wire.Want{Names: make([]string, wire.MaxEntries+1)}}},
	} {
		payload, err := proto.Marshal(message)
		is.NoErr(err)
		_, err = wire.DecodeSpread(payload)
		if !errors.Is(err, wire.ErrMalformed) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// Guards against a daemon that fails on the fields and kinds of messages of the next release.
func TestUnknownFieldsAreIgnored(t *testing.T) {
	is := is.New(t)
	future := protowire.AppendBytes(protowire.AppendTag(nil, 900, protowire.BytesType), []byte("new"))
	known, err := proto.Marshal(&wire.Spread{Body: &wire.Spread_Root{Root: &wire.Root{Items: 5}}})
	is.NoErr(err)
	message, err := wire.DecodeSpread(append(known, future...))
	is.NoErr(err)
	is.Equal(message.GetRoot().GetItems(), uint64(5))
	message, err = wire.DecodeSpread(future)
	is.NoErr(err)
	is.True(message.GetBody() == nil) // a kind of message that this release does not know
}
