package assigner

import (
	"slices"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// SetHotKeys sets the keys that should have an entry of their own. A new entry starts at the owner of its hash range and
// is then moved like any partition. An entry is removed once the owner of its hash range holds it again.
func (a *Assigner) SetHotKeys(now time.Time, keys []fleet.KeyHash) []Action {
	a.beginCall(now)
	if a.Role() == RoleActing && a.tracker.HoldingsKnown() && a.plan.rowsKnown {
		a.addHotKeys(keys)
		a.removeHotKeys(keys)
	}
	return a.takeActions()
}

// addHotKeys adds an entry for each key that has none, with partition numbers above all existing ones.
func (a *Assigner) addHotKeys(keys []fleet.KeyHash) {
	next := fleet.PartitionID(a.Partitions)
	existing := make(map[fleet.KeyHash]struct{})
	for id, entry := range a.plan.partitions {
		if entry.key != 0 {
			existing[entry.key] = struct{}{}
			next = max(next, id+1)
		}
	}
	for _, key := range keys {
		if _, found := existing[key]; found || key == 0 {
			continue // A zero hash means "no key", so that a key with this hash cannot have an entry.
		}
		a.addHotKey(next, key)
		a.plan.markChanged(next)
		next++
	}
}

// addHotKey creates the partition state of a hot-key entry. Each server that may hold the hash range may also hold the
// entry, until it has accepted the list of entries and reported its holdings.
func (a *Assigner) addHotKey(id fleet.PartitionID, key fleet.KeyHash) *partitionState {
	parent := a.plan.partitions[key.Partition(a.Partitions)]
	entry := &partitionState{key: key, owner: parent.owner, standby: parent.standby, target: parent.target}
	a.plan.partitions[id] = entry
	a.plan.markPending(id)
	a.plan.hotKeyVersion++
	a.plan.placementRequested = true
	if a.Role() == RoleActing {
		for _, server := range a.servers {
			server.holdingsUnknown = true
			a.recordPossibleHoldings(server)
		}
	}
	return entry
}

// recordPossibleHoldings records that a member may hold the entries of the hash ranges that it may hold, unless it has
// accepted the current list of entries.
func (a *Assigner) recordPossibleHoldings(server *serverState) {
	if server.acceptedHotKeyVersion == a.plan.hotKeyVersion {
		return
	}
	for id, entry := range a.plan.partitions {
		if entry.key != 0 && a.tracker.MayHold(server.member, entry.key.Partition(a.Partitions)) {
			a.tracker.RecordHold(server.member, id)
		}
	}
}

// removeHotKeys removes the entries of keys that are no longer hot if the owner of their hash range holds them, and
// moves the others to that owner.
func (a *Assigner) removeHotKeys(keys []fleet.KeyHash) {
	for _, id := range a.hotKeyPartitions() {
		entry := a.plan.partitions[id]
		entry.rejoiningRange = false
		if slices.Contains(keys, entry.key) {
			continue
		}
		parent := a.plan.partitions[entry.key.Partition(a.Partitions)]
		if !parent.held() || parent.moving || entry.grantingTo != "" {
			continue
		}
		if entry.holder != parent.holder || entry.moving {
			entry.target, entry.rejoiningRange = parent.holder.Server, true
			a.plan.markPending(id)
			continue
		}
		a.plan.unpublishedRemovals = append(a.plan.unpublishedRemovals,
			fleet.Assignment{Partition: id, Key: entry.key, Fence: a.nextFence()})
		delete(a.plan.partitions, id)
		delete(a.plan.pending, id)
		a.tracker.RecordReleased(entry.holder, id)
		a.plan.hotKeyVersion++
		a.plan.row(int(id) / PartitionsPerRow).dirty = true
	}
}

// hotKeyPartitions returns the sorted partition numbers of all hot-key entries.
func (a *Assigner) hotKeyPartitions() []fleet.PartitionID {
	var ids []fleet.PartitionID
	for id, entry := range a.plan.partitions {
		if entry.key != 0 {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// hotKeyListFor returns the list of entries, or nil if the server has accepted it. It also returns nil until the
// holdings of all servers are known: a server that holds a hash range takes each key without an entry in the list back
// into the range, and another server might still hold the entry of that key.
func (a *Assigner) hotKeyListFor(server *serverState) *fleet.HotKeyList {
	if server.acceptedHotKeyVersion == a.plan.hotKeyVersion || !a.tracker.HoldingsKnown() {
		return nil
	}
	entries := &fleet.HotKeyList{List: []fleet.HotKey{}}
	for _, id := range a.hotKeyPartitions() {
		entries.List = append(entries.List, fleet.HotKey{Key: a.plan.partitions[id].key, Partition: id})
	}
	return entries
}
