// Package placement measures the placement of partitions on servers: how many partitions move when servers join or leave, and how
// evenly the load is distributed while the hot keys change. It compares the product's placement with hash-modulo placement and
// with plain consistent hashing.
package placement

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	placer "rosemarywick.example/rosemarywick/internal/ownership/placement"
)

// Scheme is an algorithm that places partitions on servers.
type Scheme string

const (
	// SchemeMinimumMovement is the placement of the product, which moves as few partitions as possible.
	SchemeMinimumMovement Scheme = "rosemarywick"
	// SchemeModulo chooses the server by the partition's number modulo the number of servers.
	SchemeModulo Scheme = "hash-modulo"
	// SchemeConsistentHash is consistent hashing with a fixed number of points on the ring for each server.
	SchemeConsistentHash Scheme = "consistent"
)

// Schemes lists all schemes. The first is that of the product; the others are baselines.
var Schemes = []Scheme{SchemeMinimumMovement, SchemeModulo, SchemeConsistentHash}

// pointsPerServer is the usual number of points of a server on a consistent hashing ring.
const pointsPerServer = 100

// place returns the assignment of each partition by the scheme. The baselines ignore the current assignments.
func (s Scheme) place(partitions int, current []placer.Assignment, servers []placer.Server) []placer.Assignment {
	switch s {
	case SchemeModulo:
		return placeModulo(partitions, servers)
	case SchemeConsistentHash:
		return placeRing(partitions, servers)
	default:
		return placer.Policy{}.Place(placer.Input{Partitions: partitions, Current: current, Servers: servers})
	}
}

func placeModulo(partitions int, servers []placer.Server) []placer.Assignment {
	out := make([]placer.Assignment, partitions)
	for i := range out {
		out[i] = placer.Assignment{Partition: fleet.PartitionID(i), Owner: servers[i%len(servers)].ID}
	}
	return out
}

// ringPoint is a point of a server on the consistent hashing ring.
type ringPoint struct {
	hash  fleet.KeyHash
	owner fleet.UpstreamID
}

func placeRing(partitions int, servers []placer.Server) []placer.Assignment {
	ring := make([]ringPoint, 0, len(servers)*pointsPerServer)
	for _, s := range servers {
		for i := range pointsPerServer {
			ring = append(ring, ringPoint{fleet.HashKey(fmt.Sprintf("%s-%d", s.ID, i)), s.ID})
		}
	}
	slices.SortFunc(ring, func(x, y ringPoint) int { return cmp.Compare(x.hash, y.hash) })
	out := make([]placer.Assignment, partitions)
	for i := range out {
		position, _ := slices.BinarySearchFunc(ring, hashNumber(uint64(i)), func(p ringPoint, h fleet.KeyHash) int {
			return cmp.Compare(p.hash, h)
		})
		out[i] = placer.Assignment{Partition: fleet.PartitionID(i), Owner: ring[position%len(ring)].owner}
	}
	return out
}

// hashNumber returns the key hash of a number.
func hashNumber(n uint64) fleet.KeyHash {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], n)
	return fleet.KeyHash(xxhash.Sum64(b[:]))
}

// makeServers returns n servers, whose names begin with prefix, distributed evenly over the failure domains.
func makeServers(prefix string, n, domains int) []placer.Server {
	servers := make([]placer.Server, n)
	for i := range servers {
		servers[i] = placer.Server{
			ID:     fleet.UpstreamID(fmt.Sprintf("%s%02d", prefix, i)),
			Domain: fleet.FailureDomain(fmt.Sprintf("domain-%d", i%domains)),
		}
	}
	return servers
}
