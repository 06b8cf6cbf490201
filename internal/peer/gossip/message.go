// Package gossip disseminates versioned items among all daemons. The version of an item never decreases. A daemon forwards
// new items to the peers that lack them at once (push), and peers compare digests at intervals (anti-entropy) to repair
// messages that were lost, duplicated, reordered or missed during a network partition.
//
// State decides what to send; it does no I/O and reads no clock. Runner connects it to a mesh and to the membership.
package gossip

import (
	"bytes"
	"cmp"

	"github.com/cespare/xxhash/v2"
)

// Version orders the values of one item by Major, then by Minor.
type Version struct {
	Major, Minor uint64
}

// Compare returns a negative number if v is older than other, zero if they are equal, and a positive number if v is newer.
func (v Version) Compare(other Version) int {
	return cmp.Or(cmp.Compare(v.Major, other.Major), cmp.Compare(v.Minor, other.Minor))
}

// Less reports whether v is older than other.
func (v Version) Less(other Version) bool {
	return v.Compare(other) < 0
}

// Item is a named, versioned value. Value must not be modified after the item has been published.
type Item struct {
	Name    string
	Version Version
	Value   []byte
}

// supersedes reports whether i replaces old. Versions are allocated once, so equal versions with different values should not
// occur; if they do, the greater value wins, so that all daemons converge.
func (i Item) supersedes(old Item) bool {
	order := i.Version.Compare(old.Version)
	return order > 0 || order == 0 && bytes.Compare(i.Value, old.Value) > 0
}

// digestEntry returns the description of the item that summaries and offers hold.
func (i Item) digestEntry() Entry {
	return Entry{Name: i.Name, Version: i.Version, Digest: uint32(xxhash.Sum64(i.Value))}
}

// Entry describes an item without its value.
type Entry struct {
	Name    string
	Version Version
	// Digest is a hash of the value.
	Digest uint32
}

// Message is a gossip message between two peers. The implementations are RootDigest, BucketDigests, Summary, Offer, Want,
// Items and Adoptions.
type Message interface {
	message()
}

// Kind identifies the type of a message in statistics.
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

// RootDigest is a digest of all items and adoptions of the sender.
type RootDigest struct {
	Items     uint64
	Adoptions uint32
}

// BucketDigests holds the digest of each bucket of items, in the order of the buckets.
type BucketDigests struct {
	Digests []uint32
}

// Summary describes all items of the sender in the given buckets.
type Summary struct {
	Buckets []uint32
	Entries []Entry
}

// Offer describes large items that the receiver may request, unless it has them already.
type Offer struct {
	Entries []Entry
}

// Want requests items by name.
type Want struct {
	Names []string
}

// Items delivers items with their values, which other messages only describe.
type Items struct {
	Items []Item
}

// Adoptions reports, by configuration version, the host runs that have adopted it.
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
