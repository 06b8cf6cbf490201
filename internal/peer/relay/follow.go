package relay

import (
	"context"
	"math/rand/v2"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/peer/wire"
	"rosemarywick.example/rosemarywick/internal/platform/table"
)

// subscription receives the messages of a relay that this daemon follows or tries.
type subscription struct {
	relay    member
	messages chan *wire.Relay
	// ended is closed when no more messages are received.
	ended chan struct{}
	// startedAt is when it was sent, and heard is set once the relay has answered.
	startedAt time.Time
	heard     bool
}

// subscribe starts to accept messages of a relay, which counts as tried until it is followed, and sends the positions of all
// copies to it.
func (n *Node) subscribe(ctx context.Context, relay member) (*subscription, error) {
	current := &subscription{
		relay: relay, messages: make(chan *wire.Relay), ended: make(chan struct{}), startedAt: n.Clock.Now(),
	}
	n.mu.Lock()
	n.tried = current
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
	if n.subscription == ended {
		n.subscription = nil
	}
	if n.tried == ended {
		n.tried = nil
	}
	n.mu.Unlock()
	close(ended.ended)
}

// unsubscribe ends a subscription and tells the relay, unless another subscription to the same host has taken its place.
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

// followState is what a daemon knows about the relay that it follows.
type followState struct {
	*subscription
	// heardAt is when the latest message arrived. responded is set once the relay has stated that it reaches the store.
	heardAt   time.Time
	responded bool
	// renewedAt is when the relay was last told that the subscription goes on.
	renewedAt time.Time
	// claimAt is when this daemon tries to replace the relay of its failure domain. It is zero while that relay is followed.
	claimAt time.Time
	// lost is the relay of the failure domain at the time at which claimAt was set.
	lost member
}

// followRelays receives the tables from a relay, and from others that take its place, until there is none to follow or this
// daemon becomes a relay.
func (n *Node) followRelays(ctx context.Context, first member) {
	current, err := n.subscribe(ctx, first)
	if err != nil {
		n.Log.Info().Err(err).Str("relay", string(first.Host)).Msg("relay cannot be reached")
		n.avoid(first, false)
		return
	}
	for current != nil {
		next := n.follow(ctx, current)
		n.unsubscribe(ctx, current)
		current = next
	}
}

// follow receives the tables from the relay of a subscription until it is lost or cut off, a better one has delivered, or this
// daemon becomes a relay. It returns the subscription to the better one, or nil. One that is still being tried when the present
// relay ends is followed without having delivered.
func (n *Node) follow(ctx context.Context, current *subscription) *subscription {
	n.mu.Lock()
	n.subscription, n.tried = current, nil
	n.mu.Unlock()
	now := n.Clock.Now()
	state := &followState{subscription: current, heardAt: current.startedAt, renewedAt: now}
	if current.heard {
		state.heardAt = now
	}
	tick := n.Clock.Every(heartbeatInterval)
	defer tick.Stop()
	next := &trial{}
	defer next.cancel(n)
	for {
		changed := n.members.changedChannel()
		select {
		case message := <-current.messages:
			state.heardAt, current.heard = n.Clock.Now(), true
			if !n.handleRelayMessage(ctx, state, message) {
				return next.takeOver()
			}
		case result := <-next.result:
			next.end()
			if result.subscription != nil {
				n.Log.Info().Str("relay", string(result.relay.Host)).Str("before", string(current.relay.Host)).
					Msg("better relay has delivered and is followed")
				return result.subscription
			}
			n.avoid(result.relay, result.cutOff)
		case <-tick.C:
			if silence := n.Clock.Now().Sub(state.heardAt); silence > silenceLimit {
				n.Log.Warn().Str("relay", string(current.relay.Host)).Dur("silence", silence).Msg("relay is lost")
				n.avoid(current.relay, false)
				return next.takeOver()
			}
			if n.claimIfDue(ctx, state, next) {
				return nil
			}
			n.keepSubscription(ctx, state)
		case <-changed:
		case <-ctx.Done():
			return nil
		}
		if n.isRelay() {
			return nil
		}
		n.tryBetterRelay(ctx, state, next)
	}
}

