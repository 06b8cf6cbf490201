// Package placement measures the placement decisions: how many partitions move when servers come and go, and how evenly
// the load is spread while the hot keys change. It compares them with hash-modulo and with plain consistent hashing.
package placement

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	decision "rosemarywick.example/rosemarywick/internal/ownership/placement"
)

// Scheme is a way to place partitions on servers.
type Scheme string

const (
	// SchemeDecision is the product's minimum-movement placement.
	SchemeMinimumMovement Scheme = "rosemarywick"
	// SchemeModulo takes the server at the partition's number modulo the number of servers.
	SchemeModulo Scheme = "hash-modulo"
	// SchemeRing is consistent hashing with a fixed number of points for each server.
	SchemeConsistentHash Scheme = "consistent"
)

// Schemes lists all schemes, the product's first.
var Schemes = []Scheme{SchemeMinimumMovement, SchemeModulo, SchemeConsistentHash}

// ringPoints is the usual number of points of a server on a consistent hashing ring.
const pointsPerServer = 100

// place returns the placement by a scheme; the baselines ignore the current one.
func (s Scheme) place(partitions int, current []decision.Assignment, live []decision.Server) []decision.Assignment {
	switch s {
	case SchemeModulo:
		return placeModulo(partitions, live)
	case SchemeConsistentHash:
		return placeRing(partitions, live)
	default:
		return decision.Policy{}.Place(decision.Input{Partitions: partitions, Current: current, Servers: live})
	}
}

func placeModulo(partitions int, live []decision.Server) []decision.Assignment {
	out := make([]decision.Assignment, partitions)
	for i := range out {
		out[i] = decision.Assignment{Partition: fleet.PartitionID(i), Owner: live[i%len(live)].ID}
	}
	return out
}

type ringPoint struct {
	hash  fleet.KeyHash
	owner fleet.UpstreamID
}

func placeRing(partitions int, live []decision.Server) []decision.Assignment {
	ring := make([]ringPoint, 0, len(live)*pointsPerServer)
	for _, s := range live {
		for i := range pointsPerServer {
			ring = append(ring, ringPoint{fleet.HashKey(fmt.Sprintf("%s-%d", s.ID, i)), s.ID})
		}
	}
	slices.SortFunc(ring, func(x, y ringPoint) int { return cmp.Compare(x.hash, y.hash) })
	out := make([]decision.Assignment, partitions)
	for i := range out {
		at, _ := slices.BinarySearchFunc(ring, hashNumber(uint64(i)), func(p ringPoint, h fleet.KeyHash) int {
			return cmp.Compare(p.hash, h)
		})
		out[i] = decision.Assignment{Partition: fleet.PartitionID(i), Owner: ring[at%len(ring)].owner}
	}
	return out
}

func hashNumber(n uint64) fleet.KeyHash {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], n)
	return fleet.KeyHash(xxhash.Sum64(b[:]))
}

// servers returns n servers spread over the failure domains, whose names begin with a prefix.
func servers(prefix string, n, domains int) []decision.Server {
	list := make([]decision.Server, n)
	for i := range list {
		list[i] = decision.Server{
			ID:     fleet.UpstreamID(fmt.Sprintf("%s%02d", prefix, i)),
			Domain: fleet.FailureDomain(fmt.Sprintf("domain-%d", i%domains)),
		}
	}
	return list
}
