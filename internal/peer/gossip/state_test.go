package gossip

import (
	"fmt"
	"maps"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// model runs several states over a network that loses, repeats and reorders messages.
type model struct {
	t      *rapid.T
	states []*State
	// seen holds the latest version that each run of a daemon has held.
	seen  []map[string]Item
	links map[[2]int]bool
	// wire holds the messages on their way, by sender and receiver.
	wire map[[2]int][]Message
}

func id(node int) fleet.HostID { return fleet.HostID(fmt.Sprint("host-", node)) }

func newModel(t *rapid.T, count int) *model {
	m := &model{t: t, links: make(map[[2]int]bool), wire: make(map[[2]int][]Message)}
	for node := range count {
		m.states = append(m.states, NewState(id(node)))
		m.seen = append(m.seen, make(map[string]Item))
	}
	return m
}

func (m *model) connect(a, b int) {
	pair := [2]int{min(a, b), max(a, b)}
	if a == b || m.links[pair] {
		return
	}
	m.links[pair] = true
	m.send(a, b, m.states[a].Connect(id(b))...)
	m.send(b, a, m.states[b].Connect(id(a))...)
}

func (m *model) disconnect(a, b int) {
	delete(m.links, [2]int{min(a, b), max(a, b)})
	m.states[a].Disconnect(id(b))
	m.states[b].Disconnect(id(a))
	delete(m.wire, [2]int{a, b})
	delete(m.wire, [2]int{b, a})
}

func (m *model) send(from, to int, messages ...Message) {
	m.wire[[2]int{from, to}] = append(m.wire[[2]int{from, to}], messages...)
}

// take puts on the wire what a node has for a peer.
func (m *model) take(from, to int) {
	m.send(from, to, m.states[from].TakeItems(id(to))...)
	if adoptions, due := m.states[from].TakeAdoptions(id(to)); due {
		m.send(from, to, adoptions)
	}
}

// deliver hands over the message at an index, in its form on the wire.
func (m *model) deliver(from, to, index int, keep bool) {
	pair := [2]int{from, to}
	message := m.wire[pair][index]
	if !keep {
		m.wire[pair] = append(append([]Message{}, m.wire[pair][:index]...), m.wire[pair][index+1:]...)
	}
	payload, err := encode(message)
	if err != nil {
		m.t.Fatal(err)
	}
	if message, err = decode(payload); err != nil {
		m.t.Fatal(err)
	}
	replies, changed := m.states[to].Receive(id(from), message)
	m.send(to, from, replies...)
	for _, item := range changed {
		m.check(to, item)
	}
}

// check fails when a node takes an item that does not supersede what it held.
func (m *model) check(node int, item Item) {
	if old, found := m.seen[node][item.Name]; found && !item.supersedes(old) {
		m.t.Fatalf("%s of %s went from %v back to %v", item.Name, id(node), old.Version, item.Version)
	}
	m.seen[node][item.Name] = item
}

// fault makes one random step.
func (m *model) fault() {
	t := m.t
	node := rapid.IntRange(0, len(m.states)-1)
	a, b := node.Draw(t, "a"), node.Draw(t, "b")
	pair := [2]int{a, b}
	switch step := rapid.IntRange(0, 15).Draw(t, "step"); step {
	case 0, 1:
		// Versions are drawn from a small range, so that nodes publish older, equal and newer ones.
		item := Item{
			Name:    rapid.SampledFrom([]string{"config", "map/stock", "x"}).Draw(t, "name"),
			Version: Version{rapid.Uint64Range(0, 3).Draw(t, "major"), rapid.Uint64Range(0, 3).Draw(t, "minor")},
			Value:   make([]byte, rapid.SampledFrom([]int{1, offerBytes, offerBytes + 1}).Draw(t, "size")),
		}
		if m.states[a].Publish(item) {
			m.check(a, item)
		}
		m.states[a].RecordAdoption(NewAdoptionKey(id(a), 0), item.Version.Major)
	case 2:
		m.connect(a, b)
	case 3:
		m.disconnect(a, b)
	case 4:
		for other := range m.states {
			m.disconnect(a, other)
		}
		m.states[a], m.seen[a] = NewState(id(a)), make(map[string]Item)
	case 5:
		m.interval(a)
	default:
		m.take(a, b)
		if queue := m.wire[pair]; len(queue) > 0 {
			index := rapid.IntRange(0, len(queue)-1).Draw(t, "index")
			if step <= 7 {
				m.wire[pair] = append(append([]Message{}, queue[:index]...), queue[index+1:]...)
				return
			}
			m.deliver(a, b, index, step <= 9)
		}
	}
}

// round runs one digest interval without faults.
func (m *model) round() {
	for node := range m.states {
		m.interval(node)
	}
	for range 1000 {
		idle := true
		for pair := range m.links {
			for _, way := range [][2]int{pair, {pair[1], pair[0]}} {
				m.take(way[0], way[1])
				for len(m.wire[way]) > 0 {
					idle = false
					m.deliver(way[0], way[1], 0, false)
				}
			}
		}
		if idle {
			break
		}
	}
}

// interval lets a digest interval pass at a node.
func (m *model) interval(node int) {
	for to, want := range m.states[node].RetryOverdue() {
		m.send(node, m.number(to), want)
	}
	for _, to := range m.states[node].AdvanceRound() {
		m.send(node, m.number(to), m.states[node].RootDigest())
	}
}

func (m *model) number(host fleet.HostID) int {
	for node := range m.states {
		if id(node) == host {
			return node
		}
	}
	m.t.Fatalf("no host %s", host)
	return 0
}

func (m *model) converged() bool {
	for _, state := range m.states[1:] {
		if state.RootDigest() != m.states[0].RootDigest() || !maps.Equal(state.adopted.hosts, m.states[0].adopted.hosts) {
			return false
		}
	}
	return true
}

// Guards against an item that goes back to an older version, and against daemons that stay apart after the faults have
// ended. Faults are loss, repetition, reordering, partitions and restarts with empty memory; a pause is a node without
// steps.
func TestStateUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t, rapid.IntRange(2, 5).Draw(t, "nodes"))
		for range rapid.IntRange(0, 200).Draw(t, "steps") {
			m.fault()
		}
		latest := make(map[string]Item)
		for _, state := range m.states {
			for _, item := range state.ItemsWithPrefix("") {
				if old, found := latest[item.Name]; !found || item.supersedes(old) {
					latest[item.Name] = item
				}
			}
		}
		for node := range m.states {
			m.connect(node, (node+1)%len(m.states))
		}
		// Requests that were lost expire, and adoptions settle, after a few rounds for each hop.
		for range 2 * (wantTicks + settleRounds + 2) * len(m.states) {
			m.round()
		}
		if !m.converged() {
			t.Fatalf("daemons differ after the faults have ended")
		}
		for name, item := range latest {
			if got, _ := m.states[0].Get(name); got.Version != item.Version {
				t.Fatalf("%s is at %v, but %v was known", name, got.Version, item.Version)
			}
		}
	})
}

