package budget_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"rosemarywick.example/rosemarywick/internal/caller/budget"
)

// side is who has to act next on a connection of the model.
type side string

const (
	callerSends side = "the caller sends"
	callerTakes side = "the caller takes"
	upstream    side = "the upstream works"
)

// modelConn is a connection as the front end uses its holder.
type modelConn struct {
	holder *budget.Holder
	next   side
	// held is what the connection holds by its own count, and moved when its caller last sent or took something, or began to be
	// waited for.
	held   int64
	moved  time.Time
	closed bool
}

// model plays connections against a budget and checks each decision.
type model struct {
	*fixture
	t      *rapid.T
	random *rand.Rand
	conns  []*modelConn
}

const (
	modelRoom  = 2 << 20
	modelStall = time.Second
)

// open opens a connection, unless there is no room for it.
func (m *model) open() {
	conn := &modelConn{next: callerSends, moved: m.clock.now}
	holder, ok := m.Open(func() { m.checkClosed(conn) })
	if ok {
		conn.holder = holder
		m.conns = append(m.conns, conn)
	}
}

// checkClosed fails if a connection is closed that its caller does not hold up.
func (m *model) checkClosed(conn *modelConn) {
	conn.closed = true
	if silent := m.clock.now.Sub(conn.moved); conn.next == upstream || silent < modelStall {
		m.t.Fatalf("a connection is closed on which %s, %v after its caller moved", conn.next, silent)
	}
}

// await makes the connection wait for a side.
func (m *model) await(conn *modelConn, next side) {
	switch conn.next { // what ends
	case callerTakes:
		conn.holder.EndWrite()
	case callerSends:
		conn.holder.Await(false)
	case upstream:
	}
	conn.next, conn.moved = next, m.clock.now
	switch next {
	case callerTakes:
		conn.holder.BeginWrite()
	case callerSends:
		conn.holder.Await(true)
	case upstream:
	}
}

// step lets something happen on a connection.
func (m *model) step(conn *modelConn) {
	switch action := m.random.IntN(10); {
	case action < 3:
		m.reserve(conn)
	case action < 4:
		conn.holder.ReleaseAll(budget.Body)
		conn.held = 0
	case action < 5 && conn.next == callerSends:
		conn.holder.Progressed()
		conn.moved = m.clock.now
	case action < 9:
		m.await(conn, []side{callerSends, callerTakes, upstream}[m.random.IntN(3)])
	case action == 9:
		conn.holder.Close()
		conn.closed = true
	}
}

// reserve takes room for a body. If that is refused although it is small, no connection may be left that was to give way.
func (m *model) reserve(conn *modelConn) {
	size := []int64{1 << 10, 16 << 10, 200 << 10, 700 << 10}[m.random.IntN(4)]
	if conn.holder.Reserve(budget.Body, size) {
		conn.held += size
		return
	}
	if conn.closed || conn.held+size > budget.SmallSize {
		return
	}
	for _, other := range m.conns {
		if other != conn && !other.closed && other.next != upstream && m.clock.now.Sub(other.moved) >= modelStall {
			m.t.Fatalf("%d bytes are refused while a connection holds %d on which %s for %v", size, other.held, other.next,
				m.clock.now.Sub(other.moved))
		}
	}
}

// checkRoom fails if more is held than there is room for.
func (m *model) checkRoom() {
	var held int64
	for _, purpose := range budget.Purposes {
		held += m.Held(purpose)
	}
	if held > modelRoom {
		m.t.Fatalf("%d bytes are held of %d", held, modelRoom)
	}
}

// Guards against a connection that is closed for want of room while its caller holds nothing up, in any order of reads, writes,
// silences of callers and upstreams, and shortages; against more memory than there is room for; and against a small request that is
// refused while a connection holds room whose caller does not move.
func TestOnlyStalledCallersGiveWay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		m := &model{
			fixture: newFixture(budget.Limits{Room: modelRoom, SmallRoom: modelRoom / 16, Connections: 30}), t: t,
			random: rand.New(rand.NewPCG(seed, 6)),
		}
		for range 400 {
			m.clock.now = m.clock.now.Add(time.Duration(m.random.IntN(300)) * time.Millisecond)
			if open := m.openConns(); len(open) == 0 || m.random.IntN(8) == 0 {
				m.open()
			} else {
				m.step(open[m.random.IntN(len(open))])
			}
			m.checkRoom()
		}
	})
}

func (m *model) openConns() []*modelConn {
	var result []*modelConn
	for _, conn := range m.conns {
		if !conn.closed {
			result = append(result, conn)
		}
	}
	m.conns = result
	return result
}

// Guards against many small connections that are closed for a large body while a single one, whose caller does not move, holds
// enough.
func TestLargestStalledHolderIsClosedFirst(t *testing.T) {
	f := newFixture(budget.Limits{Room: 10 << 20, SmallRoom: 1 << 20})
	for number, size := range []int64{1 << 20, 5 << 20, 2 << 20} {
		if !f.open(t, number).Reserve(budget.Body, size) {
			t.Fatal("no room")
		}
		f.clock.now = f.clock.now.Add(100 * time.Millisecond)
	}
	f.clock.now = f.clock.now.Add(2 * time.Second)
	if !f.open(t, 3).Reserve(budget.Body, 4<<20) || fmt.Sprint(f.closed) != "[1]" {
		t.Fatalf("closed %v", f.closed)
	}
}
