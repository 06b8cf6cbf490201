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

// store is a table whose next commits can be lost before or after their effect.
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

// daemons starts the claims of several daemons on one table.
func daemons(t *testing.T, count int) (*store, []*idempotency.Registry) {
	rows := &store{rows: map[string]table.Row{}}
	var result []*idempotency.Registry
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for range count {
		one := &idempotency.Registry{Store: rows, Clock: timer.System{}}
		running.Go(func() { _ = one.Run(ctx) })
		result = append(result, one)
	}
	t.Cleanup(func() { cancel(); running.Wait() })
	return rows, result
}

func key(value string) idempotency.Key { return idempotency.Key{Service: "work", Value: value} }

// Guards against a claim that is lost or given twice when the answer to its write is lost.
func TestClaimLostAnswers(t *testing.T) {
	cases := map[string]func(*store){
		"answer lost after the effect": func(s *store) { s.lostAfter = 1 },
		"request lost":                 func(s *store) { s.lostBefore = 1 },
		"both, repeatedly":             func(s *store) { s.lostBefore, s.lostAfter = 2, 1 },
	}
	for name, spoil := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			rows, hosts := daemons(t, 2)
			spoil(rows)
			is.Equal(hosts[0].Claim(t.Context(), key("k"), "first"), idempotency.ClaimResult(idempotency.Claimed{}))
			unknown := idempotency.Duplicate{Result: idempotency.RequestResult{Outcome: cause.Unknown}}
			is.Equal(hosts[1].Claim(t.Context(), key("k"), "second"), idempotency.ClaimResult(unknown))
		})
	}
}

// Guards against a request that is sent although its claim could not be recorded.
func TestClaimUnavailable(t *testing.T) {
	is := is.New(t)
	rows, hosts := daemons(t, 1)
	rows.refuse = 1
	_, unavailable := hosts[0].Claim(t.Context(), key("k"), "first").(idempotency.Unavailable)
	is.True(unavailable)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, unavailable = hosts[0].Claim(ctx, key("k"), "first").(idempotency.Unavailable)
	is.True(unavailable)
}

// Guards against two daemons that both run a request which its caller sent to both at the same time.
func TestClaimRace(t *testing.T) {
	is := is.New(t)
	rows, hosts := daemons(t, 4)
	var mu sync.Mutex
	claimed := map[string]int{}
	var callers sync.WaitGroup
	for i := range 400 {
		callers.Go(func() {
			name := string(rune('a' + i%40))
			if _, ok := hosts[i%4].Claim(context.Background(), key(name), fleet.RequestID(name)).(idempotency.Claimed); ok {
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
	is.True(rows.commits < 400) // claims share transactions
}

// Guards against a key that is blocked although its request was not run, and a repetition that is not told the outcome.
func TestFinish(t *testing.T) {
	is := is.New(t)
	rows, hosts := daemons(t, 2)
	is.Equal(hosts[0].Claim(t.Context(), key("k"), "first"), idempotency.ClaimResult(idempotency.Claimed{}))
	rows.mu.Lock()
	rows.refuse = 1 // the ending is recorded when the table is back
	rows.mu.Unlock()
	hosts[0].Finish(key("k"), idempotency.RequestResult{Outcome: cause.NotRun})
	is.True(within(func() bool {
		_, ok := hosts[1].Claim(t.Context(), key("k"), "second").(idempotency.Claimed)
		return ok
	}))
	ending := idempotency.RequestResult{Outcome: cause.Complete, Cause: cause.OK, Status: 201}
	hosts[1].Finish(key("k"), ending)
	is.True(within(func() bool {
		return hosts[0].Claim(t.Context(), key("k"), "third") == idempotency.ClaimResult(idempotency.Duplicate{Result: ending})
	}))
}

// within polls a condition for up to 5 s.
func within(holds func() bool) bool {
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); {
		if holds() {
			return true
		}
		_ = timer.Wait(context.Background(), timer.System{}, 5*time.Millisecond)
	}
	return false
}
