package dev

import (
	"net"
	"testing"

	"github.com/matryer/is"
)

// Guards against a port that another process takes between the choice of the address and the start of the daemon.
func TestSocketsKeepTheirPorts(t *testing.T) {
	is := is.New(t)
	opened, err := openSockets(t.Context())
	is.NoErr(err)
	defer opened.close()
	at := opened.addresses()
	var listen net.ListenConfig
	_, err = listen.ListenPacket(t.Context(), "udp", at.peer.String())
	is.True(err != nil)
	for _, address := range []string{at.callers.String(), at.operators.String()} {
		_, err = listen.Listen(t.Context(), "tcp", address)
		is.True(err != nil)
	}
}
