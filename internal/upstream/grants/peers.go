package grants

import (
	"context"
	"sync"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/ownership/assigner"
)

// maxQueuedMessages limits the messages queued for one host. Of more, the oldest is dropped, since newer ones
// supersede it.
const maxQueuedMessages = 4

// outbox sends the messages of one topic. Each host with queued messages has its own goroutine, so that an unreachable host
// delays neither decisions nor messages to other hosts. With one goroutine for all hosts, a few unreachable hosts delayed the
// heartbeats until the deputy took over.
type outbox struct {
	peers Peers
	topic string
	// ctx bounds all sends.
	ctx   context.Context
	tasks *sync.WaitGroup

	// mu guards the fields below.
	mu sync.Mutex
	// queued has an entry for each host that has a running goroutine.
	queued map[fleet.HostID][][]byte
	closed bool
}

func newOutbox(ctx context.Context, tasks *sync.WaitGroup, peers Peers, topic string) *outbox {
	return &outbox{peers: peers, topic: topic, ctx: ctx, tasks: tasks, queued: make(map[fleet.HostID][][]byte)}
}

// post queues a message to a host. It does not block.
func (o *outbox) post(to fleet.HostID, payload []byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		return
	}
	queue, active := o.queued[to]
	if len(queue) == maxQueuedMessages {
		queue = queue[1:]
	}
	o.queued[to] = append(queue, payload)
	if !active {
		o.tasks.Go(func() { o.sendQueued(to) })
	}
}

// sendQueued sends the messages queued for one host. Failures are ignored, since the protocols tolerate lost messages.
func (o *outbox) sendQueued(to fleet.HostID) {
	for payload := o.pop(to); payload != nil; payload = o.pop(to) {
		sendCtx, cancel := context.WithTimeout(o.ctx, sendTimeout)
		_ = o.peers.Send(sendCtx, to, o.topic, payload)
		cancel()
	}
}

// pop removes and returns the oldest message queued for a host. If there is none, it removes the host and returns nil, and
// the goroutine of the host must end.
func (o *outbox) pop(to fleet.HostID) []byte {
	o.mu.Lock()
	defer o.mu.Unlock()
	queue := o.queued[to]
	if len(queue) == 0 || o.closed {
		delete(o.queued, to)
		return nil
	}
	o.queued[to] = queue[1:]
	return queue[0]
}

// close drops the queued messages and ignores further ones.
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
	r.step(func(now time.Time) []assigner.Action { return r.Assigner.HandleMessage(now, from, message) })
}

// handOver gives up the role and tells the deputy to take it over. It runs after ctx has ended, within sendTimeout.
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

// stopSteps prevents further steps and returns the actions that give up the role.
func (r *Runner) stopSteps() []assigner.Action {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running = false
	return r.Assigner.HandOver(r.Timer.Now())
}
