package relay

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/peer/wire"
	"rosemarywick.example/rosemarywick/internal/platform/table"
)

const (
	// topic is the topic of all messages of this package.
	topic = "relay"
	// subscriberTimeout is the time without a message from a subscriber after which it gets no more updates.
	subscriberTimeout = 3 * time.Second
)

// subscriber is a daemon that follows this one.
type subscriber struct {
	host fleet.HostID

	mu sync.Mutex
	// positions is guarded by mu and set by each Subscribe message: the versions up to which the subscriber has the tables.
	positions map[string]table.Version
	// generation is guarded by mu and counts the Subscribe messages.
	generation int
	// heardAt is guarded by mu: when the latest message arrived.
	heardAt time.Time
	// wake receives a value at each Subscribe message.
	wake chan struct{}
	// rank is the place among the subscribers of this daemon, from 1.
	rank atomic.Uint32
}

// receive handles a message from a peer. One that cannot be read is logged and dropped.
func (n *Node) receive(ctx context.Context, from fleet.HostID, content []byte) {
	message, err := decodeMessage(content)
	if err != nil {
		n.Log.Warn().Err(err).Str("peer", string(from)).Msg("message of a peer cannot be read; it is dropped")
		return
	}
	switch body := message.GetBody().(type) {
	case *wire.Relay_Subscribe:
		n.handleSubscribe(ctx, from, body.Subscribe)
	case *wire.Relay_Unsubscribe:
		n.handleUnsubscribe(from)
	case *wire.Relay_Report:
		n.handleReport(from, body.Report.GetContent())
	case *wire.Relay_Collect:
		n.handleCollect(ctx, from, body.Collect.GetSequence())
	case *wire.Relay_Collected:
		n.collector.add(body.Collected.GetSequence(), from, body.Collected.GetContent())
	case *wire.Relay_Reserve:
		n.handleReserve(ctx, from, body.Reserve)
	case *wire.Relay_Reserved:
		n.reservations.deliver(body.Reserved)
	case *wire.Relay_Loads:
		n.handleLoads(from, body.Loads)
	case *wire.Relay_Relays:
		n.handleRelays(from, body.Relays.GetRows())
	case *wire.Relay_Update, *wire.Relay_Heartbeat:
		n.passToSubscription(ctx, from, message)
	}
}

// handleSubscribe starts to send changes to a peer, or continues from its new positions.
func (n *Node) handleSubscribe(ctx context.Context, from fleet.HostID, message *wire.Subscribe) {
	positions := make(map[string]table.Version)
	for _, position := range message.GetPositions() {
		positions[position.GetTable()] = table.Version(position.GetVersion())
	}
	n.mu.Lock()
	current := n.subscribers[from]
	started := current == nil
	if started {
		current = &subscriber{host: from, wake: make(chan struct{}, 1)}
		n.subscribers[from] = current
		n.rankSubscribers()
	}
	n.mu.Unlock()
	current.mu.Lock()
	current.positions, current.heardAt = positions, n.Clock.Now()
	current.generation++
	current.mu.Unlock()
	select {
	case current.wake <- struct{}{}:
	default:
	}
	if started {
		n.tasks.Go(func() { n.runSubscriber(context.WithoutCancel(ctx), current) })
	}
}

// handleUnsubscribe makes the subscription of a peer time out.
func (n *Node) handleUnsubscribe(from fleet.HostID) {
	n.mu.Lock()
	current := n.subscribers[from]
	n.mu.Unlock()
	if current != nil {
		current.mu.Lock()
		defer current.mu.Unlock()
		current.heardAt = time.Time{}
	}
}

