// Package securetest issues TLS certificates for tests.
package securetest

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
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/secure"
)

// Authority is a certificate authority for tests.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// NewAuthority returns an authority with a new key and a self-signed certificate.
func NewAuthority(t testing.TB) *Authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "authority"},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	certificate, err := x509.ParseCertificate(der)
	assert.NilError(t, err)
	return &Authority{certificate: certificate, key: key}
}

// Issue writes the files of a TLS identity to a directory. The certificate is
// valid for a DNS name and IP addresses.
func (a *Authority) Issue(t testing.TB, dir string, serial int64, name string, addresses ...net.IP) secure.Files {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial),
		DNSNames:     []string{name},
		IPAddresses:  addresses,
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	assert.NilError(t, err)
	private, err := x509.MarshalECPrivateKey(key)
	assert.NilError(t, err)
	files := secure.Files{
		Certificate: filepath.Join(dir, "certificate.pem"),
		Key:         filepath.Join(dir, "key.pem"),
		Authority:   filepath.Join(dir, "authority.pem"),
	}
	writePEM(t, files.Key, "EC PRIVATE KEY", private)
	writePEM(t, files.Certificate, "CERTIFICATE", der)
	a.WriteAuthority(t, files.Authority)
	return files
}

// WriteAuthority writes the authority's certificate to a file.
func (a *Authority) WriteAuthority(t testing.TB, path string) {
	t.Helper()
	writePEM(t, path, "CERTIFICATE", a.certificate.Raw)
}

func writePEM(t testing.TB, path, kind string, der []byte) {
	t.Helper()
	encoded := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	assert.NilError(t, os.WriteFile(path, encoded, 0o600))
}
