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

// maxBatchBytes limits the size of messages that are combined into one write, so that small ones share a packet.
const maxBatchBytes = 16 << 10

// link is one connection to a host, with the single stream that carries its messages.
type link struct {
	host        fleet.HostID
	incarnation uint64
	// dialed is set if this daemon dialed the connection, and unset if it accepted it.
	dialed   bool
	conn     *quic.Conn
	stream   *quic.Stream
	reader   *bufio.Reader
	outgoing chan *wire.Envelope
	// done is closed by retire, after which no more messages are written to the link.
	done   chan struct{}
	retire func()

	// wantedLocally and wantedRemotely are guarded by the mesh's mu. They are set while this daemon or the other host,
	// respectively, wants the other as a peer.
	wantedLocally, wantedRemotely bool
	// peerUp is guarded by the mesh's mu and set while the host is a connected peer through this link.
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

// close retires the link and closes its connection.
func (l *link) close(reason string) {
	l.retire()
	_ = l.conn.CloseWithError(0, reason)
}

// establishLink opens the stream of a connection that this daemon dialed, and exchanges hello messages. It does not register the
// link.
func (m *Mesh) establishLink(ctx context.Context, id fleet.HostID, conn *quic.Conn) (*link, error) {
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, errors.Wrapf(ErrUnreachable, "open stream to %s: %v", id, err)
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
		return nil, errors.Wrapf(ErrIdentity, "dialed %s, but host %s responded", id, l.host)
	}
	return l, nil
}

// acceptLink accepts the stream of a connection that another host dialed, exchanges hello messages and registers the link.
func (m *Mesh) acceptLink(run *runState, conn *quic.Conn) (*link, error) {
	ctx, cancel := context.WithTimeout(run.ctx, m.DialTimeout)
	defer cancel()
	stream, err := conn.AcceptStream(ctx)
	if err != nil {
		return nil, errors.Wrapf(ErrUnreachable, "accept stream: %v", err)
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

// helloEnvelope returns a hello message. peer states whether this daemon wants the host as a peer.
func (m *Mesh) helloEnvelope(peer bool) *wire.Envelope {
	return &wire.Envelope{Hello: &wire.Hello{Host: string(m.Local.ID), Incarnation: m.Incarnation, Peer: peer}}
}

func (m *Mesh) sendHello(l *link, peer bool) error {
	_ = l.stream.SetWriteDeadline(m.deadlineAfter(m.DialTimeout))
	return errors.Wrapf(wire.WriteEnvelope(l.stream, m.helloEnvelope(peer)), "mesh: send hello")
}

// receiveHello reads the identity that the other host claims and verifies it against its certificate.
func (m *Mesh) receiveHello(l *link) error {
	_ = l.stream.SetReadDeadline(m.deadlineAfter(m.DialTimeout))
	envelope, err := wire.ReadEnvelope(l.reader)
	if err != nil {
		return errors.Wrapf(ErrUnreachable, "receive hello: %v", err)
	}
	_ = l.stream.SetReadDeadline(time.Time{})
	l.host, l.incarnation = fleet.HostID(envelope.GetHello().GetHost()), envelope.GetHello().GetIncarnation()
	l.wantedRemotely = envelope.GetHello().GetPeer()
	certificates := l.conn.ConnectionState().TLS.PeerCertificates
	if l.host == "" || len(certificates) == 0 || certificates[0].VerifyHostname(string(l.host)) != nil {
		return errors.Wrapf(ErrIdentity, "host %q at %s", l.host, l.conn.RemoteAddr())
	}
	return nil
}

// registerLink makes l the link to its host, unless shouldReplace prefers an existing one. The link that is not used is still
// read for a while, because the other host may have sent messages on it before it switched to the preferred one.
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

// retireLinkLocked stops writing to a link, and closes it when no more messages can be in transit. The caller holds mu.
func (m *Mesh) retireLinkLocked(run *runState, l *link) {
	l.retire()
	run.tasks.Go(func() {
		_ = timer.Wait(run.ctx, m.Clock, retiredLinkLifetime)
		l.close("replaced")
	})
}

// moveQueueTo moves queued messages to the link that replaces this one, until the queue of that link is full.
func (l *link) moveQueueTo(replacement *link) {
	for {
		select {
		case envelope := <-l.outgoing:
			select {
			case replacement.outgoing <- envelope:
			default:
				return
			}
		default:
			return
		}
	}
}

// shouldReplace reports whether a new link replaces an old one to the same host. Both hosts come to the same result: the
// link with the higher incarnation wins, then the later of two links that the same host dialed, then the link dialed by the
// host with the lower identifier.
func (m *Mesh) shouldReplace(candidate, old *link) bool {
	switch {
	case candidate.incarnation != old.incarnation:
		return candidate.incarnation > old.incarnation
	case candidate.dialed == old.dialed:
		return true
	default:
		return candidate.dialed == (m.Local.ID < candidate.host)
	}
}

// readLoop passes received messages to the handlers of their topics until the connection ends.
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

// writeLoop writes queued messages until the link is retired or closed.
func (m *Mesh) writeLoop(run *runState, l *link) {
	for {
		select {
		case envelope := <-l.outgoing:
			if err := m.writeBatch(l, envelope); err != nil {
				m.Log.Debug().Err(err).Str("peer", string(l.host)).Msg("write to peer failed: connection closed")
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

// writeBatch writes a message together with messages queued after it, up to maxBatchBytes.
func (m *Mesh) writeBatch(l *link, envelope *wire.Envelope) error {
	var batch bytes.Buffer
	for {
		if err := wire.WriteEnvelope(&batch, envelope); err != nil {
			m.Log.Error().Err(err).Str("topic", envelope.GetTopic()).Msg("encode mesh message: dropped")
		}
		if batch.Len() >= maxBatchBytes || len(l.outgoing) == 0 {
			break
		}
		envelope = <-l.outgoing
	}
	_ = l.stream.SetWriteDeadline(m.deadlineAfter(m.WriteTimeout))
	_, err := l.stream.Write(batch.Bytes())
	return errors.Wrap(err, "mesh: write messages")
}

// enqueue queues a message, and blocks while the queue is full.
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

// setWantedLocally sets whether this daemon wants the host as a peer, and tells the other host.
func (m *Mesh) setWantedLocally(run *runState, l *link, wanted bool) {
	m.mu.Lock()
	l.wantedLocally = wanted
	m.updatePeerStateLocked(run, l)
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(run.ctx, m.WriteTimeout)
	defer cancel()
	_ = l.enqueue(ctx, m.helloEnvelope(wanted))
}

// setWantedRemotely sets whether the other host wants this daemon as a peer.
func (m *Mesh) setWantedRemotely(run *runState, l *link, wanted bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l.wantedRemotely = wanted
	m.updatePeerStateLocked(run, l)
}

// updatePeerStateLocked adds an event if the host has become a connected peer or no longer is one. The caller holds mu.
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

// removeLink closes a link and, if it is the one in use, removes it.
func (m *Mesh) removeLink(run *runState, l *link) {
	l.close("ended")
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.links[l.host] == l {
		delete(m.links, l.host)
		m.updatePeerStateLocked(run, l)
	}
}
