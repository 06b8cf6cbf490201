package grants

import (
	"context"
	"sync"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/ownership/assigner"
)

// maxWaiting is the number of messages that may wait for one host. Older ones are dropped, since each round repeats them.
const maxQueuedMessages = 4

// outbox sends the messages of one topic with one goroutine for each host that has any waiting, so that neither a
// decision nor the messages to other hosts wait for a host that cannot be reached. With one goroutine for all hosts, a few
// lost hosts delayed the heartbeats until the deputy took over.
type outbox struct {
	peers Peers
	topic string
	// ctx ends all sending.
	ctx   context.Context
	tasks *sync.WaitGroup

	// mu guards the fields below.
	mu sync.Mutex
	// waiting has an entry for each host that has a goroutine.
	queued map[fleet.HostID][][]byte
	closed bool
}

func newOutbox(ctx context.Context, tasks *sync.WaitGroup, peers Peers, topic string) *outbox {
	return &outbox{peers: peers, topic: topic, ctx: ctx, tasks: tasks, queued: make(map[fleet.HostID][][]byte)}
}

// post queues a message.
func (o *outbox) post(to fleet.HostID, payload []byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		return
	}
	waiting, active := o.queued[to]
	if len(waiting) == maxQueuedMessages {
		waiting = waiting[1:]
	}
	o.queued[to] = append(waiting, payload)
	if !active {
		o.tasks.Go(func() { o.sendQueued(to) })
	}
}

// send sends what waits for one host. A failure is not reported, since the protocols expect messages to be lost.
func (o *outbox) sendQueued(to fleet.HostID) {
	for payload := o.pop(to); payload != nil; payload = o.pop(to) {
		bounded, cancel := context.WithTimeout(o.ctx, sendTimeout)
		_ = o.peers.Send(bounded, to, o.topic, payload)
		cancel()
	}
}

// next takes the message that has waited longest for a host. It returns nil, and the goroutine of the host ends, when
// there is none.
func (o *outbox) pop(to fleet.HostID) []byte {
	o.mu.Lock()
	defer o.mu.Unlock()
	waiting := o.queued[to]
	if len(waiting) == 0 || o.closed {
		delete(o.queued, to)
		return nil
	}
	o.queued[to] = waiting[1:]
	return waiting[0]
}

// close drops what waits and refuses further messages.
func (o *outbox) close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closed = true
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
	for _, action := range r.stopSteps() {
		switch action := action.(type) {
		case assigner.SendMessage:
			payload, err := encodeMessage(action.Message)
			if err == nil {
				err = r.Peers.Send(ctx, action.To, assignerTopic(r.Assigner.Service), payload)
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
func (r *Runner) stopSteps() []assigner.Action {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running = false
	return r.Assigner.HandOver(r.Timer.Now())
}
