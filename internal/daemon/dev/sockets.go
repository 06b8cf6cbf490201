package dev

import (
	"context"
	"net"
	"net/netip"

	"github.com/cockroachdb/errors"
)

// sockets are the open sockets of one daemon. They stay open until the daemon has them: a port that is only looked for and opened
// again later may have gone to another process meanwhile.
type sockets struct {
	peer               net.PacketConn
	callers, operators net.Listener
}

// openSockets opens the sockets of one daemon on free ports of the loopback interface.
func openSockets(ctx context.Context) (*sockets, error) {
	const free = "127.0.0.1:0"
	var listen net.ListenConfig
	var opened sockets
	var err error
	if opened.peer, err = listen.ListenPacket(ctx, "udp", free); err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	if opened.callers, err = listen.Listen(ctx, "tcp", free); err != nil {
		opened.close()
		return nil, errors.Wrap(err, "listen for callers")
	}
	if opened.operators, err = listen.Listen(ctx, "tcp", free); err != nil {
		opened.close()
		return nil, errors.Wrap(err, "listen for operators")
	}
	return &opened, nil
}

// addresses returns where the sockets listen.
func (s *sockets) addresses() addresses {
	return addresses{
		peer:    s.peer.LocalAddr().(*net.UDPAddr).AddrPort(),
		callers: s.callers.Addr().(*net.TCPAddr).AddrPort(), operators: s.operators.Addr().(*net.TCPAddr).AddrPort(),
	}
}

// close closes the sockets that are open. Nothing was sent over them, so that an error says nothing.
func (s *sockets) close() {
	_ = s.peer.Close()
	if s.callers != nil {
		_ = s.callers.Close()
	}
	if s.operators != nil {
		_ = s.operators.Close()
	}
}

// addresses are those of one daemon.
type addresses struct {
	peer, callers, operators netip.AddrPort
}
