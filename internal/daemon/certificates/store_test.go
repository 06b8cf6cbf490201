package certificates_test

import (
	"crypto/tls"
	"net"
	"os"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/daemon/certificates"
)

// clientSerialSeenByServer connects a client of one store to a server of another, and returns the serial number of the client
// certificate that the server receives.
func clientSerialSeenByServer(t *testing.T, server, client *certificates.Store, name string) (string, error) {
	t.Helper()
	clientConn, serverConn := net.Pipe()
	t.Cleanup(func() { _, _ = clientConn.Close(), serverConn.Close() })
	config := client.ClientConfig()
	config.ServerName = name
	go func() { _ = tls.Client(clientConn, config).HandshakeContext(t.Context()) }()
	tlsServer := tls.Server(serverConn, server.ServerConfig())
	if err := tlsServer.HandshakeContext(t.Context()); err != nil {
		return "", err
	}
	return tlsServer.ConnectionState().PeerCertificates[0].SerialNumber.String(), nil
}

// newStore returns a store with a new certificate for name.
func newStore(t *testing.T, authority *certificates.Authority, name string) *certificates.Store {
	t.Helper()
	files, err := authority.Issue(name, "")
	if err != nil {
		t.Fatal(err)
	}
	store := &certificates.Store{Files: files, Timer: timer.System{}, Log: zerolog.Nop()}
	if err := store.Load(); err != nil {
		t.Fatal(err)
	}
	return store
}

// Guards against replaced files that take effect only after a restart, and against invalid files that replace a valid
// certificate.
func TestReplacedCertificateIsUsed(t *testing.T) {
	is := is.New(t)
	authority, err := certificates.NewAuthority(t.TempDir(), time.Now())
	is.NoErr(err)
	server, client := newStore(t, authority, "entry-1"), newStore(t, authority, "entry-2")
	before, err := clientSerialSeenByServer(t, server, client, "entry-1")
	is.NoErr(err)

	_, err = authority.Issue("entry-2", "")
	is.NoErr(err)
	is.NoErr(client.Load())
	after, err := clientSerialSeenByServer(t, server, client, "entry-1")
	is.NoErr(err)
	is.True(before != after) // the new certificate is presented

	is.NoErr(os.WriteFile(client.Files.KeyFile, []byte("broken"), 0o600))
	is.True(errors.Is(client.Load(), certificates.ErrInvalid))
	again, err := clientSerialSeenByServer(t, server, client, "entry-1")
	is.NoErr(err)
	is.Equal(again, after) // the last good certificate stays in use
}

// Guards against a server that accepts a client certificate of an unknown authority.
func TestCertificateOfOtherAuthorityIsRejected(t *testing.T) {
	is := is.New(t)
	own, err := certificates.NewAuthority(t.TempDir(), time.Now())
	is.NoErr(err)
	foreign, err := certificates.NewAuthority(t.TempDir(), time.Now())
	is.NoErr(err)
	_, err = clientSerialSeenByServer(t, newStore(t, own, "entry-1"), newStore(t, foreign, "entry-2"), "entry-1")
	is.True(err != nil)
}
