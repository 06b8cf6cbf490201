package gossip

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// AdoptionKey identifies one run of a host, from one start to the next, as the owner of an adopted version. A restarted host
// has not adopted any version yet, so it must not be credited with that of its previous run.
type AdoptionKey uint32

// NewAdoptionKey returns the key of one run of a host. Among 2,200 hosts two keys collide with a probability of 0.06%; the
// adoption of one host then counts for both.
func NewAdoptionKey(host fleet.HostID, incarnation uint64) AdoptionKey {
	input := binary.LittleEndian.AppendUint64([]byte(host), incarnation)
	return AdoptionKey(xxhash.Sum64(input))
}

// adoptionTable holds the configuration version that each host has put into force. It is separate from the items because
// every daemon reports each change of the configuration: a report takes 4 bytes on the wire here, but would take about 40
// as an item.
type adoptionTable struct {
	// versions holds the highest version reported for each run of a host.
	versions map[AdoptionKey]uint64
	// digest is the XOR of the hashes of all entries.
	digest uint32
	// roundsUnchanged counts the digest rounds since the last change.
	roundsUnchanged int
}

// RecordAdoption records that a run of a host has adopted a version, and queues that for all peers. It reports whether the
// version is above the one recorded before.
func (s *State) RecordAdoption(key AdoptionKey, version uint64) bool {
	return s.recordAdoptionFrom(key, version, "")
}

// AdoptedVersion returns the highest version that a run of a host has adopted, or zero if none is recorded.
func (s *State) AdoptedVersion(key AdoptionKey) uint64 {
	return s.adoptions.versions[key]
}

// RetainAdoptions forgets the adoptions of all host runs except the given ones.
func (s *State) RetainAdoptions(keys map[AdoptionKey]bool) {
	for key, version := range s.adoptions.versions {
		if keys[key] {
			continue
		}
		s.adoptions.digest ^= adoptionDigest(key, version)
		delete(s.adoptions.versions, key)
		for _, p := range s.peers {
			delete(p.dueAdoptions, key)
		}
	}
}

// AdoptionsDue reports whether adoptions are queued for a peer.
func (s *State) AdoptionsDue(id fleet.HostID) bool {
	p := s.peers[id]
	return p != nil && len(p.dueAdoptions) > 0
}

// TakeAdoptions removes and returns the adoptions queued for a peer. It returns false if there are none.
func (s *State) TakeAdoptions(id fleet.HostID) (Adoptions, bool) {
	p := s.peers[id]
	if p == nil || len(p.dueAdoptions) == 0 {
		return Adoptions{}, false
	}
	message := Adoptions{Hosts: make(map[uint64][]AdoptionKey)}
	for key := range p.dueAdoptions {
		version := s.adoptions.versions[key]
		message.Hosts[version] = append(message.Hosts[version], key)
	}
	clear(p.dueAdoptions)
	return message, true
}

// allAdoptionsMessage returns a message with the whole table.
func (s *State) allAdoptionsMessage() Adoptions {
	message := Adoptions{Hosts: make(map[uint64][]AdoptionKey)}
	for key, version := range s.adoptions.versions {
		message.Hosts[version] = append(message.Hosts[version], key)
	}
	return message
}

func (s *State) receiveAdoptions(from fleet.HostID, message Adoptions) {
	for version, keys := range message.Hosts {
		for _, key := range keys {
			s.recordAdoptionFrom(key, version, from)
		}
	}
}

// recordAdoptionFrom is RecordAdoption for a report received from a peer. An empty sender stands for this daemon.
func (s *State) recordAdoptionFrom(key AdoptionKey, version uint64, from fleet.HostID) bool {
	old := s.adoptions.versions[key]
	if sender := s.peers[from]; sender != nil && version >= old {
		delete(sender.dueAdoptions, key)
	}
	if version <= old {
		return false
	}
	s.adoptions.digest ^= adoptionDigest(key, old) ^ adoptionDigest(key, version)
	s.adoptions.versions[key] = version
	s.adoptions.roundsUnchanged = 0
	for id, other := range s.peers {
		if id != from {
			other.dueAdoptions[key] = struct{}{}
		}
	}
	return true
}

// adoptionDigest returns the hash of one entry of the table, and zero for an absent one.
func adoptionDigest(key AdoptionKey, version uint64) uint32 {
	if version == 0 {
		return 0
	}
	var input [12]byte
	binary.LittleEndian.PutUint32(input[:], uint32(key))
	binary.LittleEndian.PutUint64(input[4:], version)
	return uint32(xxhash.Sum64(input[:]))
}
