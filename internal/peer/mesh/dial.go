package mesh

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/core/timer"
)

// protocol is the application protocol that both sides negotiate.
const alpnProtocol = "rosemarywick-peer/1"

// attempt is a dial in progress, which all callers that need the host wait for.
type dialAttempt struct {
	done chan struct{}
	// link and err are set before done is closed.
	link *link
	err  error
}

// keep holds a host connected as a peer until ctx ends.
func (m *Mesh) maintainPeer(ctx context.Context, run *runState, host fleet.Host) {
	backoff := minBackoff
	for ctx.Err() == nil {
		link, err := m.linkToAddress(ctx, host.ID, host.PeerAddress)
		if err == nil {
			backoff = minBackoff
			m.setWantedLocally(run, link, true)
			select {
			case <-link.done:
			case <-ctx.Done():
				m.setWantedLocally(run, link, false)
				return
			}
		} else {
			m.Log.Debug().Err(err).Str("peer", string(host.ID)).Msg("peer not connected")
		}
		// The random part keeps hosts from dialing a returning host all at once.
		pause := backoff/2 + rand.N(backoff/2)
		if timer.Wait(ctx, m.Clock, pause) != nil {
			return
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// connect returns the connection to a host and dials it if there is none.
func (m *Mesh) linkTo(ctx context.Context, id fleet.HostID) (*link, error) {
	m.mu.Lock()
	run, existing := m.running, m.links[id]
	m.mu.Unlock()
	switch {
	case run == nil:
		return nil, ErrNotRunning
	case existing != nil:
		return existing, nil
	}
	if m.Resolve == nil || id == m.Local.ID {
		return nil, errors.Wrapf(ErrUnreachable, "no address of %s", id)
	}
	address, found := m.Resolve(id)
	if !found {
		return nil, errors.Wrapf(ErrUnreachable, "no address of %s", id)
	}
	return m.linkToAddress(ctx, id, address)
}

func (m *Mesh) linkToAddress(ctx context.Context, id fleet.HostID, address netip.AddrPort) (*link, error) {
	m.mu.Lock()
	run := m.running
	if run == nil {
		m.mu.Unlock()
		return nil, ErrNotRunning
	}
	if existing := m.links[id]; existing != nil {
		m.mu.Unlock()
		return existing, nil
	}
	pending := m.dials[id]
	if pending == nil {
		pending = &dialAttempt{done: make(chan struct{})}
		m.dials[id] = pending
		run.tasks.Go(func() { m.dial(run, id, address, pending) })
	}
	m.mu.Unlock()
	select {
	case <-pending.done:
		return pending.link, pending.err
	case <-ctx.Done():
		return nil, errors.Wrapf(ErrUnreachable, "dial %s: %v", id, context.Cause(ctx))
	}
}

// dial makes one connection, tells all who wait for it, and reads it until it ends.
func (m *Mesh) dial(run *runState, id fleet.HostID, address netip.AddrPort, pending *dialAttempt) {
	l, err := m.dialOnce(run, id, address)
	if err == nil {
		err = m.registerLink(run, l)
	}
	m.mu.Lock()
	delete(m.dials, id)
	// The other host may have made a connection meanwhile, which is the one to use.
	if pending.link = m.links[id]; pending.link == nil {
		pending.err = errors.CombineErrors(err, errors.Wrapf(ErrUnreachable, "connection to %s ended", id))
	}
	m.mu.Unlock()
	close(pending.done)
	switch {
	case err == nil:
		m.readLoop(run, l)
	case l != nil:
		l.close("stopping")
	}
}

func (m *Mesh) dialOnce(run *runState, id fleet.HostID, address netip.AddrPort) (*link, error) {
	ctx, cancel := context.WithTimeout(run.ctx, m.DialTimeout)
	defer cancel()
	conn, err := run.transport.Dial(ctx, net.UDPAddrFromAddrPort(address), m.clientTLS(id), m.quicConfig())
	if err != nil {
		return nil, errors.Wrapf(ErrUnreachable, "dial %s: %v", id, err)
	}
	link, err := m.establishLink(ctx, id, conn)
	if err != nil {
		_ = conn.CloseWithError(0, "refused")
	}
	return link, err
}

func (m *Mesh) clientTLS(id fleet.HostID) *tls.Config {
	config := m.TLS.Clone()
	config.ServerName = string(id)
	config.NextProtos = []string{alpnProtocol}
	config.MinVersion = tls.VersionTLS13
	return config
}

func (m *Mesh) serverTLS() *tls.Config {
	config := m.TLS.Clone()
	config.NextProtos = []string{alpnProtocol}
	config.MinVersion = tls.VersionTLS13
	config.ClientAuth = tls.RequireAndVerifyClientCert
	if config.ClientCAs == nil {
		config.ClientCAs = config.RootCAs
	}
	return config
}

// deadline returns the wall-clock time at which a read or write of the network is given up.
func (m *Mesh) deadlineAfter(timeout time.Duration) time.Time {
	return m.Clock.Now().Add(timeout)
}