// keepSubscription keeps the subscription from timing out at the relay, by an empty report. It subscribes again if nothing was
// heard, as a message is lost that is sent over a connection to an earlier process.
func (n *Node) keepSubscription(ctx context.Context, state *followState) {
	now := n.Clock.Now()
	if !state.heard {
		if err := n.sendPositions(ctx, state.relay); err != nil {
			n.Log.Debug().Err(err).Str("relay", string(state.relay.Host)).Msg("subscribe again")
		}
		return
	}
	if now.Sub(state.renewedAt) < subscriberTimeout/3 {
		return
	}
	state.renewedAt = now
	if err := n.send(ctx, state.relay.Host, &wire.Relay{Body: &wire.Relay_Report{Report: &wire.Report{}}}); err != nil {
		n.Log.Debug().Err(err).Str("relay", string(state.relay.Host)).Msg("renew subscription")
	}
}

// handleRelayMessage handles a message of the relay that is followed. It returns false if another one is to be followed.
func (n *Node) handleRelayMessage(ctx context.Context, state *followState, message *wire.Relay) bool {
	switch body := message.GetBody().(type) {
	case *wire.Relay_Update:
		n.handleUpdate(ctx, state.relay, body.Update)
	case *wire.Relay_Heartbeat:
		n.requestLostUpdates(ctx, state.relay, body.Heartbeat.GetPositions())
		return n.handleHeartbeat(state, body.Heartbeat)
	}
	return true
}

// handleUpdate adopts an update. If it does not continue the copies, the relay is asked for what is missing.
func (n *Node) handleUpdate(ctx context.Context, relay member, message *wire.Update) {
	received, err := decodeUpdate(message)
	if err != nil {
		n.Log.Error().Err(err).Str("relay", string(relay.Host)).Msg("update of a table cannot be read; it is dropped")
		return
	}
	if _, spread := n.replica.consumers[received.table]; !spread {
		return
	}
	changes := table.Changes{Rows: received.rows, Version: received.version}
	if received.whole {
		if !n.replica.reset(received.table, changes) {
			n.Log.Info().Str("relay", string(relay.Host)).Str("table", received.table).Msg("older version of a table ignored")
		}
		return
	}
	if !n.replica.apply(received.table, received.after, changes) {
		if err := n.sendPositions(ctx, relay); err != nil {
			n.Log.Debug().Err(err).Str("relay", string(relay.Host)).Msg("ask relay for missing changes")
		}
	}
}

// requestLostUpdates sends the own positions to a relay that has sent changes which did not arrive. Messages that are queued when
// a connection ends are lost, and the relay need not notice.
func (n *Node) requestLostUpdates(ctx context.Context, relay member, sent []*wire.TablePosition) {
	for _, position := range sent {
		own, known := n.replica.position(position.GetTable())
		if known && uint64(own) >= position.GetVersion() {
			continue
		}
		n.Log.Info().Str("relay", string(relay.Host)).Str("table", position.GetTable()).Uint64("sent", position.GetVersion()).
			Uint64("received", uint64(own)).Msg("changes of a table were lost on the way; they are requested again")
		if err := n.sendPositions(ctx, relay); err != nil {
			n.Log.Debug().Err(err).Str("relay", string(relay.Host)).Msg("ask relay for missing changes")
		}
		return
	}
}

// unavailability is why a daemon that is followed does not pass on changes of the store.
type unavailability string

const (
	// notRelay means that the daemon does not follow the store, so that the list of relays is out of date.
	notRelay unavailability = "not-a-relay"
	// readingTables means that the relay has not read all tables yet.
	readingTables unavailability = "reading"
	// noContact means that the store does not respond to the relay.
	noContact unavailability = "no-contact"
)

// unavailabilityOf returns why the sender of a heartbeat is not available.
func unavailabilityOf(heartbeat *wire.Heartbeat) unavailability {
	switch {
	case heartbeat.GetNotRelay():
		return notRelay
	case heartbeat.GetStarting():
		return readingTables
	}
	return noContact
}

