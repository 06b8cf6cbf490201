package gossip

import (
	"fmt"
	"maps"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// model connects several states by a network that loses, duplicates and reorders messages.
type model struct {
	t      *rapid.T
	states []*State
	// latest holds, by state, the latest version of each item since the state was created.
	latest []map[string]Item
	links  map[[2]int]bool
	// inFlight holds the messages that were sent and not delivered, by sender and receiver.
	inFlight map[[2]int][]Message
}

func hostID(node int) fleet.HostID { return fleet.HostID(fmt.Sprint("host-", node)) }

func newModel(t *rapid.T, count int) *model {
	m := &model{t: t, links: make(map[[2]int]bool), inFlight: make(map[[2]int][]Message)}
	for node := range count {
		m.states = append(m.states, NewState(hostID(node)))
		m.latest = append(m.latest, make(map[string]Item))
	}
	return m
}

func (m *model) connect(a, b int) {
	pair := [2]int{min(a, b), max(a, b)}
	if a == b || m.links[pair] {
		return
	}
	m.links[pair] = true
	m.send(a, b, m.states[a].Connect(hostID(b))...)
	m.send(b, a, m.states[b].Connect(hostID(a))...)
}

func (m *model) disconnect(a, b int) {
	delete(m.links, [2]int{min(a, b), max(a, b)})
	m.states[a].Disconnect(hostID(b))
	m.states[b].Disconnect(hostID(a))
	delete(m.inFlight, [2]int{a, b})
	delete(m.inFlight, [2]int{b, a})
}

func (m *model) send(from, to int, messages ...Message) {
	m.inFlight[[2]int{from, to}] = append(m.inFlight[[2]int{from, to}], messages...)
}

// sendDue sends the items and adoptions that a node has queued for a peer.
func (m *model) sendDue(from, to int) {
	m.send(from, to, m.states[from].TakeItems(hostID(to))...)
	if adoptions, due := m.states[from].TakeAdoptions(hostID(to)); due {
		m.send(from, to, adoptions)
	}
}

// deliver encodes the in-flight message at an index and delivers it. The message stays in flight if keep is set, so that it
// is delivered again.
func (m *model) deliver(from, to, index int, keep bool) {
	pair := [2]int{from, to}
	message := m.inFlight[pair][index]
	if !keep {
		m.inFlight[pair] = append(append([]Message{}, m.inFlight[pair][:index]...), m.inFlight[pair][index+1:]...)
	}
	payload, err := encode(message)
	if err != nil {
		m.t.Fatal(err)
	}
	if message, err = decode(payload); err != nil {
		m.t.Fatal(err)
	}
	replies, changed := m.states[to].Receive(hostID(from), message)
	m.send(to, from, replies...)
	for _, item := range changed {
		m.checkSupersedes(to, item)
	}
}

// checkSupersedes fails the test if a node replaced an item by one that does not supersede it.
func (m *model) checkSupersedes(node int, item Item) {
	if old, found := m.latest[node][item.Name]; found && !item.supersedes(old) {
		m.t.Fatalf("%s of %s went back from %v to %v", item.Name, hostID(node), old.Version, item.Version)
	}
	m.latest[node][item.Name] = item
}

// randomStep publishes, connects, disconnects, restarts, ticks, or loses, duplicates or reorders a message, at random.
func (m *model) randomStep() {
	t := m.t
	node := rapid.IntRange(0, len(m.states)-1)
	a, b := node.Draw(t, "a"), node.Draw(t, "b")
	pair := [2]int{a, b}
	switch step := rapid.IntRange(0, 15).Draw(t, "step"); step {
	case 0, 1:
		// The small range of versions makes nodes publish older, equal and newer ones.
		item := Item{
			Name:    rapid.SampledFrom([]string{"config", "map/stock", "x"}).Draw(t, "name"),
			Version: Version{rapid.Uint64Range(0, 3).Draw(t, "major"), rapid.Uint64Range(0, 3).Draw(t, "minor")},
			Value:   make([]byte, rapid.SampledFrom([]int{1, offerThreshold, offerThreshold + 1}).Draw(t, "size")),
		}
		if m.states[a].Publish(item) {
			m.checkSupersedes(a, item)
		}
		m.states[a].RecordAdoption(NewAdoptionKey(hostID(a), 0), item.Version.Major)
	case 2:
		m.connect(a, b)
	case 3:
		m.disconnect(a, b)
	case 4:
		for other := range m.states {
			m.disconnect(a, other)
		}
		m.states[a], m.latest[a] = NewState(hostID(a)), make(map[string]Item)
	case 5:
		m.advance(a)
	default:
		m.sendDue(a, b)
		if queue := m.inFlight[pair]; len(queue) > 0 {
			index := rapid.IntRange(0, len(queue)-1).Draw(t, "index")
			if step <= 7 {
				m.inFlight[pair] = append(append([]Message{}, queue[:index]...), queue[index+1:]...)
				return
			}
			m.deliver(a, b, index, step <= 9)
		}
	}
}

// runRoundWithoutFaults runs one digest round on all nodes and delivers all messages in order.
func (m *model) runRoundWithoutFaults() {
	for node := range m.states {
		m.advance(node)
	}
	for range 1000 {
		idle := true
		for pair := range m.links {
			for _, direction := range [][2]int{pair, {pair[1], pair[0]}} {
				m.sendDue(direction[0], direction[1])
				for len(m.inFlight[direction]) > 0 {
					idle = false
					m.deliver(direction[0], direction[1], 0, false)
				}
			}
		}
		if idle {
			break
		}
	}
}

// advance runs one tick and one digest round on a node.
func (m *model) advance(node int) {
	for to, want := range m.states[node].RetryOverdue() {
		m.send(node, m.nodeIndex(to), want)
	}
	for _, to := range m.states[node].AdvanceRound() {
		m.send(node, m.nodeIndex(to), m.states[node].RootDigest())
	}
}

func (m *model) nodeIndex(host fleet.HostID) int {
	for node := range m.states {
		if hostID(node) == host {
			return node
		}
	}
	m.t.Fatalf("no host %s", host)
	return 0
}

func (m *model) converged() bool {
	for _, state := range m.states[1:] {
		if state.RootDigest() != m.states[0].RootDigest() || !maps.Equal(state.adoptions.versions, m.states[0].adoptions.versions) {
			return false
		}
	}
	return true
}

// Guards against an item that goes back to an older version, and against daemons that do not converge after the faults have
// ended. The faults are loss, duplication and reordering of messages, partitions, and restarts with empty memory. Nodes
// that are not drawn for a while cover pauses.
func TestStatesConvergeAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t, rapid.IntRange(2, 5).Draw(t, "nodes"))
		for range rapid.IntRange(0, 200).Draw(t, "steps") {
			m.randomStep()
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
		// Lost requests expire, and adoption tables are repaired, within a few rounds for each hop.
		for range 2 * (requestExpiryTicks + adoptionSettleRounds + 2) * len(m.states) {
			m.runRoundWithoutFaults()
		}
		if !m.converged() {
			t.Fatalf("daemons have not converged after the faults ended")
		}
		for name, item := range latest {
			if got, _ := m.states[0].Get(name); got.Version != item.Version {
				t.Fatalf("%s has version %v, want the latest version %v", name, got.Version, item.Version)
			}
		}
	})
}

