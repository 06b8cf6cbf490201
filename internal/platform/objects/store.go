// Package objects is the interface to the platform's object store and a client of it. Daemons store batches of request records
// there, so that the records outlive the host that wrote them.
package objects

import (
	"context"

	"github.com/cockroachdb/errors"
)

// Store stores objects under names.
type Store interface {
	// Put stores an object under a name and replaces an existing one.
	Put(ctx context.Context, name string, content []byte) error
	// Get returns the content of an object, or ErrNotFound.
	Get(ctx context.Context, name string) ([]byte, error)
	// List returns the names that begin with prefix, sorted.
	List(ctx context.Context, prefix string) ([]string, error)
	// Delete removes an object. It returns no error if the object does not exist.
	Delete(ctx context.Context, name string) error
}

var (
	// ErrNotFound means that no object has the name.
	ErrNotFound = errors.New("objects: no such object")
	// ErrUnavailable means that the call failed or got no response. A Put or Delete may have taken effect.
	ErrUnavailable = errors.New("objects: store unavailable")
)
