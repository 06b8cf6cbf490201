package config

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"rosemarywick.example/rosemarywick/internal/platform/table"
)

var (
	// ErrUnavailable means that the table service did not respond and that nothing was written.
	ErrUnavailable = errors.New("configuration table unavailable, nothing was changed")
	// ErrOutcomeUnknown means that a write was sent, but that its outcome could not be read back in time.
	ErrOutcomeUnknown = errors.New("configuration table unavailable, the change may or may not take effect; check the status")
	// ErrTooLarge means that the table service rejected the document because of its size.
	ErrTooLarge = errors.New("configuration is too large for the table, nothing was changed")
)

// ConflictError means that the latest version is not the one that the author of a change expected.
type ConflictError struct {
	// Version, Author and Time describe the latest version. They are zero if no configuration is stored.
	Version uint64
	Author  string
	Time    time.Time
	// Expected is the version on which the rejected change was based.
	Expected uint64
}

// Error returns a message that names the author and time of the latest version.
func (c *ConflictError) Error() string {
	if c.Version == 0 {
		return fmt.Sprintf("expected version %d, but no configuration is stored; nothing was changed", c.Expected)
	}
	return fmt.Sprintf("expected version %d, but version %d by %s of %s is in place; nothing was changed",
		c.Expected, c.Version, c.Author, c.Time.UTC().Format(time.RFC3339))
}

// InvalidError means that a document, or the result of an edit, is invalid.
type InvalidError struct{ Err error }

// Error returns the message of the underlying error, which says where the fault is and what was expected.
func (i *InvalidError) Error() string { return i.Err.Error() }

// Unwrap returns the underlying error.
func (i *InvalidError) Unwrap() error { return i.Err }

// NotFoundError means that an element or a version of the configuration does not exist.
type NotFoundError struct {
	// Kind is the kind of the missing element, such as "upstream".
	Kind string
	Name string
}

// Error returns a message with the kind and the name of the missing element.
func (n *NotFoundError) Error() string { return fmt.Sprintf("no %s %s", n.Kind, n.Name) }

// wrapTableError marks an error of the table service as ErrTooLarge or ErrUnavailable. Both promise that nothing was
// written, so it must not be used once a write may have taken effect.
func wrapTableError(err error) error {
	if errors.Is(err, table.ErrTooLarge) {
		return errors.Mark(errors.Wrap(err, ErrTooLarge.Error()), ErrTooLarge)
	}
	return errors.Mark(errors.Wrap(err, ErrUnavailable.Error()), ErrUnavailable)
}
