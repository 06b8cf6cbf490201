package gossip

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

const (
	// bucketCount bounds the size of a digest: 64 buckets take 256 bytes, and hold 35 of 2,200 member items each.
	bucketCount = 64
	// offerBytes is the size from which an item is offered before it is sent, so that a peer that has got it from
	// another peer meanwhile does not receive it again.
	offerBytes = 512
	// batchBytes bounds the values in one message, unless a single item is larger.
	batchBytes = 32 << 10
	// summaryEntries bounds one summary. Buckets beyond it are left for the next exchange.
	summaryEntries = 512
	// patientTicks is the number of ticks after which an item is asked for at the next peer that has offered it, and
	// wantTicks that after which it counts as not asked for.
	patientTicks = 2
	wantTicks    = 10
	// maxOffers bounds the peers that are remembered to have offered an item.
	maxOffers = 8
	// settleRounds is the number of rounds without a change of the adoptions after which a difference is repaired by
	// sending all of them. Before that it is most likely due to adoptions on their way.
	settleRounds = 3
)

// State holds the items of one daemon and decides what to send to which peer. It is not safe for concurrent use.
type State struct {
	self    fleet.HostID
	items   map[string]Item
	buckets [bucketCount]uint64
	peers   map[fleet.HostID]*peer
	// wanted holds what has been asked for and has not arrived.
	wanted map[string]*want

	// round counts the digest intervals.
	round   uint64
	adopted adoption
}

// want is a request for an item that is on its way.
type want struct {
	entry Entry
	from  fleet.HostID
	ticks int
	// others holds further peers that have offered the item.
	others []fleet.HostID
}

// peer is what is known about one connected peer.
type peer struct {
	// known holds the version of each item that the peer has sent or has been sent on this connection.
	known map[string]Version
	// due holds the names of items of which the peer is not known to have the present version. A newer version of an
	// item replaces the older one here, so that a slow peer gets only the latest.
	due map[string]struct{}
	// adoptions holds the hosts whose adoption the peer is not known to have.
	adoptions map[AdoptionKey]struct{}
	// turn is set when the peer's digest has arrived since this daemon has last sent its own.
	turn bool
}

// NewState returns the state of a daemon without items or peers.
func NewState(self fleet.HostID) *State {
	return &State{
		self: self, items: make(map[string]Item), peers: make(map[fleet.HostID]*peer), wanted: make(map[string]*want),
		adopted: adoption{hosts: make(map[AdoptionKey]uint64)},
	}
}

// Get returns an item.
func (s *State) Get(name string) (Item, bool) {
	item, found := s.items[name]
	return item, found
}

// All returns the items whose names begin with prefix, in the order of their names.
func (s *State) ItemsWithPrefix(prefix string) []Item {
	var found []Item
	for name, item := range s.items {
		if len(name) >= len(prefix) && name[:len(prefix)] == prefix {
			found = append(found, item)
		}
	}
	slices.SortFunc(found, func(a, b Item) int {
		switch {
		case a.Name < b.Name:
			return -1
		case a.Name > b.Name:
			return 1
		}
		return 0
	})
	return found
}

// Publish adds an item if it supersedes the one held, and reports whether it did.
func (s *State) Publish(item Item) bool {
	return s.adopt(item, "")
}

// adopt takes an item, notes that its sender has it, and makes it due for all other peers.
func (s *State) adopt(item Item, from fleet.HostID) bool {
	if sender := s.peers[from]; sender != nil {
		sender.learn(item.Name, item.Version)
	}
	old, exists := s.items[item.Name]
	if exists && !item.supersedes(old) {
		return false
	}
	bucket := bucketOf(item.Name)
	if exists {
		s.buckets[bucket] ^= digestOf(old)
	}
	s.buckets[bucket] ^= digestOf(item)
	s.items[item.Name] = item
	if asked, found := s.wanted[item.Name]; found && !item.Version.Less(asked.entry.Version) {
		delete(s.wanted, item.Name)
	}
	for id, other := range s.peers {
		if id == from {
			continue
		}
		if known, found := other.known[item.Name]; !found || known.Less(item.Version) {
			other.due[item.Name] = struct{}{}
		}
	}
	return true
}

// learn notes that the peer has an item.
func (p *peer) learn(name string, version Version) {
	if known, found := p.known[name]; found && version.Less(known) {
		return
	}
	p.known[name] = version
}

