package mesh

import (
	"bufio"
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/peer/wire"
)

// batchBytes bounds the messages that are written at once, so that several small ones share a packet.
const maxBatchBytes = 16 << 10

// link is one connection to a host.
type link struct {
	host        fleet.HostID
	incarnation uint64
	// dialed is set when this daemon made the connection.
	dialed   bool
	conn     *quic.Conn
	stream   *quic.Stream
	reader   *bufio.Reader
	outgoing chan *wire.Envelope
	// done is closed by retire, after which nothing more is written to the link.
	done   chan struct{}
	retire func()

	// wanted and wantedThere are guarded by the mesh's mu and say which side wants the link as a peer's.
	wantedLocally, wantedRemotely bool
	// up is guarded by the mesh's mu and set while the host counts as a peer through this link.
	peerUp bool
}

func newLink(conn *quic.Conn, stream *quic.Stream) *link {
	l := &link{
		conn: conn, stream: stream, reader: bufio.NewReaderSize(stream, 2048),
		outgoing: make(chan *wire.Envelope, outgoingQueueLength), done: make(chan struct{}),
	}
	l.retire = sync.OnceFunc(func() { close(l.done) })
	return l
}

func (l *link) close(reason string) {
	l.retire()
	_ = l.conn.CloseWithError(0, reason)
}

// greet introduces this daemon on a connection that it has made. It does not register the link.
func (m *Mesh) establishLink(ctx context.Context, id fleet.HostID, conn *quic.Conn) (*link, error) {
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, errors.Wrapf(ErrUnreachable, "greet %s: %v", id, err)
	}
	l := newLink(conn, stream)
	l.dialed = true
	if err := m.sendHello(l, false); err != nil {
		return nil, err
	}
	if err := m.receiveHello(l); err != nil {
		return nil, err
	}
	if l.host != id {
		return nil, errors.Wrapf(ErrIdentity, "dialed %s, found %s", id, l.host)
	}
	return l, nil
}

// welcome introduces this daemon on a connection that another host has made.
func (m *Mesh) acceptLink(run *runState, conn *quic.Conn) (*link, error) {
	ctx, cancel := context.WithTimeout(run.ctx, m.DialTimeout)
	defer cancel()
	stream, err := conn.AcceptStream(ctx)
	if err != nil {
		return nil, errors.Wrapf(ErrUnreachable, "welcome: %v", err)
	}
	l := newLink(conn, stream)
	if err := m.receiveHello(l); err != nil {
		return nil, err
	}
	if err := m.sendHello(l, false); err != nil {
		return nil, err
	}
	return l, m.registerLink(run, l)
}

func (m *Mesh) helloEnvelope(peer bool) *wire.Envelope {
	return &wire.Envelope{Hello: &wire.Hello{Host: string(m.Local.ID), Incarnation: m.Incarnation, Peer: peer}}
}

func (m *Mesh) sendHello(l *link, peer bool) error {
	_ = l.stream.SetWriteDeadline(m.deadlineAfter(m.DialTimeout))
	return errors.Wrapf(wire.WriteEnvelope(l.stream, m.helloEnvelope(peer)), "mesh: hello")
}

// receiveHello reads who the other side claims to be and checks it against its certificate.
func (m *Mesh) receiveHello(l *link) error {
	_ = l.stream.SetReadDeadline(m.deadlineAfter(m.DialTimeout))
	envelope, err := wire.ReadEnvelope(l.reader)
	if err != nil {
		return errors.Wrapf(ErrUnreachable, "hello: %v", err)
	}
	_ = l.stream.SetReadDeadline(time.Time{})
	l.host, l.incarnation = fleet.HostID(envelope.GetHello().GetHost()), envelope.GetHello().GetIncarnation()
	l.wantedRemotely = envelope.GetHello().GetPeer()
	certificates := l.conn.ConnectionState().TLS.PeerCertificates
	if l.host == "" || len(certificates) == 0 || certificates[0].VerifyHostname(string(l.host)) != nil {
		return errors.Wrapf(ErrIdentity, "%q at %s", l.host, l.conn.RemoteAddr())
	}
	return nil
}

// register makes l the connection to its host, unless there is a better one. The worse one is still read for a while, as
// the other host may have sent messages on it before it saw the better one.
func (m *Mesh) registerLink(run *runState, l *link) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.running != run {
		return ErrNotRunning
	}
	m.openLinks[l] = struct{}{}
	old := m.links[l.host]
	if old != nil && !m.shouldReplace(l, old) {
		m.retireLinkLocked(run, l)
		return nil
	}
	if old != nil {
		delete(m.links, l.host)
		m.updatePeerStateLocked(run, old)
		m.retireLinkLocked(run, old)
		old.moveQueueTo(l)
	}
	m.links[l.host] = l
	run.tasks.Go(func() { m.writeLoop(run, l) })
	m.updatePeerStateLocked(run, l)
	return nil
}

