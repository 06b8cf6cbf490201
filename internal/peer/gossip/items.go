package gossip

import (
	"context"
	"maps"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/peer/wire"
)

// Publish stores an item and disseminates it if it supersedes the current one of its name, and reports whether it did.
func (r *Runner) Publish(item Item) (bool, error) {
	switch {
	case strings.HasPrefix(item.Name, memberPrefix):
		return false, errors.Wrap(ErrReservedName, item.Name)
	case item.Name == "" || len(item.Name) > wire.MaxNameLength:
		return false, errors.Newf("gossip: name of %d bytes, expected 1 to %d", len(item.Name), wire.MaxNameLength)
	case len(item.Value) > MaxValueSize:
		return false, errors.Wrapf(ErrValueTooLarge, "%s has %d bytes", item.Name, len(item.Value))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.initLocked()
	if !r.state.Publish(item) {
		return false, nil
	}
	r.itemChangedLocked(item)
	return true, nil
}

// Get returns the current version of an item.
func (r *Runner) Get(name string) (Item, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.initLocked()
	return r.state.Get(name)
}

// AnnounceAdopted announces to the fleet that this daemon has put a configuration version into force.
func (r *Runner) AnnounceAdopted(version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.initLocked()
	r.adoptedVersion = max(r.adoptedVersion, version)
	r.state.RecordAdoption(r.adoptionKeyLocked(r.View.Self.ID), r.adoptedVersion)
	r.scheduleFlushLocked()
}

// AdoptedVersion returns the highest configuration version that a member is known to have adopted, or zero.
func (r *Runner) AdoptedVersion(id fleet.HostID) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.initLocked()
	return r.state.AdoptedVersion(r.adoptionKeyLocked(id))
}

// CountAdopted returns how many members have adopted the given configuration version or a higher one, and how many members
// there are.
func (r *Runner) CountAdopted(version uint64) (adopted, total int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.initLocked()
	members := r.View.Members()
	for _, member := range members {
		if r.state.AdoptedVersion(r.adoptionKeyLocked(member.ID)) >= version {
			adopted++
		}
	}
	return adopted, len(members)
}

// Members returns the members of the fleet, including this daemon, sorted by identifier.
func (r *Runner) Members() []fleet.Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.View.Members()
}

// ObservedMembers returns the members of which a member record is known, sorted by identifier. Other members appear only in
// the platform's host list and may not be running.
func (r *Runner) ObservedMembers() []fleet.Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	members := r.View.Members()
	return slices.DeleteFunc(members, func(member fleet.Host) bool { return r.View.MemberIncarnation(member.ID) == 0 })
}

// TopRanked returns the count members that rank highest for a role, in the order of their rank.
func (r *Runner) TopRanked(role string, count int) []fleet.Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.View.TopRanked(role, count)
}

// MessageStats counts the messages of one kind that were sent, and the bytes of their payloads.
type MessageStats struct {
	Messages, Bytes uint64
}

// SentByKind returns the statistics of the messages sent, by kind.
func (r *Runner) SentByKind() map[Kind]MessageStats {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.sent)
}

// Leave announces that this daemon leaves the fleet. The caller keeps the mesh running until the peers have had time to
// receive the announcement.
func (r *Runner) Leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.initLocked()
	r.handleActionsLocked(r.View.Leave())
}

// Watcher delivers the items whose names begin with a prefix. A slow reader receives only the latest version of each item.
type Watcher struct {
	prefix string
	runner *Runner
	signal chan struct{}
	// pending and arrivalOrder are guarded by the runner's mu. arrivalOrder holds the names in pending in the order of
	// arrival.
	pending      map[string]Item
	arrivalOrder []string
}

// Watch subscribes to the items whose names begin with prefix, including those that exist already.
func (r *Runner) Watch(prefix string) *Watcher {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.initLocked()
	w := &Watcher{prefix: prefix, runner: r, signal: make(chan struct{}, 1), pending: make(map[string]Item)}
	r.watchers[w] = struct{}{}
	for _, item := range r.state.ItemsWithPrefix(prefix) {
		w.push(item)
	}
	return w
}

// Next waits for the next new version of an item. The versions of one item never decrease.
func (w *Watcher) Next(ctx context.Context) (Item, error) {
	for {
		if item, found := w.pop(); found {
			return item, nil
		}
		select {
		case <-w.signal:
		case <-ctx.Done():
			return Item{}, context.Cause(ctx)
		}
	}
}

// Stop ends the subscription.
func (w *Watcher) Stop() {
	w.runner.mu.Lock()
	defer w.runner.mu.Unlock()
	delete(w.runner.watchers, w)
}

// pop removes and returns the item that has waited longest.
func (w *Watcher) pop() (Item, bool) {
	w.runner.mu.Lock()
	defer w.runner.mu.Unlock()
	if len(w.arrivalOrder) == 0 {
		return Item{}, false
	}
	item := w.pending[w.arrivalOrder[0]]
	delete(w.pending, item.Name)
	w.arrivalOrder = w.arrivalOrder[1:]
	return item, true
}

// push queues an item if its name matches, replacing an older version that has not been read. The caller holds the runner's
// mu.
func (w *Watcher) push(item Item) {
	if !strings.HasPrefix(item.Name, w.prefix) {
		return
	}
	if _, found := w.pending[item.Name]; !found {
		w.arrivalOrder = append(w.arrivalOrder, item.Name)
	}
	w.pending[item.Name] = item
	select {
	case w.signal <- struct{}{}:
	default:
	}
}
