package gossip

import (
	"context"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// peerSender holds the state of the goroutine that sends to one peer. All fields except signal are guarded by the runner's
// mu.
type peerSender struct {
	signal chan struct{}
	cancel context.CancelFunc
	queue  []Message
	// flushAdoptions is set when the adoptions gathered for the peer are to be sent.
	flushAdoptions bool
}

// PeerUp adds a connected peer and starts its send goroutine. If Run has not started yet, Run starts the goroutine.
func (r *Runner) PeerUp(id fleet.HostID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.initLocked()
	sender := &peerSender{signal: make(chan struct{}, 1), cancel: func() {}}
	r.senders[id] = sender
	r.View.SetConnected(r.Clock.Now(), id, true)
	for _, message := range r.state.Connect(id) {
		sender.enqueue(message)
	}
	r.scheduleFlushLocked()
	r.startSenderLocked(id, sender)
}

// startSenderLocked starts the send goroutine of a peer if Run is active. The caller holds mu.
func (r *Runner) startSenderLocked(id fleet.HostID, sender *peerSender) {
	if r.running == nil {
		return
	}
	ctx, cancel := context.WithCancel(r.running.ctx)
	sender.cancel = cancel
	r.running.tasks.Go(func() { r.sendLoop(ctx, id, sender) })
}

// PeerDown removes a peer and stops its send goroutine.
func (r *Runner) PeerDown(id fleet.HostID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if sender := r.senders[id]; sender != nil {
		sender.cancel()
		delete(r.senders, id)
		r.state.Disconnect(id)
		r.View.SetConnected(r.Clock.Now(), id, false)
	}
}

// sendLoop sends the messages and items queued for one peer. A slow peer blocks only its own goroutine, and receives only
// the latest version of items that change in the meantime.
func (r *Runner) sendLoop(ctx context.Context, id fleet.HostID, sender *peerSender) {
	for {
		select {
		case <-sender.signal:
		case <-ctx.Done():
			return
		}
		for messages := r.nextMessages(id, sender); len(messages) > 0; messages = r.nextMessages(id, sender) {
			for _, message := range messages {
				if err := r.send(ctx, id, message); err != nil {
					r.Log.Debug().Err(err).Str("peer", string(id)).Msg("send gossip message: dropped")
					break
				}
			}
			if ctx.Err() != nil {
				return
			}
		}
	}
}

// nextMessages removes and returns the messages to send to a peer now.
func (r *Runner) nextMessages(id fleet.HostID, sender *peerSender) []Message {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.senders[id] != sender {
		return nil
	}
	messages := sender.queue
	sender.queue = nil
	if sender.flushAdoptions {
		sender.flushAdoptions = false
		if adoptions, due := r.state.TakeAdoptions(id); due {
			messages = append(messages, adoptions)
		}
	}
	return append(messages, r.state.TakeItems(id)...)
}

// send encodes a message, adds it to the counters and passes it to the transport.
func (r *Runner) send(ctx context.Context, to fleet.HostID, message Message) error {
	payload, err := encode(message)
	if err != nil {
		return err
	}
	r.mu.Lock()
	kind := kindOf(message)
	stats := r.sent[kind]
	r.sent[kind] = MessageStats{Messages: stats.Messages + 1, Bytes: stats.Bytes + uint64(len(payload))}
	r.mu.Unlock()
	return r.Transport.Send(ctx, to, Topic, payload)
}

// enqueue queues a message unless the queue is full, and wakes the goroutine. The caller holds the runner's mu.
func (s *peerSender) enqueue(message Message) {
	if len(s.queue) < maxQueuedMessages {
		s.queue = append(s.queue, message)
	}
	s.wake()
}

// wake makes the goroutine look for messages to send.
func (s *peerSender) wake() {
	select {
	case s.signal <- struct{}{}:
	default:
	}
}
