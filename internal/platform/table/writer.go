package table

import (
	"bytes"
	"context"
	"crypto/rand"
	"time"

	"github.com/cockroachdb/errors"

	"rosemarywick.example/rosemarywick/internal/core/timer"
)

// DefaultPause is the time between two attempts to resolve an unknown write.
const DefaultRetryInterval = 50 * time.Millisecond

// NewToken returns a token that no other write carries.
func NewToken() string {
	return rand.Text()
}

// Writer commits transactions and resolves those whose response was lost. The exported fields are set before the first
// call.
type Writer struct {
	Store Store
	Clock timer.Clock
	// Pause is the time between two attempts; zero means DefaultPause.
	RetryInterval time.Duration
}

// Commit applies all changes or none. The value of the first written change must contain token. When the response is
// lost, Commit reads that row back until the outcome is known or ctx ends: the token in the row proves the write, and
// while the row has the expected version the same conditional transaction is sent again, which cannot apply it twice.
//
// ErrUnknown remains when ctx ends first, and when the row holds neither the token nor the expected version, as another
// writer may then have overwritten this write. A row that keeps the tokens of its last writers avoids the latter.
func (w *Writer) Commit(ctx context.Context, token string, changes ...Change) error {
	row, err := markedChange(token, changes)
	if err != nil {
		return err
	}
	err = w.Store.Commit(ctx, changes...)
	for errors.Is(err, ErrUnknown) {
		var known bool
		if known, err = w.resolve(ctx, token, row, changes); known {
			return err
		}
		if timer.Wait(ctx, w.Clock, w.pause()) != nil {
			return errors.Wrapf(ErrUnknown, "row %s not read back before the context ended", row.Name)
		}
	}
	return err
}

// resolve makes one attempt. When known is false, err is ErrUnknown and the attempt is to be repeated.
func (w *Writer) resolve(ctx context.Context, token string, row Change, changes []Change) (known bool, err error) {
	rows, err := w.Store.Read(ctx, row.Name)
	if err != nil {
		return false, ErrUnknown
	}
	var version Version
	if len(rows) > 0 {
		if bytes.Contains(rows[0].Value, []byte(token)) {
			return true, nil
		}
		version = rows[0].Version
	}
	if version != row.Expected {
		return true, errors.Wrapf(ErrUnknown, "row %s was written by another since", row.Name)
	}
	if err = w.Store.Commit(ctx, changes...); err == nil {
		return true, nil
	}
	// A conflict may be due to the first attempt, so that it needs another look at the row. If another row of the
	// transaction conflicts while this one still has the expected version, the loop ends with that conflict below.
	if errors.Is(err, ErrConflict) {
		return w.conflict(ctx, token, row)
	}
	return false, ErrUnknown
}

// conflict tells a conflict with this writer's own earlier attempt from one with another writer. A version that still
// is as expected means that another row of the transaction has changed: the versions of rows never return to earlier
// values, so that no attempt can take effect any more.
func (w *Writer) conflict(ctx context.Context, token string, row Change) (known bool, err error) {
	rows, err := w.Store.Read(ctx, row.Name)
	if err != nil {
		return false, ErrUnknown
	}
	switch {
	case len(rows) > 0 && bytes.Contains(rows[0].Value, []byte(token)):
		return true, nil
	case len(rows) == 0 && row.Expected == 0, len(rows) > 0 && rows[0].Version == row.Expected:
		return true, ErrConflict
	default:
		return true, errors.Wrapf(ErrUnknown, "row %s was written by another since", row.Name)
	}
}

func (w *Writer) pause() time.Duration {
	if w.RetryInterval <= 0 {
		return DefaultRetryInterval
	}
	return w.RetryInterval
}

func markedChange(token string, changes []Change) (Change, error) {
	for _, change := range changes {
		if change.Write {
			if token == "" || !bytes.Contains(change.Value, []byte(token)) {
				return Change{}, errors.Newf("table: row %s does not contain the token of its writer", change.Name)
			}
			return change, nil
		}
	}
	return Change{}, errors.New("table: transaction writes no row")
}
