package lease

import (
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// applyHotKeys replaces the set of hot keys that have a partition of their own. A nil list leaves the set unchanged.
//
// If the server holds the hash range of a new hot key, it holds the key's partition too, and the requests of the key in flight
// count toward that partition. If it holds the hash range of a key that is removed, the key returns to the hash range. If it
// does not, the key's partition is dropped: the assigner removes a hot key only after the owner of the hash range also holds the
// key's partition.
func (g *Guard) applyHotKeys(update *fleet.HotKeyList) {
	if update == nil {
		return
	}
	next := make(map[fleet.KeyHash]fleet.PartitionID, len(update.List))
	for _, hotKey := range update.List {
		next[hotKey.Key] = hotKey.Partition
	}
	for key, partition := range g.hotKeys {
		if next[key] != partition {
			g.mergeIntoHashRange(key, partition)
		}
	}
	for key, partition := range next {
		if _, known := g.hotKeys[key]; !known {
			g.splitFromHashRange(key, partition)
		}
	}
	g.hotKeys = next
}

// splitFromHashRange makes the server hold the partition of a new hot key if it holds the key's hash range.
func (g *Guard) splitFromHashRange(key fleet.KeyHash, partition fleet.PartitionID) {
	hashRange := g.holdings[key.Partition(g.Partitions)]
	if hashRange == nil || g.holdings[partition] != nil {
		return
	}
	split := &holding{fence: hashRange.fence, key: key} // not revoked, even if the hash range is
	g.holdings[partition] = split
	g.transferInFlight(key, hashRange, partition, split)
}

// mergeIntoHashRange drops the partition of a hot key and transfers its requests in flight to the hash range if that is held.
func (g *Guard) mergeIntoHashRange(key fleet.KeyHash, partition fleet.PartitionID) {
	dropped := g.holdings[partition]
	if dropped == nil {
		return
	}
	delete(g.holdings, partition)
	hashRange := key.Partition(g.Partitions)
	if held := g.holdings[hashRange]; held != nil {
		g.transferInFlight(key, dropped, hashRange, held)
	}
}

// transferInFlight makes the requests of a key in flight count toward another holding.
func (g *Guard) transferInFlight(key fleet.KeyHash, from *holding, partition fleet.PartitionID, to *holding) {
	for number, active := range g.active {
		if active.key == key && active.holding == from {
			from.inFlight--
			to.inFlight++
			g.active[number] = request{key: key, partition: partition, holding: to}
		}
	}
}

// Admits reports whether the server, whose clock shows now, admits requests of a partition.
func (g *Guard) Admits(now time.Duration, partition fleet.PartitionID) bool {
	g.dropIfExpired(now)
	held := g.holdings[partition]
	return held != nil && !held.revoked
}
