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

// feed is a store that tells of changes, or is silent.
type feed struct {
	mu        sync.Mutex
	version   table.Version
	silent    bool
	compacted bool
}

func (f *feed) change(do func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	do()
}

func (f *feed) Snapshot(context.Context, string) (table.Changes, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.compacted = false
	return table.Changes{Rows: []table.Row{{Name: "t/all", Version: f.version}}, Version: f.version}, nil
}

func (f *feed) Changes(ctx context.Context, _ string, after table.Version, wait time.Duration) (table.Changes, error) {
	end := time.Now().Add(wait)
	f.mu.Lock()
	silent := f.silent // a call that was made in an outage is never answered
	f.mu.Unlock()
	for {
		f.mu.Lock()
		version, compacted := f.version, f.compacted
		f.mu.Unlock()
		switch {
		case silent:
			// The call is given up when its answer does not begin soon after it is due.
			_ = timer.Wait(ctx, timer.System{}, wait+600*time.Millisecond)
			return table.Changes{}, errors.Wrap(table.ErrUnavailable, "no answer")
		case compacted:
			return table.Changes{}, table.ErrCompacted
		case version > after:
			return table.Changes{Rows: []table.Row{{Name: "t/row", Version: version}}, Version: version}, nil
		case !time.Now().Before(end):
			return table.Changes{Version: after}, nil
		}
		if err := timer.Wait(ctx, timer.System{}, 5*time.Millisecond); err != nil {
			return table.Changes{}, err
		}
	}
}

// follow starts a follower and returns what it saw.
func follow(t *testing.T, f *feed, pause time.Duration) (*table.Follower, *observations) {
	seen := &observations{}
	follower := &table.Follower{
		Feed: f, Table: "t", Clock: timer.System{}, Log: zerolog.Nop(), BatchDelay: func() time.Duration { return pause },
		Reset:      func([]table.Row) { seen.add(func() { seen.resets++ }) },
		Apply:      func(rows []table.Row) { seen.add(func() { seen.version = rows[len(rows)-1].Version; seen.applied++ }) },
		OnRecovery: func() { seen.add(func() { seen.regained++ }) },
		OnOutage:   seen.passOn,
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); _ = follower.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	synctest.Wait()
	return follower, seen
}

type observations struct {
	mu                        sync.Mutex
	resets, applied, regained int
	version                   table.Version
	// lost counts the calls of Lost, which doubt is told of.
	lost  int
	doubt func()
}

// passOn counts a loss and casts doubt on the other followers.
func (s *observations) passOn() {
	s.mu.Lock()
	s.lost++
	doubt := s.doubt
	s.mu.Unlock()
	if doubt != nil {
		doubt()
	}
}

func (s *observations) add(do func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	do()
}

func (s *observations) get() (resets, applied, regained int, version table.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.resets, s.applied, s.regained, s.version
}

// Guards against a call that is silent for good after an outage: a doubt ends it, and the changes made meanwhile are seen
// within a second of the store's return.
func TestFollowsAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &feed{version: 1}
		f.change(func() { f.silent = true })
		follower, seen := follow(t, f, 0)
		pass(2 * time.Second)
		follower.SuspectOutage()
		pass(5 * time.Second)
		f.change(func() { f.silent, f.version = false, 7 })
		pass(time.Second)
		_, _, regained, version := seen.get()
		is.Equal(version, table.Version(7))
		is.Equal(regained, 1)
	})
}

// Guards against a lost history that is taken for no change.
func TestFollowsAfterCompaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &feed{version: 1}
		_, seen := follow(t, f, 0)
		f.change(func() { f.compacted, f.version = true, 9 })
		pass(20 * time.Second)
		resets, _, _, _ := seen.get()
		is.Equal(resets, 2)
	})
}

// Guards against a call for each of many changes that come together.
func TestFollowsInSteps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &feed{version: 1}
		_, seen := follow(t, f, 300*time.Millisecond)
		for range 100 {
			f.change(func() { f.version++ })
			pass(10 * time.Millisecond)
		}
		pass(2 * time.Second)
		_, applied, _, version := seen.get()
		is.Equal(version, table.Version(101))
		is.True(applied <= 5)
	})
}

// pass lets the time of the test's bubble pass.
func pass(span time.Duration) {
	_ = timer.Wait(context.Background(), timer.System{}, span)
}

// Guards against a reader that needs the latest rows and waits for the end of the pause.
func TestHurries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &feed{version: 1}
		follower, seen := follow(t, f, 2*time.Second)
		f.change(func() { f.version = 2 })
		pass(20 * time.Millisecond)
		f.change(func() { f.version = 3 })
		pass(100 * time.Millisecond)
		_, _, _, version := seen.get()
		is.Equal(version, table.Version(2)) // the change within the pause waits
		follower.PollNow()
		pass(20 * time.Millisecond)
		_, _, _, version = seen.get()
		is.Equal(version, table.Version(3))
		follower.PollNow() // without a pause it changes nothing
	})
}

// Guards against followers that end each other's calls for ever once one of them has failed, and against a silence that only
// one of them notices.
func TestLostOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		stores := []*feed{{version: 1}, {version: 1}}
		var followers []*table.Follower
		var seen []*observations
		for _, store := range stores {
			follower, one := follow(t, store, 0)
			followers, seen = append(followers, follower), append(seen, one)
		}
		for _, one := range seen {
			one.add(func() {
				one.doubt = func() {
					for _, other := range followers {
						other.SuspectOutage()
					}
				}
			})
		}
		lost := func() (result []int) {
			for _, one := range seen {
				one.add(func() { result = append(result, one.lost) })
			}
			return result
		}
		stores[0].change(func() { stores[0].silent = true })
		pass(time.Second)
		followers[0].SuspectOutage()
		pass(3 * time.Second) // the call after the doubt is silent too
		stores[0].change(func() { stores[0].silent = false })
		pass(5 * time.Second)
		is.Equal(lost(), []int{0, 0}) // a doubt is passed on by whoever had it
		_, _, regained, _ := seen[0].get()
		is.Equal(regained, 1)
		stores[0].change(func() { stores[0].silent = true; stores[0].version++ })
		pass(40 * time.Second)
		stores[0].change(func() { stores[0].silent = false })
		pass(20 * time.Second)
		is.Equal(lost(), []int{1, 0})
		_, _, regained, _ = seen[1].get()
		is.Equal(regained, 1) // it was doubted once
	})
}
