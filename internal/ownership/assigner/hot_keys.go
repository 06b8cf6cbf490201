package assigner

import (
	"slices"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// SetHotKeys sets the keys that should have a partition of their own. A new one starts at the owner of the key's hash
// range and is then moved like any partition. It is removed once the owner of the hash range holds it again.
func (a *Assigner) SetHotKeys(now time.Time, keys []fleet.KeyHash) []Action {
	a.beginCall(now)
	if a.Role() == RoleActing && a.tracker.HoldingsKnown() && a.plan.rowsKnown {
		a.addHotKeys(keys)
		a.removeHotKeys(keys)
	}
	return a.takeActions()
}

// addHotKeys adds a partition for each key that has none, with numbers above all existing ones.
func (a *Assigner) addHotKeys(keys []fleet.KeyHash) {
	next := fleet.PartitionID(a.Partitions)
	existing := make(map[fleet.KeyHash]struct{})
	for id, partition := range a.plan.partitions {
		if partition.key != 0 {
			existing[partition.key] = struct{}{}
			next = max(next, id+1)
		}
	}
	for _, key := range keys {
		if _, found := existing[key]; found || key == 0 {
			continue // A zero hash means "no key", so that a key with this hash cannot have a partition.
		}
		a.addHotKey(next, key)
		a.plan.markChanged(next)
		next++
	}
}

// addHotKey creates the state of a hot key's partition. Each server that may hold the hash range may also hold the new
// partition, until it has accepted the list of hot keys and reported its holdings.
func (a *Assigner) addHotKey(id fleet.PartitionID, key fleet.KeyHash) *partitionState {
	parent := a.plan.partitions[key.Partition(a.Partitions)]
	partition := &partitionState{key: key, owner: parent.owner, standby: parent.standby, target: parent.target}
	a.plan.partitions[id] = partition
	a.plan.markPending(id)
	a.plan.hotKeyVersion++
	a.plan.placementRequested = true
	if a.Role() == RoleActing {
		for _, server := range a.servers {
			server.holdingsUnknown = true
			a.recordPossibleHoldings(server)
		}
	}
	return partition
}

// recordPossibleHoldings records that a member may hold the hot keys of the hash ranges that it may hold, unless it has
// accepted the current list of hot keys.
func (a *Assigner) recordPossibleHoldings(server *serverState) {
	if server.acceptedHotKeyVersion == a.plan.hotKeyVersion {
		return
	}
	for id, partition := range a.plan.partitions {
		if partition.key != 0 && a.tracker.MayHold(server.member, partition.key.Partition(a.Partitions)) {
			a.tracker.RecordHold(server.member, id)
		}
	}
}

// removeHotKeys removes the partitions of keys that are no longer hot if the owner of their hash range holds them, and
// moves the others to that owner.
func (a *Assigner) removeHotKeys(keys []fleet.KeyHash) {
	for _, id := range a.hotKeyPartitions() {
		partition := a.plan.partitions[id]
		partition.rejoiningRange = false
		if slices.Contains(keys, partition.key) {
			continue
		}
		parent := a.plan.partitions[partition.key.Partition(a.Partitions)]
		if !parent.held() || parent.moving || partition.grantingTo != "" {
			continue
		}
		if partition.holder != parent.holder || partition.moving {
			partition.target, partition.rejoiningRange = parent.holder.Server, true
			a.plan.markPending(id)
			continue
		}
		a.plan.unpublishedRemovals = append(a.plan.unpublishedRemovals,
			fleet.Assignment{Partition: id, Key: partition.key, Fence: a.nextFence()})
		delete(a.plan.partitions, id)
		delete(a.plan.pending, id)
		a.tracker.RecordReleased(partition.holder, id)
		a.plan.hotKeyVersion++
		a.plan.row(int(id) / PartitionsPerRow).dirty = true
	}
}

// hotKeyPartitions returns the sorted numbers of all partitions of hot keys.
func (a *Assigner) hotKeyPartitions() []fleet.PartitionID {
	var ids []fleet.PartitionID
	for id, partition := range a.plan.partitions {
		if partition.key != 0 {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// hotKeyListFor returns the list of hot keys, or nil if the server has accepted it. It also returns nil until the
// holdings of all servers are known: a server that holds a hash range takes each key that is not in the list back into
// the range, and another server might still hold the partition of that key.
func (a *Assigner) hotKeyListFor(server *serverState) *fleet.HotKeyList {
	if server.acceptedHotKeyVersion == a.plan.hotKeyVersion || !a.tracker.HoldingsKnown() {
		return nil
	}
	hotKeys := &fleet.HotKeyList{List: []fleet.HotKey{}}
	for _, id := range a.hotKeyPartitions() {
		hotKeys.List = append(hotKeys.List, fleet.HotKey{Key: a.plan.partitions[id].key, Partition: id})
	}
	return hotKeys
}
