package rangegrants_test

import (
	"bytes"
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/platform/table"
)

// fakeStore is an in-memory table that can fail.
type fakeStore struct {
	cluster *cluster

	mu sync.Mutex
	// random, rows, lastVersion, era, down, ackLossRate and delayRate are guarded by mu.
	random      *rand.Rand
	rows        map[string]table.Row
	lastVersion table.Version
	era         table.Era
	down        bool
	// ackLossRate is the fraction of writes that are applied at once without a response, and delayRate of those that are
	// applied seconds later without one.
	ackLossRate, delayRate float64
}

func (s *fakeStore) update(change func(*fakeStore)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

// copyRows returns the present rows.
func (s *fakeStore) copyRows() map[string]table.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.rows)
}

// restore replaces the rows by a copy and begins a new era, in which all rows have new versions.
func (s *fakeStore) restore(rows map[string]table.Row) {
	s.update(func(s *fakeStore) {
		s.era++
		s.rows = make(map[string]table.Row)
		for name, row := range rows {
			row.Version = table.NewVersion(s.era, row.Version.Number())
			s.rows[name] = row
			s.lastVersion = max(s.lastVersion, row.Version)
		}
	})
}

// storeClient is the connection of one assigner to the store.
type storeClient struct {
	*fakeStore
	daemon *daemon
	// rejected reports whether the store is unavailable to this assigner only.
	rejected func() bool

	mu      sync.Mutex
	reading table.ClockReading
}

// connect simulates the network latency and fails if the store is unavailable to the assigner.
func (c *storeClient) connect(ctx context.Context) error {
	_ = timer.Wait(ctx, timer.System{}, 2*time.Millisecond)
	c.fakeStore.mu.Lock()
	down := c.down
	c.fakeStore.mu.Unlock()
	if down || c.rejected() {
		return errors.Wrap(table.ErrUnavailable, "fake store")
	}
	return nil
}

// updateReading records a reading of the store's clock, which is one hour ahead of the daemon's uptime.
func (c *storeClient) updateReading(sentAt time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fakeStore.mu.Lock()
	defer c.fakeStore.mu.Unlock()
	c.reading = table.ClockReading{Era: c.era, Time: c.daemon.Uptime() + time.Hour, SentAt: sentAt, ReceivedAt: c.daemon.Uptime()}
}

func (c *storeClient) Reading() table.ClockReading {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reading
}

func (c *storeClient) Read(ctx context.Context, names ...string) ([]table.Row, error) {
	sentAt := c.daemon.Uptime()
	if err := c.connect(ctx); err != nil {
		return nil, err
	}
	defer c.updateReading(sentAt)
	c.fakeStore.mu.Lock()
	defer c.fakeStore.mu.Unlock()
	var result []table.Row
	for _, name := range names {
		if row, ok := c.rows[name]; ok {
			result = append(result, row)
		}
	}
	return result, nil
}

func (c *storeClient) Scan(context.Context, string) ([]table.Row, error) { return nil, nil }

func (c *storeClient) Commit(ctx context.Context, changes ...table.Change) error {
	_, err := c.CommitVersion(ctx, changes...)
	return err
}

func (c *storeClient) CommitVersion(ctx context.Context, changes ...table.Change) (table.Version, error) {
	sentAt := c.daemon.Uptime()
	if err := c.connect(ctx); err != nil {
		return 0, err
	}
	c.fakeStore.mu.Lock()
	ackLost, delayed := c.random.Float64() < c.ackLossRate, c.random.Float64() < c.delayRate
	delay := time.Duration(1+c.random.IntN(5)) * time.Second
	c.fakeStore.mu.Unlock()
	if delayed {
		go func() { sleep(delay); _, _ = c.apply(changes) }()
	}
	if delayed || ackLost {
		if ackLost && !delayed {
			_, _ = c.apply(changes)
		}
		<-ctx.Done()
		return 0, errors.Wrap(table.ErrUnknown, "fake store")
	}
	version, err := c.apply(changes)
	c.updateReading(sentAt)
	return version, err
}

// apply commits the changes if all expected versions match.
func (c *storeClient) apply(changes []table.Change) (table.Version, error) {
	c.fakeStore.mu.Lock()
	defer c.fakeStore.mu.Unlock()
	for _, change := range changes {
		if c.rows[change.Name].Version != change.Expected {
			return 0, errors.Wrap(table.ErrConflict, "fake store")
		}
	}
	c.lastVersion = table.NewVersion(c.era, c.lastVersion.Number()+1)
	for _, change := range changes {
		c.rows[change.Name] = table.Row{Name: change.Name, Version: c.lastVersion, Value: bytes.Clone(change.Value)}
	}
	return c.lastVersion, nil
}
