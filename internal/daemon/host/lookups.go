package host

import (
	"bytes"
	"context"
	"encoding/binary"
	"sync"

	"github.com/cockroachdb/errors"

	"rosemarywick.example/rosemarywick/internal/core/cause"
	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/observe/records"
)

const (
	// questionTopic and answerTopic are the mesh topics of lookups and of their answers.
	questionTopic = "records/find"
	answerTopic   = "records/found"
	// questionIDSize is the size in bytes of the number that an answer repeats from its question.
	questionIDSize = 8
	// maxRequestID limits the request identifier in a question, in bytes.
	maxRequestID = 256
)

// recordLookups asks the other daemons for their records of a request, and answers such lookups of theirs. A message begins
// with the number of the question, which is unique on the asking daemon.
type recordLookups struct {
	daemon *Daemon

	mu sync.Mutex
	// lastID is guarded by mu: the number of the latest question.
	lastID uint64
	// waiting is guarded by mu: the channels for the answers to open questions, by their numbers.
	waiting map[uint64]chan []byte
}

func newRecordLookups(d *Daemon) *recordLookups {
	l := &recordLookups{daemon: d, waiting: make(map[uint64]chan []byte)}
	d.peers.mesh.Handle(questionTopic, l.answer)
	d.peers.mesh.Handle(answerTopic, l.receive)
	return l
}

// Others returns the other members of the fleet.
func (l *recordLookups) Others() []fleet.HostID {
	var others []fleet.HostID
	for _, member := range l.daemon.peers.gossip.Members() {
		if member.ID != l.daemon.Settings.Host.ID {
			others = append(others, member.ID)
		}
	}
	return others
}

// Find asks a host for the records of a request in its ring buffer.
func (l *recordLookups) Find(ctx context.Context, host fleet.HostID, request fleet.RequestID) ([]cause.Record, error) {
	id, answer := l.register()
	defer l.unregister(id)
	question := binary.BigEndian.AppendUint64(nil, id)
	question = append(question, request...)
	if err := l.daemon.peers.mesh.Send(ctx, host, questionTopic, question); err != nil {
		return nil, errors.Wrapf(err, "ask %s for records", host)
	}
	select {
	case content := <-answer:
		batch, err := records.Decode(content)
		if err != nil {
			return nil, errors.Wrapf(err, "read records of %s", host)
		}
		return batch.Records, nil
	case <-ctx.Done():
		return nil, errors.Wrapf(context.Cause(ctx), "wait for records of %s", host)
	}
}

// register returns a new question number and the channel for its answer.
func (l *recordLookups) register() (uint64, chan []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastID++
	answer := make(chan []byte, 1)
	l.waiting[l.lastID] = answer
	return l.lastID, answer
}

// unregister removes a question whose answer is no longer awaited.
func (l *recordLookups) unregister(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiting, id)
}

// answer sends the records of a request in the ring buffer to the daemon that asked for them.
func (l *recordLookups) answer(ctx context.Context, from fleet.HostID, question []byte) {
	if len(question) < questionIDSize || len(question) > questionIDSize+maxRequestID {
		return
	}
	id, request := question[:questionIDSize], fleet.RequestID(question[questionIDSize:])
	batch := &records.Batch{
		Host: l.daemon.Settings.Host.ID, Written: l.daemon.Timer.Now(), Records: l.daemon.requestPath.ring.Find(request),
	}
	content, err := batch.Encode()
	if err != nil {
		l.daemon.Log.Error().Err(err).Str("request", string(request)).Msg("encode records for a peer: sending no answer")
		return
	}
	// An error means that the asking daemon is gone or unreachable. Its lookup ends at its own deadline.
	_ = l.daemon.peers.mesh.Send(ctx, from, answerTopic, append(bytes.Clone(id), content...))
}

// receive passes an answer to the lookup that waits for it. Late and duplicate answers are dropped.
func (l *recordLookups) receive(_ context.Context, _ fleet.HostID, message []byte) {
	if len(message) < questionIDSize {
		return
	}
	l.mu.Lock()
	answer := l.waiting[binary.BigEndian.Uint64(message)]
	l.mu.Unlock()
	if answer == nil {
		return
	}
	select {
	case answer <- bytes.Clone(message[questionIDSize:]):
	default:
	}
}
