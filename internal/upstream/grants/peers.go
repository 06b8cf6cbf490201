package grants

import (
	"context"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/ownership/assigner"
)

<<<<<<< HEAD
// queueMessage hands a message to the goroutine of its host, and drops it if too many wait. The caller holds mu.
func (r *Runner) queueMessage(action assigner.SendMessage) {
=======
// mailbox is the number of messages to other hosts that may wait. More are dropped; the next round repeats them.
const mailbox = 64

// outbox sends the messages of one topic from a goroutine of its own, so that neither a decision nor the receiver of a
// message waits for the network.
type outbox struct {
	peers Peers
	topic string
	queue chan outgoing
}

// outgoing is a message to another host.
type outgoing struct {
	to      fleet.HostID
	payload []byte
}

func newOutbox(peers Peers, topic string) *outbox {
	return &outbox{peers: peers, topic: topic, queue: make(chan outgoing, mailbox)}
}

// post queues a message, and drops it if too many wait.
func (o *outbox) post(to fleet.HostID, payload []byte) {
	select {
	case o.queue <- outgoing{to: to, payload: payload}:
	default:
	}
}

// run sends the messages. A failure is not reported, since the protocols expect messages to be lost.
func (o *outbox) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case message := <-o.queue:
			bounded, cancel := context.WithTimeout(ctx, sendTimeout)
			_ = o.peers.Send(bounded, message.to, o.topic, message.payload)
			cancel()
		}
	}
}

// postMessage queues a message to the assigner on another host. The caller holds mu.
func (r *Runner) postMessage(action assigner.SendMessage) {
>>>>>>> ownership
	payload, err := encodeMessage(action.Message)
	if err != nil {
		r.Log.Error().Err(err).Str("service", string(r.Assigner.Service)).Msg("message not encoded")
		return
	}
<<<<<<< HEAD
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
=======
	r.messages.post(action.To, payload)
>>>>>>> ownership
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
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), sendTimeout)
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
