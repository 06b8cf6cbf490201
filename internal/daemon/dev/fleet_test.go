package dev

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"rosemarywick.example/rosemarywick/internal/core/cause"
	"rosemarywick.example/rosemarywick/internal/core/timer"
)

// daemons is the number of daemons in the fleets under test.
const daemons = 3

// startBalancedFleet runs a fleet of three daemons until the test ends. It returns once the partitions are balanced.
func startBalancedFleet(t *testing.T, shape Shape) *Fleet {
	t.Helper()
	fleet := runFleet(t, &Fleet{Shape: shape, Daemons: daemons})
	for _, service := range fleet.deployment.services {
		if service.key == "" {
			continue
		}
		if err := fleet.WaitBalanced(t.Context(), service.name); err != nil {
			t.Error(err)
		}
	}
	return fleet
}

// runFleet runs a fleet until the test ends, and fails the test if a daemon fails.
func runFleet(t *testing.T, fleet *Fleet) *Fleet {
	t.Helper()
	fleet.Timer, fleet.Log, fleet.Out = timer.System{}, zerolog.Nop(), io.Discard
	if testing.Verbose() {
		fleet.Log = zerolog.New(zerolog.NewTestWriter(t)).Level(zerolog.InfoLevel).With().Timestamp().Logger()
	}
	if err := fleet.Start(t.Context()); err != nil {
		t.Fatalf("fleet did not start: %v", err)
	}
	t.Cleanup(func() {
		if err := fleet.Stop(); err != nil {
			t.Errorf("fleet ended with: %v", err)
		}
		select {
		case err := <-fleet.failures:
			t.Errorf("a daemon failed: %v", err)
		default:
		}
	})
	return fleet
}

// eventually polls until a condition holds, and fails the test after 20 s.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeoutCause(t.Context(), 20*time.Second, errors.New("not in time"))
	defer cancel()
	for !condition() {
		if err := timer.Wait(ctx, timer.System{}, 10*time.Millisecond); err != nil {
			t.Fatalf("%s: %v", what, err)
		}
	}
}

// get sends a GET request through the daemon with the given index and returns the answer.
func (f *Fleet) get(t *testing.T, daemon int, path string) Answer {
	t.Helper()
	return f.Send(t.Context(), f.Hosts()[daemon], Call{Method: http.MethodGet, Path: path})
}

// assertConsistent fails the test if an answer contradicts what the upstreams ran.
func (f *Fleet) assertConsistent(t *testing.T, answers ...Answer) {
	t.Helper()
	for _, line := range f.FindContradictions(answers) {
		t.Error(line)
	}
}

// Guards against daemons that route a key to different owners, and against answers without an outcome or a cause.
func TestSameOwnerThroughEachDaemon(t *testing.T) {
	for _, shape := range []Shape{Ceibal, Nadif} {
		t.Run(string(shape), func(t *testing.T) {
			is := is.New(t)
			fleet := startBalancedFleet(t, shape)
			first := fleet.get(t, 0, fleet.deployment.example)
			is.Equal(first.Status, http.StatusOK)
			for daemon := range daemons {
				answer := fleet.get(t, daemon, fleet.deployment.example)
				is.Equal(answer.Status, http.StatusOK)
				is.Equal(answer.Worker, first.Worker) // the same server for the same key
				is.Equal(answer.Outcome, cause.Complete)
				is.True(answer.Cause != "")
				fleet.assertConsistent(t, answer)
			}
		})
	}
}

// Guards against a key that stays without an owner after its server crashed.
func TestKeyIsServedAfterServerCrash(t *testing.T) {
	is := is.New(t)
	fleet := startBalancedFleet(t, Ceibal)
	crashed := fleet.get(t, 0, fleet.deployment.example).Worker
	is.NoErr(fleet.CrashUpstream(crashed))
	for daemon := range daemons {
		answer := fleet.get(t, daemon, fleet.deployment.example)
		is.Equal(answer.Status, http.StatusOK) // the request waited for the new owner
		is.True(answer.Worker != crashed)      // another server owns the key
		is.Equal(answer.Outcome, cause.Complete)
		fleet.assertConsistent(t, answer)
	}
}
