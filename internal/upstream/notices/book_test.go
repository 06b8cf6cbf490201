package notices_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/upstream/forward"
	"rosemarywick.example/rosemarywick/internal/upstream/notices"
)

// Guards against a limit that is forgotten too early, outlives its process, or is never lifted.
func TestLimitOfUpstream(t *testing.T) {
	start := time.Unix(1000, 0)
	first, second := notices.Source{ID: "u", Incarnation: "1"}, notices.Source{ID: "u", Incarnation: "2"}
	limit := []forward.Notice{forward.RateLimit{PerSecond: 3.5}}
	for name, test := range map[string]struct {
		exchanges []notices.Exchange
		source    notices.Source
		want      float64
	}{
		"named":    {[]notices.Exchange{{Source: first, Complete: true, Notices: limit}}, first, 3.5},
		"broken":   {[]notices.Exchange{{Source: first, Notices: limit}}, first, 3.5},
		"restart":  {[]notices.Exchange{{Source: first, Complete: true, Notices: limit}}, second, 0},
		"unlisted": {[]notices.Exchange{{Source: first, Complete: true}}, first, 0},
		"lifted": {[]notices.Exchange{
			{Source: first, Complete: true, Notices: limit},
			{Source: first, Complete: true, SentAt: start.Add(time.Second)},
		}, first, 0},
		"overtaken by an older request": {[]notices.Exchange{
			{Source: first, Complete: true, Notices: limit},
			{Source: first, Complete: true, SentAt: start.Add(-time.Second)},
		}, first, 3.5},
		"incomplete response without one": {[]notices.Exchange{
			{Source: first, Complete: true, Notices: limit},
			{Source: first, SentAt: start.Add(time.Second)},
		}, first, 3.5},
		"response of the process before": {[]notices.Exchange{
			{Source: second, Complete: true, Notices: limit},
			{Source: first, Complete: true, SentAt: start.Add(time.Second)},
		}, second, 3.5},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			book := &notices.Book{Log: zerolog.Nop(), Now: func() time.Time { return start }}
			for _, exchange := range test.exchanges {
				book.Record(exchange)
			}
			got, ok := book.RateLimit(test.source)
			is.Equal(ok, test.want > 0)
			if ok {
				is.Equal(got, test.want)
			}
			book.Retain(map[fleet.UpstreamID]fleet.Incarnation{"other": "1"})
			is.Equal(book.Limited(), 0)
		})
	}
}

// Guards against an upstream that counts as present again although it has said that it leaves: because an outdated entry came
// back, or because of a response of the process before.
func TestLeavingOfUpstream(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	first, second := notices.Source{ID: "u", Incarnation: "1"}, notices.Source{ID: "u", Incarnation: "2"}
	leaving := []forward.Notice{forward.Leaving{}}
	told := 0
	book := &notices.Book{Log: zerolog.Nop(), Now: func() time.Time { return now }, OnLeaving: func() { told++ }}
	book.Record(notices.Exchange{Source: first, Notices: leaving}) // in its entry, or to a peer
	is.Equal(book.LeavingNews(), nil)
	since := now
	now = now.Add(time.Second)
	book.Record(notices.Exchange{Source: first, SentAt: now, Notices: leaving})
	book.Record(notices.Exchange{Source: first, SentAt: now, Complete: true}) // nothing withdraws it
	is.Equal(book.LeavingSince(first), since)
	is.Equal(told, 1)
	is.Equal(book.LeavingNews(), []notices.Source{first})

	book.Retain(nil) // the entry disappears, and comes back
	is.Equal(book.Leaving(), 0)
	book.Retain(map[fleet.UpstreamID]fleet.Incarnation{"u": "1"})
	is.Equal(book.LeavingSince(first), since)
	is.Equal(book.Leaving(), 1)

	book.Retain(map[fleet.UpstreamID]fleet.Incarnation{"u": "2"}) // another process under the same ID
	is.True(book.LeavingSince(first).IsZero())
	is.True(book.LeavingSince(second).IsZero())

	book.Record(notices.Exchange{Source: second, Notices: leaving})
	book.Retain(nil)
	now = now.Add(time.Hour)
	book.Retain(nil)
	is.True(book.LeavingSince(second).IsZero()) // forgotten with time
	is.Equal(book.LeavingNews(), nil)
}

// Guards against a pause that is cut short by a response which overtook another one, that lasts for a time no one meant, or
// that holds for another process.
func TestPauseOfUpstream(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	now := start
	source := notices.Source{ID: "u", Incarnation: "1"}
	book := &notices.Book{Log: zerolog.Nop(), Now: func() time.Time { return now }}
	state := func(pause time.Duration) time.Duration {
		book.Record(notices.Exchange{Source: source, Notices: []forward.Notice{forward.Pause{Duration: pause}}})
		return book.PausedUntil(source).Sub(now)
	}
	first := state(2 * time.Second)
	is.True(first >= 2*time.Second && first <= 2500*time.Millisecond)
	is.Equal(state(time.Second), first)
	is.Equal(book.Paused(), 1)
	is.True(book.PausedUntil(notices.Source{ID: "u", Incarnation: "2"}).IsZero())
	book.Record(notices.Exchange{Source: source, Complete: true, SentAt: now.Add(time.Second)}) // a success does not end it
	is.Equal(book.Paused(), 1)
	now = now.Add(first)
	is.Equal(book.Paused(), 0)
	huge := state(24 * time.Hour)
	is.True(huge >= time.Minute && huge <= 61*time.Second)
	now = now.Add(huge)
	is.True(state(0) <= 0)
	is.Equal(book.Paused(), 0)
}

// Guards against a server that is flooded when its pause ends: all daemons were told at the same moment and have requests
// waiting.
func TestDaemonsReturnFromPauseOneByOne(t *testing.T) {
	const pause, tick = 2 * time.Second, 50 * time.Millisecond
	for _, daemons := range []int{12, 78, 295} {
		t.Run(fmt.Sprint(daemons), func(t *testing.T) {
			now := time.Unix(1000, 0)
			source := notices.Source{ID: "u", Incarnation: "1"}
			returned := make(map[time.Duration]int)
			for range daemons {
				book := &notices.Book{Log: zerolog.Nop(), Now: func() time.Time { return now }}
				book.Record(notices.Exchange{Source: source, Notices: []forward.Notice{forward.Pause{Duration: pause}}})
				returned[book.PausedUntil(source).Sub(now)/tick]++
			}
			busiest := 0
			for at, count := range returned {
				is.New(t).True(at >= pause/tick)
				busiest = max(busiest, count)
			}
			t.Logf("%d daemons: %d return within the busiest %v", daemons, busiest, tick)
			// Evenly spread over a quarter of the pause, a tenth of them return within a tick. Chance adds to that.
			mean := float64(daemons) * float64(tick) / (float64(pause) / 4)
			is.New(t).True(float64(busiest) <= mean+5*math.Sqrt(mean))
		})
	}
}
