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

// Guards against the outcome "unknown" for a request of which no byte was sent, and against "not-run" for a request that may
// have reached the worker.
func TestOutcomeOfConnectionFaults(t *testing.T) {
	is := is.New(t)
	fixture := newFixture(t, 1, 1, nil)
	fixture.workers[0].ResetNextConnections(1)
	got := fixture.call(0, http.MethodPost, "/tasks/push", "reset")
	// The reset arrives before or after the first byte was written. The request is retried only in the first case.
	effects := map[cause.Outcome]int{cause.Unknown: 0, cause.Complete: 1}
	want, possible := effects[got.outcome]
	is.True(possible)
	is.Equal(fixture.ran("reset").Effects, want)
	fixture.workers[0].Stop()
	got = fixture.call(0, http.MethodPost, "/tasks/push", "refused")
	is.Equal(got.outcome, cause.NotRun) // no worker listened
	is.Equal(fixture.ran("refused").Started, 0)
}

// Guards against requests that are sent to an upstream that drains, sheds load or is lost.
func TestUnavailableUpstreamIsAvoided(t *testing.T) {
	cases := map[string]func(*standin.Worker){
		"draining": func(w *standin.Worker) { w.SetDraining(true) },
		"shedding": func(w *standin.Worker) {
			w.InjectFault = func(*http.Request) standin.Fault { return standin.FaultReject }
		},
		"lost": func(w *standin.Worker) { w.Stop() },
	}
	for name, disable := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			fixture := newFixture(t, 4, 1, nil)
			for range 40 { // fills the retry budget
				is.Equal(fixture.call(0, http.MethodGet, "/tasks/read", "before").outcome, cause.Complete)
			}
			disable(fixture.workers[0])
			before := fixture.workers[0].TotalStarted()
			for range 40 {
				got := fixture.call(0, http.MethodGet, "/tasks/read", "after")
				is.Equal(got.outcome, cause.Complete)
				is.True(got.header.Get("Worker") != "tasks-0")
			}
			is.Equal(fixture.workers[0].TotalStarted(), before) // worker 0 received no request
		})
	}
}

// Guards against requests that are still routed to a frozen worker and wait there until their deadlines.
func TestFrozenWorkerIsAvoided(t *testing.T) {
	is := is.New(t)
	fixture := newFixture(t, 3, 1, nil)
	fixture.workers[0].Pause()
	var calls sync.WaitGroup
	for range 6 {
		calls.Go(func() { fixture.call(0, http.MethodGet, "/tasks/read", "early", "Rosemarywick-Timeout", "1500ms") })
	}
	calls.Wait()
	for range 30 {
		is.Equal(fixture.call(0, http.MethodPost, "/tasks/push", "late").outcome, cause.Complete) // not sent to the frozen worker
	}
}

// Guards against a keyed request that is sent to a server other than the owner, or that is lost during a planned move.
func TestKeyedRequestDuringMove(t *testing.T) {
	is := is.New(t)
	fixture := newFixture(t, 2, 1, nil)
	fixture.owners.set("", 2)
	done := make(chan reply, 1)
	go func() {
		done <- fixture.call(0, http.MethodPost, "/stock/push", "moved", "Key", "k", "Rosemarywick-Timeout", "2s")
	}()
	_ = timer.Wait(t.Context(), timer.System{}, 30*time.Millisecond)
	is.Equal(len(done), 0) // the request waits until the new owner has its grant
	fixture.owners.set("stock-1", 3)
	got := <-done
	is.Equal(got.outcome, cause.Complete)
	is.Equal(got.header.Get("Worker"), "stock-1")
	is.Equal(fixture.ran("moved").Effects, 1)
	fixture.owners.set("", 4)
	got = fixture.call(0, http.MethodPost, "/stock/push", "stuck", "Key", "k", "Rosemarywick-Timeout", "50ms")
	is.Equal([]any{got.outcome, got.cause}, []any{cause.NotRun, cause.NoOwner})
	is.Equal(fixture.call(0, http.MethodPost, "/stock/push", "keyless").cause, cause.MissingKey)
}

// Guards against an idempotent request that waits for a frozen owner although the key has a new owner.
func TestRetryAtNewOwnerOfFrozenServer(t *testing.T) {
	is := is.New(t)
	fixture := newFixture(t, 2, 1, nil)
	for range 20 { // fills the retry budget
		fixture.call(0, http.MethodGet, "/stock/read", "before", "Key", "k")
	}
	fixture.worker("stock-0").Pause()
	done := make(chan reply, 1)
	go func() {
		done <- fixture.call(0, http.MethodGet, "/stock/read", "read", "Key", "k", "Rosemarywick-Timeout", "5s")
	}()
	_ = timer.Wait(t.Context(), timer.System{}, 50*time.Millisecond)
	fixture.owners.set("stock-1", 2)
	got := <-done
	is.Equal(got.header.Get("Worker"), "stock-1")
	is.Equal(fixture.records.byRequest("read").Attempts[0].Cause, cause.NotOwner) // the record holds the first attempt
}

