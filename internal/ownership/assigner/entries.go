package assigner

import (
	"slices"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// SetHotKeys tells which keys should have an entry of their own. An entry comes into being at the owner of its hash range
// and is moved like a partition; it is removed once the owner of the hash range holds it again.
func (a *Assigner) SetHotKeys(now time.Time, keys []fleet.KeyHash) []Action {
	a.enter(now)
	if a.Role() == RoleActing && a.ledger.HoldingsKnown() && a.plan.known {
		a.addEntries(keys)
		a.removeEntries(keys)
	}
	return a.leave()
}

func (a *Assigner) addEntries(keys []fleet.KeyHash) {
	next := fleet.PartitionID(a.Partitions)
	existing := make(map[fleet.KeyHash]struct{})
	for id, entry := range a.plan.slots {
		if entry.key != 0 {
			existing[entry.key] = struct{}{}
			next = max(next, id+1)
		}
	}
	for _, key := range keys {
		if _, found := existing[key]; found || key == 0 {
			continue // Zero stands for no key; the one key that has this hash gets no entry.
		}
		a.addEntry(next, key)
		a.plan.note(next)
		next++
	}
}

// addEntry makes the slot of an entry. Each server that may hold the hash range may hold the entry too, until it has
// accepted the list of entries and reported its holdings.
func (a *Assigner) addEntry(id fleet.PartitionID, key fleet.KeyHash) *slot {
	parent := a.plan.slots[key.Partition(a.Partitions)]
	entry := &slot{key: key, owner: parent.owner, standby: parent.standby, target: parent.target}
	a.plan.slots[id] = entry
	a.plan.pend(id)
	a.plan.entryVersion++
	a.plan.replace = true
	if a.Role() == RoleActing {
		for _, known := range a.servers {
			known.unlisted = true
			a.holdEntries(known)
		}
	}
	return entry
}

// holdEntries takes note that a member which has not accepted the present list of entries may hold the entries of the
// hash ranges that it may hold.
func (a *Assigner) holdEntries(known *server) {
	if known.entries == a.plan.entryVersion {
		return
	}
	for id, entry := range a.plan.slots {
		if entry.key != 0 && a.ledger.MayHold(known.member, entry.key.Partition(a.Partitions)) {
			a.ledger.RecordHold(known.member, id)
		}
	}
}

// removeEntries drops the entries that are no longer wanted and are held by the owner of their hash range, and moves the
// others there.
func (a *Assigner) removeEntries(keys []fleet.KeyHash) {
	for _, id := range a.entryIDs() {
		entry := a.plan.slots[id]
		entry.rejoining = false
		if slices.Contains(keys, entry.key) {
			continue
		}
		parent := a.plan.slots[entry.key.Partition(a.Partitions)]
		if !parent.held() || parent.moving || entry.granting != "" {
			continue
		}
		if entry.holder != parent.holder || entry.moving {
			entry.target, entry.rejoining = parent.holder.Server, true
			a.plan.pend(id)
			continue
		}
		a.plan.removed = append(a.plan.removed, fleet.Assignment{Partition: id, Key: entry.key, Fence: a.nextFence()})
		delete(a.plan.slots, id)
		delete(a.plan.pending, id)
		a.ledger.RecordReleased(entry.holder, id)
		a.plan.entryVersion++
		a.plan.row(int(id) / PartitionsPerRow).dirty = true
	}
}

func (a *Assigner) entryIDs() []fleet.PartitionID {
	var ids []fleet.PartitionID
	for id, entry := range a.plan.slots {
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
func (a *Assigner) entriesFor(known *server) *fleet.HotKeyList {
	if known.entries == a.plan.entryVersion || !a.ledger.HoldingsKnown() {
		return nil
	}
	entries := &fleet.HotKeyList{List: []fleet.HotKey{}}
	for _, id := range a.entryIDs() {
		entries.List = append(entries.List, fleet.HotKey{Key: a.plan.slots[id].key, Partition: id})
	}
	return entries
}
