package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/ownership/ranges"
	"rosemarywick.example/rosemarywick/internal/upstream/forward"
	"rosemarywick.example/rosemarywick/internal/upstream/notices"
)

// fakePeers passes the reports of its own daemon back and returns the sums of other relays once.
type fakePeers struct {
	tracker     *loadTracker
	others      map[fleet.HostID][]byte
	subscribers int
}

func (f *fakePeers) Report(_ context.Context, content []byte) { f.tracker.Add(content) }
func (f *fakePeers) Subscribers() int                         { return f.subscribers }
func (f *fakePeers) Collect(context.Context) map[fleet.HostID][]byte {
	others := f.others
	f.others = nil
	return others
}

func newTracker(subscribers int) (*loadTracker, *fakePeers) {
	tracker := &loadTracker{
		host: "h0", clock: timer.System{}, log: zerolog.Nop(), onCollected: func(fleet.ServiceName, *ranges.Load) {},
		takenAt: time.Now(), notices: &notices.Book{Log: zerolog.Nop(), Now: time.Now},
	}
	fake := &fakePeers{tracker: tracker, subscribers: subscribers}
	tracker.peers = fake
	return tracker, fake
}

// Pattern: hot range. Guards against a hot range that the assigner sees late: the load that any daemon measures must be in the
// assigner's sum after one report and one collection, with the pace and use of the servers, and malformed or invalid reports must
// not change it.
func TestHotRangeIsCollected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		relay, _ := newTracker(9)
		assigner, fake := newTracker(4)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); _ = assigner.run(ctx) }()
		synctest.Wait()
		for range 50 {
			assigner.Arrived("s", 4000)
			assigner.Served("s", "u1", 4000, 100*time.Millisecond)
		}
		relay.Add([]byte(`{"services":{"s":{"counts":{"4000":150},"servers":{"u1":{"requests":150,"total":15000000000}}}}}`))
		relay.Add([]byte(`{"services":{"s":{"counts":{"1":-5},"servers":{"u1":{"requests":-1,"total":1},"u2":null}},"x":null}}`))
		relay.Add([]byte(`{`))
		_ = timer.Wait(ctx, timer.System{}, time.Second)
		fake.others = map[fleet.HostID][]byte{"h1": relay.Take(), "h2": []byte("?")}
		collected := assigner.Collect(ctx, "s")
		is.Equal(collected.Daemons, 15) // both relays with their subscribers
		is.Equal(collected.Load.Samples(), 200.0)
		collected.Load.BuildPrefixSums()
		is.True(collected.Load.RangeSum(fleet.KeyRange{First: 4000, Last: 4015}) > 150)
		is.Equal(collected.Stats["u1"].MeanDuration, 100*time.Millisecond)
		is.Equal(collected.Stats["u1"].Concurrency, 20.0) // 200 requests of 0.1 s in one second
		is.Equal(len(collected.Stats), 1)

		collected = assigner.Collect(ctx, "s") // nothing is counted twice
		is.Equal(collected.Load.Samples(), 200.0)
		_ = timer.Wait(ctx, timer.System{}, 2*loadLifetime)
		collected = assigner.Collect(ctx, "s")
		is.Equal(collected.Daemons, 5) // the other relay has gone
		is.Equal(len(collected.Stats), 0)
		is.Equal(len(assigner.serverLoads)+len(assigner.daemonCounts), 1) // nothing of those that have gone is kept
		cancel()
		<-done
	})
}

// Guards against an assigner that takes a server which refuses most of its requests for one with little load, or that does not
// learn of its limit.
func TestLimitOfServerIsCollected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		assigner, fake := newTracker(1)
		assigner.notices.Record(notices.Exchange{
			Source: notices.Source{ID: "u1"}, Complete: true, Notices: []forward.Notice{forward.RateLimit{PerSecond: 4}},
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); _ = assigner.run(ctx) }()
		for range 6 {
			assigner.Arrived("s", 4000)
			assigner.Served("s", "u1", 4000, 100*time.Millisecond)
			assigner.Arrived("s", 4000)
			assigner.Limited("s", "u1", 4000)
		}
		assigner.Arrived("s", 5000)
		assigner.Served("s", "u2", 5000, 100*time.Millisecond)
		_ = timer.Wait(ctx, timer.System{}, time.Second)
		fake.others = map[fleet.HostID][]byte{"h1": []byte(
			`{"services":{"s":{"counts":{},"servers":{"u1":{"requests":0,"total":0,"limited":8,"limit":6}}}}}`)}
		collected := assigner.Collect(ctx, "s")
		is.Equal(collected.Load.Samples(), 13.0)
		is.Equal(*collected.Stats["u1"].RateLimit, 4.0) // the lowest of those that were reported
		is.Equal(collected.Stats["u1"].Rate, 20.0)
		is.Equal(collected.Stats["u1"].MeanDuration, 100*time.Millisecond)
		is.Equal(collected.Stats["u2"].RateLimit, nil)
		cancel()
		<-done
	})
}

// Guards against a full server that looks idle to the assigner, because it refuses the requests that it gets.
func TestRejectionsAreCollected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		assigner, fake := newTracker(1)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); _ = assigner.run(ctx) }()
		for range 6 {
			assigner.Arrived("s", 4000)
			assigner.Rejected("s", "u1")
		}
		_ = timer.Wait(ctx, timer.System{}, time.Second)
		fake.others = map[fleet.HostID][]byte{"h1": []byte(
			`{"services":{"s":{"counts":{"4000":3},"servers":{"u1":{"requests":2,"total":800000000,"rejected":3}}}}}`)}
		collected := assigner.Collect(ctx, "s")
		is.Equal(collected.Load.Samples(), 9.0)
		is.Equal(collected.Stats["u1"].Rejected, 9)
		is.Equal(collected.Stats["u1"].Latest, ranges.Measured{Requests: 2, Total: 800 * time.Millisecond, Span: time.Second})
		_ = timer.Wait(ctx, timer.System{}, time.Second)
		collected = assigner.Collect(ctx, "s")
		is.Equal(collected.Stats["u1"].Rejected, 0) // nothing is counted twice
		is.Equal(collected.Stats["u1"].Latest, ranges.Measured{})
		is.True(collected.Stats["u1"].Rise < 0)
		cancel()
		<-done
	})
}
