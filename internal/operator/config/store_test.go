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
)

const document = `# The catalogue of the fleet.
[[services]]
name = "catalogue"
key = "path:2"

[[services.upstreams]]
id = "catalogue-01" # the oldest
address = "127.0.0.1:9101"
region = "montevideo"
domain = "centro"

[[services.upstreams]]
id = "catalogue-02"
address = "127.0.0.1:9102"
region = "montevideo"
domain = "cerro"
drained = true # since the fire

[[tenants]]
name = "technicians"
share = 3
`

func store(memory *memory) *config.Store {
	return &config.Store{Table: memory, Timer: timer.System{}}
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
		commits  []fault
		reads    []fault
		want     error
		version  uint64
	}{
		{"table works", 1, nil, nil, nil, 2},
		{"expected version is old", 0, nil, nil, &config.ConflictError{}, 1},
		{"expected version does not exist", 5, nil, nil, &config.ConflictError{}, 1},
		{"table down before the read", 1, nil, []fault{down}, config.ErrUnavailable, 1},
		{"table down before the write", 1, []fault{down}, nil, config.ErrUnavailable, 1},
		{"response lost", 1, []fault{lost}, nil, nil, 2},
		{"response lost, then down", 1, []fault{lost}, []fault{works, down, down}, nil, 2},
		{"write lost", 1, []fault{dropped}, nil, nil, 2},
		{"write late", 1, []fault{late}, nil, nil, 2},
		{"write late, sent again", 1, []fault{late, late}, []fault{works, down}, nil, 2},
		{"write lost, then down", 1, []fault{dropped, down, down}, nil, nil, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				memory := newMemory()
				store := store(memory)
				stored(t, store, 1)
				memory.fail(test.commits, test.reads)
				_, err := store.Apply(t.Context(), change(test.expected, "second"))
				if want, conflict := test.want.(*config.ConflictError); conflict { //nolint:errorlint // the type itself is wanted
					is.True(errors.As(err, &want))
					is.Equal(want.Author, "first")
					is.Equal(want.Version, uint64(1))
				} else {
					is.True(errors.Is(err, test.want))
				}
				memory.fail(nil, nil)
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
		memory := newMemory()
		store := store(memory)
		memory.commits, memory.reads = []fault{lost}, []fault{works}
		for range 1000 {
			memory.commits, memory.reads = append(memory.commits, down), append(memory.reads, down)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		_, err := store.Apply(ctx, change(0, "first"))
		is.True(errors.Is(err, config.ErrUndecided))
	})
}

// Guards against a lost response that is reported as a conflict because further changes followed.
func TestApplyLostThenSuperseded(t *testing.T) {
	for _, test := range []struct {
		followers uint64
		want      error
	}{{1, nil}, {19, nil}, {20, config.ErrUndecided}} {
		t.Run(fmt.Sprint(test.followers), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				memory := newMemory()
				store := store(memory)
				memory.fail([]fault{lost}, []fault{works, down})
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
	memory := newMemory()
	store := store(memory)
	stored(t, store, 30)
	is.Equal(len(memory.rows), 21) // the latest row and 20 versions
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
		"too long":    "#" + strings.Repeat("x", config.MaxText),
	} {
		t.Run(name, func(t *testing.T) {
			memory := newMemory()
			_, err := store(memory).Apply(t.Context(), &config.Change{Text: text})
			var invalid *config.InvalidError
			is.New(t).True(errors.As(err, &invalid))
			is.New(t).Equal(len(memory.rows), 0)
		})
	}
}

// Guards against two of several racing changes that are both told to have won, or against none that wins.
func TestRacingApplies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		memory := newMemory()
		store := store(memory)
		writers := rapid.IntRange(2, 4).Draw(t, "writers")
		memory.commits = rapid.SliceOfN(rapid.SampledFrom([]fault{works, lost, late, dropped}), 0, 3).Draw(t, "faults")
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

// Guards against edits that lose each other's effect when they race.
func TestRacingEdits(t *testing.T) {
	is := is.New(t)
	store := store(newMemory())
	stored(t, store, 1)
	var done sync.WaitGroup
	for _, edit := range []config.Edit{
		config.Drain{Upstream: "catalogue-01", Drained: true}, config.Drain{Upstream: "catalogue-02"},
	} {
		done.Go(func() {
			_, changed, err := store.Edit(context.Background(), "second", 0, edit)
			is.NoErr(err)
			is.True(changed)
		})
	}
	done.Wait()
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
