package contract

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"rosemarywick.example/rosemarywick/internal/platform/objects"
	"rosemarywick.example/rosemarywick/internal/platform/standin"
)

// Objects checks an object store. open returns an empty one and the faults of the fake behind it.
func RunObjectsTests(t *testing.T, open func(t *testing.T) (objects.Store, *standin.Objects)) {
	t.Run("names survive unchanged", func(t *testing.T) {
		is := is.New(t)
		store, _ := open(t)
		for _, name := range []string{"r/2", "r/1", "r//a b?c%2F#", "r/../x", "s"} {
			is.NoErr(store.Put(t.Context(), name, []byte("old")))
			is.NoErr(store.Put(t.Context(), name, []byte(name))) // in place of the older one
			content, err := store.Get(t.Context(), name)
			is.NoErr(err)
			is.Equal(string(content), name)
		}
		names, err := store.List(t.Context(), "r/")
		is.NoErr(err)
		is.Equal(names, []string{"r/../x", "r//a b?c%2F#", "r/1", "r/2"})
	})
	t.Run("deleted object is not found", func(t *testing.T) {
		is := is.New(t)
		store, _ := open(t)
		is.NoErr(store.Put(t.Context(), "a", nil))
		is.NoErr(store.Delete(t.Context(), "a"))
		is.NoErr(store.Delete(t.Context(), "a")) // once more is no error
		_, err := store.Get(t.Context(), "a")
		is.True(errors.Is(err, objects.ErrNotFound))
	})
	t.Run("outage is unavailable", func(t *testing.T) {
		is := is.New(t)
		store, faults := open(t)
		faults.SetOutage(standin.OutageRefused)
		_, err := store.Get(t.Context(), "a")
		is.True(errors.Is(err, objects.ErrUnavailable)) // and not ErrNotFound
		is.True(errors.Is(store.Put(t.Context(), "a", nil), objects.ErrUnavailable))
		_, err = store.List(t.Context(), "")
		is.True(errors.Is(err, objects.ErrUnavailable))
	})
}
