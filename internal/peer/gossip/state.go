package gossip

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

const (
	// bucketCount is the number of buckets into which items are hashed. 64 bucket digests take 256 bytes on the wire, and
	// with the member records of 2,200 hosts each bucket holds 35 items.
	bucketCount = 64
	// offerThreshold is the value size in bytes from which an item is offered instead of sent at once, so that a peer does
	// not download it a second time if another peer has sent it already.
	offerThreshold = 512
	// maxBatchBytes limits the total size of the items in one message, unless a single item is larger.
	maxBatchBytes = 32 << 10
	// maxSummaryEntries limits one Summary. Later digest exchanges repair the buckets that do not fit.
	maxSummaryEntries = 512
	// retryTicks is the number of ticks after which a request without a response goes to the next peer that offered the item.
	// After requestExpiryTicks the request is forgotten, so that a later offer or summary starts a new one.
	retryTicks         = 2
	requestExpiryTicks = 10
	// maxAlternatives limits the number of further peers kept as sources for one requested item.
	maxAlternatives = 8
	// adoptionSettleRounds is the number of rounds without a new adoption after which differing adoption digests are
	// repaired by sending the whole table. A difference before that is most likely caused by adoptions in transit.
	adoptionSettleRounds = 3
)

// State holds the items of one daemon and decides which messages to send to which peer. It is not safe for concurrent use.
type State struct {
	self  fleet.HostID
	items map[string]Item
	// buckets holds the digest of each bucket.
	buckets [bucketCount]uint64
	peers   map[fleet.HostID]*peer
	// requests holds the outstanding requests by item name.
	requests map[string]*pendingRequest

	// round counts the digest rounds.
	round     uint64
	adoptions adoptionTable
}

// pendingRequest is a request for an item that has not arrived yet.
type pendingRequest struct {
	entry Entry
	// from is the peer that was asked last, or empty if it has disconnected.
	from fleet.HostID
	// ticks counts the ticks since the request was sent. Disconnect sets it to retryTicks, so that the request is repeated.
	ticks int
	// alternatives holds further peers that offered the same version.
	alternatives []fleet.HostID
}

// peer tracks what one connected peer has and what is to be sent to it.
type peer struct {
	// knownVersions holds the version of each item that was exchanged with the peer on this connection, in either
	// direction.
	knownVersions map[string]Version
	// dueItems holds the names of items that are to be sent to the peer. It holds names rather than versions, so that a
	// slow peer receives only the latest version of each item.
	dueItems map[string]struct{}
	// dueAdoptions holds the host runs whose adopted version is to be sent to the peer.
	dueAdoptions map[AdoptionKey]struct{}
	// digestReceived is set when the peer's root digest has arrived in the current round.
	digestReceived bool
}

// NewState returns a state without items or peers.
func NewState(self fleet.HostID) *State {
	return &State{
		self: self, items: make(map[string]Item), peers: make(map[fleet.HostID]*peer), requests: make(map[string]*pendingRequest),
		adoptions: adoptionTable{versions: make(map[AdoptionKey]uint64)},
	}
}

// Get returns the item with the given name.
func (s *State) Get(name string) (Item, bool) {
	item, found := s.items[name]
	return item, found
}

// ItemsWithPrefix returns the items whose names begin with prefix, sorted by name.
func (s *State) ItemsWithPrefix(prefix string) []Item {
	var matching []Item
	for name, item := range s.items {
		if len(name) >= len(prefix) && name[:len(prefix)] == prefix {
			matching = append(matching, item)
		}
	}
	slices.SortFunc(matching, func(a, b Item) int {
		switch {
		case a.Name < b.Name:
			return -1
		case a.Name > b.Name:
			return 1
		}
		return 0
	})
	return matching
}

// Publish stores an item if it supersedes the current one of its name, and reports whether it did.
func (s *State) Publish(item Item) bool {
	return s.applyItem(item, "")
}

// applyItem records that the sender has the item. If the item supersedes the current one, applyItem stores it and queues it
// for all other peers. An empty sender stands for this daemon.
func (s *State) applyItem(item Item, from fleet.HostID) bool {
	if sender := s.peers[from]; sender != nil {
		sender.recordVersion(item.Name, item.Version)
	}
	old, exists := s.items[item.Name]
	if exists && !item.supersedes(old) {
		return false
	}
	bucket := bucketIndex(item.Name)
	if exists {
		s.buckets[bucket] ^= itemDigest(old)
	}
	s.buckets[bucket] ^= itemDigest(item)
	s.items[item.Name] = item
	if request, found := s.requests[item.Name]; found && !item.Version.Less(request.entry.Version) {
		delete(s.requests, item.Name)
	}
	for id, other := range s.peers {
		if id == from {
			continue
		}
		if known, found := other.knownVersions[item.Name]; !found || known.Less(item.Version) {
			other.dueItems[item.Name] = struct{}{}
		}
	}
	return true
}

// recordVersion notes that the peer has at least the given version of an item.
func (p *peer) recordVersion(name string, version Version) {
	if known, found := p.knownVersions[name]; found && version.Less(known) {
		return
	}
	p.knownVersions[name] = version
}