// Connect adds a peer of which nothing is known, and returns what to send to it. The host with the lower identifier
// begins the exchange of digests, so that it does not run twice.
func (s *State) Connect(id fleet.HostID) []Message {
	s.peers[id] = &peer{
		known: make(map[string]Version), due: make(map[string]struct{}), adoptions: make(map[AdoptionKey]struct{}),
	}
	for host := range s.adopted.hosts {
		s.peers[id].adoptions[host] = struct{}{}
	}
	if s.self < id {
		return []Message{s.RootDigest()}
	}
	return nil
}

// Disconnect removes a peer. What it was asked for is asked of others.
func (s *State) Disconnect(id fleet.HostID) {
	delete(s.peers, id)
	for name, w := range s.wanted {
		if w.from != id {
			continue
		}
		if w.from, w.ticks = "", patientTicks; len(w.others) == 0 {
			delete(s.wanted, name)
		}
	}
}

// Root returns the digest of everything that is held.
func (s *State) RootDigest() RootDigest {
	var sum [8 * bucketCount]byte
	for i, bucket := range s.buckets {
		binary.LittleEndian.PutUint64(sum[8*i:], bucket)
	}
	return RootDigest{Items: xxhash.Sum64(sum[:]), Adoptions: s.adopted.digest}
}

// Round notes that a digest interval has passed, and returns the peers to which the digest is to be sent. The two hosts
// of a connection take turns, so that digests are compared once in each interval and both hosts know that the other is
// alive. A response to each digest instead would take two thirds more bytes.
func (s *State) AdvanceRound() []fleet.HostID {
	s.round++
	s.adopted.quiet++
	var due []fleet.HostID
	for id, p := range s.peers {
		if s.self < id && s.round%2 == 0 || id < s.self && p.turn {
			due = append(due, id)
		}
		p.turn = false
	}
	return due
}

// Tick notes that a short interval has passed. It returns what to ask of which peers, because the peers that were asked
// first have not responded; a slow peer thus delays an item for no longer than a few ticks.
func (s *State) RetryOverdue() map[fleet.HostID]Want {
	var asks map[fleet.HostID]Want
	for name, w := range s.wanted {
		if w.ticks++; w.ticks > wantTicks {
			delete(s.wanted, name)
			continue
		}
		if w.ticks < patientTicks {
			continue
		}
		for len(w.others) > 0 {
			next := w.others[0]
			w.others = w.others[1:]
			if s.peers[next] != nil {
				w.from, w.ticks = next, 0
				if asks == nil {
					asks = make(map[fleet.HostID]Want)
				}
				asks[next] = Want{Names: append(asks[next].Names, name)}
				break
			}
		}
	}
	return asks
}

// Pending reports whether there is something to do at the next tick: adoptions to be passed on, or requests that may
// have to be repeated.
func (s *State) Pending() bool {
	if len(s.wanted) > 0 {
		return true
	}
	for _, p := range s.peers {
		if len(p.adoptions) > 0 {
			return true
		}
	}
	return false
}

// Due reports whether there are items to be sent to a peer.
func (s *State) ItemsDue(id fleet.HostID) bool {
	p := s.peers[id]
	return p != nil && len(p.due) > 0
}

// Take returns the next messages for a peer and notes that it has their content, or nil when nothing is due. Items
// that the peer is known to have by now are left out.
func (s *State) TakeItems(id fleet.HostID) []Message {
	p := s.peers[id]
	if p == nil {
		return nil
	}
	var batch []Item
	var offers []Entry
	size := 0
	for name := range p.due {
		delete(p.due, name)
		item := s.items[name]
		if known, found := p.known[name]; found && known.Compare(item.Version) >= 0 {
			continue
		}
		p.learn(name, item.Version)
		if len(item.Value) >= offerBytes {
			offers = append(offers, item.entry())
			continue
		}
		batch = append(batch, item)
		if size += len(name) + len(item.Value); size >= batchBytes {
			break
		}
	}
	var messages []Message
	if len(batch) > 0 {
		messages = append(messages, Items{Items: batch})
	}
	if len(offers) > 0 {
		messages = append(messages, Offer{Entries: offers})
	}
	return messages
}

func bucketOf(name string) uint32 {
	return uint32(xxhash.Sum64String(name) % bucketCount)
}

// digestOf returns a hash of an item. The hashes of a bucket are combined by exclusive or, so that one item can be
// replaced without looking at the others.
func digestOf(item Item) uint64 {
	text := make([]byte, 0, len(item.Name)+24)
	text = binary.LittleEndian.AppendUint64(text, item.Version.Major)
	text = binary.LittleEndian.AppendUint64(text, item.Version.Minor)
	text = binary.LittleEndian.AppendUint64(text, xxhash.Sum64(item.Value))
	return xxhash.Sum64(append(text, item.Name...))
}
