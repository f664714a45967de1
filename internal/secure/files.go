// Package secure loads the TLS identity of a daemon and reloads it when its files
// change.
package secure

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
)

// Files names the PEM files of a TLS identity.
type Files struct {
	// Certificate contains the daemon's certificate, followed by intermediates.
	Certificate string
	// Key contains the private key of the certificate.
	Key string
	// Authority contains the CA certificates that sign those of all daemons.
	Authority string
}

// ErrNoCACertificate is returned when the authority file contains no certificate.
var ErrNoCACertificate = errors.New("no PEM certificate found")

// credentials are the parsed contents of the files.
type credentials struct {
	certificate tls.Certificate
	authority   *x509.CertPool
}

// read reads and parses all files. Errors name the file and never contain its
// content.
func (f Files) read() (*credentials, error) {
	certificate, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return nil, fmt.Errorf("read certificate %s and key %s: %w", f.Certificate, f.Key, err)
	}
	pemData, err := os.ReadFile(f.Authority)
	if err != nil {
		return nil, fmt.Errorf("read CA certificates: %w", err)
	}
	authority := x509.NewCertPool()
	if !authority.AppendCertsFromPEM(pemData) {
		return nil, fmt.Errorf("read CA certificates %s: %w", f.Authority, ErrNoCACertificate)
	}
	return &credentials{certificate: certificate, authority: authority}, nil
}
