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

// mixedSeed fixes kinds of requests and faults; their interleaving is up to the scheduler.
const mixedSeed = 20261204

// guard lets the present owner serve, as the guard of a fenced server does.
type guard struct {
	owners *owners
	id     fleet.UpstreamID
}

func (g guard) Admit(fleet.KeyHash) (lease.Ticket, bool) {
	return lease.Ticket{}, g.MayApply(lease.Ticket{})
}
func (g guard) Done(lease.Ticket) {}
func (g guard) MayApply(lease.Ticket) bool {
	now, _ := g.owners.Locate("", 0)
	return now.Owner == g.id
}

// sample is one request of the mixed run and what its caller was told.
type sample struct {
	id, path string
	got      reply
	// twin is the id of a repetition with the same idempotency key, or empty, and again what its caller was told.
	twin  string
	again reply
}

// Guards against "not-run" for a request that ran, a request that must run at most once and ran twice, an answer that
// belongs to another request, and a short answer told as complete, under random faults of all kinds. 100,000 requests;
// 4,000 with -short or the race detector, so that CI stays within a minute.
func TestMixed(t *testing.T) {
	count := 100_000
	if testing.Short() || raceEnabled {
		count = 4_000
	}
	rig := newRig(t, 3, 2, nil)
	for _, worker := range rig.workers {
		worker.InjectFault = func(r *http.Request) standin.Fault {
			hash := fleet.HashKey(string(worker.ID) + r.Header.Get("Rosemarywick-Request-Id"))
			return fault(rand.New(rand.NewPCG(mixedSeed, uint64(hash))))
		}
		if strings.HasPrefix(string(worker.ID), "stock") {
			worker.Ownership = guard{owners: rig.owners, id: worker.ID}
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	var background sync.WaitGroup
	background.Go(func() { rig.disturb(ctx) })
	samples := make([]sample, count)
	var callers sync.WaitGroup
	for first := range 48 {
		callers.Go(func() {
			for i := first; i < count; i += 48 {
				samples[i] = rig.mixed(i)
				if samples[i].got.outcome == cause.NotRun { // otherwise callers spend the run on a frozen worker
					_ = timer.Wait(t.Context(), timer.System{}, 10*time.Millisecond)
				}
			}
		})
	}
	callers.Wait()
	cancel()
	background.Wait()
	for _, worker := range rig.workers {
		worker.Resume()
	}
	_ = timer.Wait(t.Context(), timer.System{}, 500*time.Millisecond) // requests that were stuck run now
	rig.check(t, samples)
}

func fault(random *rand.Rand) standin.Fault {
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

// disturb freezes, drains and restarts workers and moves the keys until ctx ends.
func (r *rig) disturb(ctx context.Context) {
	random := rand.New(rand.NewPCG(mixedSeed, 1))
	pause := func(most int) {
		_ = timer.Wait(ctx, timer.System{}, time.Duration(1+random.IntN(most))*time.Millisecond)
	}
	for counter := uint64(2); ctx.Err() == nil; counter += 2 {
		worker := r.workers[random.IntN(len(r.workers))]
		switch random.IntN(4) {
		case 0:
			worker.Pause()
			pause(300)
			worker.Resume()
		case 1:
			worker.SetDraining(true)
			pause(100)
			worker.SetDraining(false)
			r.rejoin(worker.ID)
		case 2:
			worker.Stop()
			pause(50)
			_ = worker.Start(context.Background())
		case 3:
			r.owners.set("", counter)
			pause(30)
			r.owners.set(fleet.UpstreamID(fmt.Sprintf("stock-%d", random.IntN(3))), counter+1)
		}
		pause(50)
	}
}

// mixed sends the request of a number.
func (r *rig) mixed(i int) sample {
	random := rand.New(rand.NewPCG(mixedSeed, uint64(i)+2))
	paths := []string{"/tasks/read", "/tasks/push", "/tasks/pay", "/stock/read", "/stock/push", "/stock/pay", "/tasks/download/d/"}
	one := sample{id: fmt.Sprintf("m-%d", i), path: paths[random.IntN(len(paths))]}
	method := http.MethodPost
	if strings.HasSuffix(one.path, "/read") {
		method = http.MethodGet
	}
	if strings.HasSuffix(one.path, "/d/") {
		method = http.MethodGet
		one.path += []string{"20000", "150000"}[random.IntN(2)]
	}
	side, repeat := random.IntN(2), random.IntN(3)
	headers := []string{"Key", fmt.Sprint(i), "Idempotency-Key", one.id}
	if !strings.HasSuffix(one.path, "/pay") || repeat == 0 {
		one.got = r.call(side, method, one.path, one.id, headers...)
		return one
	}
	one.twin = one.id + "-again"
	var twin sync.WaitGroup
	if repeat == 1 { // at the same time
		twin.Go(func() { one.again = r.call(1-side, method, one.path, one.twin, headers...) })
	}
	one.got = r.call(side, method, one.path, one.id, headers...)
	twin.Wait()
	if repeat == 2 { // afterwards
		one.again = r.call(1-side, method, one.path, one.twin, headers...)
	}
	return one
}

func (r *rig) check(t *testing.T, samples []sample) {
	is := is.New(t)
	told := map[cause.Outcome]int{}
	causes := map[cause.Cause]int{}
	for _, one := range samples {
		told[one.got.outcome]++
		causes[one.got.cause]++
		effects, again := r.ran(one.id).Effects, r.ran(one.twin).Effects
		if one.got.outcome == cause.NotRun && effects > 0 || one.again.outcome == cause.NotRun && again > 0 {
			t.Fatalf("%s %s: told not-run (%s), ran", one.id, one.path, one.got.cause)
		}
		if !strings.HasSuffix(one.path, "/read") && !strings.Contains(one.path, "/d/") {
			if effects+again > 1 {
				t.Fatalf("%s %s: ran %d times", one.id, one.path, effects+again)
			}
		}
		if one.got.outcome == cause.Complete && one.got.err == nil && one.got.cause != cause.DuplicateRequest {
			want := []byte("ran " + one.id + "\n")
			if _, size, ok := strings.Cut(one.path, "/d/"); ok {
				want = content(size)
			}
			is.True(bytes.Equal(one.got.body, want)) // the whole answer to the caller's own request
		}
	}
	t.Log(told, causes)
	is.True(told[cause.Complete] > len(samples)/2) // the run did not consist of rejections only
	is.True(told[cause.NotRun] > 0 && told[cause.Unknown] > 0)
}

var contents = map[string][]byte{"20000": standin.DownloadContent("d", 20000), "150000": standin.DownloadContent("d", 150000)}

func content(size string) []byte { return contents[size] }
