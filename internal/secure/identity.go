package secure

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"sync/atomic"

	"github.com/sirupsen/logrus"
)

// ErrNoCertificate is returned when the peer presented no certificate.
var ErrNoCertificate = errors.New("peer presented no certificate")

// Identity is the TLS identity of one daemon. New connections use the credentials
// that were read last; open connections keep those of their handshake.
type Identity struct {
	files   Files
	log     *logrus.Entry
	current atomic.Pointer[credentials]
}

// Load returns an Identity with the current content of the files.
func Load(files Files, log *logrus.Entry) (*Identity, error) {
	first, err := files.read()
	if err != nil {
		return nil, err
	}
	identity := &Identity{files: files, log: log}
	identity.current.Store(first)
	return identity, nil
}

// Reload reads the files again. On an error the previous credentials stay in use.
func (i *Identity) Reload() error {
	next, err := i.files.read()
	if err != nil {
		return err
	}
	i.current.Store(next)
	return nil
}

// PeerServerConfig returns the configuration for connections accepted from other
// daemons, which must present a certificate signed by the authority.
func (i *Identity) PeerServerConfig() *tls.Config {
	config := i.serverConfig()
	config.ClientAuth = tls.RequireAnyClientCert
	config.VerifyConnection = i.verifyChain(x509.ExtKeyUsageClientAuth)
	return config
}

// PeerClientConfig returns the configuration for connections to other daemons.
// They are dialled by IP address, so only the chain to the authority is verified
// here. The caller compares the certificate's name with the identity that the
// daemon sends.
func (i *Identity) PeerClientConfig() *tls.Config {
	config := i.clientConfig()
	config.InsecureSkipVerify = true
	config.VerifyConnection = i.verifyChain(x509.ExtKeyUsageServerAuth)
	return config
}

// AdminServerConfig returns the configuration for connections of operators, which
// need no client certificate.
func (i *Identity) AdminServerConfig() *tls.Config { return i.serverConfig() }

// PlatformClientConfig returns the configuration for connections to the platform,
// whose certificate must be signed by the authority and be valid for host, a DNS name
// or an IP address. RootCAs would keep the authority of the first load, so it is not
// used.
func (i *Identity) PlatformClientConfig(host string) *tls.Config {
	config := i.clientConfig()
	config.ServerName = host
	config.InsecureSkipVerify = true
	verify := i.verifyChain(x509.ExtKeyUsageServerAuth)
	config.VerifyConnection = func(state tls.ConnectionState) error {
		if err := verify(state); err != nil {
			return err
		}
		if err := state.PeerCertificates[0].VerifyHostname(host); err != nil {
			return fmt.Errorf("verify platform certificate: %w", err)
		}
		return nil
	}
	return config
}

func (i *Identity) serverConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &i.current.Load().certificate, nil
		},
	}
}

func (i *Identity) clientConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &i.current.Load().certificate, nil
		},
	}
}

// verifyChain returns a function that verifies the peer's certificate against the
// authority that was read last.
func (i *Identity) verifyChain(usage x509.ExtKeyUsage) func(tls.ConnectionState) error {
	return func(state tls.ConnectionState) error {
		if len(state.PeerCertificates) == 0 {
			return ErrNoCertificate
		}
		options := x509.VerifyOptions{
			Roots:         i.current.Load().authority,
			Intermediates: x509.NewCertPool(),
			KeyUsages:     []x509.ExtKeyUsage{usage},
		}
		for _, intermediate := range state.PeerCertificates[1:] {
			options.Intermediates.AddCert(intermediate)
		}
		if _, err := state.PeerCertificates[0].Verify(options); err != nil {
			return fmt.Errorf("verify peer certificate: %w", err)
		}
		return nil
	}
}
