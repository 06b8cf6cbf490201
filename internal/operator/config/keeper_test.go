package config_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	core "rosemarywick.example/rosemarywick/internal/core/document"
	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/operator/config"
	"rosemarywick.example/rosemarywick/internal/operator/standin"
)

func revision(version uint64, valid bool) *config.Revision {
	text := document
	if !valid {
		text = "colour = 1"
	}
	return &config.Revision{Version: version, Author: "a", Token: fmt.Sprint("token-", version), Text: text}
}

// Guards against a daemon that goes back to an older configuration, that takes over one that cannot be applied, or whose
// report differs from what is in force, for any order of revisions from the table, from peers and after restarts.
func TestKeeperNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		applied := uint64(0)
		keeper := &config.Adopter{}
		keeper.Apply = func(doc *core.Document) error {
			if doc.Version <= applied {
				t.Fatalf("version %d applied after %d", doc.Version, applied)
			}
			if doc.Version%5 == 0 {
				return errors.New("cannot be applied")
			}
			applied = doc.Version
			return nil
		}
		highest := uint64(0)
		for range rapid.IntRange(1, 40).Draw(t, "offers") {
			version := rapid.Uint64Range(1, 30).Draw(t, "version")
			offered := revision(version, version%3 != 0)
			content, err := offered.Encode()
			if err != nil {
				t.Fatal(err)
			}
			highest = max(highest, version)
			var verdict config.OfferResult
			if rapid.Bool().Draw(t, "from a peer") {
				verdict = keeper.OfferEncoded(content)
			} else {
				verdict = keeper.Offer(offered)
			}
			before := applied
			state := keeper.State()
			switch verdict := verdict.(type) {
			case config.Adopted:
				if verdict.Document.Version != version || version%3 == 0 || version%5 == 0 {
					t.Fatalf("adopted %d at version %d", verdict.Document.Version, version)
				}
			case config.Outdated:
				if version > before {
					t.Fatalf("version %d outdated at %d", version, before)
				}
			case config.Rejected:
				if version%3 != 0 && version%5 != 0 || version <= before || state.Rejected == nil {
					t.Fatalf("version %d rejected at %d: %v", version, before, verdict.Reason)
				}
			}
			if state.Version() != applied || applied != 0 && state.Document.Version != applied {
				t.Fatalf("reports %d, in force %d", state.Version(), applied)
			}
			if (state.Rejected != nil) != (highest > applied) {
				t.Fatalf("highest offered %d, in force %d, rejected %v", highest, applied, state.Rejected)
			}
		}
	})
}

// Guards against a daemon that goes back, or a fleet that does not agree in the end, while operators race, the table is
// down or loses responses, daemons pass revisions on in any order and restart with nothing but what a peer gives them.
func TestFleetConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var table standin.Table
		store := store(&table)
		daemons := []*config.Adopter{{}, {}, {}}
		highest := make([]uint64, len(daemons))
		accepted := uint64(0)
		pass := func(from, to int) {
			if state := daemons[from].State(); state.Revision != nil {
				content, err := state.Revision.Encode()
				if err != nil {
					t.Fatal(err)
				}
				daemons[to].OfferEncoded(content)
			}
		}
		draw := rapid.IntRange(0, len(daemons)-1)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			daemon := draw.Draw(t, "daemon")
			switch rapid.SampledFrom([]string{"apply", "read", "read while down", "pass", "restart"}).Draw(t, "step") {
			case "apply":
				faults := []standin.Fault{standin.NoFault, standin.LostResponse, standin.DelayedWrite}
				table.InjectFaults([]standin.Fault{rapid.SampledFrom(faults).Draw(t, "fault")}, nil)
				expected := rapid.Uint64Range(max(accepted, 1)-1, accepted).Draw(t, "expected")
				if _, err := store.Apply(context.Background(), change(expected, "a")); (err == nil) != (expected == accepted) {
					t.Fatalf("expected %d, accepted %d: %v", expected, accepted, err)
				} else if err == nil {
					accepted++
				}
			case "read":
				if latest, err := store.Latest(context.Background()); err == nil {
					daemons[daemon].Offer(latest)
				}
			case "read while down":
				table.InjectFaults(nil, []standin.Fault{standin.Unavailable})
				if _, err := store.Latest(context.Background()); !errors.Is(err, config.ErrUnavailable) {
					t.Fatalf("read while down: %v", err)
				}
			case "pass":
				pass(daemon, draw.Draw(t, "to"))
			case "restart":
				daemons[daemon], highest[daemon] = &config.Adopter{}, 0
			}
			for i := range daemons {
				state := daemons[i].State()
				if version := state.Version(); version < highest[i] || version > accepted {
					t.Fatalf("daemon %d has %d after %d, accepted %d", i, version, highest[i], accepted)
				}
				highest[i] = state.Version()
			}
		}
		if latest, err := store.Latest(context.Background()); err == nil {
			daemons[0].Offer(latest)
		}
		for i := range daemons {
			pass(0, i)
			if state := daemons[i].State(); state.Version() != accepted {
				t.Fatalf("daemon %d has %d, accepted %d", i, state.Version(), accepted)
			}
		}
	})
}

// Guards against bytes of a peer that are taken for a configuration.
func TestKeeperRefusesDamagedBytes(t *testing.T) {
	for _, content := range []string{"", "{", "[]", `{"version":0,"token":"t"}`, `{"version":3}`, `{"version":-1,"token":"t"}`} {
		is := is.New(t)
		keeper := &config.Adopter{}
		_, rejected := keeper.OfferEncoded([]byte(content)).(config.Rejected)
		is.True(rejected)
		state := keeper.State()
		is.Equal(state.Version(), uint64(0))
	}
}

// Guards against a table that was set back and whose second revision of a version is taken for the first.
func TestKeeperReportsDivergence(t *testing.T) {
	is := is.New(t)
	keeper := &config.Adopter{}
	_, adopted := keeper.Offer(revision(4, true)).(config.Adopted)
	is.True(adopted)
	other := revision(4, true)
	other.Token = "other"
	rejected, _ := keeper.Offer(other).(config.Rejected)
	is.True(errors.Is(rejected.Reason, config.ErrVersionReused))
	is.Equal(keeper.State().Revision.Token, "token-4")
}

// Guards against a daemon that misses a change in the table, reads although others do, or stops when the table fails.
func TestFollower(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		memory := &standin.Table{}
		store := store(memory)
		var reads atomic.Bool
		var adopted []uint64
		follower := config.Poller{
			Store: store, Adopter: &config.Adopter{}, Clock: timer.System{}, Log: zerolog.Nop(),
			ShouldPoll: reads.Load, OnAdopted: func(r *config.Revision) { adopted = append(adopted, r.Version) },
		}
		go func() { _ = follower.Run(t.Context()) }()
		pause := func() {
			is.NoErr(timer.Wait(t.Context(), timer.System{}, 10*time.Second))
			synctest.Wait()
		}
		stored(t, store, 1)
		pause()
		is.Equal(len(adopted), 0) // others read
		reads.Store(true)
		pause()
		memory.InjectFaults(nil, []standin.Fault{standin.Unavailable, standin.Hang})
		pause()
		_, err := store.Apply(t.Context(), change(1, "second"))
		is.NoErr(err)
		pause()
		is.Equal(adopted, []uint64{1, 2})
	})
}
