package contract

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"rosemarywick.example/rosemarywick/internal/platform/objects"
	"rosemarywick.example/rosemarywick/internal/platform/standin"
)

// RunObjectsTests runs the suite for objects.Store. open returns an empty store and the fake that serves it, which injects
// faults.
func RunObjectsTests(t *testing.T, open func(t *testing.T) (objects.Store, *standin.Objects)) {
	t.Run("names are stored unchanged", func(t *testing.T) {
		is := is.New(t)
		store, _ := open(t)
		for _, name := range []string{"r/2", "r/1", "r//a b?c%2F#", "r/../x", "s"} {
			is.NoErr(store.Put(t.Context(), name, []byte("old")))
			is.NoErr(store.Put(t.Context(), name, []byte(name))) // replaces the older object
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
		is.NoErr(store.Delete(t.Context(), "a")) // no error for a missing object
		_, err := store.Get(t.Context(), "a")
		is.True(errors.Is(err, objects.ErrNotFound))
	})
	t.Run("outage gives ErrUnavailable", func(t *testing.T) {
		is := is.New(t)
		store, fake := open(t)
		fake.SetOutage(standin.OutageRefused)
		_, err := store.Get(t.Context(), "a")
		is.True(errors.Is(err, objects.ErrUnavailable)) // not ErrNotFound
		is.True(errors.Is(store.Put(t.Context(), "a", nil), objects.ErrUnavailable))
		_, err = store.List(t.Context(), "")
		is.True(errors.Is(err, objects.ErrUnavailable))
	})
}
