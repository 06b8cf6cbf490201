package dev

import (
	"context"
	"net"
	"net/netip"

	"github.com/cockroachdb/errors"
)

// sockets holds the open sockets of one daemon. They stay open until the daemon takes them over. If a free port were only chosen
// and opened again later, another process could take it in between.
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

// close closes the sockets that are open. Errors are ignored, since nothing was sent over them.
func (s *sockets) close() {
	_ = s.peer.Close()
	if s.callers != nil {
		_ = s.callers.Close()
	}
	if s.operators != nil {
		_ = s.operators.Close()
	}
}

// addresses are the addresses on which one daemon listens.
type addresses struct {
	peer, callers, operators netip.AddrPort
}
