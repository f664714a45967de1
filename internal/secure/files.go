// Package secure holds the TLS identity of one daemon and reloads it when its
// files change.
package secure

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
)

// Files name the PEM files of a TLS identity.
type Files struct {
	// Certificate holds the daemon's certificate, followed by intermediates.
	Certificate string
	// Key holds the private key of the certificate.
	Key string
	// Authority holds the certificates that sign those of all daemons.
	Authority string
}

// ErrNoAuthority says that the authority's file holds no certificate.
var ErrNoAuthority = errors.New("no certificate found")

// material is what one reading of the files gave.
type material struct {
	certificate tls.Certificate
	authority   *x509.CertPool
}

// read reads and checks all files. Errors name the file, never its content.
func (f Files) read() (*material, error) {
	certificate, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return nil, fmt.Errorf("read certificate %s and key %s: %w", f.Certificate, f.Key, err)
	}
	text, err := os.ReadFile(f.Authority)
	if err != nil {
		return nil, fmt.Errorf("read authority: %w", err)
	}
	authority := x509.NewCertPool()
	if !authority.AppendCertsFromPEM(text) {
		return nil, fmt.Errorf("read authority %s: %w", f.Authority, ErrNoAuthority)
	}
	return &material{certificate: certificate, authority: authority}, nil
}
