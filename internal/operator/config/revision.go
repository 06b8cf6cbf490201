// Package config keeps the configuration of the fleet in the platform's table and decides which version a daemon
// adopts. Every change is a conditional write on the version that its author saw, so that of several concurrent changes
// exactly one takes effect and the others learn which one did.
package config

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"rosemarywick.example/rosemarywick/internal/core/document"
)

// MaxText is the largest document in bytes. 1,000 upstreams take about 150 KB; a revision is stored twice in one
// transaction and sent to every daemon.
const MaxDocumentBytes = 512 << 10

// documentName stands for the file in messages about a document that is not read from a file.
const documentName = "configuration"

// Revision is one version of the configuration as it is stored and passed from daemon to daemon.
type Revision struct {
	// Version rises by one with each change. The first version is 1.
	Version uint64 `json:"version"`
	// Author is the subject of the certificate that made the change.
	Author string    `json:"author"`
	Time   time.Time `json:"time"`
	// Token identifies the write, so that its author can tell whether it took effect when the response is lost.
	Token string `json:"token"`
	// Text is the TOML document.
	Text string `json:"text"`
}

// Encode returns the form in which the revision is stored and passed on.
func (r *Revision) Encode() ([]byte, error) {
	content, err := json.Marshal(r)
	return content, errors.Wrap(err, "encode revision")
}

// Decode reads what Encode returned.
func Decode(content []byte) (*Revision, error) {
	revision := &Revision{}
	if err := json.NewDecoder(bytes.NewReader(content)).Decode(revision); err != nil {
		return nil, errors.Wrap(err, "decode revision")
	}
	if revision.Version == 0 || revision.Token == "" {
		return nil, errors.New("decode revision: version or token missing")
	}
	return revision, nil
}

// Document parses the text of the revision.
func (r *Revision) Document() (*document.Document, error) {
	doc, err := Parse(documentName, r.Text)
	if err != nil {
		return nil, err
	}
	doc.Version = r.Version
	return doc, nil
}

// Check parses a document and returns an InvalidError if it cannot take effect. The name stands for the file in messages.
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

// Size counts the elements of a document.
type ElementCounts struct {
	Services, Upstreams, Tenants, Pins int
}

// SizeOf counts the elements of a document.
func CountElements(doc *document.Document) ElementCounts {
	size := ElementCounts{Services: len(doc.Services), Tenants: len(doc.Tenants), Pins: len(doc.Pins)}
	for i := range doc.Services {
		size.Upstreams += len(doc.Services[i].Upstreams)
	}
	return size
}
