package table_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/platform/table"
)

// fakeFeed is a table.Feed with one row that can be changed, compacted or made unresponsive.
type fakeFeed struct {
	mu           sync.Mutex
	version      table.Version
	unresponsive bool
	compacted    bool
}

// update runs a function that sets fields of the feed, under its lock.
func (f *fakeFeed) update(set func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	set()
}

func (f *fakeFeed) Snapshot(context.Context, string) (table.Changes, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.compacted = false
	return table.Changes{Rows: []table.Row{{Name: "t/all", Version: f.version}}, Version: f.version}, nil
}

func (f *fakeFeed) Changes(ctx context.Context, _ string, after table.Version, wait time.Duration) (table.Changes, error) {
	deadline := time.Now().Add(wait)
	f.mu.Lock()
	unresponsive := f.unresponsive // a call made during an outage never gets a response
	f.mu.Unlock()
	for {
		f.mu.Lock()
		version, compacted := f.version, f.compacted
		f.mu.Unlock()
		switch {
		case unresponsive:
			// The call fails if its response does not begin soon after it is due.
			_ = timer.Wait(ctx, timer.System{}, wait+600*time.Millisecond)
			return table.Changes{}, errors.Wrap(table.ErrUnavailable, "no response")
		case compacted:
			return table.Changes{}, table.ErrCompacted
		case version > after:
			return table.Changes{Rows: []table.Row{{Name: "t/row", Version: version}}, Version: version}, nil
		case !time.Now().Before(deadline):
			return table.Changes{Version: after}, nil
		}
		if err := timer.Wait(ctx, timer.System{}, 5*time.Millisecond); err != nil {
			return table.Changes{}, err
		}
	}
}

// follow starts a follower and returns it with a record of its callbacks.
func follow(t *testing.T, f *fakeFeed, batchDelay time.Duration) (*table.Follower, *callbacks) {
	observed := &callbacks{}
	follower := &table.Follower{
		Feed: f, Table: "t", Clock: timer.System{}, Log: zerolog.Nop(), BatchDelay: func() time.Duration { return batchDelay },
		Reset: func([]table.Row) { observed.withLock(func() { observed.resets++ }) },
		Apply: func(rows []table.Row) {
			observed.withLock(func() { observed.version = rows[len(rows)-1].Version; observed.applied++ })
		},
		OnRecovery: func() { observed.withLock(func() { observed.recovered++ }) },
		OnOutage:   observed.outage,
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); _ = follower.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	synctest.Wait()
	return follower, observed
}

// callbacks records the calls of a follower's callbacks.
type callbacks struct {
	mu                         sync.Mutex
	resets, applied, recovered int
	version                    table.Version
	// outages counts the calls of OnOutage, each of which calls onOutage.
	outages  int
	onOutage func()
}

// outage counts an outage and calls onOutage without holding the lock.
func (c *callbacks) outage() {
	c.mu.Lock()
	c.outages++
	onOutage := c.onOutage
	c.mu.Unlock()
	if onOutage != nil {
		onOutage()
	}
}

// withLock runs a function that sets or reads fields.
func (c *callbacks) withLock(set func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	set()
}

func (c *callbacks) get() (resets, applied, recovered int, version table.Version) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.resets, c.applied, c.recovered, c.version
}

// Guards against a follower that hangs in a call made during an outage: SuspectOutage ends the call, and changes made during
// the outage are applied within a second of the store's recovery.
func TestFollowsAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &fakeFeed{version: 1}
		f.update(func() { f.unresponsive = true })
		follower, observed := follow(t, f, 0)
		sleep(2 * time.Second)
		follower.SuspectOutage()
		sleep(5 * time.Second)
		f.update(func() { f.unresponsive, f.version = false, 7 })
		sleep(time.Second)
		_, _, recovered, version := observed.get()
		is.Equal(version, table.Version(7))
		is.Equal(recovered, 1)
	})
}

// Guards against ErrCompacted being handled as if nothing had changed: the follower must read a new snapshot.
func TestFollowsAfterCompaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &fakeFeed{version: 1}
		_, observed := follow(t, f, 0)
		f.update(func() { f.compacted, f.version = true, 9 })
		sleep(20 * time.Second)
		resets, _, _, _ := observed.get()
		is.Equal(resets, 2)
	})
}

// Guards against one call for each change of a burst: BatchDelay must combine them.
func TestBatchesChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &fakeFeed{version: 1}
		_, observed := follow(t, f, 300*time.Millisecond)
		for range 100 {
			f.update(func() { f.version++ })
			sleep(10 * time.Millisecond)
		}
		sleep(2 * time.Second)
		_, applied, _, version := observed.get()
		is.Equal(version, table.Version(101))
		is.True(applied <= 5)
	})
}

// sleep advances the fake clock of the synctest bubble.
func sleep(duration time.Duration) {
	_ = timer.Wait(context.Background(), timer.System{}, duration)
}

// Guards against PollNow leaving the follower in its BatchDelay while the consumer needs the latest rows.
func TestPollNowEndsDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &fakeFeed{version: 1}
		follower, observed := follow(t, f, 2*time.Second)
		f.update(func() { f.version = 2 })
		sleep(20 * time.Millisecond)
		f.update(func() { f.version = 3 })
		sleep(100 * time.Millisecond)
		_, _, _, version := observed.get()
		is.Equal(version, table.Version(2)) // the second change waits for the end of the delay
		follower.PollNow()
		sleep(20 * time.Millisecond)
		_, _, _, version = observed.get()
		is.Equal(version, table.Version(3))
		follower.PollNow() // has no effect outside a delay
	})
}

// Guards against followers whose OnOutage calls SuspectOutage on each other, and which so keep cancelling each other's calls
// after one failure, and against an outage that only one of them detects.
func TestSuspectedOutageDoesNotSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		feeds := []*fakeFeed{{version: 1}, {version: 1}}
		var followers []*table.Follower
		var observed []*callbacks
		for _, f := range feeds {
			follower, record := follow(t, f, 0)
			followers, observed = append(followers, follower), append(observed, record)
		}
		for _, record := range observed {
			record.withLock(func() {
				record.onOutage = func() {
					for _, other := range followers {
						other.SuspectOutage()
					}
				}
			})
		}
		outages := func() (counts []int) {
			for _, record := range observed {
				record.withLock(func() { counts = append(counts, record.outages) })
			}
			return counts
		}
		feeds[0].update(func() { feeds[0].unresponsive = true })
		sleep(time.Second)
		followers[0].SuspectOutage()
		sleep(3 * time.Second) // the call made after SuspectOutage gets no response either
		feeds[0].update(func() { feeds[0].unresponsive = false })
		sleep(5 * time.Second)
		is.Equal(outages(), []int{0, 0}) // a suspected outage is not reported to OnOutage
		_, _, recovered, _ := observed[0].get()
		is.Equal(recovered, 1)
		feeds[0].update(func() { feeds[0].unresponsive = true; feeds[0].version++ })
		sleep(40 * time.Second)
		feeds[0].update(func() { feeds[0].unresponsive = false })
		sleep(20 * time.Second)
		is.Equal(outages(), []int{1, 0})
		_, _, recovered, _ = observed[1].get()
		is.Equal(recovered, 1) // SuspectOutage was called on it once
	})
}
