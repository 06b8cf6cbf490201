package config

import (
	"context"
	"crypto/rand"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/platform/table"
)

const (
	latestRowName = "config"
	// maxStoredVersions is the number of latest versions that the table keeps. Older ones are deleted.
	maxStoredVersions = 20
	// retryDelay is the delay between two attempts to find out whether a write took effect.
	retryDelay = 100 * time.Millisecond
	// maxEditAttempts limits how often an edit is applied, in total, when concurrent changes conflict with it.
	maxEditAttempts = 5
)

// Table is the subset of the table service that Store uses.
type Table interface {
	Read(ctx context.Context, names ...string) ([]table.Row, error)
	Commit(ctx context.Context, changes ...table.Change) error
}

// Store reads and writes the configuration in the table. Its fields must be set before use.
type Store struct {
	Table Table
	Clock timer.Clock
}

// Change replaces the text of the configuration.
type Change struct {
	// Expected is the version on which the change is based, or zero if no version existed.
	Expected uint64
	Author   string
	Text     string
}

// versionRowName returns the name of the row that keeps a version in the history.
func versionRowName(version uint64) string {
	return fmt.Sprintf("%s/%d", latestRowName, version)
}

// Latest returns the latest version, or a NotFoundError if no configuration is stored.
func (s *Store) Latest(ctx context.Context) (*Revision, error) {
	current, err := s.readRows(ctx, 0)
	if err != nil {
		return nil, err
	}
	if current.latest == nil {
		return nil, &NotFoundError{Kind: "configuration", Name: "in the table"}
	}
	return current.latest, nil
}

// Version returns one of the last 20 versions, or a NotFoundError if the version does not exist or was deleted.
func (s *Store) Version(ctx context.Context, version uint64) (*Revision, error) {
	current, err := s.readRows(ctx, version)
	if err != nil {
		return nil, err
	}
	if current.requested == nil {
		return nil, &NotFoundError{Kind: "version", Name: fmt.Sprint(version)}
	}
	return current.requested, nil
}

// storedRows holds the row of the latest version and the history row of one requested version, read in one snapshot. If a
// row does not exist, its fields are nil and zero.
type storedRows struct {
	latest              *Revision
	latestRowVersion    table.Version
	requested           *Revision
	requestedRowVersion table.Version
}

// configVersion returns the latest version of the configuration, or zero if none is stored.
func (r *storedRows) configVersion() uint64 {
	if r.latest == nil {
		return 0
	}
	return r.latest.Version
}

// readRows reads the row of the latest version and the history row of the requested version.
func (s *Store) readRows(ctx context.Context, requested uint64) (*storedRows, error) {
	found, err := s.Table.Read(ctx, latestRowName, versionRowName(requested))
	if err != nil {
		return nil, wrapTableError(err)
	}
	result := &storedRows{}
	for _, row := range found {
		revision, err := Decode(row.Value)
		if err != nil {
			return nil, errors.Wrapf(err, "read configuration row %q", row.Name)
		}
		if row.Name == latestRowName {
			result.latest, result.latestRowVersion = revision, row.Version
		} else {
			result.requested, result.requestedRowVersion = revision, row.Version
		}
	}
	return result, nil
}

// Apply stores the change as the version after the expected one and returns the new revision. It returns a ConflictError if
// the latest version is not the expected one, an InvalidError if the text is invalid, and ErrOutcomeUnknown if the response
// to the write was lost and the outcome could not be read back before ctx ended.
func (s *Store) Apply(ctx context.Context, change *Change) (*Revision, error) {
	if _, err := Parse(documentName, change.Text); err != nil {
		return nil, err
	}
	// The transaction also deletes the oldest row of the history. That deletion is conditional on the row's version, so the
	// row is read as well.
	oldest := uint64(0)
	if change.Expected >= maxStoredVersions {
		oldest = change.Expected + 1 - maxStoredVersions
	}
	current, err := s.readRows(ctx, oldest)
	if err != nil {
		return nil, err
	}
	if current.configVersion() != change.Expected {
		return nil, newConflictError(current.latest, change.Expected)
	}
	revision := &Revision{
		Version: change.Expected + 1, Author: change.Author, Time: s.Clock.Now().UTC().Truncate(time.Millisecond),
		Token: rand.Text(), Text: change.Text,
	}
	changes, err := current.transaction(revision)
	if err != nil {
		return nil, err
	}
	if err := s.commit(ctx, revision, changes); err != nil {
		return nil, err
	}
	return revision, nil
}

