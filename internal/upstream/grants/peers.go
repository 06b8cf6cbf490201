package grants

import (
	"context"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/ownership/assigner"
)

// queueMessage hands a message to the goroutine of its host, and drops it if too many wait. The caller holds mu.
func (r *Runner) queueMessage(action assigner.SendMessage) {
	payload, err := encodeMessage(action.Message)
	if err != nil {
		r.Log.Error().Err(err).Str("service", string(r.Assigner.Service)).Msg("message not encoded")
		return
	}
	waiting, sending := r.messages[action.To]
	if len(waiting) < mailbox {
		r.messages[action.To] = append(waiting, payload)
	}
	if !sending {
		ctx := r.ctx
		r.tasks.Go(func() { r.sendMessages(ctx, action.To) })
	}
}

// sendMessages sends the messages that wait for one host. Each host has a goroutine of its own, because a host that does
// not answer would hold up the heartbeats to the others. A failure is not reported, since the protocol expects messages
// to be lost.
func (r *Runner) sendMessages(ctx context.Context, to fleet.HostID) {
	for payload, found := r.nextMessage(to); found; payload, found = r.nextMessage(to) {
		bounded, cancel := context.WithTimeout(ctx, messageTimeout)
		_ = r.Peers.Send(bounded, to, topic(r.Assigner.Service), payload)
		cancel()
	}
}

// nextMessage takes the first message that waits for a host. Once there is none, the host's goroutine ends.
func (r *Runner) nextMessage(to fleet.HostID) ([]byte, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	waiting := r.messages[to]
	if len(waiting) == 0 {
		delete(r.messages, to)
		return nil, false
	}
	r.messages[to] = waiting[1:]
	return waiting[0], true
}

// receive handles a message of the assigner on another host.
func (r *Runner) receive(from fleet.HostID, payload []byte) {
	message, err := decodeMessage(payload)
	if err != nil {
		r.Log.Warn().Err(err).Str("service", string(r.Assigner.Service)).Str("from", string(from)).Msg("message refused")
		return
	}
	r.step(func(now time.Time) []assigner.Action { return r.Assigner.Received(now, from, message) })
}

// handOver gives up the role and tells the deputy to start, although ctx has ended.
func (r *Runner) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), handOverTimeout)
	defer cancel()
	for _, action := range r.stop() {
		switch action := action.(type) {
		case assigner.SendMessage:
			payload, err := encodeMessage(action.Message)
			if err == nil {
				err = r.Peers.Send(ctx, action.To, topic(r.Assigner.Service), payload)
			}
			r.Log.Info().Err(err).Str("service", string(r.Assigner.Service)).Str("to", string(action.To)).
				Msg("assigner role handed over")
		case assigner.ChangeRole:
			r.mu.Lock()
			r.execute(action)
			r.mu.Unlock()
		default:
		}
	}
}

// stop lets the decision give up the role, and ends all further steps.
func (r *Runner) stop() []assigner.Action {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running = false
	return r.Assigner.HandOver(r.Timer.Now())
}
