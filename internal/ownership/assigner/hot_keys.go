package assigner

import (
	"slices"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// SetHotKeys tells which keys should have an entry of their own. An entry comes into being at the owner of its hash range
// and is moved like a partition; it is removed once the owner of the hash range holds it again.
func (a *Assigner) SetHotKeys(now time.Time, keys []fleet.KeyHash) []Action {
	a.beginCall(now)
	if a.Role() == RoleActing && a.ledger.Complete() && a.plan.rowsKnown {
		a.addHotKeys(keys)
		a.removeHotKeys(keys)
	}
	return a.takeActions()
}

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
			continue // Zero stands for no key; the one key that has this hash gets no entry.
		}
		a.addHotKey(next, key)
		a.plan.markChanged(next)
		next++
	}
}

// addEntry makes the slot of an entry. Each server that may hold the hash range may hold the entry too, until it has
// accepted the list of entries and reported its holdings.
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

// holdEntries takes note that a member which has not accepted the present list of entries may hold the entries of the
// hash ranges that it may hold.
func (a *Assigner) recordPossibleHoldings(server *serverState) {
	if server.hotKeyVersion == a.plan.hotKeyVersion {
		return
	}
	for id, entry := range a.plan.partitions {
		if entry.key != 0 && a.ledger.MayHold(server.member, entry.key.Partition(a.Partitions)) {
			a.ledger.Hold(server.member, id)
		}
	}
}

// removeEntries drops the entries that are no longer wanted and are held by the owner of their hash range, and moves the
// others there.
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
		a.plan.unpublishedRemovals = append(a.plan.unpublishedRemovals, fleet.Assignment{Partition: id, Key: entry.key, Fence: a.nextFence()})
		delete(a.plan.partitions, id)
		delete(a.plan.pending, id)
		a.ledger.Released(entry.holder, id)
		a.plan.hotKeyVersion++
		a.plan.row(int(id) / PartitionsPerRow).dirty = true
	}
}

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

// entriesFor returns the list of entries if the server has not accepted it yet. It is sent only once nothing unknown is
// held: a server that holds a hash range and does not find a key in the list takes the key back into the range, while
// another might still hold its entry.
func (a *Assigner) hotKeyListFor(server *serverState) *fleet.Entries {
	if server.hotKeyVersion == a.plan.hotKeyVersion || !a.ledger.Complete() {
		return nil
	}
	entries := &fleet.Entries{List: []fleet.Entry{}}
	for _, id := range a.hotKeyPartitions() {
		entries.List = append(entries.List, fleet.Entry{Key: a.plan.partitions[id].key, Partition: id})
	}
	return entries
}