// transaction returns the changes that store the revision and delete the requested row, the oldest of the history.
func (r *storedRows) transaction(revision *Revision) ([]table.Change, error) {
	content, err := revision.Encode()
	if err != nil {
		return nil, err
	}
	changes := []table.Change{
		{Name: latestRowName, Expected: r.latestRowVersion, Write: true, Value: content},
		{Name: versionRowName(revision.Version), Write: true, Value: content},
	}
	if r.requested != nil {
		changes = append(changes, table.Change{
			Name: versionRowName(r.requested.Version), Expected: r.requestedRowVersion, Write: true,
		})
	}
	return changes, nil
}

// commit retries the transaction until it is known whether the revision was stored. Retries are safe: all attempts are
// conditional on the same row versions, so at most one takes effect, even if an earlier attempt is still in flight.
func (s *Store) commit(ctx context.Context, revision *Revision, changes []table.Change) error {
	maybeStored := false
	for {
		err := s.Table.Commit(ctx, changes...)
		switch {
		case err == nil:
			return nil
		case !maybeStored && (errors.Is(err, table.ErrUnavailable) || errors.Is(err, table.ErrTooLarge)):
			return wrapTableError(err)
		case !errors.Is(err, table.ErrConflict):
			maybeStored = true
		}
		if current, err := s.readRows(ctx, revision.Version); err == nil {
			if known, err := current.writeOutcome(revision); known {
				return err
			}
		}
		if timer.Wait(ctx, s.Clock, retryDelay) != nil {
			if maybeStored {
				return ErrOutcomeUnknown
			}
			return ErrUnavailable
		}
	}
}

// writeOutcome reports whether the outcome of writing the revision is known, and if so returns nil if it was stored and an
// error otherwise. The outcome is unknown while the preceding version is still the latest, since a write in flight may still
// take effect. The receiver must have been read with the revision's version as the requested one.
func (r *storedRows) writeOutcome(revision *Revision) (bool, error) {
	switch {
	case r.requested != nil && r.requested.Token == revision.Token:
		return true, nil
	case r.requested != nil:
		return true, newConflictError(r.latest, revision.Version-1)
	case r.configVersion() >= revision.Version:
		return true, ErrOutcomeUnknown // enough changes followed to delete the version from the history
	}
	return false, nil
}

// newConflictError returns a ConflictError with the latest revision, which may be nil.
func newConflictError(latest *Revision, expected uint64) error {
	if latest == nil {
		return &ConflictError{Expected: expected}
	}
	return &ConflictError{Version: latest.Version, Author: latest.Author, Time: latest.Time, Expected: expected}
}

// Edit applies an edit to the expected version, which must be the latest, and stores the result. If expected is zero, it
// applies the edit to whatever version is the latest and retries on conflict. It returns the resulting revision and whether
// the edit changed the configuration; an edit that changes nothing stores no new version.
func (s *Store) Edit(ctx context.Context, author string, expected uint64, edit Edit) (*Revision, bool, error) {
	for attempt := 1; ; attempt++ {
		latest, err := s.Latest(ctx)
		if err != nil {
			return nil, false, err
		}
		if expected != 0 && latest.Version != expected {
			return nil, false, newConflictError(latest, expected)
		}
		text, err := ApplyEdit(latest.Text, edit)
		if err != nil {
			return nil, false, err
		}
		if text == latest.Text {
			return latest, false, nil
		}
		stored, err := s.Apply(ctx, &Change{Expected: latest.Version, Author: author, Text: text})
		var conflict *ConflictError
		if errors.As(err, &conflict) && expected == 0 && attempt < maxEditAttempts {
			continue
		}
		return stored, err == nil, err
	}
}
