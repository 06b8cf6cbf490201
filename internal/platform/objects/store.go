// Package objects speaks to the platform's object store, which keeps batches of request records beyond the life of the
// host that wrote them.
package objects

import (
	"context"

	"github.com/cockroachdb/errors"
)

// Store is the object store.
type Store interface {
	// Put stores an object under a name, in place of an older one of that name.
	Put(ctx context.Context, name string, content []byte) error
	// Get returns the content of an object, or ErrNotFound.
	Get(ctx context.Context, name string) ([]byte, error)
	// List returns the names that begin with prefix, in their order.
	List(ctx context.Context, prefix string) ([]string, error)
	// Delete removes an object. Removing one that does not exist is no error.
	Delete(ctx context.Context, name string) error
}

var (
	// ErrNotFound means that no object has the name.
	ErrNotFound = errors.New("objects: no such object")
	// ErrUnavailable means that the store did not answer. A Put or Delete may have taken effect.
	ErrUnavailable = errors.New("objects: store unavailable")
)
