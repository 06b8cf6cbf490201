package dev

import (
	"context"
	"io"
	"net/http"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"rosemarywick.example/rosemarywick/internal/core/timer"
)

// daemons is the number of daemons in the fleets under test.
const daemons = 3

// startFleet runs a fleet until the test ends and returns it once it serves.
func startFleet(t *testing.T, shape Shape) *Fleet {
	t.Helper()
	fleet := &Fleet{Shape: shape, Daemons: daemons, Timer: timer.System{}, Log: zerolog.Nop(), Out: io.Discard}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	serving := make(chan struct{})
	fleet.serving = func() { close(serving) }
	go func() { ended <- fleet.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Errorf("fleet ended with: %v", err)
		}
	})
	select {
	case <-serving:
	case err := <-ended:
		ended <- err
		t.Fatalf("fleet did not start: %v", err)
	}
	return fleet
}

// get sends a request through a daemon and returns the answer's headers and status.
func (f *Fleet) get(t *testing.T, daemon int, path string) (http.Header, int) {
	t.Helper()
	url := "http://" + f.daemons[daemon].Settings.Callers.String() + path
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		t.Fatal(err)
	}
	return response.Header, response.StatusCode
}

// Guards against daemons that disagree on the owner of a key, and against answers without outcome or cause.
func TestSameOwnerThroughEachDaemon(t *testing.T) {
	for _, shape := range []Shape{Ceibal, Nadif} {
		t.Run(string(shape), func(t *testing.T) {
			is := is.New(t)
			fleet := startFleet(t, shape)
			first, status := fleet.get(t, 0, fleet.deployment.example)
			is.Equal(status, http.StatusOK)
			for daemon := range fleet.daemons {
				header, status := fleet.get(t, daemon, fleet.deployment.example)
				is.Equal(status, http.StatusOK)
				is.Equal(header.Get("Worker"), first.Get("Worker")) // the same server for the same key
				is.Equal(header.Get("Rosemarywick-Outcome"), "complete")
				is.True(header.Get("Rosemarywick-Cause") != "")
				is.True(header.Get("Rosemarywick-Request-Id") != "")
			}
		})
	}
}

// Guards against a key that stays without an owner after its server was lost.
func TestKeyIsServedAgainAfterLoss(t *testing.T) {
	is := is.New(t)
	fleet := startFleet(t, Ceibal)
	header, _ := fleet.get(t, 0, fleet.deployment.example)
	lost := header.Get("Worker")
	for _, one := range fleet.workers {
		if string(one.upstream.ID) == lost {
			one.fake.Stop()
		}
	}
	for daemon := range fleet.daemons {
		header, status := fleet.get(t, daemon, fleet.deployment.example)
		is.Equal(status, http.StatusOK)       // the request waited for the new owner
		is.True(header.Get("Worker") != lost) // another server owns the key
		is.Equal(header.Get("Rosemarywick-Outcome"), "complete")
	}
}
