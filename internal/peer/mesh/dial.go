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

// alpnProtocol is the application protocol that the hosts negotiate in the TLS handshake.
const alpnProtocol = "rosemarywick-peer/1"

// dialAttempt is a dial in progress, shared by all callers that wait for the host.
type dialAttempt struct {
	done chan struct{}
	// link and err are set before done is closed.
	link *link
	err  error
}

// maintainPeer keeps a host connected as a peer until ctx ends.
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
			m.Log.Debug().Err(err).Str("peer", string(host.ID)).Msg("connect to peer: retrying")
		}
		// Jitter keeps the other hosts from all dialing a returning host at once.
		delay := backoff/2 + rand.N(backoff/2)
		if timer.Wait(ctx, m.Clock, delay) != nil {
			return
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// linkTo returns the link to a host. If there is none, it resolves and dials the host.
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
		return nil, errors.Wrapf(ErrUnreachable, "no address known for host %s", id)
	}
	address, found := m.Resolve(id)
	if !found {
		return nil, errors.Wrapf(ErrUnreachable, "no address known for host %s", id)
	}
	return m.linkToAddress(ctx, id, address)
}

// linkToAddress is linkTo for a host whose address is known. It joins a dial in progress.
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
	attempt := m.dials[id]
	if attempt == nil {
		attempt = &dialAttempt{done: make(chan struct{})}
		m.dials[id] = attempt
		run.tasks.Go(func() { m.dial(run, id, address, attempt) })
	}
	m.mu.Unlock()
	select {
	case <-attempt.done:
		return attempt.link, attempt.err
	case <-ctx.Done():
		return nil, errors.Wrapf(ErrUnreachable, "dial %s: %v", id, context.Cause(ctx))
	}
}

// dial dials a host, reports the result to all callers that wait for it, and then reads the link until it ends.
func (m *Mesh) dial(run *runState, id fleet.HostID, address netip.AddrPort, attempt *dialAttempt) {
	l, err := m.dialOnce(run, id, address)
	if err == nil {
		err = m.registerLink(run, l)
	}
	m.mu.Lock()
	delete(m.dials, id)
	// The other host may have connected in the meantime; use the link that was registered.
	if attempt.link = m.links[id]; attempt.link == nil {
		attempt.err = errors.CombineErrors(err, errors.Wrapf(ErrUnreachable, "connection to %s ended", id))
	}
	m.mu.Unlock()
	close(attempt.done)
	switch {
	case err == nil:
		m.readLoop(run, l)
	case l != nil:
		l.close("stopping")
	}
}

// dialOnce dials a host and exchanges hello messages. It does not register the link.
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

// deadlineAfter returns the time at which a network read or write that starts now times out.
func (m *Mesh) deadlineAfter(timeout time.Duration) time.Time {
	return m.Clock.Now().Add(timeout)
}
