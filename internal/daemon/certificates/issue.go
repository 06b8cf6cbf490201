package certificates

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"rosemarywick.example/rosemarywick/internal/core/settings"
)

// devCertificateValidity is the time for which the certificates of a development fleet are valid.
const devCertificateValidity = 24 * time.Hour

// Authority is a certificate authority for development fleets and tests. In production, operators supply the certificates.
type Authority struct {
	// Directory is the directory in which the certificate and key files are written.
	Directory string

	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// NewAuthority returns an authority with a new key, and writes its certificate to directory.
func NewAuthority(directory string, now time.Time) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "generate authority key")
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "rosemarywick development authority"},
		NotBefore: now.Add(-time.Hour), NotAfter: now.Add(devCertificateValidity),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, errors.Wrap(err, "sign authority certificate")
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, errors.Wrap(err, "parse authority certificate")
	}
	authority := &Authority{Directory: directory, certificate: certificate, key: key}
	return authority, writePEM(authority.path("authority.pem"), "CERTIFICATE", der)
}

// Issue writes a certificate and its key for the host name, valid for name and the loopback addresses. A role that is not empty
// is written to the certificate as an operator role.
func (a *Authority) Issue(name, role string) (settings.TLS, error) {
	files := settings.TLS{
		CertificateFile: a.path(name + ".pem"), KeyFile: a.path(name + "-key.pem"), AuthorityFile: a.path("authority.pem"),
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return files, errors.Wrap(err, "generate key")
	}
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 64))
	if err != nil {
		return files, errors.Wrap(err, "generate serial number")
	}
	template := &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: name},
		NotBefore: a.certificate.NotBefore, NotAfter: a.certificate.NotAfter,
		DNSNames: []string{name}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1), net.IPv6loopback},
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	if role != "" {
		template.Subject.OrganizationalUnit = []string{role}
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return files, errors.Wrap(err, "sign certificate")
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return files, errors.Wrap(err, "encode key")
	}
	if err := writePEM(files.CertificateFile, "CERTIFICATE", der); err != nil {
		return files, err
	}
	return files, writePEM(files.KeyFile, "PRIVATE KEY", private)
}

func (a *Authority) path(name string) string {
	return filepath.Join(a.Directory, name)
}

func writePEM(path, kind string, der []byte) error {
	const ownerOnly = 0o600
	text := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	return errors.Wrap(os.WriteFile(path, text, ownerOnly), "write PEM file")
}
