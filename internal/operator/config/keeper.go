package config

import (
	"sync"

	"github.com/cockroachdb/errors"

	"rosemarywick.example/rosemarywick/internal/core/document"
)

// ErrDivergent means that two different revisions have the same version, which happens only if the table was set back.
var ErrVersionReused = errors.New("another revision of the same version is in force; the table may have been set back")

// Verdict says what a Keeper did with a revision. It is one of Adopted, Outdated and Rejected.
type OfferResult interface {
	offerResult()
}

// Adopted means that the revision is in force on this daemon from now on and is to be passed on.
type Adopted struct {
	Revision *Revision
	Document *document.Document
}

// Outdated means that the revision in force is the same or newer.
type Outdated struct{ Current uint64 }

// Rejected means that the revision is newer but cannot be applied, and that the last good one stays in force.
type Rejected struct {
	// Version is zero if the revision could not be read at all.
	Version uint64
	Reason  error
}

func (Adopted) offerResult()  {}
func (Outdated) offerResult() {}
func (Rejected) offerResult() {}

// Keeper decides which revision is in force on one daemon. It adopts only higher versions, whether they come from the
// table or from a peer, and keeps the last good one when a newer one cannot be applied. Its methods may be called
// concurrently.
type Adopter struct {
	// Apply puts a document into force or says why it cannot. It is called in the order of versions and never
	// concurrently. Nil accepts every document. It is set before the first Offer.
	Apply func(*document.Document) error

	mu sync.Mutex
	// current and document are guarded by mu and nil until a revision was adopted.
	current  *Revision
	document *document.Document
	// rejected is guarded by mu and is the newest rejection since the last adoption.
	rejected *Rejected
}

// OfferBytes offers a revision in its encoded form, as a peer passes it on.
func (k *Adopter) OfferEncoded(content []byte) OfferResult {
	revision, err := Decode(content)
	if err != nil {
		return Rejected{Reason: err}
	}
	return k.Offer(revision)
}

// Offer adopts the revision if it is newer than the one in force and can be applied.
func (k *Adopter) Offer(revision *Revision) OfferResult {
	k.mu.Lock()
	defer k.mu.Unlock()
	if current := k.current; current != nil && revision.Version <= current.Version {
		if revision.Version == current.Version && revision.Token != current.Token {
			return k.recordRejection(revision.Version, ErrVersionReused)
		}
		return Outdated{Current: current.Version}
	}
	doc, err := revision.Document()
	if err == nil && k.Apply != nil {
		err = k.Apply(doc)
	}
	if err != nil {
		return k.recordRejection(revision.Version, err)
	}
	k.current, k.document = revision, doc
	if k.rejected != nil && k.rejected.Version <= revision.Version {
		k.rejected = nil
	}
	return Adopted{Revision: revision, Document: doc}
}

// reject remembers the newest version that could not be applied. The caller holds mu.
func (k *Adopter) recordRejection(version uint64, reason error) OfferResult {
	rejected := Rejected{Version: version, Reason: reason}
	if k.rejected == nil || k.rejected.Version <= version {
		k.rejected = &rejected
	}
	return rejected
}

// State is what a daemon reports about its configuration.
type State struct {
	// Revision and Document are in force. They are nil if none was adopted yet.
	Revision *Revision
	Document *document.Document
	// Rejected is the newest revision that could not be applied and is not superseded, or nil.
	Rejected *Rejected
}

// Version returns the version in force, zero if there is none.
func (s *State) Version() uint64 {
	if s.Revision == nil {
		return 0
	}
	return s.Revision.Version
}

// State returns what is in force and what was rejected.
func (k *Adopter) State() State {
	k.mu.Lock()
	defer k.mu.Unlock()
	return State{Revision: k.current, Document: k.document, Rejected: k.rejected}
}
