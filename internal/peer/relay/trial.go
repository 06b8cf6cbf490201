package relay

import (
	"context"

	"rosemarywick.example/rosemarywick/internal/peer/wire"
)

// trialLimit is how long a better relay may take to deliver: as long as a relay that is followed may be silent, which is noticed
// at a tick.
const trialLimit = silenceLimit + heartbeatInterval

// trial is the attempt to follow a better relay while another one is followed. At most one is in progress: a relay that is better
// by its place may have just been lost, or may just begin, and until it has delivered the present one is the better source.
type trial struct {
	relay member
	// stop ends the attempt, and result receives its outcome. Both are nil if there is no attempt.
	stop   context.CancelFunc
	result chan trialResult
}

// trialResult is the outcome of a trial.
type trialResult struct {
	relay member
	// subscription is that to the relay if it has delivered, or if the attempt was stopped before trialLimit, and else nil.
	subscription *subscription
	// cutOff is set if the relay has answered as one that does not reach the store.
	cutOff bool
}

// inProgress reports whether a relay is being tried.
func (t *trial) inProgress(relay member) bool { return t.result != nil && t.relay.Run == relay.Run }

// end forgets an attempt whose result was received.
func (t *trial) end() {
	t.stop()
	t.stop, t.result = nil, nil
}

// takeOver ends an attempt in progress, if there is one, and returns its subscription, or nil if it has none.
func (t *trial) takeOver() *subscription {
	if t.result == nil {
		return nil
	}
	t.stop()
	result := <-t.result
	t.end()
	return result.subscription
}

// cancel ends an attempt in progress, if there is one, and its subscription.
func (t *trial) cancel(n *Node) {
	if unused := t.takeOver(); unused != nil {
		n.unsubscribe(context.Background(), unused)
	}
}

// tryBetterRelay begins to try a better relay, if there is one and it is not tried yet.
func (n *Node) tryBetterRelay(ctx context.Context, state *followState, t *trial) {
	better, ok := n.betterRelay(state)
	if t.result != nil && (!ok || better.Run != t.relay.Run) {
		t.cancel(n)
	}
	if !ok || t.result != nil {
		return
	}
	tryCtx, stop := context.WithCancel(ctx)
	results := make(chan trialResult, 1)
	t.relay, t.stop, t.result = better, stop, results
	n.tasks.Go(func() { results <- n.awaitDelivery(tryCtx, better) })
}

// awaitDelivery subscribes to a relay and adopts what it sends, until the relay has sent all changes of all tables and reaches
// the store, ctx ends, or trialLimit has passed.
func (n *Node) awaitDelivery(ctx context.Context, relay member) trialResult {
	result := trialResult{relay: relay}
	current, err := n.subscribe(ctx, relay)
	if err != nil {
		n.Log.Info().Err(err).Str("relay", string(relay.Host)).Msg("better relay cannot be reached")
		return result
	}
	limit, again := n.Clock.After(trialLimit), n.Clock.Every(heartbeatInterval)
	defer limit.Stop()
	defer again.Stop()
	for beats := 0; ; {
		select {
		case message := <-current.messages:
			current.heard = true
			switch body := message.GetBody().(type) {
			case *wire.Relay_Update:
				n.handleUpdate(ctx, relay, body.Update)
			case *wire.Relay_Heartbeat:
				// The changes follow the first heartbeat, and the second one names what was sent.
				if beats++; beats > 1 && body.Heartbeat.GetAvailable() && n.hasAll(body.Heartbeat.GetPositions()) {
					result.subscription = current
					return result
				}
				result.cutOff = !body.Heartbeat.GetAvailable() && unavailabilityOf(body.Heartbeat) != notRelay
			}
		case <-again.C:
			if current.heard {
				continue
			}
			if err := n.sendPositions(ctx, relay); err != nil {
				n.Log.Debug().Err(err).Str("relay", string(relay.Host)).Msg("subscribe to better relay again")
			}
		case <-limit.C:
			n.Log.Info().Str("relay", string(relay.Host)).Int("heartbeats", beats).Msg("better relay has not delivered")
			n.unsubscribe(ctx, current)
			return result
		case <-ctx.Done():
			result.subscription = current
			return result
		}
	}
}

// hasAll reports whether the copies of all tables are at the given positions or newer.
func (n *Node) hasAll(positions []*wire.TablePosition) bool {
	for _, position := range positions {
		own, known := n.replica.position(position.GetTable())
		if !known || uint64(own) < position.GetVersion() {
			return false
		}
	}
	return len(positions) == len(n.tableNames)
}
