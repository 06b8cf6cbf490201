// Package config stores versions of the fleet's configuration in the platform's table service and decides which version a
// daemon adopts. Each change is a compare-and-swap on the version that its author saw: of several concurrent changes
// exactly one takes effect, and the others get a ConflictError that names it.
package config

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"rosemarywick.example/rosemarywick/internal/core/document"
)

// MaxDocumentBytes limits the size of a document. 1,000 upstreams take about 150 KB. The limit exists because a revision is
// stored twice in one transaction and sent to every daemon.
const MaxDocumentBytes = 512 << 10

// documentName replaces the file name in error messages about a document that was not read from a file.
const documentName = "configuration"

// Revision is one version of the configuration in the form that the table stores and daemons send to each other.
type Revision struct {
	// Version increases by one with each change. The first version is 1.
	Version uint64 `json:"version"`
	// Author is the subject of the client certificate that made the change, along with a name that the client stated.
	Author string    `json:"author"`
	Time   time.Time `json:"time"`
	// Token uniquely identifies the write, so that the writer can find out whether it took effect if the response is lost.
	Token string `json:"token"`
	// Text is the TOML document.
	Text string `json:"text"`
}

// Encode returns the JSON in which the revision is stored and sent to other daemons.
func (r *Revision) Encode() ([]byte, error) {
	content, err := json.Marshal(r)
	return content, errors.Wrap(err, "encode revision")
}

// Decode parses the output of Encode. It rejects a revision without a version or a token.
func Decode(content []byte) (*Revision, error) {
	revision := &Revision{}
	if err := json.NewDecoder(bytes.NewReader(content)).Decode(revision); err != nil {
		return nil, errors.Wrap(err, "decode revision")
	}
	if revision.Version == 0 || revision.Token == "" {
		return nil, errors.New("decode revision: version or token is missing")
	}
	return revision, nil
}

// Document parses the text of the revision and sets the version of the document.
func (r *Revision) Document() (*document.Document, error) {
	doc, err := Parse(documentName, r.Text)
	if err != nil {
		return nil, err
	}
	doc.Version = r.Version
	return doc, nil
}

// Parse parses and validates a document. It returns an InvalidError, whose message locates the fault by name and line, if
// the document is too large or invalid.
func Parse(name, text string) (*document.Document, error) {
	if len(text) > MaxDocumentBytes {
		return nil, &InvalidError{Err: errors.Newf("%s: expected at most %d bytes, not %d", name, MaxDocumentBytes, len(text))}
	}
	doc, err := document.Parse(name, []byte(text))
	if err != nil {
		return nil, &InvalidError{Err: err}
	}
	return doc, nil
}

// ElementCounts holds the number of elements of each kind in a document.
type ElementCounts struct {
	Services, Upstreams, Tenants, Pins int
}

// CountElements counts the elements of a document.
func CountElements(doc *document.Document) ElementCounts {
	counts := ElementCounts{Services: len(doc.Services), Tenants: len(doc.Tenants), Pins: len(doc.Pins)}
	for i := range doc.Services {
		counts.Upstreams += len(doc.Services[i].Upstreams)
	}
	return counts
}