// lingerLocked ends a link that is no longer used after the time in which messages may still arrive. The caller holds mu.
func (m *Mesh) retireLinkLocked(run *runState, l *link) {
	l.retire()
	run.tasks.Go(func() {
		_ = timer.Wait(run.ctx, m.Clock, retiredLinkLifetime)
		l.close("replaced")
	})
}

// handOver moves what is queued to the link that replaces this one, as far as it has room.
func (l *link) moveQueueTo(fresh *link) {
	for {
		select {
		case envelope := <-l.outgoing:
			select {
			case fresh.outgoing <- envelope:
			default:
				return
			}
		default:
			return
		}
	}
}

// prefer reports whether a new connection replaces an old one to the same host. Both hosts come to the same result: a
// later start of the host wins, then the later of two connections that the same host made, then the one made by the
// host with the lower identifier.
func (m *Mesh) shouldReplace(fresh, old *link) bool {
	switch {
	case fresh.incarnation != old.incarnation:
		return fresh.incarnation > old.incarnation
	case fresh.dialed == old.dialed:
		return true
	default:
		return fresh.dialed == (m.Local.ID < fresh.host)
	}
}

// read passes the messages of a connection to their handlers until the connection ends.
func (m *Mesh) readLoop(run *runState, l *link) {
	defer m.addClosedTraffic(l)
	defer m.removeLink(run, l)
	ctx, cancel := context.WithCancel(run.ctx)
	defer cancel()
	for {
		envelope, err := wire.ReadEnvelope(l.reader)
		if err != nil {
			m.Log.Debug().Err(err).Str("peer", string(l.host)).Msg("peer connection ended")
			return
		}
		if hello := envelope.GetHello(); hello != nil {
			m.setWantedRemotely(run, l, hello.GetPeer())
		}
		if handler := m.handlers[envelope.GetTopic()]; handler != nil {
			handler(ctx, l.host, envelope.GetPayload())
		}
	}
}

// write sends what is queued for a connection until the connection ends.
func (m *Mesh) writeLoop(run *runState, l *link) {
	for {
		select {
		case envelope := <-l.outgoing:
			if err := m.writeBatch(l, envelope); err != nil {
				m.Log.Debug().Err(err).Str("peer", string(l.host)).Msg("peer accepts no data")
				m.removeLink(run, l)
				return
			}
		case <-l.done:
			return
		case <-run.ctx.Done():
			return
		}
	}
}

// writeBatch writes a message together with those queued behind it.
func (m *Mesh) writeBatch(l *link, envelope *wire.Envelope) error {
	var batch bytes.Buffer
	for {
		if err := wire.WriteEnvelope(&batch, envelope); err != nil {
			m.Log.Error().Err(err).Str("topic", envelope.GetTopic()).Msg("message not sent")
		}
		if batch.Len() >= maxBatchBytes || len(l.outgoing) == 0 {
			break
		}
		envelope = <-l.outgoing
	}
	_ = l.stream.SetWriteDeadline(m.deadlineAfter(m.WriteTimeout))
	_, err := l.stream.Write(batch.Bytes())
	return errors.Wrap(err, "mesh: write")
}

// queue waits for room in the queue of the link.
func (l *link) enqueue(ctx context.Context, envelope *wire.Envelope) error {
	select {
	case l.outgoing <- envelope:
		return nil
	case <-l.done:
		return errors.Wrapf(ErrUnreachable, "connection to %s ended", l.host)
	case <-ctx.Done():
		return errors.Wrapf(ErrUnreachable, "queue of %s is full: %v", l.host, context.Cause(ctx))
	}
}

// want states whether this daemon wants the link as a peer's, and tells the other side.
func (m *Mesh) setWantedLocally(run *runState, l *link, wanted bool) {
	m.mu.Lock()
	l.wantedLocally = wanted
	m.updatePeerStateLocked(run, l)
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(run.ctx, m.WriteTimeout)
	defer cancel()
	_ = l.enqueue(ctx, m.helloEnvelope(wanted))
}

func (m *Mesh) setWantedRemotely(run *runState, l *link, wanted bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l.wantedRemotely = wanted
	m.updatePeerStateLocked(run, l)
}

// updateLocked emits an event when a host becomes or is no longer a peer. The caller holds mu.
func (m *Mesh) updatePeerStateLocked(run *runState, l *link) {
	up := m.links[l.host] == l && (l.wantedLocally || l.wantedRemotely)
	if up == l.peerUp {
		return
	}
	l.peerUp = up
	run.events = append(run.events, peerEvent{host: l.host, up: up})
	select {
	case run.signal <- struct{}{}:
	default:
	}
}

// drop closes a link and ends its use.
func (m *Mesh) removeLink(run *runState, l *link) {
	l.close("ended")
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.links[l.host] == l {
		delete(m.links, l.host)
		m.updatePeerStateLocked(run, l)
	}
}
