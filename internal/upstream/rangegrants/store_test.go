package rangegrants_test

import (
	"bytes"
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/platform/table"
)

// fakeStore is a table in memory.
type fakeStore struct {
	world *world

	mu sync.Mutex
	// random, rows, last, down, lose and late are guarded by mu.
	random *rand.Rand
	rows   map[string]table.Row
	last   table.Version
	down   bool
	// lose and late are the parts of the writes that are done without an answer, at once or seconds later.
	lose, late float64
}

func (s *fakeStore) set(change func(*fakeStore)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

// view is one assigner's view of the store.
type view struct {
	*fakeStore
	daemon *daemon
	// refused is set while the store turns this assigner away.
	refused func() bool

	mu      sync.Mutex
	reading table.Reading
}

func (v *view) enter(ctx context.Context) error {
	_ = timer.Wait(ctx, timer.System{}, 2*time.Millisecond)
	v.fakeStore.mu.Lock()
	down := v.down
	v.fakeStore.mu.Unlock()
	if down || v.refused() {
		return errors.Wrap(table.ErrUnavailable, "fake store")
	}
	return nil
}

// tell notes the store's clock, which runs with the world's and began earlier.
func (v *view) tell(sent time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.reading = table.Reading{Time: v.daemon.Uptime() + time.Hour, SentAt: sent, ReceivedAt: v.daemon.Uptime()}
}

func (v *view) Reading() table.Reading {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.reading
}

func (v *view) Read(ctx context.Context, names ...string) ([]table.Row, error) {
	sent := v.daemon.Uptime()
	if err := v.enter(ctx); err != nil {
		return nil, err
	}
	defer v.tell(sent)
	v.fakeStore.mu.Lock()
	defer v.fakeStore.mu.Unlock()
	var result []table.Row
	for _, name := range names {
		if row, ok := v.rows[name]; ok {
			result = append(result, row)
		}
	}
	return result, nil
}

func (v *view) Scan(context.Context, string) ([]table.Row, error) { return nil, nil }

func (v *view) Commit(ctx context.Context, changes ...table.Change) error {
	_, err := v.CommitVersion(ctx, changes...)
	return err
}

func (v *view) CommitVersion(ctx context.Context, changes ...table.Change) (table.Version, error) {
	sent := v.daemon.Uptime()
	if err := v.enter(ctx); err != nil {
		return 0, err
	}
	v.fakeStore.mu.Lock()
	lost, late := v.random.Float64() < v.lose, v.random.Float64() < v.late
	delay := time.Duration(1+v.random.IntN(5)) * time.Second
	v.fakeStore.mu.Unlock()
	if late {
		go func() { pass(delay); _, _ = v.apply(changes) }()
	}
	if late || lost {
		if lost && !late {
			_, _ = v.apply(changes)
		}
		<-ctx.Done()
		return 0, errors.Wrap(table.ErrUnknown, "fake store")
	}
	version, err := v.apply(changes)
	v.tell(sent)
	return version, err
}

func (v *view) apply(changes []table.Change) (table.Version, error) {
	v.fakeStore.mu.Lock()
	defer v.fakeStore.mu.Unlock()
	for _, change := range changes {
		if v.rows[change.Name].Version != change.Expected {
			return 0, errors.Wrap(table.ErrConflict, "fake store")
		}
	}
	v.last++
	for _, change := range changes {
		v.rows[change.Name] = table.Row{Name: change.Name, Version: v.last, Value: bytes.Clone(change.Value)}
	}
	return v.last, nil
}
