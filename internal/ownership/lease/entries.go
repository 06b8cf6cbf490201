package lease

import (
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// applyEntries replaces the list of hot-key entries. A nil list leaves it as it is. A new entry of a key whose hash
// range is held becomes a holding of its own, together with the requests of that key in flight; an entry that was taken
// back while its hash range is held rejoins it. An entry that is taken back elsewhere is dropped, since the assigner
// removes an entry only after the owner of the hash range holds it.
func (g *Guard) applyEntries(entries *fleet.HotKeyList) {
	if entries == nil {
		return
	}
	next := make(map[fleet.KeyHash]fleet.PartitionID, len(entries.List))
	for _, entry := range entries.List {
		next[entry.Key] = entry.Partition
	}
	for key, partition := range g.entries {
		if next[key] != partition {
			g.rejoin(key, partition)
		}
	}
	for key, partition := range next {
		if _, known := g.entries[key]; !known {
			g.separate(key, partition)
		}
	}
	g.entries = next
}

// separate makes a new entry a holding of its own if the hash range of its key is held.
func (g *Guard) separate(key fleet.KeyHash, partition fleet.PartitionID) {
	parent := g.holdings[key.Partition(g.Partitions)]
	if parent == nil || g.holdings[partition] != nil {
		return
	}
	entry := &holding{fence: parent.fence, key: key} // A revocation of the hash range does not extend to the entry.
	g.holdings[partition] = entry
	g.rehome(key, parent, partition, entry)
}

// rejoin drops an entry and hands its requests in flight to the hash range if that is held.
func (g *Guard) rejoin(key fleet.KeyHash, partition fleet.PartitionID) {
	entry := g.holdings[partition]
	if entry == nil {
		return
	}
	delete(g.holdings, partition)
	parent := key.Partition(g.Partitions)
	if held := g.holdings[parent]; held != nil {
		g.rehome(key, entry, parent, held)
	}
}

// rehome lets the requests of key in flight count towards another holding.
func (g *Guard) rehome(key fleet.KeyHash, from *holding, partition fleet.PartitionID, to *holding) {
	for number, active := range g.active {
		if active.key == key && active.holding == from {
			from.inFlight--
			to.inFlight++
			g.active[number] = request{key: key, partition: partition, holding: to}
		}
	}
}

// Holds reports whether requests of a partition are admitted at the server's clock reading now.
func (g *Guard) Admits(now time.Duration, partition fleet.PartitionID) bool {
	g.expire(now)
	held := g.holdings[partition]
	return held != nil && !held.revoked
}
