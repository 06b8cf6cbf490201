package relay

import (
	"context"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/peer/wire"
)

// loadsInterval is the interval at which relays exchange what the daemons of their failure domains measured at upstreams, and
// send the sums to their followers.
const loadsInterval = time.Second

// LoadSums adds up what daemons measure at the upstreams of services without keys. Its methods may be called concurrently.
type LoadSums interface {
	// TakeDomain returns what this daemon and its followers measured since the last call, or nil if that is nothing.
	TakeDomain() []byte
	// AddDomain adds what the daemons of another relay measured.
	AddDomain(content []byte)
	// Sums returns the load of each upstream as measured by all daemons, or nil if none is known.
	Sums() []byte
	// Adopt makes this daemon use the sums.
	Adopt(content []byte)
}

// runLoads exchanges loads while this daemon follows the store, until the node stops.
func (n *Node) runLoads(ctx context.Context) {
	if n.Loads == nil {
		return
	}
	tick := n.Clock.Every(loadsInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-n.stopped:
			return
		case <-ctx.Done():
			return
		}
		if n.followsStore() {
			n.exchangeLoads(ctx)
		}
	}
}

// exchangeLoads sends what was measured in this failure domain to the other relays, and the sums to the followers. Messages may
// be lost; the sums then lack what one domain measured within an interval.
func (n *Node) exchangeLoads(ctx context.Context) {
	if content := n.Loads.TakeDomain(); content != nil {
		for _, relay := range n.members.ranked(n.Local) {
			n.sendLoads(ctx, relay.Host, &wire.Loads{Domain: true, Content: content})
		}
	}
	sums := n.Loads.Sums()
	if sums == nil {
		return
	}
	n.Loads.Adopt(sums)
	n.mu.Lock()
	followers := make([]fleet.HostID, 0, len(n.subscribers))
	for host := range n.subscribers {
		followers = append(followers, host)
	}
	n.mu.Unlock()
	for _, host := range followers {
		n.sendLoads(ctx, host, &wire.Loads{Content: sums})
	}
}

// sendLoads sends loads to a daemon in a goroutine of its own, since a connection may block.
func (n *Node) sendLoads(ctx context.Context, to fleet.HostID, loads *wire.Loads) {
	n.mu.Lock()
	connected := n.links != nil
	n.mu.Unlock()
	if !connected {
		return
	}
	n.tasks.Go(func() {
		if err := n.send(ctx, to, &wire.Relay{Body: &wire.Relay_Loads{Loads: loads}}); err != nil {
			n.Log.Debug().Err(err).Str("peer", string(to)).Msg("send loads of upstreams: they are lost")
		}
	})
}

// handleLoads adds what the daemons of another relay measured, or adopts the sums of the relay that this daemon follows.
func (n *Node) handleLoads(from fleet.HostID, message *wire.Loads) {
	if n.Loads == nil {
		return
	}
	if message.GetDomain() {
		if n.followsStore() {
			n.Loads.AddDomain(message.GetContent())
		}
		return
	}
	n.mu.Lock()
	current := n.followed
	n.mu.Unlock()
	if current != nil && current.relay.Host == from {
		n.Loads.Adopt(message.GetContent())
	}
}