// Guards against summaries beyond their bound that leave the last buckets unrepaired, and against digests that grow
// with the number of items.
func TestManyItemsAreRepaired(t *testing.T) {
	const count = 3000
	states := []*State{NewState(id(0)), NewState(id(1))}
	for i := range count {
		states[i%2].Publish(Item{Name: fmt.Sprint("item/", i), Version: Version{Major: 1}})
	}
	if size := len(states[0].digests().Digests); size != bucketCount {
		t.Fatalf("digest has %d buckets", size)
	}
	for range 2 * count / summaryEntries {
		messages := []Message{states[0].RootDigest()}
		for turn := 1; len(messages) > 0; turn++ {
			var replies []Message
			for _, message := range messages {
				reply, _ := states[turn%2].Receive(id(1-turn%2), message)
				replies = append(replies, reply...)
			}
			messages = replies
		}
	}
	if states[0].RootDigest() != states[1].RootDigest() || len(states[0].items) != count {
		t.Fatalf("%d and %d items", len(states[0].items), len(states[1].items))
	}
}

// Guards against an item that is never asked for again after the request for it was lost, and one that waits for a
// slow peer while another one has offered it.
func TestRequestsAreRepeated(t *testing.T) {
	is := is.New(t)
	s := NewState("self")
	s.Connect("slow")
	s.Connect("other")
	offer := Offer{Entries: []Entry{{Name: "x", Version: Version{Major: 1}}}}
	replies, _ := s.Receive("slow", offer)
	is.Equal(replies, []Message{Want{Names: []string{"x"}}})
	replies, _ = s.Receive("other", offer)
	is.Equal(len(replies), 0) // already on its way
	is.Equal(len(s.RetryOverdue()), 0)
	is.Equal(s.RetryOverdue(), map[fleet.HostID]Want{"other": {Names: []string{"x"}}})
	for range wantTicks {
		is.Equal(len(s.RetryOverdue()), 0) // there is nobody else to ask
	}
	s.RetryOverdue()
	replies, _ = s.Receive("slow", offer)
	is.Equal(len(replies), 1) // both requests count as lost
	s.Receive("other", offer)
	s.Disconnect("slow")
	is.Equal(len(s.RetryOverdue()), 1) // asked at once where the peer is gone
}
