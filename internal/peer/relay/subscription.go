package relay

import (
	"context"
	"slices"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/peer/wire"
)

// subscription receives the messages of a relay that this daemon follows or tries.
type subscription struct {
	relay    member
	messages chan *wire.Relay
	// ended is closed when no more messages are received.
	ended chan struct{}
	// startedAt is when it was sent.
	startedAt time.Time
	// state is what the relay has told last. The goroutine that receives the messages uses it.
	state relayState
}

// relayState is what a relay has told of itself.
type relayState string

const (
	// stateUnheard means that nothing was received from the relay.
	stateUnheard relayState = "unheard"
	// stateAvailable means that the relay passes changes of the store on.
	stateAvailable relayState = "available"
	// stateNotRelay means that the daemon does not follow the store, so that the list of relays is out of date.
	stateNotRelay relayState = "not-a-relay"
	// stateReading means that the relay has not read all tables yet.
	stateReading relayState = "reading"
	// stateNoContact means that the store does not respond to the relay.
	stateNoContact relayState = "no-contact"
)

// stateOf returns what the sender of a heartbeat tells of itself.
func stateOf(heartbeat *wire.Heartbeat) relayState {
	switch {
	case heartbeat.GetAvailable():
		return stateAvailable
	case heartbeat.GetNotRelay():
		return stateNotRelay
	case heartbeat.GetStarting():
		return stateReading
	}
	return stateNoContact
}

// subscribe starts to accept messages of a relay, and sends the positions of all copies to it.
func (n *Node) subscribe(ctx context.Context, relay member) (*subscription, error) {
	current := &subscription{
		relay: relay, messages: make(chan *wire.Relay), ended: make(chan struct{}), startedAt: n.Clock.Now(), state: stateUnheard,
	}
	n.mu.Lock()
	n.subscriptions = append(n.subscriptions, current)
	n.mu.Unlock()
	if err := n.sendPositions(ctx, relay); err != nil {
		n.endSubscription(current)
		return nil, err
	}
	return current, nil
}

// endSubscription stops accepting messages.
func (n *Node) endSubscription(ended *subscription) {
	n.mu.Lock()
	n.subscriptions = slices.DeleteFunc(n.subscriptions, func(other *subscription) bool { return other == ended })
	if n.followed == ended {
		n.followed = nil
	}
	n.mu.Unlock()
	close(ended.ended)
}

// unsubscribe ends a subscription and tells the relay, unless there is another subscription to the same host.
func (n *Node) unsubscribe(ctx context.Context, ended *subscription) {
	n.endSubscription(ended)
	if n.subscriptionTo(ended.relay.Host) != nil {
		return
	}
	message := &wire.Relay{Body: &wire.Relay_Unsubscribe{Unsubscribe: &wire.Unsubscribe{}}}
	if err := n.send(ctx, ended.relay.Host, message); err != nil {
		n.Log.Debug().Err(err).Str("relay", string(ended.relay.Host)).Msg("end subscription")
	}
}

// sendPositions asks a relay for the changes after the positions of all copies.
func (n *Node) sendPositions(ctx context.Context, relay member) error {
	message := &wire.Subscribe{}
	for _, name := range n.tableNames {
		if version, known := n.replica.position(name); known {
			message.Positions = append(message.Positions, &wire.TablePosition{Table: name, Version: uint64(version)})
		}
	}
	return n.send(ctx, relay.Host, &wire.Relay{Body: &wire.Relay_Subscribe{Subscribe: message}})
}

// subscriptionTo returns the latest subscription to a host, or nil. There are two if a relay is tried that is a later process of
// the one that is followed.
func (n *Node) subscriptionTo(host fleet.HostID) *subscription {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, current := range slices.Backward(n.subscriptions) {
		if current.relay.Host == host {
			return current
		}
	}
	return nil
}

// passToSubscription passes a message to the subscription to its sender, if there is one.
func (n *Node) passToSubscription(ctx context.Context, from fleet.HostID, message *wire.Relay) {
	current := n.subscriptionTo(from)
	if current == nil {
		return
	}
	select {
	case current.messages <- message:
	case <-current.ended:
	case <-ctx.Done():
	}
}

// send sends a message to a daemon.
func (n *Node) send(ctx context.Context, to fleet.HostID, message *wire.Relay) error {
	content, err := encodeMessage(message)
	if err != nil {
		return err
	}
	return n.sendEncoded(ctx, to, content)
}

// sendEncoded sends an encoded message to a daemon.
func (n *Node) sendEncoded(ctx context.Context, to fleet.HostID, content []byte) error {
	callCtx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	return n.links.Send(callCtx, to, topic, content) //nolint:wrapcheck // the mesh says which host
}
