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

// Publish adds an item and passes it on, if its version is above the one held. It reports whether that is so.
func (r *Runner) Publish(item Item) (bool, error) {
	switch {
	case strings.HasPrefix(item.Name, memberPrefix):
		return false, errors.Wrap(ErrReservedName, item.Name)
	case item.Name == "" || len(item.Name) > wire.MaxNameLength:
		return false, errors.Newf("spread: name of %d bytes, expected 1 to %d", len(item.Name), wire.MaxNameLength)
	case len(item.Value) > MaxValueSize:
		return false, errors.Wrapf(ErrValueTooLarge, "%s has %d bytes", item.Name, len(item.Value))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open()
	if !r.state.Publish(item) {
		return false, nil
	}
	r.changed(item)
	return true, nil
}

// Get returns the present version of an item.
func (r *Runner) Get(name string) (Item, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open()
	return r.state.Get(name)
}

// Adopt reports that this daemon has put a configuration version into force.
func (r *Runner) AnnounceAdopted(version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open()
	r.adopted = max(r.adopted, version)
	r.state.RecordAdoption(r.key(r.View.Self.ID), r.adopted)
	r.notePending()
}

// Adopted returns the highest configuration version that a member is known to have adopted; zero means none.
func (r *Runner) AdoptedVersion(id fleet.HostID) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open()
	return r.state.AdoptedVersion(r.key(id))
}

// InForce returns how many of the members have adopted the version or a higher one, and how many members there are.
func (r *Runner) CountAdopted(version uint64) (at, total int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open()
	members := r.View.Members()
	for _, member := range members {
		if r.state.AdoptedVersion(r.key(member.ID)) >= version {
			at++
		}
	}
	return at, len(members)
}

// Members returns the members of the fleet in the order of their identifiers, this daemon included.
func (r *Runner) Members() []fleet.Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.View.Members()
}

// Observed returns the members of which a record is known, in the order of their identifiers. The others are only named
// by the host list and may not run.
func (r *Runner) ObservedMembers() []fleet.Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	members := r.View.Members()
	return slices.DeleteFunc(members, func(one fleet.Host) bool { return r.View.MemberIncarnation(one.ID) == 0 })
}

// Rank returns the first count members in the order of their rank for a role.
func (r *Runner) TopRanked(role string, count int) []fleet.Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.View.TopRanked(role, count)
}

// Sent counts the messages of one kind and their bytes before the mesh adds its own.
type MessageStats struct {
	Messages, Bytes uint64
}

// Sent returns what has been sent of each kind of message.
func (r *Runner) SentByKind() map[Kind]MessageStats {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.sent)
}

// Leave announces the end of this daemon. The caller keeps the mesh running until its peers have had time to read it.
func (r *Runner) Leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open()
	r.act(r.View.Leave())
}

// Watcher delivers the items whose names begin with a prefix. A slow reader gets only the latest version of each.
type Watcher struct {
	prefix string
	runner *Runner
	signal chan struct{}
	// pending and order are guarded by the runner's mu; order holds the names in pending in the order of arrival.
	pending map[string]Item
	order   []string
}

// Watch subscribes to the items whose names begin with prefix, those present included.
func (r *Runner) Watch(prefix string) *Watcher {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open()
	w := &Watcher{prefix: prefix, runner: r, signal: make(chan struct{}, 1), pending: make(map[string]Item)}
	r.watchers[w] = struct{}{}
	for _, item := range r.state.ItemsWithPrefix(prefix) {
		w.offer(item)
	}
	return w
}

// Next waits for the next new version of an item. The versions of one name only rise.
func (w *Watcher) Next(ctx context.Context) (Item, error) {
	for {
		if item, found := w.take(); found {
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

func (w *Watcher) take() (Item, bool) {
	w.runner.mu.Lock()
	defer w.runner.mu.Unlock()
	if len(w.order) == 0 {
		return Item{}, false
	}
	item := w.pending[w.order[0]]
	delete(w.pending, item.Name)
	w.order = w.order[1:]
	return item, true
}

// offer replaces an older version that has not been read. The caller holds the runner's mu.
func (w *Watcher) offer(item Item) {
	if !strings.HasPrefix(item.Name, w.prefix) {
		return
	}
	if _, found := w.pending[item.Name]; !found {
		w.order = append(w.order, item.Name)
	}
	w.pending[item.Name] = item
	select {
	case w.signal <- struct{}{}:
	default:
	}
}
