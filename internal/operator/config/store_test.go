package config_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/operator/config"
	"rosemarywick.example/rosemarywick/internal/operator/standin"
	"rosemarywick.example/rosemarywick/internal/platform/table"
)

const document = standin.Document

func newStore(fakeTable *standin.Table) *config.Store {
	return &config.Store{Table: fakeTable, Clock: timer.System{}}
}

func newChange(expected uint64, author string) *config.Change {
	return &config.Change{Expected: expected, Author: author, Text: document + "# " + author + "\n"}
}

// storeVersions stores versions 1 to count, all by the author "first".
func storeVersions(t *testing.T, store *config.Store, count uint64) {
	t.Helper()
	for version := range count {
		_, err := store.Apply(t.Context(), newChange(version, "first"))
		is.New(t).NoErr(err)
	}
}

// Guards against reporting the wrong outcome of a write when the table fails or loses responses.
func TestApplyUnderFaults(t *testing.T) {
	for _, test := range []struct {
		name     string
		expected uint64
		commits  []standin.Fault
		reads    []standin.Fault
		want     error
		version  uint64
	}{
		{"table works", 1, nil, nil, nil, 2},
		{"expected version is outdated", 0, nil, nil, &config.ConflictError{}, 1},
		{"expected version does not exist", 5, nil, nil, &config.ConflictError{}, 1},
		{"table down before the read", 1, nil, []standin.Fault{standin.Unavailable}, config.ErrUnavailable, 1},
		{"table down before the write", 1, []standin.Fault{standin.Unavailable}, nil, config.ErrUnavailable, 1},
		{"response lost", 1, []standin.Fault{standin.LostResponse}, nil, nil, 2},
		{
			"response lost, then table down", 1,
			[]standin.Fault{standin.LostResponse},
			[]standin.Fault{standin.NoFault, standin.Unavailable, standin.Unavailable},
			nil, 2,
		},
		{"write lost", 1, []standin.Fault{standin.LostWrite}, nil, nil, 2},
		{"write delayed", 1, []standin.Fault{standin.DelayedWrite}, nil, nil, 2},
		{
			"write delayed, then sent again", 1,
			[]standin.Fault{standin.DelayedWrite, standin.DelayedWrite},
			[]standin.Fault{standin.NoFault, standin.Unavailable},
			nil, 2,
		},
		{"write lost, then table down", 1, []standin.Fault{standin.LostWrite, standin.Unavailable, standin.Unavailable}, nil, nil, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				fakeTable := &standin.Table{}
				store := newStore(fakeTable)
				storeVersions(t, store, 1)
				fakeTable.InjectFaults(test.commits, test.reads)
				_, err := store.Apply(t.Context(), newChange(test.expected, "second"))
				if want, conflict := test.want.(*config.ConflictError); conflict { //nolint:errorlint // compares the wanted type itself
					is.True(errors.As(err, &want))
					is.Equal(want.Author, "first")
					is.Equal(want.Version, uint64(1))
				} else {
					is.True(errors.Is(err, test.want))
				}
				fakeTable.InjectFaults(nil, nil)
				latest, err := store.Latest(t.Context())
				is.NoErr(err)
				is.Equal(latest.Version, test.version)
			})
		})
	}
}

// Guards against reporting success or failure when the table is unavailable after the response to a write was lost.
func TestApplyOutcomeUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fakeTable := &standin.Table{}
		store := newStore(fakeTable)
		commits, reads := []standin.Fault{standin.LostResponse}, []standin.Fault{standin.NoFault}
		for range 1000 {
			commits, reads = append(commits, standin.Unavailable), append(reads, standin.Unavailable)
		}
		fakeTable.InjectFaults(commits, reads)
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		_, err := store.Apply(ctx, newChange(0, "first"))
		is.True(errors.Is(err, config.ErrOutcomeUnknown))
	})
}

// Guards against reporting a conflict when the response to a successful write was lost and other changes followed. Once the
// version has left the history, the outcome is unknown.
func TestApplyLostResponseThenLaterChanges(t *testing.T) {
	for _, test := range []struct {
		laterChanges uint64
		want         error
	}{{1, nil}, {19, nil}, {20, config.ErrOutcomeUnknown}} {
		t.Run(fmt.Sprint(test.laterChanges), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				fakeTable := &standin.Table{}
				store := newStore(fakeTable)
				fakeTable.InjectFaults([]standin.Fault{standin.LostResponse}, []standin.Fault{standin.NoFault, standin.Unavailable})
				go func() {
					is.NoErr(timer.Wait(t.Context(), timer.System{}, 50*time.Millisecond))
					for i := range test.laterChanges {
						_, err := store.Apply(t.Context(), newChange(1+i, "second"))
						is.NoErr(err)
					}
				}()
				_, err := store.Apply(t.Context(), newChange(0, "first"))
				is.True(errors.Is(err, test.want))
				synctest.Wait()
			})
		})
	}
}

