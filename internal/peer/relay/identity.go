package relay

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"time"

	"github.com/cockroachdb/errors"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// certificateValidity is the validity of certificates before and after their issue. No certificate outlives its process, and
// the times of day of two hosts may differ by seconds, so the period only has to be long.
const certificateValidity = 10 * 365 * 24 * time.Hour

// newTLSConfig returns the TLS configuration of a host, with a certificate that this process issues to itself. The authority's
// key is derived from a seed in the platform's store, so that it proves that its holder may use the store.
func newTLSConfig(seed []byte, host fleet.HostID, now time.Time) (*tls.Config, error) {
	if len(seed) != ed25519.SeedSize {
		return nil, errors.Newf("relay: authority's seed has %d bytes instead of %d", len(seed), ed25519.SeedSize)
	}
	authorityKey := ed25519.NewKeyFromSeed(seed)
	authority := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "rosemarywick peers"},
		NotBefore: now.Add(-certificateValidity), NotAfter: now.Add(certificateValidity),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, authority, authority, authorityKey.Public(), authorityKey)
	if err != nil {
		return nil, errors.Wrap(err, "relay: create authority's certificate")
	}
	root, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, errors.Wrap(err, "relay: parse authority's certificate")
	}
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "relay: generate key")
	}
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	if err != nil {
		return nil, errors.Wrap(err, "relay: generate serial number")
	}
	own := &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: string(host)}, DNSNames: []string{string(host)},
		NotBefore: authority.NotBefore, NotAfter: authority.NotAfter, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	leaf, err := x509.CreateCertificate(rand.Reader, own, root, public, authorityKey)
	if err != nil {
		return nil, errors.Wrap(err, "relay: create certificate")
	}
	pool := x509.NewCertPool()
	pool.AddCert(root)
	return &tls.Config{
		MinVersion: tls.VersionTLS13, RootCAs: pool, ClientCAs: pool,
		Certificates: []tls.Certificate{{Certificate: [][]byte{leaf}, PrivateKey: private}},
	}, nil
}
