// Package table is the interface to the platform's transactional table service, which stores all state that daemons must
// agree on or that must outlive them. It defines the operations and errors that the project needs of the service, a client,
// a follower of changes, and a writer that resolves commits whose response was lost. The package itself stores nothing.
package table

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Row is the content of one row at the time of the read.
type Row struct {
	Name string
	// Version rises with each write to the row.
	Version Version
	Value   []byte
}

// Change is the part of a transaction that concerns one row. The transaction takes effect only if every row has its expected
// version.
type Change struct {
	Name     string
	Expected Version
	// Write is false if only the version of the row is checked.
	Write bool
	// Value is the new value. A nil value with Write set deletes the row.
	Value []byte
}

// Store provides atomic reads and conditional transactions on the table service.
type Store interface {
	// Read returns those of the named rows that exist, as one consistent snapshot.
	Read(ctx context.Context, names ...string) ([]Row, error)
	// Scan returns the rows whose names begin with prefix, sorted by name, as one consistent snapshot.
	Scan(ctx context.Context, prefix string) ([]Row, error)
	// Commit applies all changes or none. It returns ErrConflict if a row does not have the expected version, and
	// ErrUnknown if the changes may or may not have taken effect.
	Commit(ctx context.Context, changes ...Change) error
}

var (
	// ErrConflict means that a row did not have the expected version, and that nothing was written.
	ErrConflict = errors.New("table: row has another version than expected")
	// ErrUnavailable means that the service did not accept the request, and that nothing was written.
	ErrUnavailable = errors.New("table: service unavailable")
	// ErrUnknown means that a commit was sent and its response was lost, so that it may or may not have taken effect.
	ErrUnknown = errors.New("table: outcome of the write is unknown")
	// ErrTooLarge means that a row or a transaction exceeds the limits of the service.
	ErrTooLarge = errors.New("table: transaction too large")
)

// TimedStore is a store that also reports the reading of its clock and the versions that it assigns to written rows.
type TimedStore interface {
	Store
	// CommitVersion does what Commit does and returns the new version of the written rows.
	CommitVersion(ctx context.Context, changes ...Change) (Version, error)
	// Reading returns the reading of the store's clock from its latest response.
	Reading() ClockReading
}

// ClockReading is a reading of the store's clock, taken from a response. The clock is monotonic and the same for all daemons,
// also when the store comes back from an older copy.
type ClockReading struct {
	// Era is the era of the response.
	Era Era
	// Time is the store's time at some moment between SentAt, when the daemon sent the request, and ReceivedAt, when it
	// received the response. SentAt and ReceivedAt are uptimes of the daemon.
	Time, SentAt, ReceivedAt time.Duration
}

// Earliest returns the lower bound of the store's time at an uptime of the daemon.
func (r ClockReading) Earliest(uptime time.Duration) time.Duration {
	return r.Time + uptime - r.ReceivedAt
}

// Latest returns the upper bound of the store's time at an uptime of the daemon.
func (r ClockReading) Latest(uptime time.Duration) time.Duration {
	return r.Time + uptime - r.SentAt
}

// Changes holds the rows of one table that changed after a version.
type Changes struct {
	// Rows are in the order in which they changed. A deleted row has a nil value.
	Rows []Row
	// Version is passed to the next call to receive the changes that follow.
	Version Version
}

// ErrCompacted means that the store no longer has all changes after the requested version, so that a new snapshot is needed.
var ErrCompacted = errors.New("table: history is no longer available")
