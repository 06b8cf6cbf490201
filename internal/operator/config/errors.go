package config

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"rosemarywick.example/rosemarywick/internal/platform/table"
)

var (
	// ErrUnavailable means that the table did not answer and that nothing was written.
	ErrUnavailable = errors.New("configuration table unavailable, nothing was changed")
	// ErrUndecided means that a change was sent and that the table could not be asked in time whether it took effect.
	ErrOutcomeUnknown = errors.New("configuration table unavailable, the change may or may not take effect; check the status")
	// ErrTooLarge means that the table does not take a document of this size.
	ErrTooLarge = errors.New("configuration is too large for the table, nothing was changed")
)

// ConflictError means that another change has the version after the one that the author saw.
type ConflictError struct {
	// Version, Author and Time are those of the latest version. They are zero if none is stored.
	Version uint64
	Author  string
	Time    time.Time
	// Expected is the version that the author saw.
	Expected uint64
}

// Error names the change that won.
func (c *ConflictError) Error() string {
	if c.Version == 0 {
		return fmt.Sprintf("expected version %d, but no configuration is stored; nothing was changed", c.Expected)
	}
	return fmt.Sprintf("expected version %d, but version %d by %s of %s is in place; nothing was changed",
		c.Expected, c.Version, c.Author, c.Time.UTC().Format(time.RFC3339))
}

// InvalidError means that a document or an edit of it is invalid.
type InvalidError struct{ Err error }

// Error says where the fault is and what was expected.
func (i *InvalidError) Error() string { return i.Err.Error() }

// Unwrap returns the fault.
func (i *InvalidError) Unwrap() error { return i.Err }

// NotFoundError means that the configuration has no such element.
type NotFoundError struct {
	// Kind is the kind of element, such as "upstream".
	Kind string
	Name string
}

// Error names the element.
func (n *NotFoundError) Error() string { return fmt.Sprintf("no %s %s", n.Kind, n.Name) }

// translate turns an error of the table, met before anything was written, into one of this package.
func translate(err error) error {
	if errors.Is(err, table.ErrTooLarge) {
		return errors.Mark(errors.Wrap(err, ErrTooLarge.Error()), ErrTooLarge)
	}
	return errors.Mark(errors.Wrap(err, ErrUnavailable.Error()), ErrUnavailable)
}
