package budget_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"rosemarywick.example/rosemarywick/internal/caller/budget"
	"rosemarywick.example/rosemarywick/internal/core/timer"
)

// clock is a clock that the test sets.
type clock struct {
	timer.System
	now time.Time
}

func (c *clock) Now() time.Time { return c.now }

// fixture is a budget with the holders that were closed.
type fixture struct {
	*budget.Budget
	clock  *clock
	closed []int
}

func newFixture(limits budget.Limits) *fixture {
	f := &fixture{clock: &clock{now: time.Unix(1, 0)}}
	f.Budget = &budget.Budget{Limits: limits, Clock: f.clock}
	return f
}

func (f *fixture) open(t *testing.T, number int) *budget.Holder {
	holder, ok := f.Open(func() { f.closed = append(f.closed, number) })
	is.New(t).True(ok)
	return holder
}

// Guards against a single request of the largest legal size that is refused on the smallest host although nothing else is
// held.
func TestLargestBodyFitsSmallestHost(t *testing.T) {
	is := is.New(t)
	f := newFixture(budget.LimitsFor(144<<20, 3075))
	is.True(f.open(t, 0).Reserve(budget.Body, 64<<20))
	is.True(f.open(t, 1).Reserve(budget.Body, 512)) // and a small one beside it
}

// Guards against large bodies that use up the room of small requests, and against a holder that is closed although it makes
// progress or does not wait for its caller.
func TestStalledHolderIsClosedFirst(t *testing.T) {
	is := is.New(t)
	f := newFixture(budget.Limits{Room: 10 << 20, SmallRoom: 1 << 20})
	holders := []*budget.Holder{f.open(t, 0), f.open(t, 1), f.open(t, 2)}
	for _, holder := range holders {
		is.True(holder.Reserve(budget.Body, 2<<20))
	}
	holders[0].Await(false) // its body is complete
	last := f.open(t, 3)
	is.True(!last.Reserve(budget.Body, 4<<20)) // none is without progress yet
	is.True(f.open(t, 4).Reserve(budget.Body, budget.SmallSize/2))
	f.clock.now = f.clock.now.Add(700 * time.Millisecond)
	holders[1].Progressed()
	f.clock.now = f.clock.now.Add(700 * time.Millisecond)
	is.True(last.Reserve(budget.Body, 4<<20))
	is.Equal(f.closed, []int{2})
	is.True(!holders[2].Reserve(budget.Body, 1)) // it is to end
	is.Equal(f.Held(budget.Body), int64(8<<20+budget.SmallSize/2))
	for _, holder := range append(holders, last) {
		holder.Close()
		holder.Close()
	}
	is.Equal(f.Held(budget.Body), int64(budget.SmallSize/2))
}

// Guards against a body that can never fit and for which other connections are closed.
func TestNoneIsClosedInVain(t *testing.T) {
	is := is.New(t)
	f := newFixture(budget.Limits{Room: 10 << 20, SmallRoom: 1 << 20})
	f.open(t, 0)
	f.clock.now = f.clock.now.Add(time.Minute)
	is.True(!f.open(t, 1).Reserve(budget.Body, 10<<20))
	is.Equal(len(f.closed), 0)
}

// Guards against a limit of connections that lets callers without progress keep others out.
func TestConnectionsAreLimited(t *testing.T) {
	is := is.New(t)
	f := newFixture(budget.Limits{Connections: 2})
	f.open(t, 0)
	f.open(t, 1)
	_, ok := f.Open(func() {})
	is.True(!ok)
	f.clock.now = f.clock.now.Add(2 * time.Second)
	f.open(t, 2)
	is.Equal(f.closed, []int{0})
}
