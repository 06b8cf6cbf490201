package relay

import (
	"context"
	"slices"
	"time"

	"rosemarywick.example/rosemarywick/internal/peer/wire"
	"rosemarywick.example/rosemarywick/internal/platform/table"
)

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
	// claimed is closed when the attempt to replace the relay has ended. It is nil if there is none.
	claimed chan struct{}
}

// followRelays receives the tables from the first of some relays that delivers, or from one that could be reached, and from
// others that take its place, until there is none to follow or this daemon becomes a relay.
func (n *Node) followRelays(ctx context.Context, relays []member) {
	result := n.search(ctx, relays, n.schedule.search)
	n.avoidFailed(result.failed)
	current := result.delivered
	if current == nil && result.reached != nil {
		current = result.reached
		n.Log.Info().Str("relay", string(current.relay.Host)).Str("why", string(current.state)).Dur("age", n.Age()).
			Msg("no relay is available; one that can be reached is followed")
	}
	for current != nil {
		next := n.follow(ctx, current)
		n.unsubscribe(ctx, current)
		current = next
	}
}

// follow receives the tables from the relay of a subscription until it is lost, another one has taken its place, or this daemon
// becomes a relay. It returns the subscription to the other one, or nil.
func (n *Node) follow(ctx context.Context, current *subscription) *subscription {
	n.mu.Lock()
	n.followed = current
	n.mu.Unlock()
	now := n.Clock.Now()
	state := &followState{subscription: current, heardAt: now, renewedAt: now}
	next := &trial{}
	defer next.cancel(n)
	for {
		changed := n.members.changedChannel()
		check := n.Clock.After(n.nextCheck(state))
		select {
		case message := <-current.messages:
			state.heardAt = n.Clock.Now()
			n.handleRelayMessage(ctx, state, message)
		case result := <-next.result:
			next.end()
			if taken := n.takeResult(state, result); taken != nil {
				check.Stop()
				return taken
			}
		case <-state.claimed:
			state.claimed = nil
		case <-check.C:
		case <-changed:
		case <-ctx.Done():
			check.Stop()
			return nil
		}
		check.Stop()
		if n.isRelay() || !n.keepSource(ctx, state, next) {
			return nil
		}
		n.claimIfDue(ctx, state, next)
		n.keepSubscription(ctx, state)
	}
}

// nextCheck returns the time until something has to be done if no message arrives.
func (n *Node) nextCheck(state *followState) time.Duration {
	now := n.Clock.Now()
	next := n.schedule.heartbeat
	for _, at := range []time.Time{state.heardAt.Add(n.schedule.silence), state.claimAt} {
		if at.After(now) {
			next = min(next, at.Sub(now))
		}
	}
	return next
}

// takeResult returns the subscription to the relay that takes the place of the present one after a search, or nil.
func (n *Node) takeResult(state *followState, result found) *subscription {
	n.avoidFailed(result.failed)
	switch {
	case result.delivered != nil:
		n.Log.Info().Str("relay", string(result.delivered.relay.Host)).Str("before", string(state.relay.Host)).
			Msg("other relay has delivered and is followed")
		return result.delivered
	case result.reached != nil && n.isLost(state):
		return result.reached
	}
	n.release(result)
	return nil
}

// isLost reports whether nothing can be heard from the relay that is followed, of the store or of who replaces it.
func (n *Node) isLost(state *followState) bool {
	return state.state == stateNotRelay || n.Clock.Now().Sub(state.heardAt) >= n.schedule.silence
}

// keepSource searches for another relay if the present one does not pass changes on, and tries a better one if there is one. It
// returns false if the present one is lost and all others have failed too.
func (n *Node) keepSource(ctx context.Context, state *followState, next *trial) bool {
	lost := n.isLost(state)
	starting := state.state == stateReading && n.Clock.Now().Sub(state.startedAt) < n.schedule.silence
	if !lost && (state.state == stateAvailable || starting) {
		n.tryBetterRelay(ctx, state, next)
		return true
	}
	n.avoid(state.relay, !lost)
	if next.result != nil {
		return true
	}
	if others := n.preferred(); len(others) > 0 {
		next.begin(ctx, n, others, n.schedule.search)
		return true
	}
	if lost {
		n.Log.Warn().Str("relay", string(state.relay.Host)).Str("state", string(state.state)).
			Dur("silence", n.Clock.Now().Sub(state.heardAt)).Msg("relay is lost, and no other one delivers")
		return false
	}
	n.noteOutcome(false, time.Time{})
	return true
}

