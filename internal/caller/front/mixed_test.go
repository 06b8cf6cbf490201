package front_test

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"rosemarywick.example/rosemarywick/internal/core/cause"
	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/ownership/lease"
	"rosemarywick.example/rosemarywick/internal/upstream/standin"
)

var raceEnabled bool

// mixedSeed determines the requests and the faults. Their interleaving depends on the scheduler.
const mixedSeed = 20261204

// ownerGuard admits requests while its server is the current owner, as the guard of a fenced server does.
type ownerGuard struct {
	owners *owners
	id     fleet.UpstreamID
}

func (g ownerGuard) Admit(fleet.KeyHash) (lease.Ticket, bool) {
	return lease.Ticket{}, g.MayApply(lease.Ticket{})
}
func (g ownerGuard) Done(lease.Ticket) {}
func (g ownerGuard) MayApply(lease.Ticket) bool {
	assignment, _ := g.owners.Locate("", 0)
	return assignment.Owner == g.id
}

// sample is one request of the run and the response that its caller received.
type sample struct {
	id, path string
	got      reply
	// duplicateID is the identifier of a duplicate with the same idempotency key, or empty. duplicate is the response to it.
	duplicateID string
	duplicate   reply
}

// Guards, under random faults of all kinds, against the outcome "not-run" for a request that ran, a second execution of a
// request that must run at most once, a response that belongs to another request, and a truncated response with the outcome
// "complete". It sends 100,000 requests, or 4,000 with -short or the race detector, so that CI takes less than a minute.
func TestMixedRequestsUnderFaults(t *testing.T) {
	count := 100_000
	if testing.Short() || raceEnabled {
		count = 4_000
	}
	fixture := newFixture(t, 3, 2, nil)
	for _, worker := range fixture.workers {
		worker.InjectFault = func(r *http.Request) standin.Fault {
			hash := fleet.HashKey(string(worker.ID) + r.Header.Get("Rosemarywick-Request-Id"))
			return randomFault(rand.New(rand.NewPCG(mixedSeed, uint64(hash))))
		}
		if strings.HasPrefix(string(worker.ID), "stock") {
			worker.Ownership = ownerGuard{owners: fixture.owners, id: worker.ID}
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	var background sync.WaitGroup
	background.Go(func() { fixture.injectFaults(ctx) })
	samples := make([]sample, count)
	var callers sync.WaitGroup
	for first := range 48 {
		callers.Go(func() {
			for i := first; i < count; i += 48 {
				samples[i] = fixture.sendSample(i)
				if samples[i].got.outcome == cause.NotRun { // otherwise most requests of the run are rejected while a worker is frozen
					_ = timer.Wait(t.Context(), timer.System{}, 10*time.Millisecond)
				}
			}
		})
	}
	callers.Wait()
	cancel()
	background.Wait()
	for _, worker := range fixture.workers {
		worker.Resume()
	}
	_ = timer.Wait(t.Context(), timer.System{}, 500*time.Millisecond) // requests that were blocked on a frozen worker run now
	fixture.check(t, samples)
}

// randomFault returns no fault in most cases.
func randomFault(random *rand.Rand) standin.Fault {
	faults := []standin.Fault{
		standin.FaultReject, standin.FaultNotOwner, standin.FaultResetBeforeBody, standin.FaultResetAfterBody, standin.FaultResetAfterRun,
		standin.FaultTruncate, standin.FaultSlow,
	}
	switch roll := random.IntN(1000); {
	case roll < 70:
		return faults[roll%len(faults)]
	case roll < 72:
		return standin.FaultNoResponse
	}
	return standin.FaultNone
}

// injectFaults freezes, drains and restarts workers at random, and moves the keys between servers, until ctx ends.
func (f *fixture) injectFaults(ctx context.Context) {
	random := rand.New(rand.NewPCG(mixedSeed, 1))
	pause := func(most int) {
		_ = timer.Wait(ctx, timer.System{}, time.Duration(1+random.IntN(most))*time.Millisecond)
	}
	for counter := uint64(2); ctx.Err() == nil; counter += 2 {
		worker := f.workers[random.IntN(len(f.workers))]
		switch random.IntN(4) {
		case 0:
			worker.Pause()
			pause(300)
			worker.Resume()
		case 1:
			worker.SetDraining(true)
			pause(100)
			worker.SetDraining(false)
			f.rejoin(worker.ID)
		case 2:
			worker.Stop()
			pause(50)
			_ = worker.Start(context.Background())
		case 3:
			f.owners.set("", counter)
			pause(30)
			f.owners.set(fleet.UpstreamID(fmt.Sprintf("stock-%d", random.IntN(3))), counter+1)
		}
		pause(50)
	}
}

// sendSample sends request i, and a duplicate of some at-most-once requests.
func (f *fixture) sendSample(i int) sample {
	random := rand.New(rand.NewPCG(mixedSeed, uint64(i)+2))
	paths := []string{"/tasks/read", "/tasks/push", "/tasks/pay", "/stock/read", "/stock/push", "/stock/pay", "/tasks/download/d/"}
	sent := sample{id: fmt.Sprintf("m-%d", i), path: paths[random.IntN(len(paths))]}
	method := http.MethodPost
	if strings.HasSuffix(sent.path, "/read") {
		method = http.MethodGet
	}
	if strings.HasSuffix(sent.path, "/d/") {
		method = http.MethodGet
		sent.path += []string{"20000", "150000"}[random.IntN(2)]
	}
	daemon, mode := random.IntN(2), random.IntN(3)
	headers := []string{"Key", fmt.Sprint(i), "Idempotency-Key", sent.id}
	if !strings.HasSuffix(sent.path, "/pay") || mode == 0 {
		sent.got = f.call(daemon, method, sent.path, sent.id, headers...)
		return sent
	}
	sent.duplicateID = sent.id + "-again"
	var concurrent sync.WaitGroup
	if mode == 1 { // concurrently
		concurrent.Go(func() { sent.duplicate = f.call(1-daemon, method, sent.path, sent.duplicateID, headers...) })
	}
	sent.got = f.call(daemon, method, sent.path, sent.id, headers...)
	concurrent.Wait()
	if mode == 2 { // after the response
		sent.duplicate = f.call(1-daemon, method, sent.path, sent.duplicateID, headers...)
	}
	return sent
}

// check compares the response to each request with what the workers did.
func (f *fixture) check(t *testing.T, samples []sample) {
	is := is.New(t)
	outcomes := map[cause.Outcome]int{}
	causes := map[cause.Cause]int{}
	for _, sent := range samples {
		outcomes[sent.got.outcome]++
		causes[sent.got.cause]++
		effects, duplicateEffects := f.ran(sent.id).Effects, f.ran(sent.duplicateID).Effects
		if sent.got.outcome == cause.NotRun && effects > 0 || sent.duplicate.outcome == cause.NotRun && duplicateEffects > 0 {
			t.Fatalf("%s %s: outcome not-run (%s), but the request ran", sent.id, sent.path, sent.got.cause)
		}
		if !strings.HasSuffix(sent.path, "/read") && !strings.Contains(sent.path, "/d/") {
			if effects+duplicateEffects > 1 {
				t.Fatalf("%s %s: ran %d times", sent.id, sent.path, effects+duplicateEffects)
			}
		}
		if sent.got.outcome == cause.Complete && sent.got.err == nil && sent.got.cause != cause.DuplicateRequest {
			want := []byte("ran " + sent.id + "\n")
			if _, size, ok := strings.Cut(sent.path, "/d/"); ok {
				want = content(size)
			}
			is.True(bytes.Equal(sent.got.body, want)) // the complete response to this request
		}
	}
	t.Log(outcomes, causes)
	is.True(outcomes[cause.Complete] > len(samples)/2) // most requests were not rejected
	is.True(outcomes[cause.NotRun] > 0 && outcomes[cause.Unknown] > 0)
}

var contents = map[string][]byte{"20000": standin.DownloadContent("d", 20000), "150000": standin.DownloadContent("d", 150000)}

func content(size string) []byte { return contents[size] }
