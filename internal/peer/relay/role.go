package relay

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"rosemarywick.example/rosemarywick/internal/platform/table"
)

// avoidance is the time until which a relay is not chosen. cutOff is set if the relay responded as one that does not reach the
// store.
type avoidance struct {
	until  time.Time
	cutOff bool
}

// role is what a daemon does next: one of relaying, following and detached.
type role interface{ role() }

// relaying means that this daemon is the relay of its failure domain.
type relaying struct{}

// following means that this daemon follows the first of some relays that delivers.
type following struct{ relays []member }

// detached means that no relay can be reached, so that this daemon follows the store until one can.
type detached struct{}

func (relaying) role()  {}
func (following) role() {}
func (detached) role()  {}

// runRoles acts in the present role until ctx ends.
func (n *Node) runRoles(ctx context.Context) {
	for ctx.Err() == nil {
		switch next := n.nextRole(ctx).(type) {
		case relaying:
			n.followStore(ctx, n.runRelay)
		case following:
			n.followRelays(ctx, next.relays)
		case detached:
			n.followStore(ctx, n.awaitRelay)
		}
	}
}

// nextRole decides what this daemon does next.
func (n *Node) nextRole(ctx context.Context) role {
	if n.holdsRole() {
		return relaying{}
	}
	// The row of an earlier process on this host is replaced at once.
	own := n.members.of(n.Local.Locality.Domain)
	if own.Host == n.Local.ID && own.Run != n.Process && !n.isLeaving() && n.claim(ctx) == nil {
		return relaying{}
	}
	if relays := n.choose(); len(relays) > 0 {
		return following{relays: relays}
	}
	return detached{}
}

// choose returns the relays to follow, the best first: those that are not avoided, or else those that could be reached and were
// cut off from the store, as all may be.
func (n *Node) choose() []member {
	if relays := n.preferred(); len(relays) > 0 {
		return relays
	}
	return n.ranked(func(avoided avoidance, _ time.Time) bool { return avoided.cutOff })
}

// preferred returns the relays that are not avoided, the best first.
func (n *Node) preferred() []member {
	return n.ranked(func(avoided avoidance, now time.Time) bool { return !now.Before(avoided.until) })
}

// ranked returns the relays that this daemon may follow, the best first, of which accept approves.
func (n *Node) ranked(accept func(avoided avoidance, now time.Time) bool) []member {
	relays := n.members.ranked(n.Local)
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.Clock.Now()
	return slices.DeleteFunc(relays, func(relay member) bool { return !accept(n.avoided[relay.Run], now) })
}

// avoid makes choose prefer other relays for a while. A relay that is avoided already stays so until the same time.
func (n *Node) avoid(relay member, cutOff bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.Clock.Now()
	for process, avoided := range n.avoided {
		if now.Sub(avoided.until) > avoidTime {
			delete(n.avoided, process)
		}
	}
	if known, ok := n.avoided[relay.Run]; !ok || !now.Before(known.until) || known.cutOff != cutOff {
		n.avoided[relay.Run] = avoidance{until: now.Add(avoidTime), cutOff: cutOff}
	}
}

// avoidFailed avoids the relays that have not delivered.
func (n *Node) avoidFailed(failed []failure) {
	for _, next := range failed {
		n.avoid(next.relay, next.cutOff)
	}
}

// holdsRole reports whether this daemon is the relay of its failure domain.
func (n *Node) holdsRole() bool {
	own := n.members.of(n.Local.Locality.Domain)
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.isOwn(own) && own.version != n.abandoned
}

func (n *Node) isLeaving() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leaving
}

// replaceRelay tries to become the relay of this daemon's failure domain, unless the relay has been replaced or responds again.
// It reports whether it did.
func (n *Node) replaceRelay(ctx context.Context, lost member) bool {
	current := n.members.of(n.Local.Locality.Domain)
	if n.isLeaving() || current.version != lost.version {
		return false
	}
	err := n.claim(ctx)
	if errors.Is(err, table.ErrConflict) {
		n.refreshRelays(ctx)
	}
	if err != nil {
		n.Log.Debug().Err(err).Msg("replace relay: retrying")
	}
	return err == nil
}
