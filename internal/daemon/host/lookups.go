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
	// lookupTopic and answerTopic are the mesh topics of lookups and of their answers.
	lookupTopic = "records/find"
	answerTopic = "records/found"
	// lookupIDSize is the size in bytes of the lookup identifier, which an answer repeats.
	lookupIDSize = 8
	// maxRequestID limits the request identifier in a lookup, in bytes.
	maxRequestID = 256
)

// recordLookups asks the other daemons for their records of a request, and answers their lookups. A message begins
// with the identifier of the lookup, which is unique on the asking daemon.
type recordLookups struct {
	daemon *Daemon

	mu sync.Mutex
	// lastID is guarded by mu: the identifier of the latest lookup.
	lastID uint64
	// waiting is guarded by mu: the channels for the answers to pending lookups, by their identifiers.
	waiting map[uint64]chan []byte
}

func newRecordLookups(d *Daemon) *recordLookups {
	l := &recordLookups{daemon: d, waiting: make(map[uint64]chan []byte)}
	d.peers.mesh.Handle(lookupTopic, l.answer)
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
	message := binary.BigEndian.AppendUint64(nil, id)
	message = append(message, request...)
	if err := l.daemon.peers.mesh.Send(ctx, host, lookupTopic, message); err != nil {
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

// register returns a new lookup identifier and the channel for its answer.
func (l *recordLookups) register() (uint64, chan []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastID++
	answer := make(chan []byte, 1)
	l.waiting[l.lastID] = answer
	return l.lastID, answer
}

// unregister removes a lookup whose answer is no longer awaited.
func (l *recordLookups) unregister(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiting, id)
}

// answer sends the records of a request in the ring buffer to the daemon that asked for them.
func (l *recordLookups) answer(ctx context.Context, from fleet.HostID, message []byte) {
	if len(message) < lookupIDSize || len(message) > lookupIDSize+maxRequestID {
		return
	}
	id, request := message[:lookupIDSize], fleet.RequestID(message[lookupIDSize:])
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
	if len(message) < lookupIDSize {
		return
	}
	l.mu.Lock()
	answer := l.waiting[binary.BigEndian.Uint64(message)]
	l.mu.Unlock()
	if answer == nil {
		return
	}
	select {
	case answer <- bytes.Clone(message[lookupIDSize:]):
	default:
	}
}
