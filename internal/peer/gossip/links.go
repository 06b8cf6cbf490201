package gossip

import (
	"context"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// peerLink is the goroutine of one peer. Its fields but signal are guarded by the runner's mu.
type peerLink struct {
	signal  chan struct{}
	cancel  context.CancelFunc
	replies []Message
	// report is set when the adoptions that are due may be sent.
	report bool
}

// PeerUp starts the goroutine of a peer, or leaves that to Run.
func (r *Runner) PeerUp(id fleet.HostID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open()
	link := &peerLink{signal: make(chan struct{}, 1), cancel: func() {}}
	r.links[id] = link
	r.View.SetConnected(r.Clock.Now(), id, true)
	for _, message := range r.state.Connect(id) {
		link.reply(message)
	}
	r.notePending()
	r.startLocked(id, link)
}

// startLocked starts the goroutine of a peer if Run is under way. The caller holds mu.
func (r *Runner) startLocked(id fleet.HostID, link *peerLink) {
	if r.run == nil {
		return
	}
	ctx, cancel := context.WithCancel(r.run.ctx)
	link.cancel = cancel
	r.run.tasks.Go(func() { r.serve(ctx, id, link) })
}

// PeerDown ends the goroutine of a peer.
func (r *Runner) PeerDown(id fleet.HostID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if link := r.links[id]; link != nil {
		link.cancel()
		delete(r.links, id)
		r.state.Disconnect(id)
		r.View.SetConnected(r.Clock.Now(), id, false)
	}
}

// serve sends to one peer what is due for it. It alone waits when the peer is slow; meanwhile newer versions replace
// those that are due.
func (r *Runner) serve(ctx context.Context, id fleet.HostID, link *peerLink) {
	for {
		select {
		case <-link.signal:
		case <-ctx.Done():
			return
		}
		for messages := r.take(id, link); len(messages) > 0; messages = r.take(id, link) {
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

func (r *Runner) take(id fleet.HostID, link *peerLink) []Message {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.links[id] != link {
		return nil
	}
	messages := link.replies
	link.replies = nil
	if link.report {
		link.report = false
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

func (l *peerLink) reply(message Message) {
	if len(l.replies) < maxReplies {
		l.replies = append(l.replies, message)
	}
	l.wake()
}

func (l *peerLink) wake() {
	select {
	case l.signal <- struct{}{}:
	default:
	}
}
