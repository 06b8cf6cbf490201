package gossip

import (
	"context"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// peerLink is the goroutine of one peer. Its fields but signal are guarded by the runner's mu.
type peerSender struct {
	signal chan struct{}
	cancel context.CancelFunc
	queue  []Message
	// report is set when the adoptions that are due may be sent.
	flushAdoptions bool
}

// PeerUp starts the goroutine of a peer, or leaves that to Run.
func (r *Runner) PeerUp(id fleet.HostID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.initLocked()
	link := &peerSender{signal: make(chan struct{}, 1), cancel: func() {}}
	r.senders[id] = link
	r.View.SetConnected(r.Clock.Now(), id, true)
	for _, message := range r.state.Connect(id) {
		link.enqueue(message)
	}
	r.schedulePendingFlushLocked()
	r.startSenderLocked(id, link)
}

// startLocked starts the goroutine of a peer if Run is under way. The caller holds mu.
func (r *Runner) startSenderLocked(id fleet.HostID, link *peerSender) {
	if r.running == nil {
		return
	}
	ctx, cancel := context.WithCancel(r.running.ctx)
	link.cancel = cancel
	r.running.tasks.Go(func() { r.sendLoop(ctx, id, link) })
}

// PeerDown ends the goroutine of a peer.
func (r *Runner) PeerDown(id fleet.HostID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if link := r.senders[id]; link != nil {
		link.cancel()
		delete(r.senders, id)
		r.state.Disconnect(id)
		r.View.SetConnected(r.Clock.Now(), id, false)
	}
}

// serve sends to one peer what is due for it. It alone waits when the peer is slow; meanwhile newer versions replace
// those that are due.
func (r *Runner) sendLoop(ctx context.Context, id fleet.HostID, link *peerSender) {
	for {
		select {
		case <-link.signal:
		case <-ctx.Done():
			return
		}
		for messages := r.nextMessages(id, link); len(messages) > 0; messages = r.nextMessages(id, link) {
			for _, message := range messages {
				if err := r.send(ctx, id, message); err != nil {
					r.Log.Debug().Err(err).Str("peer", string(id)).Msg("items not sent")
					break
				}
			}
			if ctx.Err() != nil {
				return
			}
		}
	}
}

func (r *Runner) nextMessages(id fleet.HostID, link *peerSender) []Message {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.senders[id] != link {
		return nil
	}
	messages := link.queue
	link.queue = nil
	if link.flushAdoptions {
		link.flushAdoptions = false
		if adoptions, due := r.state.TakeAdoptions(id); due {
			messages = append(messages, adoptions)
		}
	}
	return append(messages, r.state.TakeItems(id)...)
}

func (r *Runner) send(ctx context.Context, to fleet.HostID, message Message) error {
	payload, err := encode(message)
	if err != nil {
		return err
	}
	r.mu.Lock()
	kind := kindOf(message)
	sent := r.sent[kind]
	r.sent[kind] = MessageStats{Messages: sent.Messages + 1, Bytes: sent.Bytes + uint64(len(payload))}
	r.mu.Unlock()
	return r.Transport.Send(ctx, to, Topic, payload)
}

func (l *peerSender) enqueue(message Message) {
	if len(l.queue) < maxQueuedMessages {
		l.queue = append(l.queue, message)
	}
	l.wake()
}

func (l *peerSender) wake() {
	select {
	case l.signal <- struct{}{}:
	default:
	}
}
