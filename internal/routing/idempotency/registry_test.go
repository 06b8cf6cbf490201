package idempotency_test

import (
	"bytes"
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"rosemarywick.example/rosemarywick/internal/core/cause"
	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/platform/table"
	"rosemarywick.example/rosemarywick/internal/routing/idempotency"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// store is an in-memory table whose next commits can be refused, or lost before or after they take effect.
type store struct {
	mu                    sync.Mutex
	rows                  map[string]table.Row
	lostBefore, lostAfter int
	commits, refuse       int
}

func (s *store) Read(_ context.Context, names ...string) (found []table.Row, _ error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range names {
		if row, ok := s.rows[name]; ok {
			found = append(found, row)
		}
	}
	return found, nil
}

func (s *store) Scan(context.Context, string) ([]table.Row, error) { return nil, table.ErrUnavailable }

func (s *store) Commit(_ context.Context, changes ...table.Change) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commits++
	switch {
	case s.refuse > 0:
		s.refuse--
		return table.ErrUnavailable
	case s.lostBefore > 0:
		s.lostBefore--
		return table.ErrUnknown
	}
	for _, change := range changes {
		if s.rows[change.Name].Version != change.Expected {
			return table.ErrConflict
		}
	}
	for _, change := range changes {
		s.rows[change.Name] = table.Row{Name: change.Name, Version: change.Expected + 1, Value: bytes.Clone(change.Value)}
		if change.Value == nil {
			delete(s.rows, change.Name)
		}
	}
	if s.lostAfter > 0 {
		s.lostAfter--
		return table.ErrUnknown
	}
	return nil
}

// daemons starts the registries of several daemons that share one table.
func daemons(t *testing.T, daemonCount int) (*store, []*idempotency.Registry) {
	shared := &store{rows: map[string]table.Row{}}
	var registries []*idempotency.Registry
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for range daemonCount {
		registry := &idempotency.Registry{Store: shared, Clock: timer.System{}}
		running.Go(func() { _ = registry.Run(ctx) })
		registries = append(registries, registry)
	}
	t.Cleanup(func() { cancel(); running.Wait() })
	return shared, registries
}

func key(value string) idempotency.Key { return idempotency.Key{Service: "work", Value: value} }

// Guards against a claim that is lost, or granted twice, if the response to its write is lost.
func TestClaimLostResponses(t *testing.T) {
	cases := map[string]func(*store){
		"response lost after the write": func(s *store) { s.lostAfter = 1 },
		"request lost before the write": func(s *store) { s.lostBefore = 1 },
		"both, several times":           func(s *store) { s.lostBefore, s.lostAfter = 2, 1 },
	}
	for name, injectFault := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			shared, registries := daemons(t, 2)
			injectFault(shared)
			is.Equal(registries[0].Claim(t.Context(), key("k"), "first"), idempotency.ClaimResult(idempotency.Claimed{}))
			unknown := idempotency.Duplicate{Result: idempotency.RequestResult{Outcome: cause.Unknown}}
			is.Equal(registries[1].Claim(t.Context(), key("k"), "second"), idempotency.ClaimResult(unknown))
		})
	}
}

// Guards against a claim that is granted although it could not be recorded.
func TestClaimUnavailable(t *testing.T) {
	is := is.New(t)
	shared, registries := daemons(t, 1)
	shared.refuse = 1
	_, unavailable := registries[0].Claim(t.Context(), key("k"), "first").(idempotency.Unavailable)
	is.True(unavailable)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, unavailable = registries[0].Claim(ctx, key("k"), "first").(idempotency.Unavailable)
	is.True(unavailable)
}

// Guards against two daemons that both run a request which its caller sent to both at the same time.
func TestClaimRace(t *testing.T) {
	is := is.New(t)
	shared, registries := daemons(t, 4)
	var mu sync.Mutex
	claimed := map[string]int{}
	var callers sync.WaitGroup
	for i := range 400 {
		callers.Go(func() {
			name := string(rune('a' + i%40))
			if _, ok := registries[i%4].Claim(context.Background(), key(name), fleet.RequestID(name)).(idempotency.Claimed); ok {
				mu.Lock()
				claimed[name]++
				mu.Unlock()
			}
		})
	}
	callers.Wait()
	is.Equal(len(claimed), 40)
	for _, times := range claimed {
		is.Equal(times, 1)
	}
	is.True(shared.commits < 400) // claims share transactions
}

// Guards against a key that stays claimed although its request did not run, and against a repetition that is not told the
// recorded result.
func TestFinish(t *testing.T) {
	is := is.New(t)
	shared, registries := daemons(t, 2)
	is.Equal(registries[0].Claim(t.Context(), key("k"), "first"), idempotency.ClaimResult(idempotency.Claimed{}))
	shared.mu.Lock()
	shared.refuse = 1 // the result is recorded once the table accepts writes again
	shared.mu.Unlock()
	registries[0].Finish(key("k"), idempotency.RequestResult{Outcome: cause.NotRun})
	is.True(within(func() bool {
		_, ok := registries[1].Claim(t.Context(), key("k"), "second").(idempotency.Claimed)
		return ok
	}))
	result := idempotency.RequestResult{Outcome: cause.Complete, Cause: cause.OK, Status: 201}
	registries[1].Finish(key("k"), result)
	is.True(within(func() bool {
		return registries[0].Claim(t.Context(), key("k"), "third") == idempotency.ClaimResult(idempotency.Duplicate{Result: result})
	}))
}

// within polls a condition for up to 5 s and reports whether it became true.
func within(condition func() bool) bool {
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); {
		if condition() {
			return true
		}
		_ = timer.Wait(context.Background(), timer.System{}, 5*time.Millisecond)
	}
	return false
}