// Connect adds a peer and returns the messages to send to it. Only the host with the lower identifier starts the exchange
// of digests, so that the exchange does not run twice.
func (s *State) Connect(id fleet.HostID) []Message {
	s.peers[id] = &peer{
		knownVersions: make(map[string]Version), dueItems: make(map[string]struct{}), dueAdoptions: make(map[AdoptionKey]struct{}),
	}
	for key := range s.adoptions.versions {
		s.peers[id].dueAdoptions[key] = struct{}{}
	}
	if s.self < id {
		return []Message{s.RootDigest()}
	}
	return nil
}

// Disconnect removes a peer. At the next tick, requests sent to it go to other peers that offered the items; requests
// without such a peer are forgotten.
func (s *State) Disconnect(id fleet.HostID) {
	delete(s.peers, id)
	for name, request := range s.requests {
		if request.from != id {
			continue
		}
		if request.from, request.ticks = "", retryTicks; len(request.alternatives) == 0 {
			delete(s.requests, name)
		}
	}
}

// RootDigest returns the digest of all items and adoptions.
func (s *State) RootDigest() RootDigest {
	var digests [8 * bucketCount]byte
	for i, bucket := range s.buckets {
		binary.LittleEndian.PutUint64(digests[8*i:], bucket)
	}
	return RootDigest{Items: xxhash.Sum64(digests[:]), Adoptions: s.adoptions.digest}
}

// AdvanceRound starts the next digest round and returns the peers that are to be sent the root digest. The two hosts of a
// connection take turns: one digest per round compares both hosts and shows that its sender is alive. Responding to each
// digest with another one instead would cost two thirds more bytes.
func (s *State) AdvanceRound() []fleet.HostID {
	s.round++
	s.adoptions.roundsUnchanged++
	var due []fleet.HostID
	for id, p := range s.peers {
		if s.self < id && s.round%2 == 0 || id < s.self && p.digestReceived {
			due = append(due, id)
		}
		p.digestReceived = false
	}
	return due
}

// RetryOverdue advances the age of all requests by one tick. It returns, by peer, the requests to repeat because the peer
// asked before has not responded, so that a slow peer delays an item by a few ticks only.
func (s *State) RetryOverdue() map[fleet.HostID]Want {
	var retries map[fleet.HostID]Want
	for name, request := range s.requests {
		if request.ticks++; request.ticks > requestExpiryTicks {
			delete(s.requests, name)
			continue
		}
		if request.ticks < retryTicks {
			continue
		}
		for len(request.alternatives) > 0 {
			next := request.alternatives[0]
			request.alternatives = request.alternatives[1:]
			if s.peers[next] != nil {
				request.from, request.ticks = next, 0
				if retries == nil {
					retries = make(map[fleet.HostID]Want)
				}
				retries[next] = Want{Names: append(retries[next].Names, name)}
				break
			}
		}
	}
	return retries
}

// Pending reports whether the next flush has work to do: adoptions to send or requests that may have to be repeated.
func (s *State) Pending() bool {
	if len(s.requests) > 0 {
		return true
	}
	for _, p := range s.peers {
		if len(p.dueAdoptions) > 0 {
			return true
		}
	}
	return false
}

// ItemsDue reports whether items are queued for a peer.
func (s *State) ItemsDue(id fleet.HostID) bool {
	p := s.peers[id]
	return p != nil && len(p.dueItems) > 0
}

// TakeItems returns the next batch of items and offers for a peer, or nil if there is none, and records them as sent. It
// skips items that the peer has received from elsewhere in the meantime.
func (s *State) TakeItems(id fleet.HostID) []Message {
	p := s.peers[id]
	if p == nil {
		return nil
	}
	var batch []Item
	var offers []Entry
	size := 0
	for name := range p.dueItems {
		delete(p.dueItems, name)
		item := s.items[name]
		if known, found := p.knownVersions[name]; found && known.Compare(item.Version) >= 0 {
			continue
		}
		p.recordVersion(name, item.Version)
		if len(item.Value) >= offerThreshold {
			offers = append(offers, item.digestEntry())
			continue
		}
		batch = append(batch, item)
		if size += len(name) + len(item.Value); size >= maxBatchBytes {
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

// bucketIndex returns the bucket of an item name.
func bucketIndex(name string) uint32 {
	return uint32(xxhash.Sum64String(name) % bucketCount)
}

// itemDigest returns a hash of an item's name, version and value. A bucket's digest is the XOR of its items' hashes, so
// that one item can be replaced without rehashing the others.
func itemDigest(item Item) uint64 {
	input := make([]byte, 0, len(item.Name)+24)
	input = binary.LittleEndian.AppendUint64(input, item.Version.Major)
	input = binary.LittleEndian.AppendUint64(input, item.Version.Minor)
	input = binary.LittleEndian.AppendUint64(input, xxhash.Sum64(item.Value))
	return xxhash.Sum64(append(input, item.Name...))
}
