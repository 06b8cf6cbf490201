package grants

import (
	"context"
	"sync"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/ownership/assigner"
)

// mailbox is the number of messages to one host that may wait. More are dropped; the next round repeats them.
const mailbox = 8

// outbox sends the messages of one topic, so that neither a decision nor the receiver of a message waits for the network.
// Each host has a goroutine of its own while messages wait for it, because a host that does not answer would hold up the
// heartbeats to the others.
type outbox struct {
	peers Peers
	topic string

	mu sync.Mutex
	// ctx is guarded by mu and nil unless run is running.
	ctx context.Context
	// waiting is guarded by mu and contains what is to be sent to each host. A host is listed while it has a goroutine.
	waiting map[fleet.HostID][][]byte
	senders sync.WaitGroup
}

func newOutbox(peers Peers, topic string) *outbox {
	return &outbox{peers: peers, topic: topic, waiting: make(map[fleet.HostID][][]byte)}
}

// post queues a message, and drops it if too many wait or the outbox does not run.
func (o *outbox) post(to fleet.HostID, payload []byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ctx == nil {
		return
	}
	queue, sending := o.waiting[to]
	if len(queue) < mailbox {
		o.waiting[to] = append(queue, payload)
	}
	if !sending {
		ctx := o.ctx
		o.senders.Go(func() { o.send(ctx, to) })
	}
}

// run lets messages be sent until ctx ends, and waits for the last.
func (o *outbox) run(ctx context.Context) {
	o.mu.Lock()
	o.ctx = ctx
	o.mu.Unlock()
	<-ctx.Done()
	o.mu.Lock()
	o.ctx = nil
	o.mu.Unlock()
	o.senders.Wait()
}

// send sends the messages that wait for one host. A failure is not reported, since the protocols expect messages to be
// lost.
func (o *outbox) send(ctx context.Context, to fleet.HostID) {
	for payload, found := o.next(to); found; payload, found = o.next(to) {
		bounded, cancel := context.WithTimeout(ctx, sendTimeout)
		_ = o.peers.Send(bounded, to, o.topic, payload)
		cancel()
	}
}

// next takes the first message that waits for a host. Once there is none, the host's goroutine ends.
func (o *outbox) next(to fleet.HostID) ([]byte, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	queue := o.waiting[to]
	if len(queue) == 0 {
		delete(o.waiting, to)
		return nil, false
	}
	o.waiting[to] = queue[1:]
	return queue[0], true
}

// postMessage queues a message to the assigner on another host. The caller holds mu.
func (r *Runner) postMessage(action assigner.SendMessage) {
	payload, err := encodeMessage(action.Message)
	if err != nil {
		r.Log.Error().Err(err).Str("service", string(r.Assigner.Service)).Msg("message not encoded")
		return
	}
	r.messages.post(action.To, payload)
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
