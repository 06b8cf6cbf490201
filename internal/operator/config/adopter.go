package config

import (
	"sync"

	"github.com/cockroachdb/errors"

	"rosemarywick.example/rosemarywick/internal/core/document"
)

// ErrVersionReused means that two different revisions have the same version. This happens only if the table was rolled
// back, for example by restoring a backup, and versions were then assigned again.
var ErrVersionReused = errors.New("another revision of the same version is in force; the table may have been rolled back")

// OfferResult is the result of offering a revision to an Adopter. It is one of Adopted, Outdated and Rejected.
type OfferResult interface {
	offerResult()
}

// Adopted means that the revision is now in force on this daemon. The caller should announce it to the peers.
type Adopted struct {
	Revision *Revision
	Document *document.Document
}

// Outdated means that the revision in force has the same version or a higher one, Current.
type Outdated struct{ Current uint64 }

// Rejected means that the revision could not be decoded or applied, or reuses the version in force. The revision in force
// does not change.
type Rejected struct {
	// Version is the version of the rejected revision, or zero if the revision could not be decoded.
	Version uint64
	Reason  error
}

func (Adopted) offerResult()  {}
func (Outdated) offerResult() {}
func (Rejected) offerResult() {}

// Adopter decides which revision is in force on one daemon. It adopts only versions higher than the current one, whether
// they come from the table or from a peer, and keeps the current one if a newer one cannot be applied. Its methods are safe
// for concurrent use.
type Adopter struct {
	// Apply puts a document into force, or returns an error and changes nothing. It is called only with versions above the
	// one in force, and never concurrently. Nil accepts every document. It must be set before the first Offer.
	Apply func(*document.Document) error

	mu sync.Mutex
	// current and document are those in force, or nil before the first adoption. Both are guarded by mu.
	current  *Revision
	document *document.Document
	// rejected is the rejection with the highest version that no later adoption supersedes, or nil. It is guarded by mu.
	rejected *Rejected
}

// OfferEncoded decodes a revision received from a peer and offers it.
func (a *Adopter) OfferEncoded(content []byte) OfferResult {
	revision, err := Decode(content)
	if err != nil {
		return Rejected{Reason: err}
	}
	return a.Offer(revision)
}

// Offer adopts the revision if its version is higher than the one in force and it can be applied.
func (a *Adopter) Offer(revision *Revision) OfferResult {
	a.mu.Lock()
	defer a.mu.Unlock()
	if current := a.current; current != nil && revision.Version <= current.Version {
		if revision.Version == current.Version && revision.Token != current.Token {
			return a.recordRejection(revision.Version, ErrVersionReused)
		}
		return Outdated{Current: current.Version}
	}
	doc, err := revision.Document()
	if err == nil && a.Apply != nil {
		err = a.Apply(doc)
	}
	if err != nil {
		return a.recordRejection(revision.Version, err)
	}
	a.current, a.document = revision, doc
	if a.rejected != nil && a.rejected.Version <= revision.Version {
		a.rejected = nil
	}
	return Adopted{Revision: revision, Document: doc}
}

// recordRejection returns a rejection and stores it if its version is not lower than that of the stored one. The caller must
// hold mu.
func (a *Adopter) recordRejection(version uint64, reason error) OfferResult {
	rejected := Rejected{Version: version, Reason: reason}
	if a.rejected == nil || a.rejected.Version <= version {
		a.rejected = &rejected
	}
	return rejected
}

// State describes the configuration of a daemon.
type State struct {
	// Revision and Document are those in force, or nil before the first adoption.
	Revision *Revision
	Document *document.Document
	// Rejected is the rejection with the highest version that no later adoption supersedes, or nil.
	Rejected *Rejected
}

// Version returns the version in force, or zero if there is none.
func (s *State) Version() uint64 {
	if s.Revision == nil {
		return 0
	}
	return s.Revision.Version
}

// State returns the configuration in force and the latest rejection.
func (a *Adopter) State() State {
	a.mu.Lock()
	defer a.mu.Unlock()
	return State{Revision: a.current, Document: a.document, Rejected: a.rejected}
}
