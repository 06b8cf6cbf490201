package front_test

import (
	"bytes"
	"context"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"rosemarywick.example/rosemarywick/internal/caller/front"
	"rosemarywick.example/rosemarywick/internal/core/cause"
	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/routing/router"
	"rosemarywick.example/rosemarywick/internal/upstream/standin"
)

// Guards against "unknown" for a request of which no byte was sent, and against a lost request told as not run.
func TestConnectionFaults(t *testing.T) {
	is := is.New(t)
	rig := newRig(t, 1, 1, nil)
	rig.workers[0].ResetNextConnections(1)
	got := rig.call(0, http.MethodPost, "/tasks/push", "reset")
	// The reset comes before or after the first byte was written; only in the first case the request is sent again.
	effects := map[cause.Outcome]int{cause.Unknown: 0, cause.Complete: 1}
	want, possible := effects[got.outcome]
	is.True(possible)
	is.Equal(rig.ran("reset").Effects, want)
	rig.workers[0].Stop()
	got = rig.call(0, http.MethodPost, "/tasks/push", "refused")
	is.Equal(got.outcome, cause.NotRun) // nobody listened
	is.Equal(rig.ran("refused").Started, 0)
}

// Guards against an upstream that still gets requests while it is leaving, shedding or lost.
func TestElsewhere(t *testing.T) {
	cases := map[string]func(*standin.Worker){
		"draining": func(w *standin.Worker) { w.SetDraining(true) },
		"shedding": func(w *standin.Worker) {
			w.InjectFault = func(*http.Request) standin.Fault { return standin.FaultReject }
		},
		"lost": func(w *standin.Worker) { w.Stop() },
	}
	for name, spoil := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			rig := newRig(t, 4, 1, nil)
			for range 40 { // earns retries
				is.Equal(rig.call(0, http.MethodGet, "/tasks/read", "before").outcome, cause.Complete)
			}
			spoil(rig.workers[0])
			before := rig.workers[0].TotalStarted()
			for range 40 {
				got := rig.call(0, http.MethodGet, "/tasks/read", "after")
				is.Equal(got.outcome, cause.Complete)
				is.True(got.header.Get("Worker") != "tasks-0")
			}
			is.Equal(rig.workers[0].TotalStarted(), before) // nothing ran there
		})
	}
}

// Guards against callers that all wait for a frozen worker until their deadlines.
func TestFrozen(t *testing.T) {
	is := is.New(t)
	rig := newRig(t, 3, 1, nil)
	rig.workers[0].Pause()
	var calls sync.WaitGroup
	for range 6 {
		calls.Go(func() { rig.call(0, http.MethodGet, "/tasks/read", "early", "Rosemarywick-Timeout", "1500ms") })
	}
	calls.Wait()
	for range 30 {
		is.Equal(rig.call(0, http.MethodPost, "/tasks/push", "late").outcome, cause.Complete) // no plan push goes there
	}
}

// Guards against a keyed request that goes to a server other than the owner, or is lost during a planned move.
func TestMove(t *testing.T) {
	is := is.New(t)
	rig := newRig(t, 2, 1, nil)
	rig.owners.set("", 2)
	done := make(chan reply, 1)
	go func() {
		done <- rig.call(0, http.MethodPost, "/stock/push", "moved", "Key", "k", "Rosemarywick-Timeout", "2s")
	}()
	_ = timer.Wait(t.Context(), timer.System{}, 30*time.Millisecond)
	is.Equal(len(done), 0) // it waits for the grant
	rig.owners.set("stock-1", 3)
	got := <-done
	is.Equal(got.outcome, cause.Complete)
	is.Equal(got.header.Get("Worker"), "stock-1")
	is.Equal(rig.ran("moved").Effects, 1)
	rig.owners.set("", 4)
	got = rig.call(0, http.MethodPost, "/stock/push", "stuck", "Key", "k", "Rosemarywick-Timeout", "50ms")
	is.Equal([]any{got.outcome, got.cause}, []any{cause.NotRun, cause.NoOwner})
	is.Equal(rig.call(0, http.MethodPost, "/stock/push", "keyless").cause, cause.MissingKey)
}

// Guards against a repeatable request that waits for a frozen owner although the key has a new one.
func TestOwnerFrozen(t *testing.T) {
	is := is.New(t)
	rig := newRig(t, 2, 1, nil)
	for range 20 { // earns retries
		rig.call(0, http.MethodGet, "/stock/read", "before", "Key", "k")
	}
	rig.worker("stock-0").Pause()
	done := make(chan reply, 1)
	go func() {
		done <- rig.call(0, http.MethodGet, "/stock/read", "read", "Key", "k", "Rosemarywick-Timeout", "5s")
	}()
	_ = timer.Wait(t.Context(), timer.System{}, 50*time.Millisecond)
	rig.owners.set("stock-1", 2)
	got := <-done
	is.Equal(got.header.Get("Worker"), "stock-1")
	is.Equal(rig.records.of("read").Attempts[0].Cause, cause.NotOwner) // the record names the first attempt
}