// Guards against buckets that are never repaired because the summary of all differing buckets exceeds maxSummaryEntries, and
// against digests that grow with the number of items.
func TestSummaryLimitIsRepairedInLaterRounds(t *testing.T) {
	const count = 3000
	states := []*State{NewState(hostID(0)), NewState(hostID(1))}
	for i := range count {
		states[i%2].Publish(Item{Name: fmt.Sprint("item/", i), Version: Version{Major: 1}})
	}
	if size := len(states[0].bucketDigests().Digests); size != bucketCount {
		t.Fatalf("digest has %d buckets", size)
	}
	for range 2 * count / maxSummaryEntries {
		messages := []Message{states[0].RootDigest()}
		for receiver := 1; len(messages) > 0; receiver++ {
			var replies []Message
			for _, message := range messages {
				reply, _ := states[receiver%2].Receive(hostID(1-receiver%2), message)
				replies = append(replies, reply...)
			}
			messages = replies
		}
	}
	if states[0].RootDigest() != states[1].RootDigest() || len(states[0].items) != count {
		t.Fatalf("%d and %d items", len(states[0].items), len(states[1].items))
	}
}

// Guards against an item that is never requested again after its request was lost, and against an item that waits for a slow
// peer although another peer offered it.
func TestLostAndSlowRequestsAreRepeated(t *testing.T) {
	is := is.New(t)
	s := NewState("self")
	s.Connect("slow")
	s.Connect("other")
	offer := Offer{Entries: []Entry{{Name: "x", Version: Version{Major: 1}}}}
	replies, _ := s.Receive("slow", offer)
	is.Equal(replies, []Message{Want{Names: []string{"x"}}})
	replies, _ = s.Receive("other", offer)
	is.Equal(len(replies), 0) // already requested from the slow peer
	is.Equal(len(s.RetryOverdue()), 0)
	is.Equal(s.RetryOverdue(), map[fleet.HostID]Want{"other": {Names: []string{"x"}}})
	for range requestExpiryTicks {
		is.Equal(len(s.RetryOverdue()), 0) // no other peer has offered the item
	}
	s.RetryOverdue()
	replies, _ = s.Receive("slow", offer)
	is.Equal(len(replies), 1) // the requests have expired
	s.Receive("other", offer)
	s.Disconnect("slow")
	is.Equal(len(s.RetryOverdue()), 1) // requested from the other peer at the next tick
}
