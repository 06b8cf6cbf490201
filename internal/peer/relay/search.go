package relay

import (
	"context"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/peer/wire"
)

// trial is a search for a better relay, or for another one, while one is followed. At most one is in progress: a relay that is
// better by its place may have just been lost, or may just begin, and until it has delivered the present one is the better
// source.
type trial struct {
	relays []member
	// stop ends the search, and result receives its outcome. Both are nil if there is none.
	stop   context.CancelFunc
	result chan found
}

// found is the outcome of a search.
type found struct {
	// delivered is the subscription to a relay that has delivered, or nil.
	delivered *subscription
	// reached is the subscription to a relay that has responded and does not pass changes on, or nil. It is nil if delivered is not.
	reached *subscription
	// failed lists the relays that have not delivered.
	failed []failure
}

// failure is a relay that has not delivered. It is one that was cut off if it could be reached.
type failure struct {
	relay  member
	cutOff bool
}

// includes reports whether a relay is being tried.
func (t *trial) includes(relay member) bool {
	for _, tried := range t.relays {
		if t.result != nil && tried.Run == relay.Run {
			return true
		}
	}
	return false
}

// begin starts to try relays.
func (t *trial) begin(ctx context.Context, n *Node, relays []member, limit time.Duration) {
	tryCtx, stop := context.WithCancel(ctx)
	result := make(chan found, 1)
	t.relays, t.stop, t.result = relays, stop, result
	n.tasks.Go(func() { result <- n.search(tryCtx, relays, limit) })
}

// end forgets a search whose result was received.
func (t *trial) end() {
	t.stop()
	t.stop, t.result = nil, nil
}

// cancel ends a search in progress, if there is one, and its subscriptions.
func (t *trial) cancel(n *Node) {
	if t.result == nil {
		return
	}
	t.stop()
	n.release(<-t.result)
	t.end()
}

// release ends the subscriptions of a result that is not used.
func (n *Node) release(result found) {
	for _, unused := range []*subscription{result.delivered, result.reached} {
		if unused != nil {
			n.unsubscribe(context.Background(), unused)
		}
	}
}

// search subscribes to relays, each a little later than the one before and beside it, until one has delivered or limit has
// passed. One that is dead costs no time then. The last one is asked when half of limit has passed.
func (n *Node) search(ctx context.Context, relays []member, limit time.Duration) found {
	searchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	attempts := make(chan attempt, len(relays))
	for i, relay := range relays {
		later := limit / 2 * time.Duration(i) / time.Duration(len(relays))
		n.tasks.Go(func() {
			if later > 0 && timer.Wait(searchCtx, n.Clock, later) != nil {
				attempts <- attempt{relay: relay}
				return
			}
			attempts <- n.awaitDelivery(searchCtx, relay, limit-later)
		})
	}
	var result found
	for range relays {
		next := <-attempts
		switch {
		case next.delivered && result.delivered == nil:
			result.delivered = next.subscription
			cancel()
			continue
		case next.subscription == nil:
		case next.cutOff && result.reached == nil:
			result.reached = next.subscription
		case next.subscription.state == stateUnheard: // a message to it may block, and it ends the subscription itself
			n.endSubscription(next.subscription)
		default:
			n.unsubscribe(context.WithoutCancel(ctx), next.subscription)
		}
		if searchCtx.Err() == nil {
			result.failed = append(result.failed, failure{relay: next.relay, cutOff: next.cutOff})
		}
	}
	if result.delivered != nil && result.reached != nil {
		n.unsubscribe(context.WithoutCancel(ctx), result.reached)
		result.reached = nil
	}
	return result
}

// attempt is the outcome of a subscription to one relay.
type attempt struct {
	relay member
	// subscription is nil if the relay could not be reached.
	subscription *subscription
	// delivered is set if the relay has sent all changes of all tables and reaches the store. Otherwise cutOff is set if it has
	// responded as one that does not reach the store.
	delivered, cutOff bool
}

// awaitDelivery subscribes to a relay and adopts what it sends, until the relay has sent all changes of all tables and reaches
// the store, has told that it does not, ctx ends, or limit has passed.
func (n *Node) awaitDelivery(ctx context.Context, relay member, limit time.Duration) attempt {
	result := attempt{relay: relay}
	sendCtx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	current, err := n.subscribe(sendCtx, relay)
	if err != nil {
		n.Log.Info().Err(err).Str("relay", string(relay.Host)).Msg("relay cannot be reached")
		return result
	}
	result.subscription = current
	// A message is lost that is sent over a connection to an earlier process, so the first one is repeated.
	end, again := n.Clock.After(limit), n.Clock.Every(min(heartbeatInterval, limit/4))
	defer end.Stop()
	defer again.Stop()
	for beats := 0; ; {
		select {
		case message := <-current.messages:
			switch body := message.GetBody().(type) {
			case *wire.Relay_Update:
				n.handleUpdate(ctx, relay, body.Update)
			case *wire.Relay_Heartbeat:
				current.state = stateOf(body.Heartbeat)
				n.setRank(body.Heartbeat)
				// The changes follow the first heartbeat, and the second one names what was sent.
				beats++
				result.delivered = beats > 1 && current.state == stateAvailable && n.hasAll(body.Heartbeat.GetPositions())
				result.cutOff = current.state == stateNoContact || current.state == stateReading
				switch {
				case result.delivered:
					n.noteOutcome(true, confirmedAt(n.Clock.Now(), body.Heartbeat))
					return result
				case current.state == stateAvailable:
					n.noteOutcome(true, time.Time{})
				case current.state == stateNoContact || current.state == stateNotRelay:
					return result
				}
			}
		case <-again.C:
			if current.state != stateUnheard {
				continue
			}
			if err := n.sendPositions(sendCtx, relay); err != nil {
				n.Log.Debug().Err(err).Str("relay", string(relay.Host)).Msg("subscribe again")
			}
		case <-end.C:
			n.Log.Info().Str("relay", string(relay.Host)).Str("state", string(current.state)).Msg("relay has not delivered")
			return result
		case <-ctx.Done():
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
