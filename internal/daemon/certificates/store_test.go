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

// handshake connects a client of one store to a server of another and returns the client's serial number as seen there.
func handshake(t *testing.T, server, client *certificates.Store, name string) (string, error) {
	t.Helper()
	near, far := net.Pipe()
	t.Cleanup(func() { _, _ = near.Close(), far.Close() })
	config := client.ClientConfig()
	config.ServerName = name
	go func() { _ = tls.Client(near, config).HandshakeContext(t.Context()) }()
	accepted := tls.Server(far, server.ServerConfig())
	if err := accepted.HandshakeContext(t.Context()); err != nil {
		return "", err
	}
	return accepted.ConnectionState().PeerCertificates[0].SerialNumber.String(), nil
}

func issue(t *testing.T, authority *certificates.Authority, name string) *certificates.Store {
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

// Guards against a replaced certificate that needs a restart, and against broken files that replace a good certificate.
func TestReplacement(t *testing.T) {
	is := is.New(t)
	authority, err := certificates.NewAuthority(t.TempDir(), time.Now())
	is.NoErr(err)
	server, client := issue(t, authority, "entry-1"), issue(t, authority, "entry-2")
	before, err := handshake(t, server, client, "entry-1")
	is.NoErr(err)

	_, err = authority.Issue("entry-2", "")
	is.NoErr(err)
	is.NoErr(client.Load())
	after, err := handshake(t, server, client, "entry-1")
	is.NoErr(err)
	is.True(before != after) // the new certificate is presented

	is.NoErr(os.WriteFile(client.Files.KeyFile, []byte("broken"), 0o600))
	is.True(errors.Is(client.Load(), certificates.ErrInvalid))
	again, err := handshake(t, server, client, "entry-1")
	is.NoErr(err)
	is.Equal(again, after) // the last good certificate stays in use
}

// Guards against a client of a foreign authority that is let in.
func TestForeignAuthority(t *testing.T) {
	is := is.New(t)
	own, err := certificates.NewAuthority(t.TempDir(), time.Now())
	is.NoErr(err)
	foreign, err := certificates.NewAuthority(t.TempDir(), time.Now())
	is.NoErr(err)
	_, err = handshake(t, issue(t, own, "entry-1"), issue(t, foreign, "entry-2"), "entry-1")
	is.True(err != nil)
}
