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

func newRevision(version uint64, valid bool) *config.Revision {
	text := document
	if !valid {
		text = "colour = 1"
	}
	return &config.Revision{Version: version, Author: "a", Token: fmt.Sprint("token-", version), Text: text}
}

// Guards against adopting an older revision or one that cannot be applied, and against a reported state that differs from
// what is in force, for any order of revisions from the table and from peers. Versions divisible by 3 don't parse, and Apply
// rejects those divisible by 5.
func TestAdopterNeverDowngrades(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		applied := uint64(0)
		adopter := &config.Adopter{}
		adopter.Apply = func(doc *core.Document) error {
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
			offered := newRevision(version, version%3 != 0)
			content, err := offered.Encode()
			if err != nil {
				t.Fatal(err)
			}
			highest = max(highest, version)
			var result config.OfferResult
			if rapid.Bool().Draw(t, "from a peer") {
				result = adopter.OfferEncoded(content)
			} else {
				result = adopter.Offer(offered)
			}
			before := applied
			state := adopter.State()
			switch result := result.(type) {
			case config.Adopted:
				if result.Document.Version != version || version%3 == 0 || version%5 == 0 {
					t.Fatalf("adopted %d at version %d", result.Document.Version, version)
				}
			case config.Outdated:
				if version > before {
					t.Fatalf("version %d outdated at %d", version, before)
				}
			case config.Rejected:
				if version%3 != 0 && version%5 != 0 || version <= before || state.Rejected == nil {
					t.Fatalf("version %d rejected at %d: %v", version, before, result.Reason)
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

// Guards against a daemon that adopts an older version and against daemons that end up with different versions. Operators
// make conflicting changes, the table fails or loses responses, and daemons exchange revisions in any order and restart with
// an empty state.
func TestFleetConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var table standin.Table
		store := newStore(&table)
		daemons := []*config.Adopter{{}, {}, {}}
		highest := make([]uint64, len(daemons))
		accepted := uint64(0)
		sendRevision := func(from, to int) {
			if state := daemons[from].State(); state.Revision != nil {
				content, err := state.Revision.Encode()
				if err != nil {
					t.Fatal(err)
				}
				daemons[to].OfferEncoded(content)
			}
		}
		drawDaemon := rapid.IntRange(0, len(daemons)-1)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			daemon := drawDaemon.Draw(t, "daemon")
			switch rapid.SampledFrom([]string{"apply", "read", "read while unavailable", "send to peer", "restart"}).Draw(t, "step") {
			case "apply":
				faults := []standin.Fault{standin.NoFault, standin.LostResponse, standin.DelayedWrite}
				table.InjectFaults([]standin.Fault{rapid.SampledFrom(faults).Draw(t, "fault")}, nil)
				expected := rapid.Uint64Range(max(accepted, 1)-1, accepted).Draw(t, "expected")
				if _, err := store.Apply(context.Background(), newChange(expected, "a")); (err == nil) != (expected == accepted) {
					t.Fatalf("expected %d, accepted %d: %v", expected, accepted, err)
				} else if err == nil {
					accepted++
				}
			case "read":
				if latest, err := store.Latest(context.Background()); err == nil {
					daemons[daemon].Offer(latest)
				}
			case "read while unavailable":
				table.InjectFaults(nil, []standin.Fault{standin.Unavailable})
				if _, err := store.Latest(context.Background()); !errors.Is(err, config.ErrUnavailable) {
					t.Fatalf("read while unavailable: %v", err)
				}
			case "send to peer":
				sendRevision(daemon, drawDaemon.Draw(t, "to"))
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
			sendRevision(0, i)
			if state := daemons[i].State(); state.Version() != accepted {
				t.Fatalf("daemon %d has %d, accepted %d", i, state.Version(), accepted)
			}
		}
	})
}

// Guards against adopting a malformed or incomplete revision that a peer sent.
func TestAdopterRejectsMalformedRevisions(t *testing.T) {
	for _, content := range []string{"", "{", "[]", `{"version":0,"token":"t"}`, `{"version":3}`, `{"version":-1,"token":"t"}`} {
		is := is.New(t)
		adopter := &config.Adopter{}
		_, rejected := adopter.OfferEncoded([]byte(content)).(config.Rejected)
		is.True(rejected)
		state := adopter.State()
		is.Equal(state.Version(), uint64(0))
	}
}

// Guards against treating two revisions as equal because they have the same version, which happens if the table was rolled
// back.
func TestAdopterReportsReusedVersion(t *testing.T) {
	is := is.New(t)
	adopter := &config.Adopter{}
	_, adopted := adopter.Offer(newRevision(4, true)).(config.Adopted)
	is.True(adopted)
	other := newRevision(4, true)
	other.Token = "other"
	rejected, _ := adopter.Offer(other).(config.Rejected)
	is.True(errors.Is(rejected.Reason, config.ErrVersionReused))
	is.Equal(adopter.State().Revision.Token, "token-4")
}

// Guards against a poller that misses a change in the table, reads the table while ShouldPoll is false, or stops when the
// table fails.
func TestPoller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fakeTable := &standin.Table{}
		store := newStore(fakeTable)
		var shouldPoll atomic.Bool
		var adopted []uint64
		poller := config.Poller{
			Store: store, Adopter: &config.Adopter{}, Clock: timer.System{}, Log: zerolog.Nop(),
			ShouldPoll: shouldPoll.Load, OnAdopted: func(r *config.Revision) { adopted = append(adopted, r.Version) },
		}
		go func() { _ = poller.Run(t.Context()) }()
		waitForPoll := func() {
			is.NoErr(timer.Wait(t.Context(), timer.System{}, 10*time.Second))
			synctest.Wait()
		}
		storeVersions(t, store, 1)
		waitForPoll()
		is.Equal(len(adopted), 0) // ShouldPoll is false
		shouldPoll.Store(true)
		waitForPoll()
		fakeTable.InjectFaults(nil, []standin.Fault{standin.Unavailable, standin.Hang})
		waitForPoll()
		_, err := store.Apply(t.Context(), newChange(1, "second"))
		is.NoErr(err)
		waitForPoll()
		is.Equal(adopted, []uint64{1, 2})
	})
}