// Guards against an at-most-once request that runs twice when its caller repeats it through another daemon.
func TestDuplicate(t *testing.T) {
	is := is.New(t)
	rig := newRig(t, 2, 2, nil)
	is.Equal(rig.call(0, http.MethodPost, "/tasks/pay", "first", "Idempotency-Key", "i").outcome, cause.Complete)
	got := rig.call(1, http.MethodPost, "/tasks/pay", "second", "Idempotency-Key", "i")
	is.Equal(got.cause, cause.DuplicateRequest)
	is.Equal(rig.ran("second").Started, 0)
	eventually(t, "the outcome of the first request is recorded", func() bool {
		got = rig.call(1, http.MethodPost, "/tasks/pay", "third", "Idempotency-Key", "i")
		return got.outcome == cause.Complete && got.header.Get("Rosemarywick-Recorded-Status") == "200"
	})
	rig.store.mu.Lock()
	rig.store.down = true
	rig.store.mu.Unlock()
	got = rig.call(0, http.MethodPost, "/tasks/pay", "fourth", "Idempotency-Key", "j")
	is.Equal([]any{got.outcome, got.cause}, []any{cause.NotRun, cause.ClaimUnavailable})
}

// Guards against a short download told as whole, and against one that is given up although another worker has the rest.
func TestDownload(t *testing.T) {
	for _, workers := range []int{1, 3} {
		is := is.New(t)
		rig := newRig(t, workers, 1, func(w *standin.Worker) {
			w.InjectFault = func(r *http.Request) standin.Fault {
				if strings.HasPrefix(r.URL.Path, "/download") && (r.Header.Get("Range") == "" || workers == 1) {
					return standin.FaultTruncate
				}
				return standin.FaultNone
			}
		})
		for range 40 {
			rig.call(0, http.MethodGet, "/tasks/read", "before")
		}
		got := rig.call(0, http.MethodGet, "/tasks/download/manual/300000", "download")
		if workers == 1 {
			is.True(got.err != nil) // the caller's connection was aborted
			continue
		}
		is.NoErr(got.err)
		is.True(bytes.Equal(got.body, standin.DownloadContent("manual", 300000)))
		is.Equal(rig.records.of("download").Cause, cause.ResumedElsewhere)
	}
}

// Guards against a planned stop that interrupts a request or leaves callers without an answer.
func TestStop(t *testing.T) {
	is := is.New(t)
	rig := newRig(t, 1, 0, func(w *standin.Worker) {
		w.ServiceTime = func(*http.Request) time.Duration { return 150 * time.Millisecond }
	})
	path := &router.Router{Clock: timer.System{}, Config: rig}
	listening := make(chan netip.AddrPort, 1)
	one := &front.Frontend{
		Address: netip.MustParseAddrPort("127.0.0.1:0"), Router: path, Config: rig, Clock: timer.System{},
		Listening: func(address netip.AddrPort) { listening <- address },
	}
	ctx, cancel := context.WithCancel(t.Context())
	stopped := make(chan error, 1)
	go func() { stopped <- one.Run(ctx) }()
	rig.at("http://" + (<-listening).String())
	inFlight := make(chan reply, 1)
	go func() { inFlight <- rig.call(0, http.MethodPost, "/tasks/push", "in-flight") }()
	eventually(t, "the request runs", func() bool { return rig.ran("in-flight").Started == 1 })
	cancel()
	eventually(t, "new requests are rejected", func() bool {
		return rig.call(0, http.MethodGet, "/tasks/read", "new").cause == cause.DaemonStopping
	})
	is.Equal((<-inFlight).outcome, cause.Complete)
	is.NoErr(<-stopped)
}

// Guards against requests that the front must reject itself but passes on.
func TestBadRequests(t *testing.T) {
	is := is.New(t)
	rig := newRig(t, 1, 1, nil)
	is.Equal(rig.call(0, http.MethodGet, "/nothing/read", "a").cause, cause.NoSuchService)
	is.Equal(rig.call(0, http.MethodGet, "/tasks/read", "b", "Rosemarywick-Timeout", "soon").cause, cause.BadRequest)
	is.Equal(rig.ran("b").Started, 0)
}