// runSubscriber sends changes and heartbeats to a subscriber until it is lost, or this daemon stops.
func (n *Node) runSubscriber(ctx context.Context, s *subscriber) {
	defer n.removeSubscriber(s)
	tick := n.Clock.Every(n.schedule.heartbeat)
	defer tick.Stop()
	beat, lastAvailable, relaysSent := true, false, 0
	var positions map[string]table.Version
	generation := 0
	for {
		changed, relaysChanged := n.replica.changedChannel(), n.members.changedChannel()
		availability := n.availabilityChannel()
		relays := n.members.generation()
		s.mu.Lock()
		subscribed := s.generation != generation
		if subscribed {
			positions, generation, beat = s.positions, s.generation, true
		}
		silence := n.Clock.Now().Sub(s.heardAt)
		s.mu.Unlock()
		available := n.available()
		if silence > subscriberTimeout {
			return
		}
		if beat || available != lastAvailable {
			lastAvailable, beat = available, false
			if !n.sendHeartbeat(ctx, s, available, positions) {
				return
			}
		}
		if !available && relays != relaysSent {
			if relaysSent = relays; !n.sendRelays(ctx, s.host) {
				return
			}
		}
		if available && !n.sendUpdates(ctx, s.host, positions) {
			return
		}
		// A subscriber that tries this relay waits until it knows that it has everything.
		if available && subscribed && !n.sendHeartbeat(ctx, s, available, positions) {
			return
		}
		select {
		case <-changed:
		case <-relaysChanged:
		case <-availability:
		case <-s.wake:
		case <-tick.C:
			beat = true
		case <-n.stopped:
			return
		}
	}
}

// sendHeartbeat sends a heartbeat to a subscriber that was sent the tables up to some positions. It returns false if that fails.
func (n *Node) sendHeartbeat(
	ctx context.Context, s *subscriber, available bool, positions map[string]table.Version,
) bool {
	heartbeat := &wire.Heartbeat{
		Available: available, Starting: n.starting(), Positions: wirePositions(positions),
		NotRelay: !n.followsStore() && !n.holdsRole(), AgeMs: uint64(n.Age().Milliseconds()),
		Rank: s.rank.Load(), ConfirmedMs: n.millisecondsSince(n.replica.confirmedAt(n.boundedTables, positions)),
	}
	return n.send(ctx, s.host, &wire.Relay{Body: &wire.Relay_Heartbeat{Heartbeat: heartbeat}}) == nil
}

// millisecondsSince returns how long ago a time was, of at least 1 ms, or zero for the zero time.
func (n *Node) millisecondsSince(at time.Time) uint64 {
	if at.IsZero() {
		return 0
	}
	return uint64(max(1, n.Clock.Now().Sub(at).Milliseconds()+1))
}

// wirePositions returns positions in their form on the wire.
func wirePositions(positions map[string]table.Version) []*wire.TablePosition {
	var result []*wire.TablePosition
	for name, version := range positions {
		result = append(result, &wire.TablePosition{Table: name, Version: uint64(version)})
	}
	return result
}

// sendUpdates sends the changes after the positions of a subscriber, and advances them. It returns false if that fails.
func (n *Node) sendUpdates(ctx context.Context, host fleet.HostID, positions map[string]table.Version) bool {
	for _, name := range n.tableNames {
		after, known := positions[name]
		next, ok := n.replica.since(name, after, known)
		if !ok {
			continue
		}
		content, err := n.encoder.encode(next, n.millisecondsSince(next.since))
		if err != nil {
			n.Log.Error().Err(err).Str("table", name).Msg("encode update: not sent")
			return false
		}
		if err := n.sendEncoded(ctx, host, content); err != nil {
			n.Log.Debug().Err(err).Str("subscriber", string(host)).Msg("send update")
			return false
		}
		positions[name] = next.version
	}
	return true
}

// removeSubscriber forgets a subscriber that gets no more updates.
func (n *Node) removeSubscriber(s *subscriber) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.subscribers[s.host] == s {
		delete(n.subscribers, s.host)
		n.rankSubscribers()
	}
}

// Subscribers returns the number of daemons that follow this one.
func (n *Node) Subscribers() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.subscribers)
}
