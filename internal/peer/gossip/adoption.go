package gossip

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// AdoptionKey identifies one run of a host in reports of adopted versions. A restarted host has adopted nothing, so
// that its reports must not be taken for those of its earlier run.
type AdoptionKey uint32

// NewAdoptionKey returns the key of one run of a host. Of 2,200 hosts, two have the same key with a probability of
// 0.06%; the report of one then counts for both.
func NewAdoptionKey(host fleet.HostID, incarnation uint64) AdoptionKey {
	text := binary.LittleEndian.AppendUint64([]byte(host), incarnation)
	return AdoptionKey(xxhash.Sum64(text))
}

// adoption says which host has adopted which configuration version. It is kept apart from the items, as a change of
// the configuration is followed by one report of each daemon: these take 4 bytes each here, and would take about 40
// as items.
type adoption struct {
	// hosts holds the highest version reported for each run of a host.
	hosts  map[AdoptionKey]uint64
	digest uint32
	// quiet counts the rounds since the last change.
	quiet int
}

// Adopt notes that a host has adopted a version and makes the report due for all peers.
func (s *State) RecordAdoption(key AdoptionKey, version uint64) bool {
	return s.adoptVersion(key, version, "")
}

// Adopted returns the highest version that a host is reported to have adopted; zero means none.
func (s *State) AdoptedVersion(key AdoptionKey) uint64 {
	return s.adopted.hosts[key]
}

// RetainAdoptions forgets the reports of all but the given runs of hosts.
func (s *State) RetainAdoptions(keys map[AdoptionKey]bool) {
	for key, version := range s.adopted.hosts {
		if keys[key] {
			continue
		}
		s.adopted.digest ^= adoptionDigest(key, version)
		delete(s.adopted.hosts, key)
		for _, p := range s.peers {
			delete(p.adoptions, key)
		}
	}
}

// AdoptionsDue reports whether adoptions are due for a peer.
func (s *State) AdoptionsDue(id fleet.HostID) bool {
	p := s.peers[id]
	return p != nil && len(p.adoptions) > 0
}

// TakeAdoptions returns the adoptions that are due for a peer, and notes that it has them.
func (s *State) TakeAdoptions(id fleet.HostID) (Adoptions, bool) {
	p := s.peers[id]
	if p == nil || len(p.adoptions) == 0 {
		return Adoptions{}, false
	}
	message := Adoptions{Hosts: make(map[uint64][]AdoptionKey)}
	for host := range p.adoptions {
		version := s.adopted.hosts[host]
		message.Hosts[version] = append(message.Hosts[version], host)
	}
	clear(p.adoptions)
	return message, true
}

func (s *State) allAdoptions() Adoptions {
	message := Adoptions{Hosts: make(map[uint64][]AdoptionKey)}
	for host, version := range s.adopted.hosts {
		message.Hosts[version] = append(message.Hosts[version], host)
	}
	return message
}

func (s *State) receiveAdoptions(from fleet.HostID, message Adoptions) {
	for version, hosts := range message.Hosts {
		for _, host := range hosts {
			s.adoptVersion(host, version, from)
		}
	}
}

func (s *State) adoptVersion(key AdoptionKey, version uint64, from fleet.HostID) bool {
	old := s.adopted.hosts[key]
	if sender := s.peers[from]; sender != nil && version >= old {
		delete(sender.adoptions, key)
	}
	if version <= old {
		return false
	}
	s.adopted.digest ^= adoptionDigest(key, old) ^ adoptionDigest(key, version)
	s.adopted.hosts[key] = version
	s.adopted.quiet = 0
	for id, other := range s.peers {
		if id != from {
			other.adoptions[key] = struct{}{}
		}
	}
	return true
}

func adoptionDigest(key AdoptionKey, version uint64) uint32 {
	if version == 0 {
		return 0
	}
	var text [12]byte
	binary.LittleEndian.PutUint32(text[:], uint32(key))
	binary.LittleEndian.PutUint64(text[4:], version)
	return uint32(xxhash.Sum64(text[:]))
}
