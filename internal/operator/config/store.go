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
	latestRow = "config"
	// kept is the number of versions that can still be read.
	kept = 20
	// retryWait is the time between two attempts to find out whether a write took effect.
	retryWait = 100 * time.Millisecond
	// editAttempts bounds how often an edit is applied to a newer version after it lost a race.
	editAttempts = 5
)

// Table is the part of the table service that the configuration needs.
type Table interface {
	Read(ctx context.Context, names ...string) ([]table.Row, error)
	Commit(ctx context.Context, changes ...table.Change) error
}

// Store is the configuration in the table. Its fields are set before use.
type Store struct {
	Table Table
	Clock timer.Clock
}

// Change is a new text for the configuration.
type Change struct {
	// Expected is the version that the author saw, zero if there was none.
	Expected uint64
	Author   string
	Text     string
}

func versionRow(version uint64) string {
	return fmt.Sprintf("%s/%d", latestRow, version)
}

// Latest returns the latest version, or a NotFoundError if none is stored.
func (s *Store) Latest(ctx context.Context) (*Revision, error) {
	current, err := s.read(ctx, 0)
	if err != nil {
		return nil, err
	}
	if current.latest == nil {
		return nil, &NotFoundError{Kind: "configuration", Name: "in the table"}
	}
	return current.latest, nil
}

// Version returns a version, of which the last 20 are kept, or a NotFoundError.
func (s *Store) Version(ctx context.Context, version uint64) (*Revision, error) {
	current, err := s.read(ctx, version)
	if err != nil {
		return nil, err
	}
	if current.other == nil {
		return nil, &NotFoundError{Kind: "version", Name: fmt.Sprint(version)}
	}
	return current.other, nil
}

// rows are the latest row and one row of an earlier version as of one moment. Absent rows are nil and zero.
type rows struct {
	latest        *Revision
	latestVersion table.Version
	other         *Revision
	otherVersion  table.Version
}

func (r *rows) version() uint64 {
	if r.latest == nil {
		return 0
	}
	return r.latest.Version
}

func (s *Store) read(ctx context.Context, other uint64) (*rows, error) {
	found, err := s.Table.Read(ctx, latestRow, versionRow(other))
	if err != nil {
		return nil, translate(err)
	}
	result := &rows{}
	for _, row := range found {
		revision, err := Decode(row.Value)
		if err != nil {
			return nil, errors.Wrapf(err, "row %q", row.Name)
		}
		if row.Name == latestRow {
			result.latest, result.latestVersion = revision, row.Version
		} else {
			result.other, result.otherVersion = revision, row.Version
		}
	}
	return result, nil
}

// Apply stores a new version in place of the expected one and returns it. It returns a ConflictError if another change
// came first, an InvalidError if the text cannot take effect, and ErrUndecided if the response was lost and the table
// did not answer again before ctx ended.
func (s *Store) Apply(ctx context.Context, change *Change) (*Revision, error) {
	if _, err := Parse(documentName, change.Text); err != nil {
		return nil, err
	}
	// The row of the version that leaves the history is read along, since its deletion is conditional, too.
	oldest := uint64(0)
	if change.Expected >= kept {
		oldest = change.Expected + 1 - kept
	}
	current, err := s.read(ctx, oldest)
	if err != nil {
		return nil, err
	}
	if current.version() != change.Expected {
		return nil, conflict(current.latest, change.Expected)
	}
	revision := &Revision{
		Version: change.Expected + 1, Author: change.Author, Time: s.Clock.Now().UTC().Truncate(time.Millisecond),
		Token: rand.Text(), Text: change.Text,
	}
	changes, err := current.changes(revision)
	if err != nil {
		return nil, err
	}
	if err := s.commit(ctx, revision, changes); err != nil {
		return nil, err
	}
	return revision, nil
}

// changes returns the transaction that stores the revision.
func (r *rows) changes(revision *Revision) ([]table.Change, error) {
	content, err := revision.Encode()
	if err != nil {
		return nil, err
	}
	changes := []table.Change{
		{Name: latestRow, Expected: r.latestVersion, Write: true, Value: content},
		{Name: versionRow(revision.Version), Write: true, Value: content},
	}
	if r.other != nil {
		changes = append(changes, table.Change{
			Name: versionRow(r.other.Version), Expected: r.otherVersion, Write: true,
		})
	}
	return changes, nil
}

// commit sends the transaction until it is known whether the revision was stored. Sending it again is safe: it is
// conditional on the same row versions, so that it takes effect at most once, also if an earlier one is still under way.
func (s *Store) commit(ctx context.Context, revision *Revision, changes []table.Change) error {
	sent := false
	for {
		err := s.Table.Commit(ctx, changes...)
		switch {
		case err == nil:
			return nil
		case !sent && (errors.Is(err, table.ErrUnavailable) || errors.Is(err, table.ErrTooLarge)):
			return translate(err)
		case !errors.Is(err, table.ErrConflict):
			sent = true
		}
		if current, err := s.read(ctx, revision.Version); err == nil {
			if decided, err := current.outcome(revision); decided {
				return err
			}
		}
		if timer.Wait(ctx, s.Clock, retryWait) != nil {
			if sent {
				return ErrOutcomeUnknown
			}
			return ErrUnavailable
		}
	}
}

// outcome reports whether it is decided that the revision was stored, and a nil error if so. It is not decided while
// the version before the revision is still in place, in which case a write under way may yet take effect.
func (r *rows) outcome(revision *Revision) (bool, error) {
	switch {
	case r.other != nil && r.other.Token == revision.Token:
		return true, nil
	case r.other != nil:
		return true, conflict(r.latest, revision.Version-1)
	case r.version() >= revision.Version:
		return true, ErrOutcomeUnknown // so many changes followed that the version has left the history
	}
	return false, nil
}

func conflict(latest *Revision, expected uint64) error {
	if latest == nil {
		return &ConflictError{Expected: expected}
	}
	return &ConflictError{Version: latest.Version, Author: latest.Author, Time: latest.Time, Expected: expected}
}

// Edit applies an edit to the version that the author saw, or to the latest one if expected is zero, and stores the
// result. An edit of the latest version that loses a race is applied again to the version that won. The result is the
// version in place and whether the edit changed it.
func (s *Store) Edit(ctx context.Context, author string, expected uint64, edit Edit) (*Revision, bool, error) {
	for attempt := 1; ; attempt++ {
		latest, err := s.Latest(ctx)
		if err != nil {
			return nil, false, err
		}
		if expected != 0 && latest.Version != expected {
			return nil, false, conflict(latest, expected)
		}
		text, err := ApplyEdit(latest.Text, edit)
		if err != nil {
			return nil, false, err
		}
		if text == latest.Text {
			return latest, false, nil
		}
		stored, err := s.Apply(ctx, &Change{Expected: latest.Version, Author: author, Text: text})
		var lost *ConflictError
		if errors.As(err, &lost) && expected == 0 && attempt < editAttempts {
			continue
		}
		return stored, err == nil, err
	}
}