// handleHeartbeat notes whether the relay reaches the store. It returns false if the relay does not and another one may.
func (n *Node) handleHeartbeat(state *followState, heartbeat *wire.Heartbeat) bool {
	available, starting := heartbeat.GetAvailable(), heartbeat.GetStarting()
	if !state.responded && available {
		n.Log.Info().Str("relay", string(state.relay.Host)).Str("domain", string(state.relay.domain)).Msg("relay is followed")
	}
	state.responded = state.responded || available
	if available {
		n.noteOutcome(true, n.Clock.Now().Add(-time.Duration(heartbeat.GetAgeMs())*time.Millisecond))
		return true
	}
	if starting && n.Clock.Now().Sub(state.startedAt) < silenceLimit {
		return true
	}
	why := unavailabilityOf(heartbeat)
	n.avoid(state.relay, why != notRelay)
	next, ok := n.choose()
	if !ok || next.Run != state.relay.Run {
		n.Log.Info().Str("relay", string(state.relay.Host)).Str("next", string(next.Host)).
			Str("why", string(why)).Dur("age", n.Age()).Msg("relay is not available")
		return false
	}
	n.noteOutcome(false, time.Time{})
	return true
}

// isRelay reports whether this daemon is the relay of its failure domain, or an earlier process on its host was.
func (n *Node) isRelay() bool {
	own := n.members.of(n.Local.Locality.Domain)
	return n.holdsRole() || own.Host == n.Local.ID && own.Run != n.Process
}

// betterRelay returns the relay that is to be followed instead of the present one, if that was replaced or is not of this
// daemon's own failure domain. It returns false if there is none.
func (n *Node) betterRelay(state *followState) (member, bool) {
	replaced := n.members.of(state.relay.domain).Run != state.relay.Run
	if !replaced && state.relay.domain == n.Local.Locality.Domain {
		return member{}, false
	}
	next, ok := n.choose()
	if !ok || n.isAvoided(next) || next.Run == state.relay.Run || !replaced && next.domain != n.Local.Locality.Domain {
		return member{}, false
	}
	return next, true
}

// claimIfDue tries to replace the relay of this daemon's failure domain if it has been lost, or if the relay that is followed has
// been cut off from the store, for some time. A relay that is being tried is not lost. It reports whether this daemon has become
// the relay.
func (n *Node) claimIfDue(ctx context.Context, state *followState, tried *trial) bool {
	own := n.members.of(n.Local.Locality.Domain)
	cutOff := n.interruptedNow()
	now := n.Clock.Now()
	switch {
	case !cutOff && (state.relay.Run == own.Run || tried.inProgress(own)):
		state.claimAt = time.Time{}
	case state.claimAt.IsZero() || state.lost.version != own.version:
		state.lost = own
		spread := n.claimSpread(cutOff)
		state.claimAt = now.Add(n.ClaimDelay + time.Duration(rand.Float64()*float64(spread)))
	case !now.Before(state.claimAt):
		state.claimAt = time.Time{}
		return n.replaceRelay(ctx, state.lost)
	}
	return false
}

// responds reports whether a relay can be reached and reaches the store.
func (n *Node) responds(ctx context.Context, relay member) bool {
	current, err := n.subscribe(ctx, relay)
	if err != nil {
		return false
	}
	defer n.endSubscription(current)
	timeout := n.Clock.After(sendTimeout)
	defer timeout.Stop()
	for {
		select {
		case message := <-current.messages:
			if heartbeat, ok := message.GetBody().(*wire.Relay_Heartbeat); ok {
				return heartbeat.Heartbeat.GetAvailable()
			}
		case <-timeout.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// noteOutcome records whether the tables are followed, in the store or at a relay that reaches it, and since when they are
// confirmed.
func (n *Node) noteOutcome(available bool, confirmed time.Time) {
	n.mu.Lock()
	recovered := available && n.interrupted
	n.interrupted = !available
	if available {
		n.contact.note(n.Clock.Now())
	}
	n.mu.Unlock()
	n.confirm(confirmed)
	if recovered {
		n.OnRecovered()
	}
}

// interruptedNow reports whether the tables are not followed at present.
func (n *Node) interruptedNow() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.interrupted
}

// subscriptionTo returns the subscription to a host, or nil. If there are two, because a relay is tried that is a later process
// of the one that is followed, it returns that to the later process.
func (n *Node) subscriptionTo(host fleet.HostID) *subscription {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, current := range []*subscription{n.tried, n.subscription} {
		if current != nil && current.relay.Host == host {
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