// Guards against an at-most-once request that runs twice when its caller retries it through another daemon.
func TestDuplicateAtMostOnceRequest(t *testing.T) {
	is := is.New(t)
	fixture := newFixture(t, 2, 2, nil)
	is.Equal(fixture.call(0, http.MethodPost, "/tasks/pay", "first", "Idempotency-Key", "i").outcome, cause.Complete)
	got := fixture.call(1, http.MethodPost, "/tasks/pay", "second", "Idempotency-Key", "i")
	is.Equal(got.cause, cause.DuplicateRequest)
	is.Equal(fixture.ran("second").Started, 0)
	eventually(t, "the outcome of the first request is recorded", func() bool {
		got = fixture.call(1, http.MethodPost, "/tasks/pay", "third", "Idempotency-Key", "i")
		return got.outcome == cause.Complete && got.header.Get("Rosemarywick-Recorded-Status") == "200"
	})
	fixture.store.mu.Lock()
	fixture.store.down = true
	fixture.store.mu.Unlock()
	got = fixture.call(0, http.MethodPost, "/tasks/pay", "fourth", "Idempotency-Key", "j")
	is.Equal([]any{got.outcome, got.cause}, []any{cause.NotRun, cause.ClaimUnavailable})
}

// Guards against a truncated download that looks complete, and against one that fails although another worker has the rest.
func TestTruncatedDownload(t *testing.T) {
	for _, workers := range []int{1, 3} {
		is := is.New(t)
		fixture := newFixture(t, workers, 1, func(w *standin.Worker) {
			w.InjectFault = func(r *http.Request) standin.Fault {
				if strings.HasPrefix(r.URL.Path, "/download") && (r.Header.Get("Range") == "" || workers == 1) {
					return standin.FaultTruncate
				}
				return standin.FaultNone
			}
		})
		for range 40 {
			fixture.call(0, http.MethodGet, "/tasks/read", "before")
		}
		got := fixture.call(0, http.MethodGet, "/tasks/download/manual/300000", "download")
		if workers == 1 {
			is.True(got.err != nil) // the caller's connection was aborted
			continue
		}
		is.NoErr(got.err)
		is.True(bytes.Equal(got.body, standin.DownloadContent("manual", 300000)))
		is.Equal(fixture.records.byRequest("download").Cause, cause.ResumedElsewhere)
	}
}

// Guards against a request that runs again to fetch the rest of a broken response although it must not be repeated: its route decides,
// not its method.
func TestTruncatedDownloadIsNotRepeated(t *testing.T) {
	is := is.New(t)
	fixture := newFixture(t, 3, 1, func(w *standin.Worker) {
		w.InjectFault = func(r *http.Request) standin.Fault {
			if strings.HasPrefix(r.URL.Path, "/download") && r.Header.Get("Range") == "" {
				return standin.FaultTruncate
			}
			return standin.FaultNone
		}
	})
	for range 40 { // fills the budget of repetitions
		fixture.call(0, http.MethodGet, "/tasks/read", "before")
	}
	got := fixture.call(0, http.MethodGet, "/tasks/download/order/300000", "download")
	is.True(got.err != nil) // the caller's connection was aborted
	is.Equal(fixture.ran("download").Started, 1)
}

// Guards against a graceful stop that interrupts a request or leaves callers without a response.
func TestGracefulStop(t *testing.T) {
	is := is.New(t)
	fixture := newFixture(t, 1, 0, func(w *standin.Worker) {
		w.ServiceTime = func(*http.Request) time.Duration { return 150 * time.Millisecond }
	})
	requestRouter := &router.Router{Clock: timer.System{}, Config: fixture}
	listening := make(chan netip.AddrPort, 1)
	frontend := &front.Frontend{
		Address: netip.MustParseAddrPort("127.0.0.1:0"), Router: requestRouter, Config: fixture, Clock: timer.System{},
		Listening: func(address netip.AddrPort) { listening <- address },
	}
	ctx, cancel := context.WithCancel(t.Context())
	stopped := make(chan error, 1)
	go func() { stopped <- frontend.Run(ctx) }()
	fixture.callOnly("http://" + (<-listening).String())
	inFlight := make(chan reply, 1)
	go func() { inFlight <- fixture.call(0, http.MethodPost, "/tasks/push", "in-flight") }()
	eventually(t, "the request is running", func() bool { return fixture.ran("in-flight").Started == 1 })
	cancel()
	eventually(t, "new requests are rejected", func() bool {
		return fixture.call(0, http.MethodGet, "/tasks/read", "new").cause == cause.DaemonStopping
	})
	is.Equal((<-inFlight).outcome, cause.Complete)
	is.NoErr(<-stopped)
}

// Guards against invalid requests that reach a worker instead of being rejected.
func TestInvalidRequestsAreRejected(t *testing.T) {
	is := is.New(t)
	fixture := newFixture(t, 1, 1, nil)
	is.Equal(fixture.call(0, http.MethodGet, "/nothing/read", "a").cause, cause.NoSuchService)
	is.Equal(fixture.call(0, http.MethodGet, "/tasks/read", "b", "Rosemarywick-Timeout", "soon").cause, cause.BadRequest)
	is.Equal(fixture.ran("b").Started, 0)
}
