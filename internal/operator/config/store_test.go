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

func store(memory *standin.Table) *config.Store {
	return &config.Store{Table: memory, Clock: timer.System{}}
}

func change(expected uint64, author string) *config.Change {
	return &config.Change{Expected: expected, Author: author, Text: document + "# " + author + "\n"}
}

// stored writes versions up to count, the last by "first".
func stored(t *testing.T, store *config.Store, count uint64) {
	t.Helper()
	for version := range count {
		_, err := store.Apply(t.Context(), change(version, "first"))
		is.New(t).NoErr(err)
	}
}

// Guards against a write that is reported as done, lost or unknown although it was not.
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
		{"expected version is old", 0, nil, nil, &config.ConflictError{}, 1},
		{"expected version does not exist", 5, nil, nil, &config.ConflictError{}, 1},
		{"table down before the read", 1, nil, []standin.Fault{standin.Unavailable}, config.ErrUnavailable, 1},
		{"table down before the write", 1, []standin.Fault{standin.Unavailable}, nil, config.ErrUnavailable, 1},
		{"response lost", 1, []standin.Fault{standin.LostResponse}, nil, nil, 2},
		{"response standin.Lost, then down", 1, []standin.Fault{standin.LostResponse}, []standin.Fault{standin.NoFault, standin.Unavailable, standin.Unavailable}, nil, 2},
		{"write lost", 1, []standin.Fault{standin.LostWrite}, nil, nil, 2},
		{"write late", 1, []standin.Fault{standin.DelayedWrite}, nil, nil, 2},
		{"write standin.Late, sent again", 1, []standin.Fault{standin.DelayedWrite, standin.DelayedWrite}, []standin.Fault{standin.NoFault, standin.Unavailable}, nil, 2},
		{"write standin.Lost, then down", 1, []standin.Fault{standin.LostWrite, standin.Unavailable, standin.Unavailable}, nil, nil, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				memory := &standin.Table{}
				store := store(memory)
				stored(t, store, 1)
				memory.InjectFaults(test.commits, test.reads)
				_, err := store.Apply(t.Context(), change(test.expected, "second"))
				if want, conflict := test.want.(*config.ConflictError); conflict { //nolint:errorlint // the type itself is wanted
					is.True(errors.As(err, &want))
					is.Equal(want.Author, "first")
					is.Equal(want.Version, uint64(1))
				} else {
					is.True(errors.Is(err, test.want))
				}
				memory.InjectFaults(nil, nil)
				latest, err := store.Latest(t.Context())
				is.NoErr(err)
				is.Equal(latest.Version, test.version)
			})
		})
	}
}

// Guards against an answer that is guessed when the table cannot be asked whether the write took effect.
func TestApplyUndecided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		memory := &standin.Table{}
		store := store(memory)
		commits, reads := []standin.Fault{standin.LostResponse}, []standin.Fault{standin.NoFault}
		for range 1000 {
			commits, reads = append(commits, standin.Unavailable), append(reads, standin.Unavailable)
		}
		memory.InjectFaults(commits, reads)
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		_, err := store.Apply(ctx, change(0, "first"))
		is.True(errors.Is(err, config.ErrOutcomeUnknown))
	})
}

// Guards against a lost response that is reported as a conflict because further changes followed.
func TestApplyLostThenSuperseded(t *testing.T) {
	for _, test := range []struct {
		followers uint64
		want      error
	}{{1, nil}, {19, nil}, {20, config.ErrOutcomeUnknown}} {
		t.Run(fmt.Sprint(test.followers), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				memory := &standin.Table{}
				store := store(memory)
				memory.InjectFaults([]standin.Fault{standin.LostResponse}, []standin.Fault{standin.NoFault, standin.Unavailable})
				go func() {
					is.NoErr(timer.Wait(t.Context(), timer.System{}, 50*time.Millisecond))
					for i := range test.followers {
						_, err := store.Apply(t.Context(), change(1+i, "second"))
						is.NoErr(err)
					}
				}()
				_, err := store.Apply(t.Context(), change(0, "first"))
				is.True(errors.Is(err, test.want))
				synctest.Wait()
			})
		})
	}
}

// Guards against history that grows without bound or loses a version that is to be kept.
func TestHistory(t *testing.T) {
	is := is.New(t)
	memory := &standin.Table{}
	store := store(memory)
	stored(t, store, 30)
	is.Equal(memory.Len(), 21) // the latest row and 20 versions
	for version, found := range map[uint64]bool{1: false, 10: false, 11: true, 30: true, 31: false} {
		revision, err := store.Version(t.Context(), version)
		is.Equal(err == nil, found)
		is.True(!found || revision.Version == version)
	}
}

// Guards against a document that no daemon could apply.
func TestApplyRefusesInvalidText(t *testing.T) {
	for name, text := range map[string]string{
		"not TOML":    "[[services",
		"unknown key": "colour = 1",
		"too long":    "#" + strings.Repeat("x", config.MaxDocumentBytes),
	} {
		t.Run(name, func(t *testing.T) {
			memory := &standin.Table{}
			_, err := store(memory).Apply(t.Context(), &config.Change{Text: text})
			var invalid *config.InvalidError
			is.New(t).True(errors.As(err, &invalid))
			is.New(t).Equal(memory.Len(), 0)
		})
	}
}

// Guards against two of several racing changes that are both told to have won, or against none that wins.
func TestRacingApplies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		memory := &standin.Table{}
		store := store(memory)
		writers := rapid.IntRange(2, 4).Draw(t, "writers")
		faults := []standin.Fault{standin.NoFault, standin.LostResponse, standin.DelayedWrite, standin.LostWrite}
		memory.InjectFaults(rapid.SliceOfN(rapid.SampledFrom(faults), 0, 3).Draw(t, "faults"), nil)
		results := make([]error, writers)
		var done sync.WaitGroup
		for i := range writers {
			done.Go(func() {
				_, results[i] = store.Apply(context.Background(), change(0, fmt.Sprint(i)))
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

// racing is a table in which another change comes just before the first commit.
type racing struct {
	*standin.Table

	other func()
}

func (r *racing) Commit(ctx context.Context, changes ...table.Change) error {
	if other := r.other; other != nil {
		r.other = nil
		other()
	}
	return r.Table.Commit(ctx, changes...)
}

// Guards against edits that lose each other's effect when they race.
func TestRacingEdits(t *testing.T) {
	is := is.New(t)
	memory := &standin.Table{}
	store := store(memory)
	stored(t, store, 1)
	edit := func(store *config.Store, edit config.Edit) {
		_, changed, err := store.Edit(t.Context(), "second", 0, edit)
		is.NoErr(err)
		is.True(changed)
	}
	edit(&config.Store{Clock: timer.System{}, Table: &racing{Table: memory, other: func() {
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
	is.True(errors.As(err, &conflict)) // an edit of a version that is not the latest
	_, changed, err := store.Edit(t.Context(), "third", 3, config.Drain{Upstream: "catalogue-02"})
	is.NoErr(err)
	is.True(!changed) // already so
}