// keepSubscription keeps the subscription from timing out at the relay, by an empty report.
func (n *Node) keepSubscription(ctx context.Context, state *followState) {
	now := n.Clock.Now()
	if now.Sub(state.renewedAt) < subscriberTimeout/3 {
		return
	}
	state.renewedAt = now
	if err := n.send(ctx, state.relay.Host, &wire.Relay{Body: &wire.Relay_Report{Report: &wire.Report{}}}); err != nil {
		n.Log.Debug().Err(err).Str("relay", string(state.relay.Host)).Msg("renew subscription")
	}
}

// handleRelayMessage handles a message of the relay that is followed.
func (n *Node) handleRelayMessage(ctx context.Context, state *followState, message *wire.Relay) {
	switch body := message.GetBody().(type) {
	case *wire.Relay_Update:
		n.handleUpdate(ctx, state.relay, body.Update)
	case *wire.Relay_Heartbeat:
		n.requestLostUpdates(ctx, state.relay, body.Heartbeat.GetPositions())
		n.confirmTables(body.Heartbeat)
		n.handleHeartbeat(state, body.Heartbeat)
	}
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
	changes := batch{Changes: table.Changes{Rows: received.rows, Version: received.version}}
	if message.GetSinceMs() > 0 {
		changes.since = n.Clock.Now().Add(-time.Duration(message.GetSinceMs()) * time.Millisecond)
	}
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

// confirmTables records up to which time the tables of a relay that has sent a heartbeat hold all changes.
func (n *Node) confirmTables(heartbeat *wire.Heartbeat) {
	if heartbeat.GetConfirmedMs() == 0 {
		return
	}
	at := n.Clock.Now().Add(-time.Duration(heartbeat.GetConfirmedMs()) * time.Millisecond)
	for _, position := range heartbeat.GetPositions() {
		if slices.Contains(n.boundedTables, position.GetTable()) {
			n.replica.confirm(position.GetTable(), table.Version(position.GetVersion()), at)
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

// handleHeartbeat notes what the relay tells of itself.
func (n *Node) handleHeartbeat(state *followState, heartbeat *wire.Heartbeat) {
	before := state.state
	state.state = stateOf(heartbeat)
	n.setRank(heartbeat)
	if state.state == stateAvailable {
		if !state.responded {
			n.Log.Info().Str("relay", string(state.relay.Host)).Str("domain", string(state.relay.domain)).Msg("relay is followed")
		}
		state.responded = true
		n.noteOutcome(true, confirmedAt(n.Clock.Now(), heartbeat))
		return
	}
	if state.state != before {
		n.Log.Info().Str("relay", string(state.relay.Host)).Str("why", string(state.state)).Dur("age", n.Age()).
			Msg("relay is not available")
	}
}

// confirmedAt returns when the store last confirmed the tables of a relay that has sent a heartbeat.
func confirmedAt(now time.Time, heartbeat *wire.Heartbeat) time.Time {
	return now.Add(-time.Duration(heartbeat.GetAgeMs()) * time.Millisecond)
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
	others := n.preferred()
	if len(others) == 0 || others[0].Run == state.relay.Run || !replaced && others[0].domain != n.Local.Locality.Domain {
		return member{}, false
	}
	return others[0], true
}

// tryBetterRelay begins to try a better relay, if there is one and it is not tried yet. It has as long to deliver as one that is
// followed may be silent.
func (n *Node) tryBetterRelay(ctx context.Context, state *followState, t *trial) {
	better, ok := n.betterRelay(state)
	if t.result != nil && (!ok || len(t.relays) != 1 || !t.includes(better)) {
		t.cancel(n)
	}
	if ok && t.result == nil {
		t.begin(ctx, n, []member{better}, n.schedule.silence)
	}
}

// claimIfDue begins to replace the relay of this daemon's failure domain if it has been lost, or if the relay that is followed
// has been cut off from the store, for some time. A relay that is being tried is not lost. The attempt runs beside the messages
// of the relay that is followed: the store may respond to another daemon and not to this one, and the relay tells of it.
func (n *Node) claimIfDue(ctx context.Context, state *followState, tried *trial) {
	own := n.members.of(n.Local.Locality.Domain)
	reason := otherClaim
	if n.interruptedNow() {
		reason = cutOffClaim
	}
	now := n.Clock.Now()
	switch {
	case state.claimed != nil:
	case reason == otherClaim && (state.relay.Run == own.Run || tried.includes(own)):
		state.claimAt = time.Time{}
	case state.claimAt.IsZero() || state.lost.version != own.version:
		state.lost = own
		state.claimAt = now.Add(n.claimDelay(reason))
	case !now.Before(state.claimAt):
		state.claimAt = time.Time{}
		lost, claimed := state.lost, make(chan struct{})
		state.claimed = claimed
		n.tasks.Go(func() {
			defer close(claimed)
			n.replaceRelay(ctx, lost)
		})
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
		n.claimTried = false
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
