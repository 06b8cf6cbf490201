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
	questionTopic = "records/find"
	answerTopic   = "records/found"
	// numberSize is the size of the number by which an answer finds its question.
	questionIDSize = 8
	// maxRequestID bounds the request identifier in a question.
	maxRequestID = 256
)

// lookups asks the other daemons for the records of a request and answers their questions.
type recordLookups struct {
	daemon *Daemon

	mu sync.Mutex
	// next is guarded by mu.
	lastID uint64
	// waiting is guarded by mu.
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

// Find returns the records of a request in the ring of a host.
func (l *recordLookups) Find(ctx context.Context, host fleet.HostID, request fleet.RequestID) ([]cause.Record, error) {
	number, answer := l.register()
	defer l.unregister(number)
	question := binary.BigEndian.AppendUint64(nil, number)
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

func (l *recordLookups) register() (uint64, chan []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastID++
	answer := make(chan []byte, 1)
	l.waiting[l.lastID] = answer
	return l.lastID, answer
}

func (l *recordLookups) unregister(number uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiting, number)
}

// answer sends the records of the request that a daemon asks for.
func (l *recordLookups) answer(ctx context.Context, from fleet.HostID, question []byte) {
	if len(question) < questionIDSize || len(question) > questionIDSize+maxRequestID {
		return
	}
	number, request := question[:questionIDSize], fleet.RequestID(question[questionIDSize:])
	batch := &records.Batch{
		Host: l.daemon.Settings.Host.ID, Written: l.daemon.Timer.Now(), Records: l.daemon.requestPath.ring.Find(request),
	}
	content, err := batch.Encode()
	if err != nil {
		l.daemon.Log.Error().Err(err).Str("request", string(request)).Msg("records not encoded")
		return
	}
	// An error means that the asking daemon is gone; it does not wait for longer than its own deadline.
	_ = l.daemon.peers.mesh.Send(ctx, from, answerTopic, append(bytes.Clone(number), content...))
}

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
