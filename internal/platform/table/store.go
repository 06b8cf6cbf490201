// Package table speaks to the platform's transactional table service, in which everything lives that has to be agreed
// or kept. It defines what the project needs of that service, its errors, and how a write whose answer was lost is
// resolved. It holds no data of its own.
package table

import (
	"context"

	"github.com/cockroachdb/errors"
)

// Version orders the writes to one row. A row that does not exist has version zero.
type Version uint64

// Row is one row as it was read.
type Row struct {
	Name string
	// Version rises with each write to the row.
	Version Version
	Value   []byte
}

// Change is one row of a transaction. The whole transaction takes effect only if every row has the expected version.
type Change struct {
	Name     string
	Expected Version
	// Write is false when the row is only checked and not written.
	Write bool
	// Value is the new value. A nil value with Write set deletes the row.
	Value []byte
}

// Store is the table service.
type Store interface {
	// Read returns the named rows that exist, as of one moment.
	Read(ctx context.Context, names ...string) ([]Row, error)
	// Scan returns the rows whose names begin with prefix, in the order of their names, as of one moment.
	Scan(ctx context.Context, prefix string) ([]Row, error)
	// Commit applies all changes or none. A version that differs from the expected one gives ErrConflict.
	// ErrUnknown means that the changes may or may not have taken effect.
	Commit(ctx context.Context, changes ...Change) error
}

var (
	// ErrConflict means that a row had another version than expected, and that nothing was written.
	ErrConflict = errors.New("table: row has another version than expected")
	// ErrUnavailable means that the service did not take the request, and that nothing was written.
	ErrUnavailable = errors.New("table: service unavailable")
	// ErrUnknown means that a write was sent and its answer was lost.
	ErrUnknown = errors.New("table: outcome of the write is unknown")
	// ErrTooLarge means that a row or a transaction exceeds the limits of the service.
	ErrTooLarge = errors.New("table: transaction too large")
)
