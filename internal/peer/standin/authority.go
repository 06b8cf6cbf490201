// Package standin holds a certificate authority in memory, for tests and development fleets. It is no part of the
// product: a real fleet gets its certificates from files that the settings name.
package standin

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"time"

	"github.com/cockroachdb/errors"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// lifetime is the validity of certificates, longer than any test or development fleet runs.
const lifetime = 30 * 24 * time.Hour

// Authority issues certificates of hosts and operators.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	pool        *x509.CertPool
}

// NewAuthority returns an authority with a key of its own, whose certificates are valid from an hour before now.
func NewAuthority(now time.Time) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "standin: authority key")
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "stand-in authority"},
		NotBefore: now.Add(-time.Hour), NotAfter: now.Add(lifetime),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, errors.Wrap(err, "standin: authority certificate")
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, errors.Wrap(err, "standin: authority certificate")
	}
	pool := x509.NewCertPool()
	pool.AddCert(certificate)
	return &Authority{certificate: certificate, key: key, pool: pool}, nil
}

// Pool returns the pool that holds the authority's certificate.
func (a *Authority) RootPool() *x509.CertPool {
	return a.pool
}

// Certificate issues a certificate whose DNS name is the host's identifier. unit is the organizational unit, which
// states the role of an operator; it is empty for a host.
func (a *Authority) IssueCertificate(id fleet.HostID, unit string) (tls.Certificate, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return tls.Certificate{}, errors.Wrap(err, "standin: host key")
	}
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	if err != nil {
		return tls.Certificate{}, errors.Wrap(err, "standin: serial number")
	}
	subject := pkix.Name{CommonName: string(id)}
	if unit != "" {
		subject.OrganizationalUnit = []string{unit}
	}
	template := &x509.Certificate{
		SerialNumber: serial, Subject: subject, DNSNames: []string{string(id)},
		NotBefore: a.certificate.NotBefore, NotAfter: a.certificate.NotAfter,
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return tls.Certificate{}, errors.Wrap(err, "standin: host certificate")
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, nil
}

// Config returns a TLS configuration with which a host can be server and client.
func (a *Authority) TLSConfig(id fleet.HostID) (*tls.Config, error) {
	certificate, err := a.IssueCertificate(id, "")
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{certificate}, RootCAs: a.pool, ClientCAs: a.pool,
	}, nil
}
