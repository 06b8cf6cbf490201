// Package table speaks to the platform's transactional table service, in which everything lives that has to be agreed
// or kept. It defines what the project needs of that service, its errors, and how a write whose answer was lost is
// resolved. It holds no data of its own.
package table

import (
	"context"
	"time"

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

// TimedStore is a store that also tells its own clock and the versions that it gave out.
type TimedStore interface {
	Store
	// CommitVersion is Commit, and returns the version that the written rows have now.
	CommitVersion(ctx context.Context, changes ...Change) (Version, error)
	// Reading returns the latest reading of the store's clock.
	Reading() ClockReading
}

// Reading is what an answer of the store told of its clock. The clock is steady and the same for all daemons.
type ClockReading struct {
	// Time is what the store's clock showed between SentAt and ReceivedAt of the daemon's uptime.
	Time, SentAt, ReceivedAt time.Duration
}

// Earliest returns the least that the store's clock can show at an uptime.
func (r ClockReading) Earliest(uptime time.Duration) time.Duration {
	return r.Time + uptime - r.ReceivedAt
}

// Latest returns the most that the store's clock can show at an uptime.
func (r ClockReading) Latest(uptime time.Duration) time.Duration {
	return r.Time + uptime - r.SentAt
}

// Changes are the rows of one table that changed since a version.
type Changes struct {
	// Rows are in the order of their changes. A row that was deleted has a nil value.
	Rows []Row
	// Version is where the next call goes on.
	Version Version
}

// ErrCompacted means that the store no longer has the history that was asked for; the rows have to be read anew.
var ErrCompacted = errors.New("table: history is no longer available")
