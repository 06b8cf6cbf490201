package standin

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// Authority issues certificates.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// NewAuthority returns an authority with a key of its own.
func NewAuthority(t testing.TB) *Authority {
	t.Helper()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, NotBefore: time.Unix(0, 0),
		NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	key := newKey(t)
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	requireNoError(t, err)
	certificate, err := x509.ParseCertificate(der)
	requireNoError(t, err)
	return &Authority{certificate: certificate, key: key}
}

func newKey(t testing.TB) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	requireNoError(t, err)
	return key
}

func requireNoError(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// Pool returns a pool with the authority alone.
func (a *Authority) Pool() *x509.CertPool {
	pool := x509.NewCertPool()
	pool.AddCert(a.certificate)
	return pool
}

// Issue returns a certificate for 127.0.0.1 that is valid until the given time.
func (a *Authority) Issue(t testing.TB, name string, until time.Time, units ...string) tls.Certificate {
	t.Helper()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: name, OrganizationalUnit: units},
		NotBefore: time.Unix(0, 0), NotAfter: until, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	key := newKey(t)
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, key.Public(), a.key)
	requireNoError(t, err)
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}
}

// Files writes a certificate, its key and the authority to a directory and returns the arguments that name them.
func (a *Authority) WriteFiles(t testing.TB, certificate tls.Certificate) []string {
	t.Helper()
	directory := t.TempDir()
	key, err := x509.MarshalPKCS8PrivateKey(certificate.PrivateKey)
	requireNoError(t, err)
	var args []string
	for name, block := range map[string]*pem.Block{
		"certificate": {Type: "CERTIFICATE", Bytes: certificate.Certificate[0]},
		"key":         {Type: "PRIVATE KEY", Bytes: key},
		"authority":   {Type: "CERTIFICATE", Bytes: a.certificate.Raw},
	} {
		path := filepath.Join(directory, name+".pem")
		requireNoError(t, os.WriteFile(path, pem.EncodeToMemory(block), 0o600))
		args = append(args, "--"+name, path)
	}
	return args
}
