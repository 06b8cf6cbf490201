// Package spread disseminates versioned items among all daemons. An item only ever moves to a higher version. New items
// are forwarded at once to the peers that lack them, and peers compare digests at intervals, which repairs whatever was
// lost, repeated, reordered or missed during a partition.
//
// State is the decision: it does no I/O and reads no clock. Runner connects it to a mesh and to the membership.
package gossip

import (
	"bytes"
	"cmp"

	"github.com/cespare/xxhash/v2"
)

// Version orders the values of one item, first by Major and then by Minor.
type Version struct {
	Major, Minor uint64
}

// Compare returns a negative number when v is older than other, and a positive one when it is newer.
func (v Version) Compare(other Version) int {
	return cmp.Or(cmp.Compare(v.Major, other.Major), cmp.Compare(v.Minor, other.Minor))
}

// Less reports whether v is older than other.
func (v Version) Less(other Version) bool {
	return v.Compare(other) < 0
}

// Item is one versioned value. Its value is not changed after the item has been published.
type Item struct {
	Name    string
	Version Version
	Value   []byte
}

// supersedes reports whether i replaces old. Equal versions with different values do not occur when each version is
// allocated once; should they, the greater value wins, so that all daemons agree.
func (i Item) supersedes(old Item) bool {
	order := i.Version.Compare(old.Version)
	return order > 0 || order == 0 && bytes.Compare(i.Value, old.Value) > 0
}

func (i Item) entry() Entry {
	return Entry{Name: i.Name, Version: i.Version, Digest: uint32(xxhash.Sum64(i.Value))}
}

// Entry describes an item without its value.
type Entry struct {
	Name    string
	Version Version
	// Digest is a hash of the value.
	Digest uint32
}

// Message is what peers send to each other. The implementations are Root, Buckets, Summary, Offer, Want, Items and
// Adoptions.
type Message interface {
	message()
}

// Kind names the kinds of messages in figures.
type Kind string

// Kinds of messages.
const (
	KindRoot      Kind = "root"
	KindBuckets   Kind = "buckets"
	KindSummary   Kind = "summary"
	KindOffer     Kind = "offer"
	KindWant      Kind = "want"
	KindItems     Kind = "items"
	KindAdoptions Kind = "adoptions"
)

func kindOf(message Message) Kind {
	switch message.(type) {
	case RootDigest:
		return KindRoot
	case BucketDigests:
		return KindBuckets
	case Summary:
		return KindSummary
	case Offer:
		return KindOffer
	case Want:
		return KindWant
	case Items:
		return KindItems
	case Adoptions:
		return KindAdoptions
	}
	return ""
}

// Root is a digest of everything that the sender holds.
type RootDigest struct {
	Items     uint64
	Adoptions uint32
}

// Buckets holds a digest for each bucket of names.
type BucketDigests struct {
	Digests []uint32
}

// Summary lists all items that the sender holds in the given buckets.
type Summary struct {
	Buckets []uint32
	Entries []Entry
}

// Offer lists items that are too large to be sent to a peer that may have them already.
type Offer struct {
	Entries []Entry
}

// Want asks for items by their names.
type Want struct {
	Names []string
}

// Items carries items.
type Items struct {
	Items []Item
}

// Adoptions says which hosts have adopted which configuration version.
type Adoptions struct {
	Hosts map[uint64][]AdoptionKey
}

func (RootDigest) message()    {}
func (BucketDigests) message() {}
func (Summary) message()       {}
func (Offer) message()         {}
func (Want) message()          {}
func (Items) message()         {}
func (Adoptions) message()     {}