// Guards against a history that grows without limit or lacks one of the last 20 versions.
func TestHistoryLength(t *testing.T) {
	is := is.New(t)
	fakeTable := &standin.Table{}
	store := newStore(fakeTable)
	storeVersions(t, store, 30)
	is.Equal(fakeTable.Len(), 21) // the row of the latest version and 20 history rows
	for version, exists := range map[uint64]bool{1: false, 10: false, 11: true, 30: true, 31: false} {
		revision, err := store.Version(t.Context(), version)
		is.Equal(err == nil, exists)
		is.True(!exists || revision.Version == version)
	}
}

// Guards against storing a document that daemons would reject.
func TestApplyRejectsInvalidText(t *testing.T) {
	for name, text := range map[string]string{
		"not TOML":    "[[services",
		"unknown key": "colour = 1",
		"too long":    "#" + strings.Repeat("x", config.MaxDocumentBytes),
	} {
		t.Run(name, func(t *testing.T) {
			fakeTable := &standin.Table{}
			_, err := newStore(fakeTable).Apply(t.Context(), &config.Change{Text: text})
			var invalid *config.InvalidError
			is.New(t).True(errors.As(err, &invalid))
			is.New(t).Equal(fakeTable.Len(), 0)
		})
	}
}

// Guards against concurrent changes of the same version of which none or more than one succeeds, and against a conflict that
// names the wrong author. The table loses or delays some of the writes and responses.
func TestConcurrentApply(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fakeTable := &standin.Table{}
		store := newStore(fakeTable)
		writers := rapid.IntRange(2, 4).Draw(t, "writers")
		faults := []standin.Fault{standin.NoFault, standin.LostResponse, standin.DelayedWrite, standin.LostWrite}
		fakeTable.InjectFaults(rapid.SliceOfN(rapid.SampledFrom(faults), 0, 3).Draw(t, "faults"), nil)
		results := make([]error, writers)
		var done sync.WaitGroup
		for i := range writers {
			done.Go(func() {
				_, results[i] = store.Apply(context.Background(), newChange(0, fmt.Sprint(i)))
			})
		}
		done.Wait()
		latest, err := store.Latest(context.Background())
		if err != nil || latest.Version != 1 {
			t.Fatalf("got version %v, error %v", latest, err)
		}
		for i, err := range results {
			var conflict *config.ConflictError
			won := latest.Author == fmt.Sprint(i)
			if won && err != nil || !won && (!errors.As(err, &conflict) || conflict.Author != latest.Author) {
				t.Fatalf("winner %s, writer %d: %v", latest.Author, i, err)
			}
		}
	})
}

// racingTable calls beforeCommit once, just before its first commit, to simulate a concurrent change.
type racingTable struct {
	*standin.Table

	beforeCommit func()
}

func (r *racingTable) Commit(ctx context.Context, changes ...table.Change) error {
	if beforeCommit := r.beforeCommit; beforeCommit != nil {
		r.beforeCommit = nil
		beforeCommit()
	}
	return r.Table.Commit(ctx, changes...)
}

// Guards against lost updates: an edit that conflicts with a concurrent one must be applied to the newer version, unless the
// author stated the expected version.
func TestConcurrentEdits(t *testing.T) {
	is := is.New(t)
	fakeTable := &standin.Table{}
	store := newStore(fakeTable)
	storeVersions(t, store, 1)
	edit := func(store *config.Store, edit config.Edit) {
		_, changed, err := store.Edit(t.Context(), "second", 0, edit)
		is.NoErr(err)
		is.True(changed)
	}
	edit(&config.Store{Clock: timer.System{}, Table: &racingTable{Table: fakeTable, beforeCommit: func() {
		edit(store, config.Drain{Upstream: "catalogue-02"})
	}}}, config.Drain{Upstream: "catalogue-01", Drained: true})
	latest, err := store.Latest(t.Context())
	is.NoErr(err)
	doc, err := latest.Document()
	is.NoErr(err)
	is.Equal(doc.Version, uint64(3))
	is.True(doc.Services[0].Upstreams[0].Drained)
	is.True(!doc.Services[0].Upstreams[1].Drained)
	_, _, err = store.Edit(t.Context(), "third", 2, config.Drain{Upstream: "catalogue-02", Drained: true})
	var conflict *config.ConflictError
	is.True(errors.As(err, &conflict)) // the expected version is not the latest
	_, changed, err := store.Edit(t.Context(), "third", 3, config.Drain{Upstream: "catalogue-02"})
	is.NoErr(err)
	is.True(!changed) // the upstream is not drained
}
