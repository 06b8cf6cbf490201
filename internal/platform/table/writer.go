package table

import (
	"bytes"
	"context"
	"crypto/rand"
	"time"

	"github.com/cockroachdb/errors"

	"rosemarywick.example/rosemarywick/internal/core/timer"
)

// DefaultRetryInterval is the time between two attempts to resolve a commit whose outcome is unknown.
const DefaultRetryInterval = 50 * time.Millisecond

// NewToken returns a random token that identifies one transaction of a Writer.
func NewToken() string {
	return rand.Text()
}

// Writer commits transactions and finds out the outcome of those whose response was lost. The exported fields are set before
// the first call.
type Writer struct {
	Store Store
	Clock timer.Clock
	// RetryInterval is the time between two attempts to resolve a commit; zero means DefaultRetryInterval.
	RetryInterval time.Duration
}

// Commit applies all changes or none. The value of the first written change must contain token. If the response is lost,
// Commit reads that row back until the outcome is known or ctx ends: a row with the token proves that the transaction took
// effect, and as long as the row has the expected version the same transaction is sent again. Because the transaction is
// conditional on that version, it cannot take effect twice.
//
// Commit returns ErrUnknown if ctx ends first, or if the row holds neither the token nor the expected version, since another
// writer may have overwritten this write. A row that keeps the tokens of its last writers avoids the second case.
func (w *Writer) Commit(ctx context.Context, token string, changes ...Change) error {
	tokenChange, err := changeWithToken(token, changes)
	if err != nil {
		return err
	}
	err = w.Store.Commit(ctx, changes...)
	for errors.Is(err, ErrUnknown) {
		var known bool
		if known, err = w.resolve(ctx, token, tokenChange, changes); known {
			return err
		}
		if timer.Wait(ctx, w.Clock, w.retryInterval()) != nil {
			return errors.Wrapf(ErrUnknown, "row %s not read back before the context ended", tokenChange.Name)
		}
	}
	return err
}

// resolve makes one attempt to find out whether a commit took effect, and commits again if it did not. tokenChange is the
// change whose value contains the token. If known is false, err is ErrUnknown and the caller repeats the attempt.
func (w *Writer) resolve(ctx context.Context, token string, tokenChange Change, changes []Change) (known bool, err error) {
	rows, err := w.Store.Read(ctx, tokenChange.Name)
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
	if version != tokenChange.Expected {
		return true, errors.Wrapf(ErrUnknown, "row %s was overwritten by another writer", tokenChange.Name)
	}
	if err = w.Store.Commit(ctx, changes...); err == nil {
		return true, nil
	}
	// The conflict may be with this writer's own earlier attempt, which may have taken effect after the row was read.
	if errors.Is(err, ErrConflict) {
		return w.resolveConflict(ctx, token, tokenChange)
	}
	return false, ErrUnknown
}

// resolveConflict distinguishes a conflict with an earlier attempt of this writer from one with another writer. If the row of
// tokenChange still has the expected version, another row of the transaction has changed, and ErrConflict is final: the
// version of a row never returns to an earlier value, so that no attempt can take effect any more.
func (w *Writer) resolveConflict(ctx context.Context, token string, tokenChange Change) (known bool, err error) {
	rows, err := w.Store.Read(ctx, tokenChange.Name)
	if err != nil {
		return false, ErrUnknown
	}
	switch {
	case len(rows) > 0 && bytes.Contains(rows[0].Value, []byte(token)):
		return true, nil
	case len(rows) == 0 && tokenChange.Expected == 0, len(rows) > 0 && rows[0].Version == tokenChange.Expected:
		return true, ErrConflict
	default:
		return true, errors.Wrapf(ErrUnknown, "row %s was overwritten by another writer", tokenChange.Name)
	}
}

func (w *Writer) retryInterval() time.Duration {
	if w.RetryInterval <= 0 {
		return DefaultRetryInterval
	}
	return w.RetryInterval
}

// changeWithToken returns the first written change, or an error if there is none or its value does not contain the token.
func changeWithToken(token string, changes []Change) (Change, error) {
	for _, change := range changes {
		if change.Write {
			if token == "" || !bytes.Contains(change.Value, []byte(token)) {
				return Change{}, errors.Newf("table: value written to row %s does not contain the token of its writer", change.Name)
			}
			return change, nil
		}
	}
	return Change{}, errors.New("table: transaction writes no row")
}
